package driver

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/policy/pools"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// newDriverWithClock is newTestDriver with a clock that the test moves, a log that holds the lease
// and commits nothing, and targets that take every stop.
func newDriverWithClock(t *testing.T) (d *Driver, targets *stopRecorder, pass func(time.Duration)) {
	t.Helper()
	var mu sync.Mutex
	now := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	d = newTestDriver(t, func() time.Time { mu.Lock(); defer mu.Unlock(); return now })
	d.cfg.Limits = Limits{LeaseTTL: 6 * time.Second, AnnounceInterval: time.Second, VMMove: time.Second, VMMaintenance: time.Second}
	targets = &stopRecorder{}
	d.ctx, d.cfg.Log, d.cfg.Targets, d.cfg.VMs = ctx, leaseOnlyLog{}, targets, slowPlatform{make(chan struct{})}
	d.fleet.vms = make(map[string]VM)
	t.Cleanup(func() { cancel(); d.running.Wait() })
	return d, targets, func(by time.Duration) { mu.Lock(); defer mu.Unlock(); now = now.Add(by) }
}

// A connection that the network reset before the target's last message says nothing about
// whether the target has ended since.
func TestResetBeforeDeregistration(t *testing.T) {
	is := is.New(t)
	d, _, pass := newDriverWithClock(t)
	l := d.links["t0"]
	open := d.beginCall(l, nil, "list", 0, func() {})
	d.handleListing(l, d.cfg.Now(), RenewCall{}, open, Listing{}, fmt.Errorf("%w: connection reset", ErrClosedByTarget))
	pass(5 * time.Second)
	d.Deregister("t0", 1)
	is.Equal(d.runs.find(workflow.TaskID{Job: "j"}, 1).phase, runConfirmed) // its target may work on
}

// A listing call that was late and was reset arrives after a newer listing was answered.
func TestResetOfOlderListing(t *testing.T) {
	is := is.New(t)
	d, _, pass := newDriverWithClock(t)
	l := d.links["t0"]
	d.Deregister("t0", 1)
	older := d.beginCall(l, nil, "list", 0, func() {})
	older.late = true
	askedOlder := d.cfg.Now()
	pass(100 * time.Millisecond)
	newer := d.beginCall(l, nil, "list", 0, func() {})
	d.handleListing(l, d.cfg.Now(), RenewCall{}, newer, Listing{
		Answer: Answer{ClockMS: 1000}, BornUnixMS: 1, Running: []Running{{Task: workflow.TaskID{Job: "j"}, Attempt: 1, Percent: 100}},
	}, nil)
	d.handleListing(l, askedOlder, RenewCall{}, older, Listing{}, fmt.Errorf("%w: connection reset", ErrClosedByTarget))
	is.Equal(d.runs.find(workflow.TaskID{Job: "j"}, 1).phase, runConfirmed)
}

// A run of a former leader works at a pace that is not known: a filler beside a lasting task
// over its goal is slowed down.
func TestAdoptedFillerIsSlowed(t *testing.T) {
	is := is.New(t)
	d, _, _ := newDriverWithClock(t)
	d.runs = newRunTable()
	d.links = make(map[string]*link)
	d.adopt()
	r := d.runs.find(workflow.TaskID{Job: "j"}, 1)
	is.True(r != nil)
	is.True(nextPace(r.pace, 1.2) != r.pace) // a call is sent, since the run may be at full speed
}

// An incarnation that is older than those that the maintenance ended announces itself late.
func TestOldAnnouncementDuringMaintenance(t *testing.T) {
	is := is.New(t)
	d, _, _ := newDriverWithClock(t)
	log := &lossyLog{machine: d.cfg.Machine, index: 100}
	d.cfg.Log = log
	const vm = "vm-t0"
	log.apply(&pb.Command{Body: &pb.Command_DeclareWave{DeclareWave: &pb.DeclareWave{Wave: &pb.Wave{Id: 1, Vms: []string{vm}, Cap: 1, DurationMs: 60000}}}})
	log.apply(&pb.Command{Body: &pb.Command_BeginMaintenance{BeginMaintenance: &pb.BeginMaintenance{Wave: 1, Vm: vm}}})
	d.mu.Lock()
	m := d.waves.maintenance(1, vm)
	m.ends = d.knownOn(vm)
	d.mu.Unlock()
	d.handleMaintenanceAnswer(1, vm, m, VMAccepted, nil)
	d.mu.Lock()
	d.handleAnnouncement(&pb.Request{Sequence: 7, Target: &pb.Target{Id: "before-t0", BornUnixMs: 0, Pool: "p", Vm: vm, Zone: "a"}})
	d.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	is.True(!log.committed(func(c *pb.Command) bool { return c.GetEndMaintenance() != nil })) // the VM is still away
}

