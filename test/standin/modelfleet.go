package standin

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"sapphirering/internal/driver"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// ModelLimits are the constants of the protocol that a ModelFleet keeps to.
type ModelLimits struct {
	// LeaseTTL is the longest lease that a target grants, on its own clock.
	LeaseTTL time.Duration
	// KillGrace is how long a run that is being stopped works on.
	KillGrace time.Duration
	// VMMove and VMMaintenance are how long after an order the VM has a new target.
	VMMove, VMMaintenance time.Duration
}

// ModelBehaviour turns on behaviour that the protocol allows. From a start or, with
// ConfirmsLaterEnds, a listing call that is the first to take effect on a new incarnation, no leader
// that starts work at once can protect itself. Each is off by default.
type ModelBehaviour struct {
	// StartBeforeFirstCall lets a start that was sent to a former incarnation of a target take
	// effect on a new one before any call that was sent after the birth of the new one. While
	// it is off such a start may still take effect after that call and before the leader knows
	// of the restart.
	StartBeforeFirstCall bool
	// LateRenewReachesNext lets a listing call that was sent to a former incarnation take
	// effect on the next one: it confirms ends that nobody has read.
	LateRenewReachesNext bool
	// RenewBeforeFirstCall lets such a call also take effect before any call that was sent after
	// the birth of the new incarnation.
	RenewBeforeFirstCall bool
	// ConfirmsLaterEnds makes a target forget ends with confirmed numbers also if they come after the
	// call that confirms them. They count as confirmed from when they come.
	ConfirmsLaterEnds bool
	// LateGrantsShift makes a target count the lease of a late call from its arrival.
	LateGrantsShift bool
}

// modelWork is a run's definition as its job was submitted.
type modelWork struct {
	payload string
	work    time.Duration
	copies  bool
}

// modelRun is one run on a ModelTarget.
type modelRun struct {
	id    modelRunID
	begun time.Time
	work  time.Duration
	// stopsAt is when a stopped run ends; zero if it was not stopped.
	stopsAt time.Time
	fault   ModelRunFault
}

type modelRunID struct {
	task    workflow.TaskID
	attempt uint32
}

func (r modelRunID) String() string { return fmt.Sprintf("%s/%d", r.task, r.attempt) }

// ends returns when and how the run ends if its lease does not lapse before.
func (r *modelRun) ends() (time.Time, pb.EndKind) {
	end, kind := r.begun.Add(r.work), pb.EndKind_END_KIND_DONE
	switch r.fault {
	case RunsStall:
		end = r.begun.Add(stalledFor)
	case RunsFail:
		end, kind = r.begun.Add(r.work/10), pb.EndKind_END_KIND_FAILED
	}
	if !r.stopsAt.IsZero() && r.stopsAt.Before(end) {
		return r.stopsAt, pb.EndKind_END_KIND_STOPPED
	}
	return end, kind
}

// stalledFor is longer than any history.
const stalledFor = 24 * time.Hour

// percent returns the progress of the run.
func (r *modelRun) percent() float64 {
	if r.fault == RunsStall {
		return 0
	}
	return 100 * float64(time.Since(r.begun)) / float64(r.work)
}

// ModelTarget is one incarnation of a target.
type ModelTarget struct {
	id, vm     string
	bornUnixMS int64
	bornAt     time.Time
	// up is false once the incarnation has ended.
	up      bool
	leaving bool
	// staysUntil is when a leaving target may be gone.
	staysUntil time.Time
	// called is set once a call that was sent after the birth was carried out.
	called bool
	// clockRate is how fast the target's clock runs: 1, or 0.98 for a slow one.
	clockRate    float64
	fence        uint64
	leaseUntilMS int64
	running      map[modelRunID]*modelRun
	blockedUpTo  map[workflow.TaskID]uint32
	ended        []modelEnd
	nextEnd      uint64
	// seenEnd is the highest confirmed number.
	seenEnd uint64
	// lapsedEnds is the number of the last end that came before a lease lapsed.
	lapsedEnds uint64
	// lapseCounted is the lease whose lapse was recorded.
	lapseCounted int64
}

// modelEnd is a listed end and when it came.
type modelEnd struct {
	driver.Ended
	at time.Time
}

func (t *ModelTarget) String() string { return fmt.Sprintf("%s@%d", t.id, t.bornUnixMS%1_000_000) }

// clockMS returns the target's clock at a time.
func (t *ModelTarget) clockMS(at time.Time) int64 {
	const clockStartMS = 1000
	return clockStartMS + int64(float64(at.Sub(t.bornAt).Milliseconds())*t.clockRate)
}

