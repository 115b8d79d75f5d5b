package control

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/platform"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

const fleetLease = 2 * time.Second

// fakePlatform reboots at once unless told to fail or to lose answers.
type fakePlatform struct {
	mu      sync.Mutex
	fail    map[string]bool
	lose    int
	started map[string]int
	ids     map[string]bool
}

func (p *fakePlatform) Ask(_ context.Context, id string, r platform.Request) (*platform.Operation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ids[id] {
		p.ids[id] = true
		p.started[r.VM]++
	}
	if p.lose > 0 {
		p.lose--
		return nil, errors.New("answer lost")
	}
	operation := &platform.Operation{ID: id, VM: r.VM, State: platform.StateDone}
	if p.fail[r.VM] {
		operation.State, operation.Reason = platform.StateFailed, "the host does not answer"
	}
	return operation, nil
}

func (p *fakePlatform) starts(vm string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started[vm]
}

// rig is a manager over a machine, with entry VMs and targets played by the test.
type rig struct {
	t        testing.TB
	now      time.Time
	machine  *state.Machine
	log      *fakeLog
	manager  *Manager
	platform *fakePlatform
	// entries are the entry VMs by zone; silent ones do not renew.
	entries []*wirepb.Member
	silent  map[string]bool
	// sessions are the open sessions by entry VM.
	sessions map[string]string
	targets  map[string]*fakeTarget
}

// fakeTarget is what the entry VMs report of a VM.
type fakeTarget struct {
	vm          *statepb.VM
	incarnation int
	drain       uint64
	inFlight    uint32
	gone        bool
	// deaf targets do not hear of drains.
	deaf bool
}

func newRig(t testing.TB, zones ...string) *rig {
	r := &rig{
		t: t, now: time.Now(), machine: state.New(),
		silent: make(map[string]bool), sessions: make(map[string]string), targets: make(map[string]*fakeTarget),
		platform: &fakePlatform{fail: make(map[string]bool), started: make(map[string]int), ids: make(map[string]bool)},
	}
	r.log = &fakeLog{machine: r.machine, wall: func() time.Time { return r.now }}
	for _, zone := range zones {
		for i := range 2 {
			id := fmt.Sprintf("entry-%s%d", zone, i)
			r.entries = append(r.entries, &wirepb.Member{Id: id, Name: id, Zone: zone})
			r.sessions[id] = id
			r.apply(&statepb.Command{Body: &statepb.Command_OpenSession{OpenSession: &statepb.OpenSession{
				Session: &statepb.Session{Id: id, Member: id, Zone: zone},
			}}})
		}
	}
	r.elect()
	return r
}

// elect gives the cluster a new leader, which remembers nothing.
func (r *rig) elect() {
	r.manager = NewManager(Config{
		Machine: r.machine, Log: r.log, Lease: fleetLease, Now: func() time.Time { return r.now },
		NowMS:   func() int64 { return r.now.UnixMilli() },
		Members: func() []*wirepb.Member { return r.entries }, Platform: r.platform,
	})
	r.manager.sessions.start(r.machine.Sessions())
}

func (r *rig) apply(command *statepb.Command) *statepb.Outcome {
	r.t.Helper()
	outcome, err := r.log.ProposeLocal(context.Background(), command)
	if err != nil {
		r.t.Fatal(err)
	}
	return outcome
}

func (r *rig) must(command *statepb.Command) {
	r.t.Helper()
	if outcome := r.apply(command); outcome.Code != statepb.Code_CODE_OK {
		r.t.Fatalf("%T: %s: %s", command.Body, outcome.Code, outcome.Message)
	}
}

func (r *rig) pool(name string, spare bool, budget uint32) {
	r.must(&statepb.Command{Body: &statepb.Command_PutPool{PutPool: &statepb.PutPool{Pool: &statepb.Pool{Name: name, Spare: spare}}}})
	r.must(&statepb.Command{Body: &statepb.Command_ApplyDocument{ApplyDocument: &statepb.ApplyDocument{
		Document: &statepb.TeamDocument{
			Team: "team-" + name, ShareWeight: 1, UpperLimitUnits: 100,
			Queues: []*statepb.Queue{{
				Name: name, Pool: name, Class: statepb.Class_CLASS_LONG, MaxQueued: 1, MaxDeadlineMs: 1000,
			}},
			Budgets: []*statepb.AvailabilityBudget{{Pool: name, MinAvailableVms: budget}},
		},
	}}})
}

func (r *rig) vm(name, pool, zone string) *fakeTarget {
	vm := &statepb.VM{Name: name, Pool: pool, Zone: zone, Rack: "rack-" + zone, Slots: 4}
	r.targets[name] = &fakeTarget{vm: vm}
	r.register(r.targets[name])
	return r.targets[name]
}

