package driver_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/driver"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
	"sapphirering/test/standin"
)

// Constants of the modelled platform.
const (
	modelLeaseTTL         = 6 * time.Second
	modelKillGrace        = 900 * time.Millisecond
	modelAnnounceInterval = 500 * time.Millisecond
	modelVMMove           = 1500 * time.Millisecond
	modelVMMaintenance    = 2 * time.Second
	// modelCommitTime is how long a commit takes: half of it before it takes effect.
	modelCommitTime = 4 * time.Millisecond
	// modelSlowClock is the rate of a clock that is 2% slow.
	modelSlowClock = 0.98
)

// modelStore is the replicated log of a modelled cluster.
type modelStore struct {
	mu      sync.Mutex
	machine *workflow.Machine
	index   uint64
	// applied holds when each command was applied.
	applied map[uint64]time.Time
	// leader is the only log that may commit.
	leader *modelLog
	// losesOutcome reports whether the leader does not learn that a command has taken effect;
	// nil if it learns of all.
	losesOutcome func(*pb.Command) bool
	// withoutLeases makes commands be applied without their lease records, as an earlier version does.
	withoutLeases bool
	// commitTime replaces modelCommitTime if it is not 0.
	commitTime time.Duration
	// refusedStarts counts starts that were refused when they were applied.
	refusedStarts int
}

// modelLog is the log of one leadership.
type modelLog struct{ store *modelStore }

// Commit applies a command while the leadership lasts. If it ends before the answer, the
// outcome is not known.
func (l *modelLog) Commit(ctx context.Context, command *pb.Command) (*workflow.Outcome, error) {
	l.store.mu.Lock()
	commitTime := modelCommitTime
	if l.store.commitTime > 0 {
		commitTime = l.store.commitTime
	}
	if change := command.GetChangeTasks(); change != nil && l.store.withoutLeases {
		change = proto.CloneOf(change)
		change.Leases, change.LeaseEpoch, change.ForgetLeases = nil, 0, false
		command = &pb.Command{TimeUnixMs: command.TimeUnixMs, Body: &pb.Command_ChangeTasks{ChangeTasks: change}}
	}
	l.store.mu.Unlock()
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	time.Sleep(commitTime / 2)
	l.store.mu.Lock()
	if l.store.leader != l || ctx.Err() != nil {
		l.store.mu.Unlock()
		return nil, errUnknownOutcome
	}
	l.store.index++
	l.store.applied[l.store.index] = time.Now()
	out := l.store.machine.Apply(l.store.index, data).(*workflow.Outcome)
	l.store.refusedStarts += len(out.Refused)
	losesOutcome := l.store.losesOutcome
	l.store.mu.Unlock()
	lost := losesOutcome != nil && losesOutcome(command)
	time.Sleep(commitTime / 2)
	if lost || !l.HoldsLease() {
		return nil, errUnknownOutcome
	}
	return out, nil
}

func (s *modelStore) appliedAt(index uint64) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, known := s.applied[index]
	return at, known
}

func (s *modelStore) refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedStarts
}

// loseOutcomes makes the leader not learn the outcomes of some commits from now on.
func (s *modelStore) loseOutcomes(which func(*pb.Command) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losesOutcome = which
}

func (s *modelStore) ignoreLeases(ignore bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withoutLeases = ignore
}

// slowCommits makes each commit take a time from now on.
func (s *modelStore) slowCommits(commitTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commitTime = commitTime
}

func (s *modelStore) setLeader(l *modelLog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = l
}

// all matches every command.
func all(*pb.Command) bool { return true }

func (l *modelLog) HoldsLease() bool {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	return l.store.leader == l
}

// modelRig runs the driver against a ModelFleet, inside a synctest bubble.
type modelRig struct {
	fleet *standin.ModelFleet
	store *modelStore

	mu     sync.Mutex
	driver *driver.Driver
	epoch  uint64
	// stopLeader ends the current leadership and waits for its calls.
	stopLeader func()
	// advice is the advice of later leaders.
	advice driver.AdviceClient
	// muted holds VMs whose announcements and deregister calls do not arrive.
	muted map[string]bool
	// running counts goroutines of the rig.
	running sync.WaitGroup
	stop    chan struct{}
}

// modelVM describes one VM of a modelRig.
type modelVM struct {
	pool string
	// labels are the VM's kind and rack, nil for those of most VMs.
	labels []string
	// slow VMs have targets whose clocks run slow.
	slow bool
}

