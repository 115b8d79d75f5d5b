package cataloguecheck

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"

	pb "sapphirering/internal/workflow/workflowpb"
)

// FileFault is one fault of a file that holds a catalogue.
type FileFault struct {
	Severity Severity `json:"severity"`
	// Line counts from 1; 0 if it is not known.
	Line int `json:"line,omitempty"`
	// Field is the path of the field with the names of the file.
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
}

// String returns "line N: severity: field: reason" without the parts that are unknown.
func (f FileFault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	fmt.Fprintf(&b, "%s: ", f.Severity)
	if f.Field != "" {
		fmt.Fprintf(&b, "%s: ", f.Field)
	}
	return b.String() + f.Reason
}

// Places tells where the fields of a catalogue are in its file.
type Places struct {
	// Lines holds the lines by the paths that the file's names make.
	Lines map[string]int
	// Name returns the file's path of a field of the catalogue.
	Name func(field string) string
}

// lineOf returns the line of a field or of the nearest parent that is in the file.
func (p *Places) lineOf(field string) int {
	for field != "" {
		if line, ok := p.Lines[field]; ok {
			return line
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return 0
}

// Format reads files that hold a catalogue.
type Format interface {
	// Decode returns the catalogue, the places of its fields and the faults of the text. The catalogue is
	// nil if the text cannot be read.
	Decode(data []byte) (*pb.Catalogue, *Places, []FileFault)
}

// entryPattern matches the paths of other entries in a reason.
var entryPattern = regexp.MustCompile(`\b(queues|pools|workspaces)\[\d+\]`)

// CheckFile returns the catalogue of a file, nil if it cannot be read, and all faults in the order of their lines.
func CheckFile(format Format, data []byte) (*pb.Catalogue, []FileFault) {
	catalogue, places, faults := format.Decode(data)
	if catalogue != nil {
		for _, finding := range Check(catalogue) {
			field := places.Name(finding.Field)
			faults = append(faults, FileFault{Severity: finding.Severity, Line: places.lineOf(field), Field: field, Reason: entryPattern.ReplaceAllStringFunc(finding.Reason, places.Name)})
		}
	}
	slices.SortStableFunc(faults, func(a, b FileFault) int { return cmp.Compare(a.Line, b.Line) })
	return catalogue, faults
}

// HasErrors reports whether a fault is an error.
func HasErrors(faults []FileFault) bool {
	return slices.ContainsFunc(faults, func(f FileFault) bool { return f.Severity == Error })
}