// lossyLog applies commands; fail makes those that it selects return an error although they
// took effect.
type lossyLog struct {
	machine *workflow.Machine
	mu      sync.Mutex
	index   uint64
	all     []*pb.Command
	fail    func(*pb.Command) bool
}

func (l *lossyLog) apply(c *pb.Command) *workflow.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	data, err := proto.Marshal(c)
	if err != nil {
		panic(err)
	}
	l.index++
	l.all = append(l.all, c)
	return l.machine.Apply(l.index, data).(*workflow.Outcome)
}

func (l *lossyLog) Commit(_ context.Context, c *pb.Command) (*workflow.Outcome, error) {
	out := l.apply(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fail != nil && l.fail(c) {
		return nil, errors.New("outcome unknown")
	}
	return out, nil
}

func (*lossyLog) HoldsLease() bool { return true }

func (l *lossyLog) committed(is func(*pb.Command) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.all, is)
}

// The commit of the end of maintenance takes effect though its outcome is lost: the VM takes
// starts again, and the next wave sends an order of its own.
func TestEndOfMaintenanceUnknown(t *testing.T) {
	is := is.New(t)
	d, _, pass := newDriverWithClock(t)
	log := &lossyLog{machine: d.cfg.Machine, index: 100, fail: func(c *pb.Command) bool { return c.GetEndMaintenance() != nil }}
	d.cfg.Log = log
	const vm = "vm-t0"
	wave := func(id uint64) {
		log.apply(&pb.Command{Body: &pb.Command_DeclareWave{DeclareWave: &pb.DeclareWave{Wave: &pb.Wave{Id: id, Vms: []string{vm}, Cap: 1, DurationMs: 60000}}}})
		log.apply(&pb.Command{Body: &pb.Command_BeginMaintenance{BeginMaintenance: &pb.BeginMaintenance{Wave: id, Vm: vm}}})
	}
	wave(1)
	d.mu.Lock()
	m := d.waves.maintenance(1, vm)
	m.cordonedAt, m.ends = d.cfg.Now(), d.knownOn(vm)
	d.mu.Unlock()
	d.handleMaintenanceAnswer(1, vm, m, VMAccepted, nil)
	d.mu.Lock()
	d.handleAnnouncement(&pb.Request{Sequence: 1, Target: &pb.Target{Id: "next", BornUnixMs: 2, Pool: "p", Vm: vm, Zone: "a"}})
	d.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	log.mu.Lock()
	log.fail = nil
	log.mu.Unlock()
	for range 20 {
		pass(200 * time.Millisecond)
		d.runWaves()
		time.Sleep(5 * time.Millisecond)
	}
	d.mu.Lock()
	cordoned := d.waves.cordoned(vm)
	away := false
	for _, m := range d.waves.vms[vm] {
		away = away || m.away()
	}
	d.mu.Unlock()
	is.True(workflow.WaveComplete(waveOf(d, 1))) // the commit took effect
	if cordoned {
		t.Error("the VM stays cordoned for good")
	}
	if away {
		t.Error("the VM counts as away for its next wave")
	}
	// The next wave: no order of it was ever sent (the platform of this test answers none).
	wave(2)
	d.mu.Lock()
	d.fleet.vms = map[string]VM{vm: {Name: vm, Pool: "p", State: VMUp}}
	d.fleet.readAt = d.cfg.Now().Add(time.Minute)
	d.mu.Unlock()
	pass(2 * time.Minute)
	d.runWaves()
	time.Sleep(50 * time.Millisecond)
	if workflow.WaveComplete(waveOf(d, 2)) {
		t.Error("wave 2 is complete without an order to the platform")
	}
}

func waveOf(d *Driver, id uint64) *pb.Wave {
	var w *pb.Wave
	d.cfg.Machine.View(func(v *workflow.View) { w = proto.CloneOf(v.Wave(id)) })
	return w
}

// A call to a target is in progress while its incarnation is found to be over. The next one
// announces itself under the same id after the former link was removed.
func TestLeasesOfLateCallsAfterRemoval(t *testing.T) {
	is := is.New(t)
	d, _, pass := newDriverWithClock(t)
	d.mu.Lock()
	former := d.links["t0"]
	d.noteClock(former, 1000)
	d.grantLease(former, d.cfg.Limits.LeaseTTL)
	d.beginCall(former, nil, "list", 0, func() {})
	ended := d.cfg.Now()
	d.endIncarnation(former, "its VM is in maintenance")
	d.mu.Unlock()
	pass(2 * time.Second)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handleAnnouncement(&pb.Request{Sequence: 1, Target: &pb.Target{Id: "t0", BornUnixMs: 2, Pool: "p", Vm: "vm-t0", Zone: "a"}})
	// As for a restart that is noticed while the former link exists.
	is.True(!d.lapseOf(d.links["t0"]).at.Before(ended.Add(lateCallBound + d.leaseBound())))
}