func (f *fakeTarget) name() string { return fmt.Sprintf("i%d", f.incarnation) }

func (r *rig) register(f *fakeTarget) {
	vm := proto.CloneOf(f.vm)
	vm.Incarnation = f.name()
	r.must(&statepb.Command{Body: &statepb.Command_AnnounceVm{AnnounceVm: &statepb.AnnounceVM{Vm: vm}}})
}

// reboot brings the target back as another incarnation.
func (r *rig) reboot(f *fakeTarget) {
	f.incarnation++
	f.drain = 0
	f.gone = false
	r.register(f)
}

func (r *rig) wave(id string, vms ...string) {
	r.must(&statepb.Command{Body: &statepb.Command_DeclareWave{DeclareWave: &statepb.DeclareWave{
		Wave: &statepb.Wave{Id: id, Vms: vms},
	}}})
}

// renew sends the renewals of all entry VMs that are not silent.
func (r *rig) renew() {
	for _, entry := range r.entries {
		if r.silent[entry.Id] {
			continue
		}
		request := &wirepb.RenewRequest{Session: r.sessions[entry.Id], Member: entry.Id, Zone: entry.Zone, AppliedIndex: r.log.index}
		for name, f := range r.targets {
			if f.vm.Zone == entry.Zone && !f.gone {
				request.Vms = append(request.Vms, r.report(name, f))
			}
		}
		r.manager.Renew(context.Background(), request)
	}
}

func (r *rig) report(name string, f *fakeTarget) *wirepb.VMReport {
	vm := r.machine.VM(name)
	if vm != nil && !f.deaf {
		f.drain = vm.DrainRevision
	}
	return &wirepb.VMReport{
		Vm: name, Incarnation: f.name(), Leaving: f.drain != 0, GateClosed: f.drain != 0,
		DrainRevision: f.drain, InFlight: f.inFlight,
	}
}

// run steps the loops for d of virtual time.
func (r *rig) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(500 * time.Millisecond) {
		r.renew()
		r.manager.step(context.Background())
		r.settle()
	}
}

// settle waits for platform calls, which run beside the loops.
func (r *rig) settle() {
	for {
		calls := r.manager.fleet.calls
		calls.mu.Lock()
		left := len(calls.underWay)
		calls.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// runUntil steps the loops until the condition holds.
func (r *rig) runUntil(what string, within time.Duration, holds func() bool) {
	r.t.Helper()
	for end := r.now.Add(within); !holds(); {
		if r.now.After(end) {
			r.t.Fatalf("%s: not within %s; phases %s", what, within, r.phases())
		}
		r.run(500 * time.Millisecond)
	}
}

func (r *rig) phases() string {
	var out []string
	for _, vm := range r.machine.VMs() {
		out = append(out, fmt.Sprintf("%s=%s %v", vm.Name, vm.Phase, r.manager.reasons.Lines("vm", vm.Name)))
	}
	return strings.Join(out, "\n")
}

func (r *rig) phase(vm string) statepb.VMPhase { return r.machine.VM(vm).GetPhase() }

func (r *rig) inPhase(vm string, phase statepb.VMPhase) func() bool {
	return func() bool { return r.phase(vm) == phase }
}

// TestNewLeaderKeepsVMs: a leader that has not heard a zone yet judges no VM.
func TestNewLeaderKeepsVMs(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.pool("p", false, 1)
	r.vm("vm1", "p", "a")
	r.run(30 * time.Second)
	is.Equal(r.phase("vm1"), statepb.VMPhase_VM_PHASE_ACTIVE)
	r.elect()
	r.manager.step(context.Background()) // before any renewal
	is.Equal(r.phase("vm1"), statepb.VMPhase_VM_PHASE_ACTIVE)
	r.targets["vm1"].gone = true
	r.runUntil("the silent VM is down", 30*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_DOWN))
	r.targets["vm1"].gone = false
	r.runUntil("the VM is back", 10*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_ACTIVE))
}

func (r *rig) drain(vm string) {
	r.must(&statepb.Command{Body: &statepb.Command_StartDrain{StartDrain: &statepb.StartDrain{
		Vm: vm, BaseRevision: r.machine.VM(vm).Revision, Owner: state.OperatorDrainOwner("ops"),
	}}})
}

// TestDrainWaitsForTheEcho: neither the echo of an older drain nor requests in
// flight let a drain go on.
func TestDrainWaitsForTheEcho(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.pool("p", false, 1)
	f := r.vm("vm1", "p", "a")
	r.vm("vm2", "p", "a")
	r.run(time.Second)
	f.deaf, f.drain, f.inFlight = true, 1, 1
	r.drain("vm1")
	f.inFlight = 0
	r.run(10 * time.Second)
	is.Equal(r.phase("vm1"), statepb.VMPhase_VM_PHASE_DRAINING) // older echo
	f.deaf, f.inFlight = false, 1
	r.run(10 * time.Second)
	is.Equal(r.phase("vm1"), statepb.VMPhase_VM_PHASE_DRAINING) // in flight
	f.inFlight = 0
	r.runUntil("drained", 5*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_DRAINED))
}

