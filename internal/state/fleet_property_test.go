package state

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sapphirering/internal/state/statepb"
)

const fleetSteps = 150

var fleetVMs = []string{"vm0", "vm1", "vm2", "vm3", "vm4", "vm5"}

// fleet draws random commands about pools, VMs and waves, and records
// independently which pool each VM is in.
type fleet struct {
	*history
	pools map[string]string
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{history: newHistory(t), pools: make(map[string]string)}
	for _, pool := range []string{"p1", "p2", "spare"} {
		f.run(&statepb.Command{Body: &statepb.Command_PutPool{PutPool: &statepb.PutPool{
			Pool: &statepb.Pool{Name: pool, Spare: pool == "spare"},
		}}})
	}
	for i, vm := range fleetVMs {
		f.announce(vm, []string{"p1", "p2", "spare"}[i%3], "i0")
	}
	return f
}

func (f *fleet) vm() *statepb.VM {
	name := rapid.SampledFrom(fleetVMs).Draw(f.t, "vm")
	if vm := f.machine.VM(name); vm != nil {
		return vm
	}
	return &statepb.VM{Name: name}
}

func (f *fleet) pool() string { return f.pick("pool", "p1", "p2", "spare") }
func (f *fleet) wave() string { return f.pick("wave", "w1", "w2", "w3") }

// base returns mostly the current revision, sometimes a stale one.
func (f *fleet) base(vm *statepb.VM) uint64 {
	if rapid.IntRange(0, 9).Draw(f.t, "stale") == 0 {
		return vm.Revision - min(vm.Revision, 1)
	}
	return vm.Revision
}

// run applies the command and checks the rules on the resulting state.
func (f *fleet) run(command *statepb.Command) {
	before := make(map[string]*statepb.VM)
	for _, vm := range f.machine.VMs() {
		before[vm.Name] = vm
	}
	outcome := f.apply(command)
	if outcome.Code == statepb.Code_CODE_OK {
		f.checkBudget(command, before)
		f.trackPools(command)
	}
	f.checkPools(command)
	f.checkWaves()
}

// checkBudget fails if the command took a pool below its budget by maintenance or a
// move.
func (f *fleet) checkBudget(command *statepb.Command, before map[string]*statepb.VM) {
	name := ""
	switch body := command.Body.(type) {
	case *statepb.Command_StartDrain:
		name = body.StartDrain.Vm
	case *statepb.Command_MoveVm:
		name = body.MoveVm.Vm
	case *statepb.Command_RemoveVm:
		if before[body.RemoveVm.Vm].Phase == statepb.VMPhase_VM_PHASE_DOWN {
			return // lost already, so its removal changes nothing
		}
		name = body.RemoveVm.Vm
	case *statepb.Command_AdvanceVm:
		if body.AdvanceVm.Phase != statepb.VMPhase_VM_PHASE_REBOOTING {
			return
		}
		name = body.AdvanceVm.Vm
	default:
		return
	}
	pool := before[name].Pool
	if least, available := f.machine.Budget(pool); available < least {
		f.t.Fatalf("%T of %s leaves pool %s with %d available VMs, its budget is %d", command.Body, name, pool, available, least)
	}
}

// trackPools records the pool set by the only two commands that may set it, and
// removals.
func (f *fleet) trackPools(command *statepb.Command) {
	switch body := command.Body.(type) {
	case *statepb.Command_AnnounceVm:
		if _, known := f.pools[body.AnnounceVm.Vm.Name]; !known {
			f.pools[body.AnnounceVm.Vm.Name] = body.AnnounceVm.Vm.Pool
		}
	case *statepb.Command_MoveVm:
		f.pools[body.MoveVm.Vm] = body.MoveVm.ToPool
	case *statepb.Command_RemoveVm:
		delete(f.pools, body.RemoveVm.Vm)
	}
}

func (f *fleet) checkPools(command *statepb.Command) {
	for _, vm := range f.machine.VMs() {
		if vm.Pool != f.pools[vm.Name] || f.machine.Pool(vm.Pool) == nil {
			f.t.Fatalf("after %T vm %s is in pool %q, want %q", command.Body, vm.Name, vm.Pool, f.pools[vm.Name])
		}
	}
	if len(f.machine.VMs()) != len(f.pools) {
		f.t.Fatalf("after %T %d VMs exist, want %d", command.Body, len(f.machine.VMs()), len(f.pools))
	}
}

