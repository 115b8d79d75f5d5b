package command

import (
	"fmt"

	"gopkg.in/yaml.v3"

	"sapphirering/internal/config"
	"sapphirering/internal/operator"
)

var getCommand = subcommand{
	name: "get", args: "[TEAM]", help: "print a team's document with its keys, or list all documents",
	examples: []string{"get", "get kita > kita.yaml", "get -o json kita"},
	run: func(env *Env, args []string) error {
		if len(args) == 1 {
			return getDocument(env, args[0])
		}
		if err := requireArgs(args, 0, "at most one TEAM"); err != nil {
			return err
		}
		var docs []*config.Document
		if err := env.client.get("/v1/documents", &docs); err != nil {
			return err
		}
		return env.table(docs, "TEAM REVISION SHARE UPPER-LIMIT QUEUES", func(print func(...any)) {
			for _, doc := range docs {
				print(doc.Team, doc.Revision, doc.Share, doc.UpperLimit, len(doc.Queues))
			}
		})
	},
}

// getDocument prints a document as YAML that can be edited and applied. The team's keys are
// printed as comments.
func getDocument(env *Env, team string) error {
	var view operator.DocumentView
	if err := env.client.get("/v1/documents/"+team, &view); err != nil {
		return err
	}
	if env.json {
		return env.printJSON(view)
	}
	for _, key := range view.Keys {
		fmt.Fprintf(env.Out, "# key %s, granted %s\n", key.ID, formatUnixMS(key.Granted))
	}
	encoder := yaml.NewEncoder(env.Out)
	encoder.SetIndent(2)
	return encoder.Encode(view.Document)
}
