package command

import (
	"net/http"

	"sapphirering/internal/config"
)

var applyCommand = subcommand{
	name: "apply", args: "FILE", help: "create or change a team's document",
	run: func(env *Env, args []string) error {
		if err := wantArgs(args, 1, "FILE"); err != nil {
			return err
		}
		doc, err := config.LoadDocument(args[0])
		if err != nil {
			return err
		}
		return env.change(http.MethodPut, "/v1/documents/"+doc.Team, doc)
	},
}
