package command

import (
	"errors"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"time"

	"sapphirering/internal/operator"
	"sapphirering/internal/policy/maintenance"
)

var waveCommand = subcommand{
	name: "wave", args: "declare ID [VM...] | check ID [VM...] | list | show ID | cancel ID | due",
	help: "declare maintenance of VMs, check whether it can finish in time, show its progress, and list VMs that are due",
	examples: []string{
		"wave check kernel -pools renderers -deadline 4h",
		"wave declare kernel -pools renderers -zones a -deadline 2026-01-31T04:00:00Z",
		"wave declare weekly -due 168h   # all VMs that are due within a week",
	},
	flags: waveFlags,
	run: func(env *Env, args []string) error {
		switch {
		case len(args) >= 2 && args[0] == "declare":
			return declareWave(env, args[1], args[2:])
		case len(args) >= 2 && args[0] == "check":
			return checkWave(env, args[1], args[2:])
		case len(args) == 1 && args[0] == "list":
			return listWaves(env)
		case len(args) == 2 && args[0] == "show":
			return showWave(env, args[1])
		case len(args) == 2 && args[0] == "cancel":
			return env.change(http.MethodDelete, "/v1/waves/"+args[1], nil)
		case len(args) == 1 && args[0] == "due":
			return listDue(env)
		}
		return fmt.Errorf("%w: want declare ID [VM...], check ID [VM...], list, show ID, cancel ID, or due", errUsage)
	},
}

func waveFlags(set *flag.FlagSet, f *fleetFlags) {
	set.StringVar(&f.pools, "pools", "", "take the VMs of these `pools`, separated by commas")
	set.StringVar(&f.racks, "racks", "", "take the VMs of these `racks`")
	set.StringVar(&f.zones, "zones", "", "take the VMs of these availability `zones`")
	set.DurationVar(&f.due, "due", 0, "take only VMs that are due for maintenance within this `time`")
	set.UintVar(&f.canary, "canary", 0, "`VMs` that must be done before more are taken out at once; if not given, 1")
	set.UintVar(&f.maxParallel, "parallel", 0, "most `VMs` out at once; if not given, only the availability budgets limit them")
	set.UintVar(&f.stopAfter, "stop-after", 0, "stop after this many `failures`; if not given, 2")
	set.StringVar(&f.deadline, "deadline", "", "`time` or duration after which no VM is taken out")
	set.StringVar(&f.action, "action", "", "what the platform is asked to do: reboot, or an image `name`")
	set.DurationVar(&f.cycle, "cycle", 0, "how long one VM is expected to be out; if not given, 5m")
	set.BoolVar(&f.force, "force", false, "declare the wave even if it cannot finish by its deadline")
}

// waveRequest builds the request from the flags. Without VMs, pools, racks and zones it
// selects everything that is due.
func waveRequest(env *Env, vms []string) (operator.WaveRequest, error) {
	f := &env.fleet
	deadline, err := deadlineMS(f.deadline, time.Now())
	if err != nil {
		return operator.WaveRequest{}, err
	}
	request := operator.WaveRequest{
		VMs: vms, Pools: splitList(f.pools), Racks: splitList(f.racks), Zones: splitList(f.zones),
		Canary: uint32(f.canary), MaxParallel: uint32(f.maxParallel), StopAfter: uint32(f.stopAfter),
		Deadline: deadline, Action: f.action, CycleMS: f.cycle.Milliseconds(), Force: f.force,
	}
	if f.due != 0 {
		request.MaintainedBefore = time.Now().Add(f.due - maintenance.Period).UnixMilli()
	}
	return request, nil
}

func declareWave(env *Env, id string, vms []string) error {
	request, err := waveRequest(env, vms)
	if err != nil {
		return err
	}
	err = env.change(http.MethodPut, "/v1/waves/"+id, request)
	if errors.Is(err, errUnknownOutcome) && request.Deadline != 0 {
		return fmt.Errorf("%w -deadline %s", err, time.UnixMilli(request.Deadline).UTC().Format(time.RFC3339Nano))
	}
	return err
}

func checkWave(env *Env, id string, vms []string) error {
	request, err := waveRequest(env, vms)
	if err != nil {
		return err
	}
	var view operator.ForecastView
	if err := env.client.do(http.MethodPost, "/v1/waves/"+id+"/check", "", request, &view); err != nil {
		return err
	}
	return env.table(view, "VMS FEASIBLE ROUNDS FINISH REASON", func(print func(...any)) {
		print(view.VMs, view.Feasible, view.Rounds, formatUnixMSOrDash(view.Finish), view.Reason)
	})
}

func listWaves(env *Env) error {
	var waves []operator.WaveView
	if err := env.client.get("/v1/waves", &waves); err != nil {
		return err
	}
	return printWaves(env, waves, waves)
}

func showWave(env *Env, id string) error {
	var wave operator.WaveView
	if err := env.client.get("/v1/waves/"+id, &wave); err != nil {
		return err
	}
	if err := printWaves(env, wave, []operator.WaveView{wave}); err != nil || env.json {
		return err
	}
	fmt.Fprintf(env.Out, "\nout: %s\nfailed: %s\n", orDash(strings.Join(wave.Out, " ")), orDash(strings.Join(wave.Failed, " ")))
	return nil
}

func printWaves(env *Env, value any, waves []operator.WaveView) error {
	return env.table(value, "WAVE PHASE VMS OUT DONE FAILED DEADLINE REASON", func(print func(...any)) {
		for _, wave := range waves {
			print(wave.ID, wave.Phase, len(wave.VMs), len(wave.Out), len(wave.Done), len(wave.Failed),
				formatUnixMSOrDash(wave.Deadline), orDash(wave.Reason))
		}
	})
}

func listDue(env *Env) error {
	var due []operator.DueView
	if err := env.client.get("/v1/due", &due); err != nil {
		return err
	}
	err := env.table(due, "VM POOL DUE OVERDUE", func(print func(...any)) {
		for _, vm := range due {
			print(vm.VM, vm.Pool, formatUnixMSOrDash(vm.Due), vm.Overdue)
		}
	})
	if err == nil && !env.json {
		fmt.Fprintf(env.Out, "\n%d VMs a day keep every VM maintained once in %s\n",
			maintenance.PerDay(len(due)), maintenance.Period)
	}
	return err
}