// A target restarts twice while a late start is on its way: the third incarnation is told too.
func TestSecondRestartRefusesLateStart(t *testing.T) {
	is := is.New(t)
	d, targets, pass := newDriverWithClock(t)
	id := workflow.TaskID{Job: "j"}
	announce := func(born int64) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.handleAnnouncement(&pb.Request{Target: &pb.Target{Id: "t0", BornUnixMs: born, Pool: "p", Vm: "vm-t0", Zone: "a"}})
	}
	d.mu.Lock()
	r := d.runs.find(id, 1)
	r.unanswered = true
	d.forgetRun(&pb.End{Task: id.Ref(1), Target: "t0"})
	d.mu.Unlock()
	announce(2)
	is.True(eventuallyStopped(targets, runID{id, 1}))
	targets.mu.Lock()
	targets.stopped = nil
	targets.mu.Unlock()
	pass(3 * time.Second) // the start may come for 9 s more
	announce(3)
	is.True(eventuallyStopped(targets, runID{id, 1}))
}

// unhealthyOnce refuses the first stop as unhealthy: it has done nothing.
type unhealthyOnce struct {
	*stopRecorder
	mu    sync.Mutex
	asked int
}

func (c *unhealthyOnce) Stop(ctx context.Context, to Address, call StopCall) (Answer, error) {
	c.mu.Lock()
	c.asked++
	first := c.asked == 1
	c.mu.Unlock()
	if first {
		return Answer{Refusal: RefusedUnhealthy}, nil
	}
	return c.stopRecorder.Stop(ctx, to, call)
}

func TestUnhealthyTargetIsToldAgain(t *testing.T) {
	is := is.New(t)
	d, targets, _ := newDriverWithClock(t)
	d.cfg.Targets = &unhealthyOnce{stopRecorder: targets}
	id := workflow.TaskID{Job: "j"}
	d.mu.Lock()
	d.runs.find(id, 1).unanswered = true
	d.forgetRun(&pb.End{Task: id.Ref(1), Target: "t0"})
	d.handleAnnouncement(&pb.Request{Target: &pb.Target{Id: "t0", BornUnixMs: 2, Pool: "p", Vm: "vm-t0", Zone: "a"}})
	d.mu.Unlock()
	is.True(eventuallyStopped(targets, runID{id, 1}))
}

// A listing shows a restart first; the announcement then tells what the new incarnation is.
func TestRestartOfAnotherKind(t *testing.T) {
	d, _, _ := newDriverWithClock(t)
	log := &lossyLog{machine: d.cfg.Machine, index: 100}
	d.cfg.Log = log
	d.mu.Lock()
	d.noteRestart(d.links["t0"], 2)
	d.mu.Unlock()
	time.Sleep(50 * time.Millisecond) // register commits the clone
	d.mu.Lock()
	commit := d.handleAnnouncement(&pb.Request{Sequence: 1, Target: &pb.Target{
		Id: "t0", BornUnixMs: 2, Pool: "p", Vm: "vm-t0", Labels: []string{"small"}, Capacity: &pb.Resources{CpuMillis: 10},
	}})
	d.mu.Unlock()
	if !commit {
		t.Error("the capacity and labels of the former incarnation stay committed")
	}
}

// A listing shows a restart after a move by a former leader; the announcement tells the pool.
// The repeated move to that pool ends nothing.
func TestRestartInAnotherPool(t *testing.T) {
	is := is.New(t)
	d, _, _ := newDriverWithClock(t)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.vms["vm-t0"] = VM{Name: "vm-t0", Pool: "p"}
	d.noteRestart(d.links["t0"], 2)
	d.handleAnnouncement(&pb.Request{Sequence: 1, Target: &pb.Target{Id: "t0", BornUnixMs: 2, Pool: "other", Vm: "vm-t0", Zone: "a"}})
	is.True(d.endedByMove(pools.Move{VM: "vm-t0", To: "other"}) <= 2)
	is.Equal(d.fleet.vms["vm-t0"].Pool, "other")
}

// A run that its silent target's former incarnation got, and a start of which has no answer,
// ends once nothing can run any more.
func TestUnansweredRunOfFormerIncarnationEnds(t *testing.T) {
	is := is.New(t)
	d, _, pass := newDriverWithClock(t)
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.runs.find(workflow.TaskID{Job: "j"}, 1)
	r.unanswered, r.adopted, r.phase, r.placedAt = true, true, runUnanswered, d.cfg.Now()
	l := d.beginIncarnation(d.links["t0"], &pb.Target{Id: "t0", BornUnixMs: 2, Pool: "p", Vm: "vm-t0", Zone: "a"})
	l.failures, l.unanswered = 3, 3
	l.unansweredSince = d.cfg.Now()
	pass(10 * time.Minute)
	d.checkLinks()
	is.Equal(r.phase, runEnded)
}