// lapsesAt returns when the target's lease lapses; false if it has none.
func (t *ModelTarget) lapsesAt() (time.Time, bool) {
	if t.leaseUntilMS == 0 {
		return time.Time{}, false
	}
	left := math.Ceil(float64(t.leaseUntilMS-t.clockMS(t.bornAt)) / t.clockRate)
	return t.bornAt.Add(time.Duration(left+1) * time.Millisecond), true
}

// modelVM is a VM of the platform.
type modelVM struct {
	name, pool string
	state      driver.VMState
	fence      uint64
	// target is the incarnation on the VM; nil while there is none.
	target *ModelTarget
	// boots counts the incarnations with a new id; a planned boot is dropped if it changed.
	boots, planned int
	labels         []string
	// maintained holds the waves whose maintenance the VM has begun.
	maintained map[uint64]bool
	// withdrawn VMs are not listed and answer busy; they have no target again.
	withdrawn bool
	// fault is what happens to runs that start on the VM.
	fault ModelRunFault
	// clockBack is by how much the time of day of the VM is behind.
	clockBack time.Duration
}

// ModelRunFault is a fault of a VM that its runs show.
type ModelRunFault int

// Faults of VMs.
const (
	// RunsWell is the absence of a fault.
	RunsWell ModelRunFault = iota
	// RunsStall makes runs work without progress until they are stopped.
	RunsStall
	// RunsFail makes runs end as failed after a tenth of their work.
	RunsFail
)

// modelNote is an entry of the fleet's history.
type modelNote struct {
	at     time.Time
	task   workflow.TaskID
	target string
	text   string
}

// ModelFleet is a fleet of targets, on VMs of a platform, with the worst behaviour that the
// protocol allows. SetFate decides on the fates of calls. It records every start that
// breaks a promise to the requesters. Call its methods in one synctest bubble.
type ModelFleet struct {
	Limits ModelLimits
	// Room is how many runs a target takes at once.
	Room int

	mu        sync.Mutex
	behaviour ModelBehaviour
	// choose chooses what happens to a call; nil carries out all calls.
	choose func(ModelCall) ModelFate
	began  time.Time
	vms    map[string]*modelVM
	// resting holds the pools whose VMs are off.
	resting map[string]bool
	// cutOff holds the VMs that are cut off from the leaders.
	cutOff  map[string]bool
	waves   map[uint64][]string
	calls   map[modelCallCount]int
	submits map[string]modelWork
	starts  map[workflow.TaskID][]time.Time
	// doneAt is when a run of a task ended as done whose end was confirmed.
	doneAt     map[workflow.TaskID]time.Time
	history    []modelNote
	violations []ModelViolation
}

// ModelViolation is a start that broke a promise, with the history of its task.
type ModelViolation struct {
	Rule, Text, History string
}

func (v ModelViolation) String() string { return v.Rule + ": " + v.Text + "\n" + v.History }

// Rules that starts may break.
const (
	RuleTwoRuns      = "two runs at once"
	RuleStartAfter   = "start after a confirmed end as done"
	RuleNotSubmitted = "start of what was not submitted"
)

// NewModelFleet returns a fleet without targets.
func NewModelFleet(limits ModelLimits) *ModelFleet {
	return &ModelFleet{
		Limits: limits, Room: 4, began: time.Now(), vms: make(map[string]*modelVM), waves: make(map[uint64][]string),
		calls: make(map[modelCallCount]int), submits: make(map[string]modelWork),
		starts: make(map[workflow.TaskID][]time.Time), doneAt: make(map[workflow.TaskID]time.Time),
	}
}

// SetBehaviour turns on behaviour that is off by default.
func (f *ModelFleet) SetBehaviour(b ModelBehaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behaviour = b
}

// SetFate makes choose decide what happens to each call from now on; nil carries out all
// calls. It is called with the fleet's lock held.
func (f *ModelFleet) SetFate(choose func(ModelCall) ModelFate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.choose = choose
}

// Submitted records that a requester submits a job whose runs take the given time.
func (f *ModelFleet) Submitted(job *pb.Job, work time.Duration, copies bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.submits[job.Id] = modelWork{payload: job.Payload, work: work, copies: copies}
}

// SetResting makes VMs that start in a pool from now on be off: they have no targets.
func (f *ModelFleet) SetResting(pool string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resting = map[string]bool{pool: true}
}

// AddVM adds a VM with a target; the VM's name is also the target's address.
func (f *ModelFleet) AddVM(name, pool string, clockRate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	vm := &modelVM{name: name, pool: pool, labels: []string{"kind", "rack"}, maintained: make(map[uint64]bool)}
	f.vms[name] = vm
	f.boot(vm, "", clockRate)
}