// newModelRig returns a rig with a leader and VMs vm0, vm1 ... with one target each. The
// driver's events become part of the fleet's history.
func newModelRig(t *testing.T, killGrace time.Duration, vms ...modelVM) *modelRig {
	fleet := standin.NewModelFleet(standin.ModelLimits{
		LeaseTTL: modelLeaseTTL, KillGrace: killGrace, VMMove: modelVMMove, VMMaintenance: modelVMMaintenance,
	})
	noteEvents(t, fleet)
	r := &modelRig{fleet: fleet, store: &modelStore{machine: workflow.New(), applied: make(map[uint64]time.Time)}, muted: make(map[string]bool), stop: make(chan struct{})}
	for i, vm := range vms {
		rate := 1.0
		if vm.slow {
			rate = modelSlowClock
		}
		fleet.AddVM(modelVMName(i), vm.pool, rate)
		if vm.labels != nil {
			fleet.SetLabels(modelVMName(i), vm.labels...)
		}
	}
	r.changeLeader(0)
	r.serve(&pb.Request{Operation: pb.Operation_OPERATION_PUT_CATALOGUE, Catalogue: &pb.Catalogue{
		Version: 1, Pools: []*pb.Pool{{Name: modelPools[0], Guarded: true}, {Name: modelPools[1], Guarded: true}},
		Queues: []*pb.Queue{modelQueue(modelPools[0]), modelQueue(modelPools[1])},
	}})
	r.running.Go(r.announceUntilStop)
	return r
}

// modelPools holds the names of the pools; each has a queue of the same name.
var modelPools = [2]string{"render", "encode"}

func modelQueue(pool string) *pb.Queue {
	return &pb.Queue{
		Name: pool, Host: "h", PathPrefix: "/" + pool + "/", Pool: pool, TimeoutMs: 1000, ObjectiveMs: 500,
		SlackFactor: 1.5, MaxAttempts: 3, Open: true,
	}
}

func modelVMName(i int) string { return fmt.Sprintf("vm%d", i) }

// changeLeader begins a new leadership over the same state. The former driver's loop ends
// after overlap; it holds no lease by then, but its calls are still under way.
func (r *modelRig) changeLeader(overlap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	former := r.stopLeader
	r.epoch++
	log := &modelLog{r.store}
	r.store.setLeader(log)
	client := r.fleet.Client()
	d := driver.New(driver.Config{
		Machine: r.store.machine, Log: log, Targets: client, VMs: client, Advice: r.advice, Epoch: r.epoch, FormerEpoch: r.epoch - 1, Holder: "test",
		Limits: driver.Limits{LeaseTTL: modelLeaseTTL, AnnounceInterval: modelAnnounceInterval, VMMove: modelVMMove, VMMaintenance: modelVMMaintenance},
		Now:    time.Now, NowMS: func() int64 { return time.Now().UnixMilli() }, AppliedAt: r.store.appliedAt,
	})
	ctx, cancel := context.WithCancel(context.Background())
	d.Prepare(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx)
	}()
	r.driver = d
	r.stopLeader = func() {
		cancel()
		<-done
	}
	if former != nil {
		r.running.Go(func() {
			time.Sleep(overlap)
			former()
		})
	}
}

// close ends all goroutines of the rig and lets late calls arrive. No request reaches a
// driver whose loop has ended.
func (r *modelRig) close() {
	close(r.stop)
	r.running.Wait()
	r.store.setLeader(nil)
	time.Sleep(modelCommitTime)
	r.stopLeader()
	time.Sleep(modelFlushTime)
}

// modelFlushTime is longer than any timer of the model.
const modelFlushTime = 30 * time.Second

func (r *modelRig) serve(request *pb.Request) *pb.Response {
	r.mu.Lock()
	d := r.driver
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return d.Serve(ctx, request)
}

func (r *modelRig) setMuted(vm string, muted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.muted[vm] = muted
}

// cutOff cuts a VM off from the leader, calls and announcements alike; rejoin ends that.
func (r *modelRig) cutOff(vm string) {
	r.setMuted(vm, true)
	r.fleet.CutOff(vm, true)
}

func (r *modelRig) rejoin(vm string) {
	r.fleet.CutOff(vm, false)
	r.setMuted(vm, false)
}

func (r *modelRig) isMuted(vm string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.muted[vm]
}