// checkWaves fails if a VM is pending in two running waves, or if a wave has more
// VMs out of service than it allows.
func (f *fleet) checkWaves() {
	owners := make(map[string]string)
	for _, wave := range f.machine.Waves() {
		out := uint32(0)
		for _, vm := range f.machine.VMs() {
			if vm.DrainOwner == WaveDrainOwner(wave.Id) {
				out++
			}
		}
		if wave.MaxParallelVms > 0 && out > wave.MaxParallelVms {
			f.t.Fatalf("wave %s has %d VMs out of service, it allows %d", wave.Id, out, wave.MaxParallelVms)
		}
		for _, name := range wave.Vms {
			if !vmPendingInWave(wave, name) {
				continue
			}
			if owners[name] != "" {
				f.t.Fatalf("vm %s is pending in waves %s and %s", name, owners[name], wave.Id)
			}
			owners[name] = wave.Id
		}
		for _, name := range slices.Concat(wave.DoneVms, wave.FailedVms) {
			if !slices.Contains(wave.Vms, name) {
				f.t.Fatalf("wave %s has a result for vm %s, which is not in it", wave.Id, name)
			}
		}
	}
}

func (f *fleet) announce(vm, pool, incarnation string) {
	f.run(&statepb.Command{Body: &statepb.Command_AnnounceVm{AnnounceVm: &statepb.AnnounceVM{Vm: &statepb.VM{
		Name: vm, Pool: pool, Zone: "a", Slots: 4, Incarnation: incarnation,
	}}}})
}

// step applies one random command.
func (f *fleet) step() {
	switch rapid.IntRange(0, 9).Draw(f.t, "command") {
	case 0:
		f.budget()
	case 1:
		f.announce(f.vm().Name, f.pool(), f.pick("incarnation", "i0", "i1", "i2"))
	case 2:
		f.declare()
	case 3, 4:
		f.drain()
	case 5:
		vm := f.vm()
		f.run(&statepb.Command{Body: &statepb.Command_MoveVm{MoveVm: &statepb.MoveVM{
			Vm: vm.Name, BaseRevision: f.base(vm), ToPool: f.pick("to", vm.MoveToPool, f.pool()),
		}}})
	case 6:
		f.rareStep()
	default:
		f.advance()
	}
}

// rareStep draws commands that would end most histories early if they were frequent.
func (f *fleet) rareStep() {
	switch rapid.IntRange(0, 6).Draw(f.t, "rare command") {
	case 0:
		vm := f.vm()
		f.run(&statepb.Command{Body: &statepb.Command_RemoveVm{RemoveVm: &statepb.RemoveVM{Vm: vm.Name, BaseRevision: f.base(vm)}}})
	case 1:
		pool := f.pool()
		f.run(&statepb.Command{Body: &statepb.Command_DeletePool{DeletePool: &statepb.DeletePool{
			Name: pool, BaseRevision: f.machine.Pool(pool).GetRevision(),
		}}})
	case 2:
		pool := f.pool()
		f.run(&statepb.Command{Body: &statepb.Command_PutPool{PutPool: &statepb.PutPool{
			Pool: &statepb.Pool{Name: pool, Spare: pool == "spare"}, BaseRevision: f.machine.Pool(pool).GetRevision(),
		}}})
	case 3:
		f.run(&statepb.Command{Body: &statepb.Command_EndWave{EndWave: &statepb.EndWave{
			Wave: f.wave(), Phase: rapid.SampledFrom([]statepb.WavePhase{
				statepb.WavePhase_WAVE_PHASE_CANCELLED, statepb.WavePhase_WAVE_PHASE_DONE,
			}).Draw(f.t, "end"),
		}}})
	case 4:
		f.restore()
	}
}

