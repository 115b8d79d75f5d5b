package command

import (
	"flag"
	"fmt"
	"net/http"

	"sapphirering/internal/operator"
)

var vmCommand = subcommand{
	name: "vm", args: "list | show VM | drain VM | undrain VM | move VM POOL | remove VM",
	help:     "list VMs; drain one, end its drain, move it to another pool, or remove it from the fleet",
	examples: []string{"vm drain worker-7 -reason disk", "vm move worker-7 renderers", "vm remove worker-7 -revision 512"},
	flags: func(set *flag.FlagSet, f *fleetFlags) {
		revisionFlag(set, f)
		set.StringVar(&f.reason, "reason", "", "`why` the VM is drained, undrained or moved")
	},
	run: func(env *Env, args []string) error {
		switch {
		case len(args) == 1 && args[0] == "list":
			return listVMs(env)
		case len(args) == 2 && args[0] == "show":
			return showVM(env, args[1])
		case len(args) == 2 && (args[0] == "drain" || args[0] == "undrain"):
			return changeVM(env, args[1], args[0], "")
		case len(args) == 3 && args[0] == "move":
			return changeVM(env, args[1], "drain", args[2])
		case len(args) == 2 && args[0] == "remove":
			return removeVM(env, args[1])
		}
		return fmt.Errorf("%w: want list, show VM, drain VM, undrain VM, move VM POOL, or remove VM", errUsage)
	},
}

func vmRevision(env *Env, name string) (uint64, error) {
	var vm operator.VMView
	err := env.client.get("/v1/vms/"+name, &vm)
	return vm.Revision, err
}

func changeVM(env *Env, name, verb, toPool string) error {
	revision, err := env.baseRevision(func() (uint64, error) { return vmRevision(env, name) })
	if err != nil {
		return err
	}
	change := operator.VMChange{Revision: revision, Reason: env.fleet.reason, ToPool: toPool}
	return withRevision(env.change(http.MethodPost, "/v1/vms/"+name+"/"+verb, change), revision)
}

func removeVM(env *Env, name string) error {
	revision, err := env.baseRevision(func() (uint64, error) { return vmRevision(env, name) })
	if err != nil {
		return err
	}
	err = env.change(http.MethodDelete, fmt.Sprintf("/v1/vms/%s?revision=%d", name, revision), nil)
	return withRevision(err, revision)
}

func listVMs(env *Env) error {
	var vms []operator.VMView
	if err := env.client.get("/v1/vms", &vms); err != nil {
		return err
	}
	return printVMs(env, vms, vms)
}

func showVM(env *Env, name string) error {
	var vm operator.VMView
	if err := env.client.get("/v1/vms/"+name, &vm); err != nil {
		return err
	}
	return printVMs(env, vm, []operator.VMView{vm})
}

func printVMs(env *Env, value any, vms []operator.VMView) error {
	return env.table(value, "VM POOL ZONE RACK PHASE OWNER LENT-FROM SLOTS REVISION MAINTAINED", func(print func(...any)) {
		for _, vm := range vms {
			print(vm.Name, vm.Pool, vm.Zone, vm.Rack, vm.Phase, orDash(vm.Owner), orDash(vm.LentFrom), vm.Slots,
				vm.Revision, formatUnixMSOrDash(vm.LastMaintained))
		}
	})
}

// orDash returns s, or "-" when s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
