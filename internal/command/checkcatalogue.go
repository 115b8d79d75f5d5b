package command

import (
	"fmt"
	"io"
	"net/http"
	"os"

	"sapphirering/internal/cataloguecheck"
)

// CatalogueFormats holds the formats of files with a catalogue that the check command reads, by name.
// The main package sets it, since formats of platforms are no part of the product.
var CatalogueFormats = make(map[string]cataloguecheck.Format)

const (
	// maxCatalogueBytes is the largest size of a catalogue file that is read; larger ones are refused
	// without being decoded.
	maxCatalogueBytes = 16 << 20
	cataloguePath     = "/v1/catalogue"
)

// catalogueReport is the result of a check, as JSON.
type catalogueReport struct {
	File    string                     `json:"file"`
	Faults  []cataloguecheck.FileFault `json:"faults"`
	Changes []catalogueChange          `json:"changes,omitempty"`
}

// catalogueChange is a difference from the catalogue in force.
type catalogueChange struct {
	fieldChange
	Effect string `json:"effect,omitempty"`
}

// checkCatalogue checks a file; with an address, it also compares it with the catalogue in force.
func checkCatalogue(env *Env, format cataloguecheck.Format, file string) error {
	data, err := readCatalogueFile(file)
	if err != nil {
		return fmt.Errorf("%w: %w", errBadFile, err)
	}
	report := catalogueReport{File: file, Faults: []cataloguecheck.FileFault{}}
	catalogue, faults := cataloguecheck.CheckFile(format, data)
	report.Faults = append(report.Faults, faults...)
	if catalogue != nil && env.client != nil {
		source, err := env.client.raw(http.MethodGet, cataloguePath)
		if err != nil {
			return err
		}
		inForce, _, unreadable := format.Decode(source)
		if inForce == nil {
			return fmt.Errorf("the catalogue in force cannot be read: %v", unreadable)
		}
		for _, c := range cataloguecheck.Compare(inForce, catalogue) {
			report.Changes = append(report.Changes, catalogueChange{fieldChange{c.Field, c.InForce, c.New}, c.Effect})
		}
	}
	if err := env.printCatalogueReport(report); err != nil {
		return err
	}
	if cataloguecheck.HasErrors(faults) {
		return fmt.Errorf("%w: %s has errors", errBadFile, file)
	}
	return nil
}

func readCatalogueFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxCatalogueBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	if len(data) > maxCatalogueBytes {
		return nil, fmt.Errorf("%s is larger than %d bytes", path, maxCatalogueBytes)
	}
	return data, nil
}

func (e *Env) printCatalogueReport(report catalogueReport) error {
	if e.json {
		return e.printJSON(report)
	}
	for _, fault := range report.Faults {
		fmt.Fprintf(e.Out, "%s: %s\n", report.File, fault)
	}
	for _, change := range report.Changes {
		fmt.Fprintln(e.Out, change.fieldChange)
		if change.Effect != "" {
			fmt.Fprintf(e.Out, "    %s\n", change.Effect)
		}
	}
	if len(report.Faults) == 0 {
		fmt.Fprintf(e.Out, "%s: ok\n", report.File)
	}
	return nil
}
