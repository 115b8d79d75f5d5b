package command

import (
	"sapphirering/internal/operator"
)

var vmCommand = subcommand{
	name: "vm", args: "list", help: "list VMs",
	run: func(env *Env, args []string) error {
		if err := wantArgs(args, 1, "list"); err != nil {
			return err
		}
		var vms []operator.VMView
		if err := env.client.get("/v1/vms", &vms); err != nil {
			return err
		}
		return env.table(vms, "VM POOL ZONE RACK PHASE SLOTS REVISION", func(print func(...any)) {
			for _, vm := range vms {
				print(vm.Name, vm.Pool, vm.Zone, vm.Rack, vm.Phase, vm.Slots, vm.Revision)
			}
		})
	},
}
