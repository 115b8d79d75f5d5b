package command

import (
	"fmt"
	"net/http"

	"sapphirering/internal/operator"
)

var poolCommand = subcommand{
	name: "pool", args: "list | create NAME [spare] | delete NAME", help: "list, create and delete pools",
	examples: []string{"pool create renderers", "pool create billing spare", "pool delete renderers -revision 12"},
	flags:    revisionFlag,
	run: func(env *Env, args []string) error {
		switch {
		case len(args) == 1 && args[0] == "list":
			return listPools(env)
		case len(args) == 2 && args[0] == "create":
			return createPool(env, args[1], false)
		case len(args) == 3 && args[0] == "create" && args[2] == "spare":
			return createPool(env, args[1], true)
		case len(args) == 2 && args[0] == "delete":
			return deletePool(env, args[1])
		}
		return fmt.Errorf("%w: want list, create NAME [spare], or delete NAME", errUsage)
	},
}

// createPool creates a pool, or changes an existing one when -revision is given.
func createPool(env *Env, name string, spare bool) error {
	view := operator.PoolView{Name: name, Spare: spare, Revision: env.fleet.revision}
	return env.change(http.MethodPut, "/v1/pools/"+name, view)
}

func deletePool(env *Env, name string) error {
	revision, err := env.baseRevision(func() (uint64, error) { return poolRevision(env, name) })
	if err != nil {
		return err
	}
	err = env.change(http.MethodDelete, fmt.Sprintf("/v1/pools/%s?revision=%d", name, revision), nil)
	return withRevision(err, revision)
}

func poolRevision(env *Env, name string) (uint64, error) {
	var pools []operator.PoolView
	if err := env.client.get("/v1/pools", &pools); err != nil {
		return 0, err
	}
	for _, pool := range pools {
		if pool.Name == name {
			return pool.Revision, nil
		}
	}
	return 0, fmt.Errorf("pool %q does not exist", name)
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