// TestDrainStopsJobs: a running job is asked to checkpoint and stop, and the
// drain goes on only once its attempt has ended.
func TestDrainStopsJobs(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.pool("p", false, 1)
	r.vm("vm1", "p", "a")
	r.vm("vm2", "p", "a")
	job := state.NewID()
	r.must(&statepb.Command{Body: &statepb.Command_SubmitJob{SubmitJob: &statepb.SubmitJob{Job: &statepb.Job{
		Id: job, Team: "team-p", Queue: "p", MaxAttempts: 3, Repeatable: true,
	}}}})
	r.must(&statepb.Command{Body: &statepb.Command_StartAttempt{StartAttempt: &statepb.StartAttempt{
		Job: job, BaseRevision: r.machine.Job(job).Revision, Vm: "vm1", Session: "entry-a0",
	}}})
	r.drain("vm1")
	r.run(10 * time.Second)
	is.Equal(r.phase("vm1"), statepb.VMPhase_VM_PHASE_DRAINING)
	is.True(r.machine.Job(job).PreemptRequested)
	r.must(&statepb.Command{Body: &statepb.Command_EndAttempt{EndAttempt: &statepb.EndAttempt{
		Job: job, Attempt: 1, State: statepb.JobState_JOB_STATE_DONE,
	}}})
	r.runUntil("drained", 5*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_DRAINED))
}

// TestDrainWaitsOutSilentEntryVMs: an entry VM without a session cannot tell
// that it stopped, so the drain waits until no announcement that it may rely on
// is fresh any more.
func TestDrainWaitsOutSilentEntryVMs(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.pool("p", false, 1)
	r.vm("vm1", "p", "a")
	r.vm("vm2", "p", "a")
	r.silent["entry-a1"] = true
	r.run(5 * time.Second)
	r.must(&statepb.Command{Body: &statepb.Command_StartDrain{StartDrain: &statepb.StartDrain{
		Vm: "vm1", BaseRevision: r.machine.VM("vm1").Revision, Owner: state.OperatorDrainOwner("ops"),
	}}})
	started := r.now
	r.runUntil("drained", 20*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_DRAINED))
	is.True(r.now.Sub(started) >= gateSettle)
}

// TestDrainLostAndAborted: a VM that dies while it drains is down, and drains
// give way when losses eat the budget.
func TestDrainLostAndAborted(t *testing.T) {
	r := newRig(t, "a")
	r.pool("p", false, 2)
	for _, name := range []string{"vm1", "vm2", "vm3", "vm4"} {
		r.vm(name, "p", "a")
	}
	r.run(time.Second)
	for _, name := range []string{"vm1", "vm2"} {
		r.must(&statepb.Command{Body: &statepb.Command_StartDrain{StartDrain: &statepb.StartDrain{
			Vm: name, BaseRevision: r.machine.VM(name).Revision, Owner: state.OperatorDrainOwner("ops"),
		}}})
	}
	r.targets["vm1"].gone = true
	r.runUntil("lost in mid-drain", 30*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_DOWN))
	r.runUntil("drained", 30*time.Second, r.inPhase("vm2", statepb.VMPhase_VM_PHASE_DRAINED))
	r.targets["vm3"].gone = true
	r.runUntil("the drain gives way", 30*time.Second, r.inPhase("vm2", statepb.VMPhase_VM_PHASE_ACTIVE))
}

// TestWaveSurvivesLeaderChange: the new leader asks for the same operation, so
// a lost answer and a change of the leader reboot each VM once.
func TestWaveSurvivesLeaderChange(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a", "b")
	r.pool("p", false, 1)
	for _, name := range []string{"vm1", "vm2", "vm3"} {
		r.vm(name, "p", "a")
	}
	r.platform.lose = 2
	r.wave("w", "vm1", "vm2", "vm3")
	done := func() bool { return r.machine.Wave("w").Phase != statepb.WavePhase_WAVE_PHASE_RUNNING }
	elections := 0
	r.runUntil("the wave ends", 10*time.Minute, func() bool {
		for name, f := range r.targets {
			if r.phase(name) == statepb.VMPhase_VM_PHASE_REBOOTING && r.platform.starts(name) > f.incarnation {
				if elections < 3 {
					elections++
					r.elect()
				}
				r.reboot(f)
			}
		}
		return done()
	})
	is.Equal(r.machine.Wave("w").Phase, statepb.WavePhase_WAVE_PHASE_DONE)
	for name := range r.targets {
		is.Equal(r.platform.starts(name), 1)
	}
}

