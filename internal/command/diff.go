package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"

	"sapphirering/internal/config"
	"sapphirering/internal/operator"
)

var diffCommand = subcommand{
	name: "diff", args: "FILE", help: "compare a document file with what is in force; exits 0 also when they differ",
	examples: []string{"diff kita.yaml", "diff -o json kita.yaml"},
	run: func(env *Env, args []string) error {
		if err := requireArgs(args, 1, "FILE"); err != nil {
			return err
		}
		fromFile, err := loadDocument(args[0])
		if err != nil {
			return err
		}
		var view operator.DocumentView
		err = env.client.get("/v1/documents/"+fromFile.Team, &view)
		var refused *resultError
		switch {
		case errors.As(err, &refused) && refused.result.Code == "not-found":
			view.Document = &config.Document{Team: fromFile.Team}
		case err != nil:
			return err
		}
		return env.printDiff(view.Document, fromFile)
	},
}

// fieldChange is one field that differs between the document in force and the file.
type fieldChange struct {
	Field   string `json:"field"`
	InForce string `json:"in_force,omitempty"`
	File    string `json:"file,omitempty"`
}

// String returns the change as a line that begins with "+", "-" or "~", like a diff.
func (c fieldChange) String() string {
	switch {
	case c.InForce == "":
		return fmt.Sprintf("+ %s: %s", c.Field, c.File)
	case c.File == "":
		return fmt.Sprintf("- %s: %s", c.Field, c.InForce)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Field, c.InForce, c.File)
}

func (e *Env) printDiff(inForce, fromFile *config.Document) error {
	changes := compareDocuments(inForce, fromFile)
	if e.json {
		return e.printJSON(changes)
	}
	fmt.Fprintf(e.Out, "in force: revision %d; file: based on revision %d\n", inForce.Revision, fromFile.Revision)
	for _, change := range changes {
		fmt.Fprintln(e.Out, change)
	}
	return nil
}

// compareDocuments returns the fields that differ, sorted by name.
func compareDocuments(inForce, fromFile *config.Document) []fieldChange {
	inForceFields, fileFields := documentFields(inForce), documentFields(fromFile)
	changes := []fieldChange{}
	for field, value := range inForceFields {
		if fileFields[field] != value {
			changes = append(changes, fieldChange{Field: field, InForce: value, File: fileFields[field]})
		}
	}
	for field, value := range fileFields {
		if _, ok := inForceFields[field]; !ok {
			changes = append(changes, fieldChange{Field: field, File: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Field < changes[j].Field })
	return changes
}

// documentFields returns a document's fields by path, with defaults filled in and without the
// revision.
func documentFields(doc *config.Document) map[string]string {
	if proto, err := doc.Proto(); err == nil {
		doc = config.FromProto(proto)
	}
	fields := make(map[string]string)
	fields["share"] = fmt.Sprint(doc.Share)
	fields["upper_limit"] = fmt.Sprint(doc.UpperLimit)
	for _, a := range doc.Availability {
		fields["availability."+a.Pool+".min_available_vms"] = fmt.Sprint(a.MinAvailableVMs)
	}
	for _, queue := range doc.Queues {
		addFields(fields, "queues."+queue.Name, queue)
	}
	return fields
}

// addFields adds every field of a queue except its name, with the value as JSON.
func addFields(fields map[string]string, prefix string, queue config.Queue) {
	data, err := json.Marshal(queue)
	if err != nil {
		return
	}
	var parts map[string]json.RawMessage
	if json.Unmarshal(data, &parts) != nil {
		return
	}
	for name, value := range parts {
		if name != "name" {
			fields[prefix+"."+name] = string(value)
		}
	}
}
