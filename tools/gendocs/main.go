// Command gendocs writes docs/EVENTS.md from the catalogue of log events.
//
// Usage, from the root of the module: go run ./tools/gendocs
package main

import (
	"fmt"
	"os"

	"sapphirering/internal/event"
)

const eventsPage = "docs/EVENTS.md"

func main() {
	if err := os.WriteFile(eventsPage, []byte(event.Page()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, "gendocs:", err)
		os.Exit(1)
	}
}