// CutOff cuts a VM off from the leaders or joins it again. While it is cut off, calls to it are
// lost, and so are the answers to calls that were sent before.
func (f *ModelFleet) CutOff(vm string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cutOff == nil {
		f.cutOff = make(map[string]bool)
	}
	f.cutOff[vm] = cut
}

func (f *ModelFleet) isCutOff(vm string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutOff[vm]
}

// SetLabels changes the labels of a VM, which are its kind and its rack.
func (f *ModelFleet) SetLabels(vm string, labels ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[vm].labels = labels
}

// SetClockBack sets the time of day of a VM back, by which its next targets state their start.
func (f *ModelFleet) SetClockBack(vm string, by time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[vm].clockBack = by
}

// RemoveVM ends the target on a VM and takes the VM from the platform.
func (f *ModelFleet) RemoveVM(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end(f.vms[name], "its VM is taken away")
	f.vms[name].planned++
	delete(f.vms, name)
}

// Withdraw ends the target on a VM without a message. The platform lists the VM no more and
// answers busy to orders for it.
func (f *ModelFleet) Withdraw(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	vm := f.vms[name]
	f.end(vm, "its VM is withdrawn")
	vm.planned++
	vm.withdrawn = true
}

// StateOf returns the state of a VM at the platform.
func (f *ModelFleet) StateOf(vm string) driver.VMState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[vm].state
}

// HasBegun reports whether the maintenance of a VM in a wave has begun.
func (f *ModelFleet) HasBegun(vm string, wave uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[vm].maintained[wave]
}

// SetRunFault changes what happens to runs that start on a VM from now on.
func (f *ModelFleet) SetRunFault(vm string, fault ModelRunFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[vm].fault = fault
}

// Crash ends the target on a VM without a message. The platform lists the VM as down until a new
// one starts after a pause.
func (f *ModelFleet) Crash(name string, pause time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	vm := f.vms[name]
	clockRate := f.end(vm, "it crashes").clockRate
	vm.state = driver.VMDown
	f.bootAfter(vm, pause, "", clockRate)
}

// boot starts an incarnation on a VM; without an id it gets a new one.
func (f *ModelFleet) boot(vm *modelVM, id string, clockRate float64) {
	if id == "" {
		vm.boots++
		id = fmt.Sprintf("%s.%d", vm.name, vm.boots)
	}
	vm.planned++
	now := time.Now()
	vm.state = driver.VMUp
	if f.resting[vm.pool] {
		return
	}
	vm.target = &ModelTarget{
		id: id, vm: vm.name, bornUnixMS: now.Add(-vm.clockBack).UnixMilli(), bornAt: now, up: true, clockRate: clockRate,
		running: make(map[modelRunID]*modelRun), blockedUpTo: make(map[workflow.TaskID]uint32),
	}
	f.note(vm.target, workflow.TaskID{}, "is born")
}

// bootAfter starts an incarnation after a pause, unless another one is planned since.
func (f *ModelFleet) bootAfter(vm *modelVM, pause time.Duration, id string, clockRate float64) {
	vm.planned++
	planned := vm.planned
	time.AfterFunc(pause, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if vm.planned == planned {
			f.boot(vm, id, clockRate)
		}
	})
}

// end ends the incarnation on a VM with all its runs.
func (f *ModelFleet) end(vm *modelVM, why string) *ModelTarget {
	t := vm.target
	if t == nil {
		return nil
	}
	f.settle(t)
	for id := range t.running {
		f.note(t, id.task, "%s ends with its target", id)
	}
	f.note(t, workflow.TaskID{}, "ends: %s", why)
	t.up, vm.target = false, nil
	return t
}

// Restart ends the target on a VM; its next incarnation has the same id, or a new one.
func (f *ModelFleet) Restart(vm string, pause time.Duration, sameID bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.vms[vm]
	t := f.end(v, "it crashes")
	if t == nil {
		return
	}
	id := ""
	if sameID {
		id = t.id
	}
	v.state = driver.VMDown
	f.bootAfter(v, pause, id, t.clockRate)
}