// restore replaces the machine by one restored from its snapshot.
func (f *fleet) restore() {
	data, err := f.machine.Snapshot()
	if err != nil {
		f.t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		f.t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil || string(again) != string(data) {
		f.t.Fatalf("restored state differs from its snapshot: %v", err)
	}
	f.machine = restored
}

func (f *fleet) budget() {
	team, pool := f.team(), f.pool()
	if f.machine.Pool(pool) == nil {
		return
	}
	f.run(&statepb.Command{Body: &statepb.Command_ApplyDocument{ApplyDocument: &statepb.ApplyDocument{
		BaseRevision: f.machine.Document(team).GetRevision(),
		Document: &statepb.TeamDocument{
			Team: team, ShareWeight: 1, UpperLimitUnits: 5,
			Budgets: []*statepb.AvailabilityBudget{{Pool: pool, MinAvailableVms: rapid.Uint32Range(0, 2).Draw(f.t, "least")}},
		},
	}}})
}

func (f *fleet) declare() {
	wave := &statepb.Wave{
		Id: f.wave(), MaxParallelVms: rapid.Uint32Range(0, 2).Draw(f.t, "parallel"),
		StopAfterFailures: rapid.Uint32Range(0, 3).Draw(f.t, "stop after"),
	}
	if rapid.Bool().Draw(f.t, "by pool") {
		wave.Selector = &statepb.WaveSelector{Pools: []string{f.pool()}}
	} else {
		wave.Vms = rapid.SliceOfN(rapid.SampledFrom(fleetVMs), 1, 4).Draw(f.t, "vms")
	}
	f.run(&statepb.Command{Body: &statepb.Command_DeclareWave{DeclareWave: &statepb.DeclareWave{Wave: wave}}})
}

func (f *fleet) drain() {
	vm := f.vm()
	c := &statepb.StartDrain{Vm: vm.Name, BaseRevision: f.base(vm), Owner: WaveDrainOwner(f.wave())}
	if id := f.machine.runningWaveOf(vm.Name); id != "" && rapid.Bool().Draw(f.t, "own wave") {
		c.Owner = WaveDrainOwner(id)
	}
	if rapid.Bool().Draw(f.t, "move") {
		c.Owner, c.MoveToPool = MoveDrainOwner, f.pool()
		c.ToPoolEpoch = f.machine.Pool(c.MoveToPool).GetEpoch()
	}
	f.run(&statepb.Command{Body: &statepb.Command_StartDrain{StartDrain: c}})
}

// advance mostly enters the phase that the control loops would choose next, so that
// histories reach reboots and moves.
func (f *fleet) advance() {
	vm := f.vm()
	phase := rapid.SampledFrom([]statepb.VMPhase{
		statepb.VMPhase_VM_PHASE_ACTIVE, statepb.VMPhase_VM_PHASE_DRAINED,
		statepb.VMPhase_VM_PHASE_REBOOTING, statepb.VMPhase_VM_PHASE_DOWN,
	}).Draw(f.t, "phase")
	if rapid.IntRange(0, 3).Draw(f.t, "likely") > 0 {
		phase = likelyNext(vm)
	}
	if vm.MoveToPool != "" && phase == statepb.VMPhase_VM_PHASE_REBOOTING {
		f.run(&statepb.Command{Body: &statepb.Command_MoveVm{MoveVm: &statepb.MoveVM{
			Vm: vm.Name, BaseRevision: f.base(vm), ToPool: vm.MoveToPool,
		}}})
		return
	}
	f.run(&statepb.Command{Body: &statepb.Command_AdvanceVm{AdvanceVm: &statepb.AdvanceVM{
		Vm: vm.Name, BaseRevision: f.base(vm), Phase: phase,
		Maintained: rapid.Bool().Draw(f.t, "maintained"), Failed: rapid.IntRange(0, 3).Draw(f.t, "failed") == 0,
	}}})
}

func likelyNext(vm *statepb.VM) statepb.VMPhase {
	switch vm.Phase {
	case statepb.VMPhase_VM_PHASE_ACTIVE:
		return statepb.VMPhase_VM_PHASE_DOWN
	case statepb.VMPhase_VM_PHASE_DRAINING:
		return statepb.VMPhase_VM_PHASE_DRAINED
	case statepb.VMPhase_VM_PHASE_DRAINED:
		return statepb.VMPhase_VM_PHASE_REBOOTING
	}
	return statepb.VMPhase_VM_PHASE_ACTIVE
}

// TestFleetRules applies random histories of pools, VMs, moves and waves: no
// pool falls below its budget by maintenance or a move, every VM is in the one pool
// that the accepted commands set, and no VM is pending in two waves.
func TestFleetRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range fleetSteps {
			f.step()
		}
	})
}

// TestRemovedVMStaysRemoved checks that late announcements of a removed VM do not
// register it again; only a new incarnation does.
func TestRemovedVMStaysRemoved(t *testing.T) {
	m := New()
	index := uint64(0)
	apply := func(command *statepb.Command) *statepb.Outcome {
		index++
		data, err := proto.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		return m.Apply(index, data).(*statepb.Outcome)
	}
	announce := func(incarnation string) *statepb.Outcome {
		return apply(&statepb.Command{Body: &statepb.Command_AnnounceVm{AnnounceVm: &statepb.AnnounceVM{
			Vm: &statepb.VM{Name: "vm0", Pool: "p1", Incarnation: incarnation},
		}}})
	}
	apply(&statepb.Command{Body: &statepb.Command_PutPool{PutPool: &statepb.PutPool{Pool: &statepb.Pool{Name: "p1"}}}})
	announce("old")
	apply(&statepb.Command{Body: &statepb.Command_AdvanceVm{AdvanceVm: &statepb.AdvanceVM{
		Vm: "vm0", BaseRevision: m.VM("vm0").Revision, Phase: statepb.VMPhase_VM_PHASE_DOWN,
	}}})
	apply(&statepb.Command{Body: &statepb.Command_RemoveVm{RemoveVm: &statepb.RemoveVM{Vm: "vm0", BaseRevision: m.VM("vm0").Revision}}})
	for _, step := range []struct {
		incarnation string
		registered  bool
	}{{"old", false}, {"new", true}} {
		announce(step.incarnation)
		if got := m.VM("vm0") != nil; got != step.registered {
			t.Fatalf("incarnation %q registered: %v, want %v", step.incarnation, got, step.registered)
		}
	}
}
