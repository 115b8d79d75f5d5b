package command

import (
	"gopkg.in/yaml.v3"

	"sapphirering/internal/config"
)

var getCommand = subcommand{
	name: "get", args: "[TEAM]", help: "print a team's document, or list all",
	run: func(env *Env, args []string) error {
		if len(args) == 1 {
			return getDocument(env, args[0])
		}
		if err := wantArgs(args, 0, "at most one TEAM"); err != nil {
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

func getDocument(env *Env, team string) error {
	doc := new(config.Document)
	if err := env.client.get("/v1/documents/"+team, doc); err != nil {
		return err
	}
	if env.json {
		return env.printJSON(doc)
	}
	return yaml.NewEncoder(env.Out).Encode(doc)
}