// Leave makes the target on a VM announce that it leaves. After drain it calls deregister,
// which reports whether the answer arrived, and ends: at once after an answer, otherwise
// after lingers. A second later the VM has a new target, under the same id or a new one.
func (f *ModelFleet) Leave(vm string, drain, lingers time.Duration, sameID bool, deregister func(id string) bool) {
	const rebootPause = time.Second
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.vms[vm]
	t := v.target
	if t == nil || t.leaving {
		return
	}
	id := ""
	if sameID {
		id = t.id
	}
	t.leaving, t.staysUntil = true, time.Now().Add(drain)
	f.note(t, workflow.TaskID{}, "leaves")
	time.AfterFunc(drain, func() {
		if !f.isOn(v, t) {
			return
		}
		f.Note(t.id, "sends deregister")
		pause := time.Duration(0)
		if !deregister(t.id) {
			f.Note(t.id, "gets no answer to deregister and stays for %s", lingers)
			pause = lingers
		}
		time.AfterFunc(pause, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if v.target == t {
				f.end(v, "it leaves")
				f.bootAfter(v, rebootPause, id, t.clockRate)
			}
		})
	})
}

func (f *ModelFleet) isOn(vm *modelVM, t *ModelTarget) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return vm.target == t
}

// note adds an entry to the history; the task may be zero. Call it with the lock held.
func (f *ModelFleet) note(t *ModelTarget, task workflow.TaskID, format string, args ...any) {
	f.history = append(f.history, modelNote{time.Now(), task, t.id, t.String() + " " + fmt.Sprintf(format, args...)})
}

// Note adds an entry about a target to the history.
func (f *ModelFleet) Note(target, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, modelNote{time.Now(), workflow.TaskID{}, target, target + " " + fmt.Sprintf(format, args...)})
}

// NoteTask adds an entry about a task to the history.
func (f *ModelFleet) NoteTask(task workflow.TaskID, text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, modelNote{time.Now(), task, "", text})
}

// historyOf returns the entries about a task, and those about targets that it was sent to.
func (f *ModelFleet) historyOf(task workflow.TaskID) string {
	involved := map[string]bool{"": true}
	for _, n := range f.history {
		if n.task == task {
			involved[n.target] = true
		}
	}
	var out strings.Builder
	for _, n := range f.history {
		if n.task == task || n.task == (workflow.TaskID{}) && involved[n.target] {
			fmt.Fprintf(&out, "  %8.3f %s\n", n.at.Sub(f.began).Seconds(), n.text)
		}
	}
	return out.String()
}

// settle ends the runs of a target that are over by now: finished, stopped or lapsed.
func (f *ModelFleet) settle(t *ModelTarget) {
	if !t.up {
		return
	}
	now := time.Now()
	lapse, leased := t.lapsesAt()
	lapsed := leased && !now.Before(lapse)
	for _, run := range t.runsByEnd() {
		at, kind := run.ends()
		if lapsed && lapse.Before(at) {
			at, kind = lapse, pb.EndKind_END_KIND_LAPSED
		}
		if at.After(now) {
			continue
		}
		if kind == pb.EndKind_END_KIND_LAPSED {
			t.countLapse()
		}
		f.recordEnd(t, run, kind, at)
	}
	if lapsed {
		t.countLapse()
	}
}

// countLapse records once per lease that ends listed before its lapse cannot be confirmed.
func (t *ModelTarget) countLapse() {
	if t.lapseCounted != t.leaseUntilMS {
		t.lapseCounted, t.lapsedEnds = t.leaseUntilMS, t.nextEnd
	}
}

// runsByEnd returns the runs on the target, sorted by when they end.
func (t *ModelTarget) runsByEnd() []*modelRun {
	var runs []*modelRun
	for _, run := range t.running {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b *modelRun) int {
		endA, _ := a.ends()
		endB, _ := b.ends()
		return cmp.Or(endA.Compare(endB), strings.Compare(a.id.String(), b.id.String()))
	})
	return runs
}

func (f *ModelFleet) recordEnd(t *ModelTarget, run *modelRun, kind pb.EndKind, at time.Time) {
	delete(t.running, run.id)
	task := run.id.task
	t.blockedUpTo[task] = max(t.blockedUpTo[task], run.id.attempt)
	t.nextEnd++
	t.ended = append(t.ended, modelEnd{driver.Ended{Number: t.nextEnd, Task: task, Attempt: run.id.attempt, Kind: kind}, at})
	f.note(t, task, "%s ended at %.3f: %s, end number %d", run.id, at.Sub(f.began).Seconds(), kind, t.nextEnd)
	if f.behaviour.ConfirmsLaterEnds {
		f.confirmEnds(t, t.seenEnd)
	}
}

