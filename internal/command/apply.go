package command

import (
	"errors"
	"fmt"
	"net/http"

	"sapphirering/internal/config"
	"sapphirering/internal/operator"
)

var applyCommand = subcommand{
	name: "apply", args: "FILE", help: "create or change a team's document; its 'revision' field is what the change is based on",
	examples: []string{"apply kita.yaml", "apply -wait -timeout 30s kita.yaml", "get kita > kita.yaml   # then edit and apply"},
	run: func(env *Env, args []string) error {
		if err := requireArgs(args, 1, "FILE"); err != nil {
			return err
		}
		doc, err := loadDocument(args[0])
		if err != nil {
			return err
		}
		result, err := env.send(http.MethodPut, "/v1/documents/"+doc.Team, doc)
		var refused *resultError
		if errors.As(err, &refused) && refused.result.Code == "conflict" {
			env.printConflict(doc)
		}
		if err != nil {
			return err
		}
		return env.finish(result)
	},
}

// loadDocument reads a document file.
func loadDocument(path string) (*config.Document, error) {
	doc, err := config.LoadDocument(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBadFile, err)
	}
	return doc, nil
}

// printConflict prints the revision in force after a conflict, and how the file differs from
// it. The document may have been replaced again since the conflict, so the revision that was
// read is printed.
func (e *Env) printConflict(fromFile *config.Document) {
	var view operator.DocumentView
	if err := e.client.get("/v1/documents/"+fromFile.Team, &view); err != nil {
		fmt.Fprintf(e.Err, "document in force could not be read: %v\n", err)
		return
	}
	fmt.Fprintf(e.Err, "revision %d of %s is in force; your file differs from it in:\n", view.Document.Revision, fromFile.Team)
	for _, change := range compareDocuments(view.Document, fromFile) {
		fmt.Fprintln(e.Err, change)
	}
}