// Advice concerns the incarnation that was asked about.
func TestAdviceOfFormerIncarnation(t *testing.T) {
	is := is.New(t)
	d, _, _ := newDriverWithClock(t)
	step := workflow.TaskID{Job: "j"}
	known := &stepAdvice{tickets: make(map[incarnation]ticket), denied: make(map[string]bool), calling: true}
	d.advice[step], d.adviceCalls = known, 1
	asked := []incarnation{{"t0", 1}} // as askAdvice does
	d.mu.Lock()
	d.links["t0"] = &link{target: &pb.Target{Id: "t0", BornUnixMs: 2, Pool: "p", Vm: "vm-t0"}, cancel: func() {}}
	d.mu.Unlock()
	d.handleAdvice(step, known, asked, Advice{Tickets: map[string]string{"t0": "x"}, ValidFor: time.Minute}, nil)
	is.Equal(d.ticketFor(step, d.links["t0"]), "")
}

// pacer is a target whose first pace call gets no answer; the call may take effect later.
type pacer struct {
	*stopRecorder
	mu    sync.Mutex
	paces []int
}

func (c *pacer) Pace(_ context.Context, _ Address, call PaceCall) (Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paces = append(c.paces, call.Percent)
	if len(c.paces) == 1 {
		return Answer{}, errors.New("no answer")
	}
	return Answer{}, nil
}

// A call that speeds a filler up gets no answer and may take effect after the one that pauses
// it: the pause is sent again while the tail stays over its goal.
func TestLatePaceIsCorrected(t *testing.T) {
	is := is.New(t)
	d, targets, pass := newDriverWithClock(t)
	c := &pacer{stopRecorder: targets}
	d.cfg.Targets = c
	log := &lossyLog{machine: d.cfg.Machine, index: 100}
	for _, spec := range []struct {
		job  string
		step *pb.Step
	}{
		{"filler", &pb.Step{Tasks: 1, Fills: true, Needs: &pb.Resources{CpuMillis: 10}}},
		{"tail", &pb.Step{Tasks: 1, Lasting: true, TailGoalMs: 100, Needs: &pb.Resources{CpuMillis: 10}}},
	} {
		log.apply(&pb.Command{Body: &pb.Command_SubmitJob{SubmitJob: &pb.SubmitJob{Job: &pb.Job{Id: spec.job, Queue: "q", Steps: []*pb.Step{spec.step}}}}})
		id := workflow.TaskID{Job: spec.job}
		out := log.apply(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: &pb.ChangeTasks{Starts: []*pb.Start{{Task: id.Ref(1), Target: "t0", TargetBornUnixMs: 1}}}}})
		is.Equal(len(out.Refused), 0)
		d.addRun(&run{task: id, attempt: 1, target: "t0", born: 1, phase: runConfirmed, pace: 80})
	}
	round := func(tail float64) {
		d.mu.Lock()
		d.runs.find(workflow.TaskID{Job: "tail"}, 1).gauge = tail
		d.mu.Unlock()
		pass(2 * paceInterval)
		d.paceFillers()
		time.Sleep(20 * time.Millisecond)
	}
	round(20)  // speed up to 100: no answer, arrives late
	round(150) // over the goal: pause, accepted
	round(150) // the late call has taken effect: still over the goal
	round(150)
	c.mu.Lock()
	defer c.mu.Unlock()
	is.Equal(c.paces[:2], []int{100, 0})
	is.True(len(c.paces) > 2) // the pause is sent again
}

// TestNothingBeginsAfterRun begins work after the leadership has ended, as a timer or a request
// may: it is dropped, since Run no longer waits for it.
func TestNothingBeginsAfterRun(t *testing.T) {
	is := is.New(t)
	d, targets, _ := newDriverWithClock(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d.cfg.Targets = closableTargets{targets}
	d.Run(ctx)
	ran := false
	d.background(func() { ran = true })
	d.running.Wait()
	is.True(!ran)
}

type closableTargets struct{ *stopRecorder }

func (closableTargets) Close() error { return nil }

// TestTargetThatOwesAnAnswerIsCalled lets the leases of a target lapse after one call without an
// answer, which is too few to suspect it: it is called again although nothing is placed there,
// since its last listing may still count runs that take its room.
func TestTargetThatOwesAnAnswerIsCalled(t *testing.T) {
	is := is.New(t)
	d, _, _ := newDriverWithClock(t)
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.links["t0"]
	l.lastAnnounced = d.cfg.Now()
	is.True(!d.needsCall(l))
	d.noteNoAnswer(l, "list", errLate)
	is.Equal(l.failures, 0)
	is.True(d.needsCall(l))
	d.noteAnswer(l)
	is.True(!d.needsCall(l))
}
