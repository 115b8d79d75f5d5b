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

// fakePlatform completes each reboot at once unless it is set to fail or to
// lose answers.
type fakePlatform struct {
	mu          sync.Mutex
	fail        map[string]bool
	loseAnswers int
	started     map[string]int
	ids         map[string]bool
}

func (p *fakePlatform) PutOperation(_ context.Context, id string, r platform.Request) (*platform.Operation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ids[id] {
		p.ids[id] = true
		p.started[r.VM]++
	}
	if p.loseAnswers > 0 {
		p.loseAnswers--
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

// rig is a test rig: a manager over a state machine. The test plays the entry
// VMs and targets.
type rig struct {
	t        testing.TB
	now      time.Time
	machine  *state.Machine
	log      *fakeLog
	manager  *Manager
	platform *fakePlatform
	// entries are the entry VMs. Silent ones do not renew their sessions.
	entries []*wirepb.Member
	silent  map[string]bool
	// sessions holds the open session of each entry VM.
	sessions map[string]string
	targets  map[string]*fakeTarget
}

// fakeTarget is the state of a VM that the entry VMs report.
type fakeTarget struct {
	vm          *statepb.VM
	incarnation int
	drain       uint64
	inFlight    uint32
	offline     bool
	// ignoresDrains targets do not echo new drains.
	ignoresDrains bool
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

// elect replaces the leader by a new one, which remembers nothing.
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

func (r *rig) mustApply(command *statepb.Command) {
	r.t.Helper()
	if outcome := r.apply(command); outcome.Code != statepb.Code_CODE_OK {
		r.t.Fatalf("%T: %s: %s", command.Body, outcome.Code, outcome.Message)
	}
}

func (r *rig) addPool(name string, spare bool, budget uint32) {
	r.mustApply(&statepb.Command{Body: &statepb.Command_PutPool{PutPool: &statepb.PutPool{Pool: &statepb.Pool{Name: name, Spare: spare}}}})
	r.mustApply(&statepb.Command{Body: &statepb.Command_ApplyDocument{ApplyDocument: &statepb.ApplyDocument{
		Document: &statepb.TeamDocument{
			Team: "team-" + name, ShareWeight: 1, UpperLimitUnits: 100,
			Queues: []*statepb.Queue{{
				Name: name, Pool: name, Class: statepb.Class_CLASS_LONG, MaxQueued: 1, MaxDeadlineMs: 1000,
			}},
			Budgets: []*statepb.AvailabilityBudget{{Pool: name, MinAvailableVms: budget}},
		},
	}}})
}

func (r *rig) addVM(name, pool, zone string) *fakeTarget {
	vm := &statepb.VM{Name: name, Pool: pool, Zone: zone, Rack: "rack-" + zone, Slots: 4}
	r.targets[name] = &fakeTarget{vm: vm}
	r.register(r.targets[name])
	return r.targets[name]
}

func (f *fakeTarget) incarnationName() string { return fmt.Sprintf("i%d", f.incarnation) }

func (r *rig) register(f *fakeTarget) {
	vm := proto.CloneOf(f.vm)
	vm.Incarnation = f.incarnationName()
	r.mustApply(&statepb.Command{Body: &statepb.Command_AnnounceVm{AnnounceVm: &statepb.AnnounceVM{Vm: vm}}})
}

// reboot registers the target with a new incarnation.
func (r *rig) reboot(f *fakeTarget) {
	f.incarnation++
	f.drain = 0
	f.offline = false
	r.register(f)
}

func (r *rig) declareWave(id string, vms ...string) {
	r.mustApply(&statepb.Command{Body: &statepb.Command_DeclareWave{DeclareWave: &statepb.DeclareWave{
		Wave: &statepb.Wave{Id: id, Vms: vms},
	}}})
}

// renew renews the sessions of all entry VMs that are not silent.
func (r *rig) renew() {
	for _, entry := range r.entries {
		if r.silent[entry.Id] {
			continue
		}
		request := &wirepb.RenewRequest{Session: r.sessions[entry.Id], Member: entry.Id, Zone: entry.Zone, AppliedIndex: r.log.index}
		for name, f := range r.targets {
			if f.vm.Zone == entry.Zone && !f.offline {
				request.Vms = append(request.Vms, r.report(name, f))
			}
		}
		r.manager.Renew(context.Background(), request)
	}
}

func (r *rig) report(name string, f *fakeTarget) *wirepb.VMReport {
	vm := r.machine.VM(name)
	if vm != nil && !f.ignoresDrains {
		f.drain = vm.DrainRevision
	}
	return &wirepb.VMReport{
		Vm: name, Incarnation: f.incarnationName(), Leaving: f.drain != 0, GateClosed: f.drain != 0,
		DrainRevision: f.drain, InFlight: f.inFlight,
	}
}

// run runs the loops for d of virtual time.
func (r *rig) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(500 * time.Millisecond) {
		r.renew()
		r.manager.step(context.Background())
		r.waitForPlatformCalls()
	}
}

// waitForPlatformCalls waits for the platform calls that run in the background.
func (r *rig) waitForPlatformCalls() {
	for {
		calls := r.manager.fleet.calls
		calls.mu.Lock()
		left := len(calls.inFlight)
		calls.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// runUntil runs the loops until the condition holds, and fails the test when it
// does not within the given virtual time.
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

// TestNewLeaderKeepsVMs checks that a leader without a report of a zone marks
// none of its VMs as down.
func TestNewLeaderKeepsVMs(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.addPool("p", false, 1)
	r.addVM("vm1", "p", "a")
	r.run(30 * time.Second)
	is.Equal(r.phase("vm1"), statepb.VMPhase_VM_PHASE_ACTIVE)
	r.elect()
	r.manager.step(context.Background()) // before any renewal
	is.Equal(r.phase("vm1"), statepb.VMPhase_VM_PHASE_ACTIVE)
	r.targets["vm1"].offline = true
	r.runUntil("the silent VM is down", 30*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_DOWN))
	r.targets["vm1"].offline = false
	r.runUntil("the VM is back", 10*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_ACTIVE))
}

func (r *rig) startDrain(vm string) {
	r.mustApply(&statepb.Command{Body: &statepb.Command_StartDrain{StartDrain: &statepb.StartDrain{
		Vm: vm, BaseRevision: r.machine.VM(vm).Revision, Owner: state.OperatorDrainOwner("ops"),
	}}})
}

// TestDrainWaitsForTheEcho checks that a drain does not complete on the echo of
// an older drain, nor with requests in flight.
func TestDrainWaitsForTheEcho(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.addPool("p", false, 1)
	f := r.addVM("vm1", "p", "a")
	r.addVM("vm2", "p", "a")
	r.run(time.Second)
	f.ignoresDrains, f.drain, f.inFlight = true, 1, 1
	r.startDrain("vm1")
	f.inFlight = 0
	r.run(10 * time.Second)
	is.Equal(r.phase("vm1"), statepb.VMPhase_VM_PHASE_DRAINING) // older echo
	f.ignoresDrains, f.inFlight = false, 1
	r.run(10 * time.Second)
	is.Equal(r.phase("vm1"), statepb.VMPhase_VM_PHASE_DRAINING) // in flight
	f.inFlight = 0
	r.runUntil("drained", 5*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_DRAINED))
}

// TestDrainOfRestartedTarget checks that a drain does not count the time for which the former
// incarnation of its target had its gate closed: entry VMs may have dispatched to the next one on
// its first announcements, before it echoed the drain. The leader makes no step between them.
func TestDrainOfRestartedTarget(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.addPool("p", false, 1)
	f := r.addVM("vm1", "p", "a")
	r.addVM("vm2", "p", "a")
	r.run(time.Second)
	r.startDrain("vm1")
	r.run(gateSettleTime - time.Second)
	is.Equal(r.phase("vm1"), statepb.VMPhase_VM_PHASE_DRAINING)
	r.reboot(f)
	r.run(gateSettleTime - time.Second)
	is.Equal(r.phase("vm1"), statepb.VMPhase_VM_PHASE_DRAINING) // the gate of this incarnation closed 3 s ago
	r.runUntil("drained", 3*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_DRAINED))
}

