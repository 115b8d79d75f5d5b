package command

import (
	"fmt"
	"net/http"

	"sapphirering/internal/operator"
)

var memberCommand = subcommand{
	name: "member", args: "list | promote MEMBER | remove MEMBER", help: "list and change the members of the agreement",
	run: func(env *Env, args []string) error {
		switch {
		case len(args) == 1 && args[0] == "list":
			return printStatus(env)
		case len(args) == 2 && args[0] == "promote":
			return changeMember(env, http.MethodPost, args[1])
		case len(args) == 2 && args[0] == "remove":
			return changeMember(env, http.MethodDelete, args[1])
		}
		return fmt.Errorf("%w: list, promote MEMBER, or remove MEMBER", errUsage)
	},
}

func changeMember(env *Env, method, member string) error {
	var result operator.Result
	if err := env.client.do(method, "/v1/members/"+member, "", nil, &result); err != nil {
		return err
	}
	return env.finish(result)
}
