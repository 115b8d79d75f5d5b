// Command sapphirering is the operators' command-line tool.
package main

import (
	"os"

	"sapphirering/internal/command"
	"sapphirering/platform"
)

func main() {
	command.CatalogueFormats["manifest"] = platform.ManifestFile{}
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
