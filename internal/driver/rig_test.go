package driver_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/driver"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
	"sapphirering/test/standin"
)

// testLeaseTTL is short, so that tests need not wait long for a lease to lapse.
const testLeaseTTL = 700 * time.Millisecond

// testLateCalls is twice as long as testLeaseTTL, as the bound is for the users' leases.
const testLateCalls = 2 * testLeaseTTL

// fakeLog applies commands at once, unless it is set to fail.
type fakeLog struct {
	machine *workflow.Machine
	mu      sync.Mutex
	index   uint64
	deposed bool
	// beforeCommit is called before each commit, without the lock held.
	beforeCommit func(*pb.Command)
	// failCommits makes commits fail without taking effect.
	failCommits bool
}

var errUnknownOutcome = errors.New("outcome unknown")

func (l *fakeLog) Commit(_ context.Context, command *pb.Command) (*workflow.Outcome, error) {
	l.mu.Lock()
	hold := l.beforeCommit
	l.mu.Unlock()
	if hold != nil {
		hold(command)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.deposed || l.failCommits {
		return nil, errUnknownOutcome
	}
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	l.index++
	return l.machine.Apply(l.index, data).(*workflow.Outcome), nil
}

// callBeforeCommits makes the log call f before each commit from now on.
func (l *fakeLog) callBeforeCommits(f func(*pb.Command)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.beforeCommit = f
}

func (l *fakeLog) HoldsLease() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.deposed
}

// rig is a driver with fakes for the targets, the platform and the log.
type rig struct {
	t       *testing.T
	fleet   *standin.StepFleet
	machine *workflow.Machine
	log     *fakeLog
	driver  *driver.Driver
	epoch   uint64
	advice  driver.AdviceClient
	vms     driver.VMClient
	// targets replaces the fleet as the client if it is set; connections is the bound on connections.
	targets     driver.TargetClient
	connections int
	// learning is that of later leaders.
	learning driver.Learning
	// muteAnnouncements stops the announcements of targets.
	muteAnnouncements atomic.Bool
	stop              func()
}

func newRig(t *testing.T, targets ...string) *rig {
	t.Helper()
	return newRigWithLease(t, testLeaseTTL, targets...)
}

// newRigWithLease is newRig with another lease, for tests in which something must happen
// before a lease lapses.
func newRigWithLease(t *testing.T, ttl time.Duration, targets ...string) *rig {
	t.Helper()
	r := &rig{t: t, fleet: standin.NewStepFleet(ttl), machine: workflow.New(), vms: standin.NoVMs{}}
	r.log = &fakeLog{machine: r.machine}
	for _, id := range targets {
		r.fleet.Add(id)
	}
	r.startLeader()
	t.Cleanup(func() { r.stop() })
	r.putCatalogue(1, false)
	r.announceAll()
	return r
}

func (r *rig) putCatalogue(version uint64, advised bool) {
	r.request(&pb.Request{Operation: pb.Operation_OPERATION_PUT_CATALOGUE, Catalogue: &pb.Catalogue{
		Version: version, Pools: []*pb.Pool{{Name: "render", Guarded: true}},
		Queues: []*pb.Queue{{
			Name: "proofs", Host: "h", PathPrefix: "/p/", Pool: "render", TimeoutMs: 1000, ObjectiveMs: 500,
			SlackFactor: 1.5, MaxAttempts: 3, Open: true, Advised: advised,
		}},
	}})
}

// startLeader ends the leadership, if any, and begins a new one over the same state.
func (r *rig) startLeader() {
	if r.stop != nil {
		r.stop()
	}
	r.epoch++
	r.log = &fakeLog{machine: r.machine, index: r.log.index}
	var targets driver.TargetClient = r.fleet
	if r.targets != nil {
		targets = r.targets
	}
	r.driver = driver.New(driver.Config{
		Machine: r.machine, Log: r.log, Targets: targets, VMs: r.vms, Advice: r.advice, Epoch: r.epoch, Holder: "test", Learning: r.learning,
		Limits: driver.Limits{LeaseTTL: r.fleet.LeaseTTL, AnnounceInterval: 200 * time.Millisecond, LateCalls: testLateCalls, VMMove: 100 * time.Millisecond, VMMaintenance: 150 * time.Millisecond, TargetConnections: r.connections},
		Now:    time.Now, NowMS: func() int64 { return time.Now().UnixMilli() },
	})
	ctx, cancel := context.WithCancel(context.Background())
	r.driver.Prepare(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.driver.Run(ctx)
	}()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		for ctx.Err() == nil {
			r.announceAll()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	r.stop = sync.OnceFunc(func() {
		cancel()
		<-done
		<-announced
	})
}

func (r *rig) request(request *pb.Request) *pb.Response {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return r.driver.Serve(ctx, request)
}

// announceAll sends the announcements of all targets that are able to announce themselves.
func (r *rig) announceAll() {
	if r.muteAnnouncements.Load() {
		return
	}
	for _, request := range r.fleet.Announcements("render") {
		r.request(request)
	}
}

// submit submits a job of consecutive steps with the given numbers of tasks.
func (r *rig) submit(id string, tasks ...uint32) {
	r.t.Helper()
	r.submitSteps(id, false, tasks...)
}

func (r *rig) submitSteps(id string, copies bool, tasks ...uint32) {
	r.t.Helper()
	job := &pb.Job{Id: id, Payload: "p"}
	for i, n := range tasks {
		step := &pb.Step{Tasks: n, Needs: &pb.Resources{CpuMillis: 1000, MemoryMb: 10}, EstimateMs: 60, Copies: copies}
		if i > 0 {
			step.After = []uint32{uint32(i - 1)}
		}
		job.Steps = append(job.Steps, step)
	}
	if answer := r.request(&pb.Request{Operation: pb.Operation_OPERATION_SUBMIT, Host: "h", Path: "/p/" + id, Job: job}); answer.Answer != pb.Answer_ANSWER_OK {
		r.t.Fatalf("submit %s: %s: %s", id, answer.Answer, answer.Reason)
	}
}

func (r *rig) state(id string) pb.JobState {
	return r.request(&pb.Request{Operation: pb.Operation_OPERATION_STATUS, Host: "h", Path: "/p/" + id, Job: &pb.Job{Id: id}}).State
}

func (r *rig) eventually(what string, within time.Duration, holds func() bool) {
	r.t.Helper()
	for end := time.Now().Add(within); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("%s: not within %s", what, within)
		}
	}
}

// reportFaults fails the test for every violation of a rule that a target recorded.
func (r *rig) reportFaults() {
	r.t.Helper()
	for _, fault := range r.fleet.Violations() {
		r.t.Error(fault)
	}
}