// TestNoRebootOfRestartedTarget checks that the drain of a former incarnation does not allow a reboot:
// an entry VM that was silent meanwhile has dispatched to the next one.
func TestNoRebootOfRestartedTarget(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.addPool("p", false, 1)
	f := r.addVM("vm1", "p", "a")
	r.addVM("vm2", "p", "a")
	r.run(time.Second)
	silent := r.entries[1].Id
	r.declareWave("w", "vm1")
	r.runUntil("draining", 5*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_DRAINING))
	r.silent[silent] = true
	r.runUntil("drained", 20*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_DRAINED))
	f.inFlight = 1
	r.reboot(f)
	r.silent[silent] = false
	r.sessions[silent] += "/2"
	r.apply(&statepb.Command{Body: &statepb.Command_OpenSession{OpenSession: &statepb.OpenSession{
		Session: &statepb.Session{Id: r.sessions[silent], Member: silent, Zone: "a"},
	}}})
	r.run(5 * time.Second)
	is.Equal(r.platform.starts("vm1"), 0) // a request is in flight
	f.inFlight = 0
	r.runUntil("rebooted", 20*time.Second, func() bool { return r.platform.starts("vm1") == 1 })
}

// TestDrainStopsJobs checks that a running job is asked to checkpoint and stop,
// and that the drain completes only once its attempt has ended.
func TestDrainStopsJobs(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.addPool("p", false, 1)
	r.addVM("vm1", "p", "a")
	r.addVM("vm2", "p", "a")
	job := state.NewID()
	r.mustApply(&statepb.Command{Body: &statepb.Command_SubmitJob{SubmitJob: &statepb.SubmitJob{Job: &statepb.Job{
		Id: job, Team: "team-p", Queue: "p", MaxAttempts: 3, Repeatable: true,
	}}}})
	r.mustApply(&statepb.Command{Body: &statepb.Command_StartAttempt{StartAttempt: &statepb.StartAttempt{
		Job: job, BaseRevision: r.machine.Job(job).Revision, Vm: "vm1", Session: "entry-a0",
	}}})
	r.startDrain("vm1")
	r.run(10 * time.Second)
	is.Equal(r.phase("vm1"), statepb.VMPhase_VM_PHASE_DRAINING)
	is.True(r.machine.Job(job).PreemptRequested)
	r.mustApply(&statepb.Command{Body: &statepb.Command_EndAttempt{EndAttempt: &statepb.EndAttempt{
		Job: job, Attempt: 1, State: statepb.JobState_JOB_STATE_DONE,
	}}})
	r.runUntil("drained", 5*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_DRAINED))
}

