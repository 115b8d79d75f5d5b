package command

import (
	"fmt"
	"net/url"

	"sapphirering/internal/operator"
)

var explainCommand = subcommand{
	name: "explain", args: "job|team|vm|wave ID", help: "print why an object is in its state and what it waits for",
	run: func(env *Env, args []string) error {
		if err := requireArgs(args, 2, "KIND and ID"); err != nil {
			return err
		}
		var view operator.ExplainView
		path := "/v1/explain/" + url.PathEscape(args[0]) + "/" + url.PathEscape(args[1])
		if err := env.client.get(path, &view); err != nil {
			return err
		}
		if env.json {
			return env.printJSON(view)
		}
		for _, line := range view.Lines {
			fmt.Fprintln(env.Out, line)
		}
		return nil
	},
}
