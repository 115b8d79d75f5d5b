package command

import (
	"fmt"

	"sapphirering/internal/operator"
)

var statusCommand = subcommand{
	name: "status", args: "", help: "show leader, members and commit index",
	run: func(env *Env, args []string) error {
		if err := wantArgs(args, 0, "no arguments"); err != nil {
			return err
		}
		return printStatus(env)
	},
}

func printStatus(env *Env) error {
	var status operator.StatusView
	if err := env.client.get("/v1/status", &status); err != nil {
		return err
	}
	if !env.json {
		fmt.Fprintf(env.Out, "cluster %s, term %d, commit index %d\n", status.ClusterID, status.Term, status.Commit)
	}
	return env.table(status, "MEMBER NAME ZONE VOTER LEADER ACTIVE MATCH", func(print func(...any)) {
		for _, m := range status.Members {
			print(m.ID, m.Name, m.Zone, m.Voter, m.Leader, m.Active, m.Match)
		}
	})
}
