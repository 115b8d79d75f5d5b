package command

import (
	"fmt"
	"net/http"

	"sapphirering/internal/operator"
)

var poolCommand = subcommand{
	name: "pool", args: "list | create NAME [spare]", help: "list and create pools",
	run: func(env *Env, args []string) error {
		switch {
		case len(args) == 1 && args[0] == "list":
			return listPools(env)
		case len(args) == 2 && args[0] == "create":
			return env.change(http.MethodPut, "/v1/pools/"+args[1], operator.PoolView{Name: args[1]})
		case len(args) == 3 && args[0] == "create" && args[2] == "spare":
			return env.change(http.MethodPut, "/v1/pools/"+args[1], operator.PoolView{Name: args[1], Spare: true})
		}
		return fmt.Errorf("%w: list, or create NAME [spare]", errUsage)
	},
}

func listPools(env *Env) error {
	var pools []operator.PoolView
	if err := env.client.get("/v1/pools", &pools); err != nil {
		return err
	}
	return env.table(pools, "POOL SPARE REVISION AVAILABLE BUDGET", func(print func(...any)) {
		for _, pool := range pools {
			print(pool.Name, pool.Spare, pool.Revision, pool.AvailableVMs, pool.MinAvailableVMs)
		}
	})
}