func (r *modelRig) announceUntilStop() {
	ticker := time.NewTicker(modelAnnounceInterval)
	defer ticker.Stop()
	for {
		r.announce()
		select {
		case <-r.stop:
			return
		case <-ticker.C:
		}
	}
}

// announce sends the announcements that are not muted.
func (r *modelRig) announce() {
	for _, request := range r.fleet.Announcements() {
		if !r.isMuted(request.Target.Vm) {
			r.running.Go(func() { r.serve(request) })
		}
	}
}

// announceLate sends the announcement that a VM's target makes now after a delay, if it has
// one.
func (r *modelRig) announceLate(vm string, delay time.Duration) {
	for _, request := range r.fleet.Announcements() {
		if request.Target.Vm == vm {
			time.AfterFunc(delay, func() {
				r.fleet.Note(request.Target.Id, "its announcement of %s ago arrives", delay)
				r.serve(request)
			})
		}
	}
}

// deregister sends the deregister call of a target on a VM and reports whether its answer
// arrives.
func (r *modelRig) deregister(vm string, answerLost bool) func(id string) bool {
	return func(id string) bool {
		if r.isMuted(vm) {
			return false
		}
		r.serve(&pb.Request{Operation: pb.Operation_OPERATION_DEREGISTER, Target: &pb.Target{Id: id}})
		return !answerLost
	}
}

// submit submits a job of consecutive steps to the queue of a pool until it is accepted.
func (r *modelRig) submit(pool, id string, work time.Duration, copies bool, tasks ...uint32) {
	const retryPause = 100 * time.Millisecond
	job := &pb.Job{Id: id, Payload: "payload of " + id}
	for i, n := range tasks {
		step := &pb.Step{Tasks: n, Needs: &pb.Resources{CpuMillis: 1000, MemoryMb: 10}, EstimateMs: work.Milliseconds(), Copies: copies}
		if i > 0 {
			step.After = []uint32{uint32(i - 1)}
		}
		job.Steps = append(job.Steps, step)
	}
	r.fleet.Submitted(job, work, copies)
	for {
		request := &pb.Request{Operation: pb.Operation_OPERATION_SUBMIT, Host: "h", Path: "/" + pool + "/" + id, Job: proto.CloneOf(job)}
		if r.serve(request).Answer == pb.Answer_ANSWER_OK {
			return
		}
		time.Sleep(retryPause)
	}
}

// unfinished returns the jobs among ids that are not done.
func (r *modelRig) unfinished(ids []string) []string {
	var left []string
	r.store.machine.View(func(v *workflow.View) {
		for _, id := range ids {
			if job := v.Job(id); job == nil || job.State != pb.JobState_JOB_STATE_DONE {
				left = append(left, id)
			}
		}
	})
	return left
}

// unfinishedAfter waits until the jobs are done, and returns those that are not within a time.
func (r *modelRig) unfinishedAfter(within time.Duration, ids ...string) []string {
	const pollInterval = 50 * time.Millisecond
	for end := time.Now().Add(within); ; time.Sleep(pollInterval) {
		if left := r.unfinished(ids); len(left) == 0 || time.Now().After(end) {
			return left
		}
	}
}

// eventNotes adds the driver's events about tasks and targets to a fleet's history.
type eventNotes struct{ fleet *standin.ModelFleet }

// HandleLog implements log.Handler.
func (n eventNotes) HandleLog(e *log.Entry) error {
	text := "    leader: " + e.Message
	for _, name := range []string{"attempt", "end", "reason", "step", "error", "failures", "runs", "answer", "vm"} {
		if value, ok := e.Fields[name]; ok {
			text += fmt.Sprintf(", %s %v", name, value)
		}
	}
	task, _ := e.Fields["task"].(string)
	target, _ := e.Fields["target"].(string)
	if id, err := workflow.ParseTaskID(task); err == nil {
		n.fleet.NoteTask(id, text+" on "+target)
	} else if target != "" || e.Fields["vm"] != nil || e.Fields["epoch"] != nil {
		n.fleet.Note(target, "%s", text)
	}
	return nil
}

// noteEvents adds the driver's events to the fleet's history until the test ends.
func noteEvents(t *testing.T, fleet *standin.ModelFleet) {
	logger := log.Log.(*log.Logger)
	former := logger.Handler
	log.SetHandler(eventNotes{fleet})
	t.Cleanup(func() { log.SetHandler(former) })
}
