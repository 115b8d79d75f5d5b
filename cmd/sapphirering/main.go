// Command sapphirering is the operators' command-line tool.
package main

import (
	"os"

	"sapphirering/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