// TestDrainWaitsForSilentEntryVMs has an entry VM without a session, which
// cannot report that it stopped dispatching. The drain must wait until every
// announcement that this entry VM may rely on is stale.
func TestDrainWaitsForSilentEntryVMs(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.addPool("p", false, 1)
	r.addVM("vm1", "p", "a")
	r.addVM("vm2", "p", "a")
	r.silent["entry-a1"] = true
	r.run(5 * time.Second)
	r.mustApply(&statepb.Command{Body: &statepb.Command_StartDrain{StartDrain: &statepb.StartDrain{
		Vm: "vm1", BaseRevision: r.machine.VM("vm1").Revision, Owner: state.OperatorDrainOwner("ops"),
	}}})
	started := r.now
	r.runUntil("drained", 20*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_DRAINED))
	is.True(r.now.Sub(started) >= gateSettleTime)
}

// TestDrainLostAndAborted checks that a VM that is lost during its drain is
// marked down, and that drains are aborted when losses take the pool below its
// budget.
func TestDrainLostAndAborted(t *testing.T) {
	r := newRig(t, "a")
	r.addPool("p", false, 2)
	for _, name := range []string{"vm1", "vm2", "vm3", "vm4"} {
		r.addVM(name, "p", "a")
	}
	r.run(time.Second)
	for _, name := range []string{"vm1", "vm2"} {
		r.mustApply(&statepb.Command{Body: &statepb.Command_StartDrain{StartDrain: &statepb.StartDrain{
			Vm: name, BaseRevision: r.machine.VM(name).Revision, Owner: state.OperatorDrainOwner("ops"),
		}}})
	}
	r.targets["vm1"].offline = true
	r.runUntil("lost during the drain", 30*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_DOWN))
	r.runUntil("drained", 30*time.Second, r.inPhase("vm2", statepb.VMPhase_VM_PHASE_DRAINED))
	r.targets["vm3"].offline = true
	r.runUntil("the drain is aborted", 30*time.Second, r.inPhase("vm2", statepb.VMPhase_VM_PHASE_ACTIVE))
}