// confirmEnds forgets the ends up to a number, and checks that no task started after an end
// as done that is confirmed.
func (f *ModelFleet) confirmEnds(t *ModelTarget, seen uint64) {
	t.seenEnd = max(t.seenEnd, seen)
	for len(t.ended) > 0 && t.ended[0].Number <= seen {
		end := t.ended[0]
		t.ended = t.ended[1:]
		f.note(t, end.Task, "%s/%d: its end is confirmed", end.Task, end.Attempt)
		if end.Kind != pb.EndKind_END_KIND_DONE || end.Number <= t.lapsedEnds {
			continue
		}
		if at, known := f.doneAt[end.Task]; !known || end.at.Before(at) {
			f.doneAt[end.Task] = end.at
		}
		if slices.ContainsFunc(f.starts[end.Task], end.at.Before) {
			f.violate(RuleStartAfter, end.Task, "%s started after the end as done on %s, confirmed now", end.Task, t)
		}
	}
}

// recordStart records a run and the rules that its start breaks.
func (f *ModelFleet) recordStart(t *ModelTarget, call driver.StartCall) {
	id, now := modelRunID{call.Task, call.Attempt}, time.Now()
	submitted, known := f.submits[call.Task.Job]
	run := &modelRun{id: id, begun: now, work: submitted.work, fault: f.vms[t.vm].fault}
	f.note(t, call.Task, "%s STARTED", id)
	if !known || submitted.payload != call.Payload || call.Attempt == 0 {
		f.violate(RuleNotSubmitted, call.Task, "%s started on %s", id, t)
	}
	for _, vm := range f.vms {
		if vm.target == nil {
			continue
		}
		f.settle(vm.target)
		for other := range vm.target.running {
			if other.task == call.Task && !submitted.copies {
				f.violate(RuleTwoRuns, call.Task, "%s started on %s while %s runs on %s", id, t, other, vm.target)
			}
		}
	}
	if at, done := f.doneAt[call.Task]; done && at.Before(now) {
		f.violate(RuleStartAfter, call.Task, "%s started on %s", id, t)
	}
	f.starts[call.Task] = append(f.starts[call.Task], now)
	t.running[id] = run
}

func (f *ModelFleet) violate(rule string, task workflow.TaskID, format string, args ...any) {
	if f.submits[task.Job].copies {
		return
	}
	f.violations = append(f.violations, ModelViolation{rule, fmt.Sprintf(format, args...), f.historyOf(task)})
}

// Violations returns the starts that broke a promise.
func (f *ModelFleet) Violations() []ModelViolation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// History returns all entries about a job and about all targets.
func (f *ModelFleet) History(job string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out strings.Builder
	for _, n := range f.history {
		if n.task.Job == job || n.task.Job == "" {
			fmt.Fprintf(&out, "  %8.3f %s\n", n.at.Sub(f.began).Seconds(), n.text)
		}
	}
	return out.String()
}

// RunsOn returns the VMs whose targets run a task.
func (f *ModelFleet) RunsOn(task workflow.TaskID) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var on []string
	for _, vm := range f.vms {
		if vm.target == nil {
			continue
		}
		f.settle(vm.target)
		for id := range vm.target.running {
			if id.task == task {
				on = append(on, vm.name)
			}
		}
	}
	slices.Sort(on)
	return on
}

// UnconfirmedEnds returns how many ends the target on a VM lists.
func (f *ModelFleet) UnconfirmedEnds(vm string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.vms[vm].target.ended)
}

// Announcements returns the announcements of all targets that are up.
func (f *ModelFleet) Announcements() []*pb.Request {
	const cpuMillisPerRun, memoryMB = 1000, 10_000
	f.mu.Lock()
	defer f.mu.Unlock()
	var requests []*pb.Request
	for _, vm := range f.vms {
		t := vm.target
		if t == nil {
			continue
		}
		request := &pb.Request{
			Operation: pb.Operation_OPERATION_ANNOUNCE, TargetClockMs: t.clockMS(time.Now()), Sequence: uint64(time.Since(t.bornAt).Milliseconds()) + 1,
			Target: &pb.Target{
				Id: t.id, Address: vm.name, BornUnixMs: t.bornUnixMS, Pool: vm.pool, Zone: "a", Vm: vm.name, Labels: vm.labels,
				Capacity: &pb.Resources{CpuMillis: int64(f.Room) * cpuMillisPerRun, MemoryMb: memoryMB}, Leaving: t.leaving,
			},
		}
		if t.leaving {
			request.StaysMs = max(time.Until(t.staysUntil).Milliseconds(), 1)
		}
		requests = append(requests, request)
	}
	slices.SortFunc(requests, func(a, b *pb.Request) int { return strings.Compare(a.Target.Id, b.Target.Id) })
	return requests
}