// TestWaveStopsWhenRebootsFail: failures together stop the wave with a reason.
func TestWaveStopsWhenRebootsFail(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.pool("p", false, 1)
	var names []string
	for i := range 6 {
		names = append(names, fmt.Sprintf("vm%d", i))
		r.vm(names[i], "p", "a")
		r.platform.fail[names[i]] = i > 0
	}
	r.wave("w", names...)
	r.runUntil("the wave stops", 5*time.Minute, func() bool {
		if f := r.targets["vm0"]; r.phase("vm0") == statepb.VMPhase_VM_PHASE_REBOOTING && f.incarnation == 0 {
			r.reboot(f)
		}
		return r.machine.Wave("w").Phase != statepb.WavePhase_WAVE_PHASE_RUNNING
	})
	wave := r.machine.Wave("w")
	is.Equal(wave.Phase, statepb.WavePhase_WAVE_PHASE_STOPPED)
	is.True(len(wave.FailedVms) <= 2)
	is.True(strings.Contains(wave.Reason, "failed"))
}

// TestNoRebootInABlindZone: with one entry VM of the zone silent nothing is
// rebooted, and the reason says which one.
func TestNoRebootInABlindZone(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.pool("p", false, 1)
	r.vm("vm1", "p", "a")
	r.vm("vm2", "p", "a")
	r.silent["entry-a1"] = true
	r.run(5 * time.Second)
	r.wave("w", "vm1")
	r.run(time.Minute)
	is.Equal(r.phase("vm1"), statepb.VMPhase_VM_PHASE_ACTIVE)
	is.True(strings.Contains(strings.Join(r.manager.reasons.Lines("vm", "vm1"), "\n"), "entry-a1"))
	is.Equal(r.platform.starts("vm1"), 0)
}

// TestNoRebootWhenTheZoneGoesBlind: an entry VM falls silent between the drain
// and the reboot.
func TestNoRebootWhenTheZoneGoesBlind(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.pool("p", false, 1)
	r.vm("vm1", "p", "a")
	r.vm("vm2", "p", "a")
	r.wave("w", "vm1")
	r.runUntil("the drain begins", 10*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_DRAINING))
	r.silent["entry-a1"] = true
	r.runUntil("drained", 30*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_DRAINED))
	r.run(time.Minute)
	is.Equal(r.phase("vm1"), statepb.VMPhase_VM_PHASE_DRAINED)
	is.Equal(r.platform.starts("vm1"), 0)
}

// TestBlindZoneFailsNoReboot: a VM that returns while its zone is cut off from
// the leader is not counted as failed, however long the cut lasts.
func TestBlindZoneFailsNoReboot(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a", "b")
	r.pool("p", false, 1)
	f := r.vm("vm1", "p", "a")
	r.vm("vm2", "p", "a")
	r.wave("w", "vm1")
	r.runUntil("the reboot begins", 30*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_REBOOTING))
	r.silent["entry-a0"], r.silent["entry-a1"] = true, true
	f.incarnation++ // it is back, but nobody can tell the leader
	r.run(rebootTimeout + time.Minute)
	is.Equal(r.phase("vm1"), statepb.VMPhase_VM_PHASE_REBOOTING)
	for _, id := range []string{"entry-a0", "entry-a1"} {
		r.must(&statepb.Command{Body: &statepb.Command_OpenSession{OpenSession: &statepb.OpenSession{
			Session: &statepb.Session{Id: id + "/2", Member: id, Zone: "a"},
		}}})
		r.sessions[id] = id + "/2"
	}
	r.silent["entry-a0"], r.silent["entry-a1"] = false, false
	r.register(f)
	r.runUntil("maintained", 30*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_ACTIVE))
	is.Equal(r.machine.Wave("w").FailedVms, nil)
}

// TestMoveReturnsToItsLender: a pool under its budget borrows, and the lender
// gets the VM back once the pool's own VM has returned.
func TestMoveReturnsToItsLender(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.pool("p", false, 2)
	r.pool("spare", true, 1)
	r.vm("vm1", "p", "a")
	r.vm("vm2", "p", "a")
	r.vm("lent1", "spare", "a")
	r.vm("lent2", "spare", "a")
	r.run(2 * time.Minute)
	is.Equal(r.machine.VM("lent1").Pool, "spare")
	r.targets["vm1"].gone = true
	r.runUntil("a VM is lent", time.Minute, func() bool { return r.machine.VM("lent1").Pool == "p" || r.machine.VM("lent2").Pool == "p" })
	r.targets["vm1"].gone = false
	r.runUntil("the lender has it back", 10*time.Minute, func() bool {
		return r.machine.VM("lent1").Pool == "spare" && r.machine.VM("lent2").Pool == "spare"
	})
}