// TestWaveSurvivesLeaderChange checks that a new leader asks for the same
// operation: each VM is rebooted once in spite of lost answers and leader
// changes.
func TestWaveSurvivesLeaderChange(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a", "b")
	r.addPool("p", false, 1)
	for _, name := range []string{"vm1", "vm2", "vm3"} {
		r.addVM(name, "p", "a")
	}
	r.platform.loseAnswers = 2
	r.declareWave("w", "vm1", "vm2", "vm3")
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

// TestWaveStopsWhenRebootsFail checks that several failed reboots stop the wave
// with a reason.
func TestWaveStopsWhenRebootsFail(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.addPool("p", false, 1)
	var names []string
	for i := range 6 {
		names = append(names, fmt.Sprintf("vm%d", i))
		r.addVM(names[i], "p", "a")
		r.platform.fail[names[i]] = i > 0
	}
	r.declareWave("w", names...)
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

// TestNoRebootWhileEntryVMIsSilent checks that nothing is rebooted in a zone
// with a silent entry VM, and that the reason names that entry VM.
func TestNoRebootWhileEntryVMIsSilent(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.addPool("p", false, 1)
	r.addVM("vm1", "p", "a")
	r.addVM("vm2", "p", "a")
	r.silent["entry-a1"] = true
	r.run(5 * time.Second)
	r.declareWave("w", "vm1")
	r.run(time.Minute)
	is.Equal(r.phase("vm1"), statepb.VMPhase_VM_PHASE_ACTIVE)
	is.True(strings.Contains(strings.Join(r.manager.reasons.Lines("vm", "vm1"), "\n"), "entry-a1"))
	is.Equal(r.platform.starts("vm1"), 0)
}

// TestNoRebootWhenEntryVMFallsSilent has an entry VM that falls silent between
// the drain and the reboot.
func TestNoRebootWhenEntryVMFallsSilent(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.addPool("p", false, 1)
	r.addVM("vm1", "p", "a")
	r.addVM("vm2", "p", "a")
	r.declareWave("w", "vm1")
	r.runUntil("the drain begins", 10*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_DRAINING))
	r.silent["entry-a1"] = true
	r.runUntil("drained", 30*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_DRAINED))
	r.run(time.Minute)
	is.Equal(r.phase("vm1"), statepb.VMPhase_VM_PHASE_DRAINED)
	is.Equal(r.platform.starts("vm1"), 0)
}

// TestUnreachableZoneFailsNoReboot checks that a VM that returns while its zone
// is cut off from the leader is not counted as failed, however long that lasts.
func TestUnreachableZoneFailsNoReboot(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a", "b")
	r.addPool("p", false, 1)
	f := r.addVM("vm1", "p", "a")
	r.addVM("vm2", "p", "a")
	r.declareWave("w", "vm1")
	r.runUntil("the reboot begins", 30*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_REBOOTING))
	r.silent["entry-a0"], r.silent["entry-a1"] = true, true
	f.incarnation++ // the VM is back, but no entry VM can report it to the leader
	r.run(rebootTimeout + time.Minute)
	is.Equal(r.phase("vm1"), statepb.VMPhase_VM_PHASE_REBOOTING)
	for _, id := range []string{"entry-a0", "entry-a1"} {
		r.mustApply(&statepb.Command{Body: &statepb.Command_OpenSession{OpenSession: &statepb.OpenSession{
			Session: &statepb.Session{Id: id + "/2", Member: id, Zone: "a"},
		}}})
		r.sessions[id] = id + "/2"
	}
	r.silent["entry-a0"], r.silent["entry-a1"] = false, false
	r.register(f)
	r.runUntil("maintained", 30*time.Second, r.inPhase("vm1", statepb.VMPhase_VM_PHASE_ACTIVE))
	is.Equal(r.machine.Wave("w").FailedVms, nil)
}

// TestMoveReturnsToItsLender checks that a pool below its budget borrows a VM,
// and that the lender gets it back once the pool's own VM has returned.
func TestMoveReturnsToItsLender(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.addPool("p", false, 2)
	r.addPool("spare", true, 1)
	r.addVM("vm1", "p", "a")
	r.addVM("vm2", "p", "a")
	r.addVM("lent1", "spare", "a")
	r.addVM("lent2", "spare", "a")
	r.run(2 * time.Minute)
	is.Equal(r.machine.VM("lent1").Pool, "spare")
	r.targets["vm1"].offline = true
	r.runUntil("a VM is lent", time.Minute, func() bool { return r.machine.VM("lent1").Pool == "p" || r.machine.VM("lent2").Pool == "p" })
	r.targets["vm1"].offline = false
	r.runUntil("the lender has it back", 10*time.Minute, func() bool {
		return r.machine.VM("lent1").Pool == "spare" && r.machine.VM("lent2").Pool == "spare"
	})
}
