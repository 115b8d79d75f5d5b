package driver_test

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	gometrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/driver"
	"sapphirering/internal/metrics"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
	"sapphirering/test/standin"
)

const testWait = 8 * time.Second

func (r *rig) waitDone(ids ...string) {
	r.t.Helper()
	r.eventually("jobs end", testWait, func() bool {
		for _, id := range ids {
			if r.state(id) != pb.JobState_JOB_STATE_DONE {
				return false
			}
		}
		return true
	})
}

// TestJobOfSteps runs a job of three steps over two targets.
func TestJobOfSteps(t *testing.T) {
	r := newRig(t, "a", "b")
	r.submit("j", 3, 5, 2)
	r.waitDone("j")
	r.reportFaults()
}

// TestLostAnswers starts tasks on a target that carries out calls but whose answers are lost
// for a while: each task runs once.
func TestLostAnswers(t *testing.T) {
	r := newRig(t, "a", "b")
	r.fleet.Change("a", func(t *standin.StepTarget) { t.LoseAnswers = true })
	r.submit("j", 6)
	time.Sleep(300 * time.Millisecond)
	r.fleet.Change("a", func(t *standin.StepTarget) { t.LoseAnswers = false })
	r.waitDone("j")
	r.reportFaults()
}

// TestSilentTarget loses a target whose calls hang or fail at once: its tasks run elsewhere
// once its lease has certainly lapsed, and not before.
func TestSilentTarget(t *testing.T) {
	t.Run("hangs", func(t *testing.T) { testLostTarget(t, func(t *standin.StepTarget) { t.Silent = true }) })
	t.Run("resets", func(t *testing.T) { testLostTarget(t, func(t *standin.StepTarget) { t.Resets = true }) })
}

// longestCall is longer than any call to a target, including its wait.
const longestCall = 2500 * time.Millisecond

func testLostTarget(t *testing.T, lose func(*standin.StepTarget)) {
	is := is.New(t)
	r := newRig(t, "a", "b")
	r.fleet.ChangeAll(func(t *standin.StepTarget) { t.Work = time.Hour })
	r.submit("j", 8)
	r.eventually("all tasks run", testWait, func() bool {
		return r.fleet.Running("a")+r.fleet.Running("b") == 8
	})
	lost := r.fleet.Running("a")
	r.fleet.Change("a", lose)
	r.fleet.Change("b", func(t *standin.StepTarget) { t.Room, t.Work = 16, 50*time.Millisecond })
	is.True(lost > 0)
	began := time.Now()
	r.waitDone("j")
	is.True(time.Since(began) > testLeaseTTL) // the lease of the silent target lapsed first
	r.fleet.Running("a")
	r.reportFaults()

	// Once the target is reachable again it is called and gets starts. Its last call has
	// ended without an answer by then: a listing call that still hangs renews no lease, and
	// the leases of this test are shorter than a listing call.
	time.Sleep(longestCall)
	r.fleet.Change("a", func(t *standin.StepTarget) { t.Silent, t.Resets, t.Work = false, false, 50*time.Millisecond })
	r.fleet.Change("b", func(t *standin.StepTarget) { t.Resets = true })
	before := r.fleet.Started("a")
	r.submit("k", 2)
	r.waitDone("k")
	is.Equal(r.fleet.Started("a"), before+2)
	r.reportFaults()
}

// TestLateStart delays starts until their target has restarted: a start that reaches the
// next incarnation with the same id does not run a task twice.
func TestLateStart(t *testing.T) {
	r := newRig(t, "a", "b")
	r.fleet.Change("a", func(t *standin.StepTarget) { t.CallDelay = 600 * time.Millisecond })
	r.submit("j", 6)
	time.Sleep(150 * time.Millisecond)
	r.fleet.Restart("a")
	r.fleet.Change("a", func(t *standin.StepTarget) { t.Full = true })
	r.waitDone("j")
	time.Sleep(700 * time.Millisecond)
	r.reportFaults()
}

// TestStartTakenByNextIncarnation restarts a target between the commit of a start and
// the call: the next incarnation with the same id accepts the start before it has
// announced itself. The task does not start elsewhere while that run continues, nor while it
// is being stopped.
func TestStartTakenByNextIncarnation(t *testing.T) {
	t.Run("stops at once", func(t *testing.T) { testStartTakenByNextIncarnation(t, 0) })
	t.Run("stops slowly", func(t *testing.T) { testStartTakenByNextIncarnation(t, 900*time.Millisecond) })
}

func testStartTakenByNextIncarnation(t *testing.T, stopGrace time.Duration) {
	is := is.New(t)
	r := newRig(t, "a", "b")
	r.fleet.Change("b", func(t *standin.StepTarget) { t.Full = true })
	r.startLeader()
	r.announceAll() // the new leader knows both targets; of two equal ones, a is chosen first
	var once sync.Once
	r.log.callBeforeCommits(func(command *pb.Command) {
		if len(command.GetChangeTasks().GetStarts()) == 0 {
			return
		}
		once.Do(func() {
			r.muteAnnouncements.Store(true)
			time.Sleep(50 * time.Millisecond) // announcements in progress arrive
			r.fleet.Restart("a")
			r.fleet.Change("a", func(t *standin.StepTarget) {
				t.Full, t.Work, t.StopDelay, t.StopGrace = true, 2*time.Second, 300*time.Millisecond, stopGrace
			})
			r.fleet.Change("b", func(t *standin.StepTarget) { t.Full = false })
		})
	})
	r.submit("j", 2)
	r.eventually("the next incarnation takes the starts", testWait, func() bool { return r.fleet.Started("a") == 2 })
	r.muteAnnouncements.Store(false)
	r.waitDone("j")
	is.Equal(r.fleet.Started("b"), 2)
	r.reportFaults()
}

// TestLateStartOfEndedRun delays a start until a second start of the same run has been
// carried out, the run has ended and its target has restarted: the next incarnation does not
// start the run.
func TestLateStartOfEndedRun(t *testing.T) {
	const late = 4 * time.Second
	is := is.New(t)
	r := newRigWithLease(t, time.Minute, "a")
	time.Sleep(1500 * time.Millisecond) // its clock gets ahead of that of its next incarnation
	r.fleet.Change("a", func(t *standin.StepTarget) { t.CallDelay = late })
	r.submit("j", 1)
	arrives := time.Now().Add(late)
	time.Sleep(500 * time.Millisecond) // the start call is in progress
	r.fleet.Change("a", func(t *standin.StepTarget) { t.CallDelay = 0 })
	r.waitDone("j")
	is.Equal(r.fleet.Started("a"), 1)
	time.Sleep(100 * time.Millisecond) // the end is confirmed to the target
	r.fleet.Restart("a")
	time.Sleep(time.Until(arrives) + 300*time.Millisecond)
	is.Equal(r.fleet.Started("a"), 0)
	r.reportFaults()
}

// TestEndConfirmedAfterItsOwnCommit delays the commit of one target's ends while
// another target lists its own, then loses the leadership before the latter are
// committed: they are not confirmed, and the next leader collects them.
func TestEndConfirmedAfterItsOwnCommit(t *testing.T) {
	r := newRig(t, "a", "b")
	r.fleet.Change("a", func(t *standin.StepTarget) { t.Work = 50 * time.Millisecond })
	r.fleet.Change("b", func(t *standin.StepTarget) { t.Work = 150 * time.Millisecond })
	var once sync.Once
	log := r.log
	log.callBeforeCommits(func(command *pb.Command) {
		if len(command.GetChangeTasks().GetEnds()) == 0 {
			return
		}
		once.Do(func() {
			// Meanwhile the ends of b are listed; commits after this one fail.
			time.Sleep(400 * time.Millisecond)
			time.AfterFunc(time.Millisecond, func() {
				log.mu.Lock()
				log.failCommits = true
				log.mu.Unlock()
			})
		})
	})
	r.submit("j", 8)
	time.Sleep(900 * time.Millisecond)
	r.startLeader()
	r.waitDone("j")
	r.reportFaults()
}

// TestNewLeader changes the leader while tasks run and starts are in progress.
func TestNewLeader(t *testing.T) {
	r := newRig(t, "a", "b", "c")
	var ids []string
	for i := range 10 {
		ids = append(ids, fmt.Sprintf("j%d", i))
		r.submit(ids[i], 3, 2)
		if i%3 == 2 {
			r.startLeader()
			r.announceAll()
		}
	}
	r.waitDone(ids...)
	r.reportFaults()
}

// TestCancelStopsRuns cancels a job whose tasks run.
func TestCancelStopsRuns(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.fleet.Change("a", func(t *standin.StepTarget) { t.Work = time.Hour })
	r.submit("j", 3)
	running := func() int { return r.fleet.Running("a") }
	r.eventually("tasks run", testWait, func() bool { return running() == 3 })
	is.Equal(r.request(&pb.Request{Operation: pb.Operation_OPERATION_CANCEL, Host: "h", Path: "/p/j", Job: &pb.Job{Id: "j"}}).Answer, pb.Answer_ANSWER_OK)
	r.eventually("tasks stop", testWait, func() bool { return running() == 0 })
	is.Equal(r.state("j"), pb.JobState_JOB_STATE_CANCELLED)
}

// TestStartOnEndedIncarnation commits a start while its target is replaced on its VM:
// the task runs elsewhere.
func TestStartOnEndedIncarnation(t *testing.T) {
	r := newRig(t, "a")
	var once sync.Once
	r.log.callBeforeCommits(func(command *pb.Command) {
		if len(command.GetChangeTasks().GetStarts()) == 0 {
			return
		}
		once.Do(func() {
			r.fleet.Change("a", func(t *standin.StepTarget) { t.Replaced = true })
			r.driver.Deregister("a", 0)
			r.fleet.Add("b")
		})
	})
	r.submit("j", 2)
	r.waitDone("j")
	r.reportFaults()
}

// TestDeregister deregisters a target that works on for a while: its tasks start elsewhere once
// it has ended, and not before. The message of a former incarnation ends nothing.
func TestDeregister(t *testing.T) {
	is := is.New(t)
	r := newRigWithLease(t, time.Minute, "a")
	r.fleet.Change("a", func(t *standin.StepTarget) { t.Work = time.Hour })
	r.submit("j", 2)
	r.eventually("the tasks run", testWait, func() bool { return r.fleet.Running("a") == 2 })
	r.fleet.Change("a", func(t *standin.StepTarget) { t.Leaving = true })
	r.announceAll()
	r.fleet.Add("b")
	r.driver.Deregister("a", 1)
	r.driver.Deregister("a", 0)
	time.Sleep(300 * time.Millisecond)
	is.Equal(r.fleet.Started("b"), 0)
	r.fleet.End("a")
	r.eventually("the tasks start elsewhere", time.Second, func() bool { return r.fleet.Started("b") == 2 })
	r.waitDone("j")
	r.reportFaults()
}

// fixedAdvice always grants the same target, with the ticket that the fleet requires.
type fixedAdvice struct{ granted string }

func (a fixedAdvice) Advise(context.Context, workflow.TaskID, []string) (driver.Advice, error) {
	return driver.Advice{Tickets: map[string]string{a.granted: "ticket"}, ValidFor: time.Minute}, nil
}

// TestAdvice runs a job of an advised queue: only the granted target gets it,
// with its ticket.
func TestAdvice(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a", "b", "c")
	r.advice = fixedAdvice{granted: "b"}
	r.fleet.ChangeAll(func(t *standin.StepTarget) { t.Ticket = "ticket" })
	r.startLeader()
	r.putCatalogue(2, true)
	r.announceAll()
	r.submit("j", 6)
	r.waitDone("j")
	is.Equal(r.fleet.Started("a")+r.fleet.Started("c"), 0)
	is.Equal(r.fleet.Started("b"), 6)
	r.reportFaults()
}

// TestRoundsBesideCommits adopts placed tasks whose starts were never sent, so that rounds
// send them, while commands are applied continuously: neither blocks the other.
func TestRoundsBesideCommits(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.fleet.ChangeAll(func(t *standin.StepTarget) { t.Full = true })
	r.startLeader()
	r.announceAll()
	apply := func(command *pb.Command) {
		data, err := proto.Marshal(command)
		is.NoErr(err)
		r.machine.Apply(1, data)
	}
	r.submit("j", 4)
	var target *pb.Target
	r.machine.View(func(v *workflow.View) { target = proto.CloneOf(v.Target("a")) })
	for i := range uint32(4) {
		apply(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: &pb.ChangeTasks{Starts: []*pb.Start{
			{Task: workflow.TaskID{Job: "j", Index: i}.Ref(1), Target: "a", TargetBornUnixMs: target.BornUnixMs},
		}}}})
	}
	stop := make(chan struct{})
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					apply(&pb.Command{Body: &pb.Command_CancelJob{CancelJob: &pb.CancelJob{Job: "none"}}})
				}
			}
		})
	}
	r.startLeader()
	r.eventually("the starts are sent", testWait, func() bool { return r.fleet.Started("a") == 4 })
	close(stop)
	writers.Wait()
	r.waitDone("j")
	r.reportFaults()
}

// TestRefusals checks the answers to invalid requests and to requests for unknown things.
func TestRefusals(t *testing.T) {
	r := newRig(t, "a")
	job := &pb.Job{Id: "j", Steps: []*pb.Step{{Tasks: 1, Needs: &pb.Resources{CpuMillis: 1}}}}
	for _, test := range []struct {
		name    string
		request *pb.Request
		want    pb.Answer
	}{
		{"unknown host", &pb.Request{Operation: pb.Operation_OPERATION_SUBMIT, Host: "x", Path: "/p/j", Job: job}, pb.Answer_ANSWER_NO_QUEUE},
		{"no steps", &pb.Request{Operation: pb.Operation_OPERATION_SUBMIT, Host: "h", Path: "/p/j", Job: &pb.Job{Id: "j"}}, pb.Answer_ANSWER_INVALID},
		{"unknown job", &pb.Request{Operation: pb.Operation_OPERATION_STATUS, Host: "h", Path: "/p/zz", Job: &pb.Job{Id: "zz"}}, pb.Answer_ANSWER_GONE},
		{"cancel of an unknown job", &pb.Request{Operation: pb.Operation_OPERATION_CANCEL, Host: "h", Path: "/p/zz", Job: &pb.Job{Id: "zz"}}, pb.Answer_ANSWER_GONE},
		{"unknown wave", &pb.Request{Operation: pb.Operation_OPERATION_GET_WAVE, Wave: &pb.Wave{Id: 9}}, pb.Answer_ANSWER_GONE},
		{"invalid catalogue", &pb.Request{Operation: pb.Operation_OPERATION_PUT_CATALOGUE, Catalogue: &pb.Catalogue{Version: 2, Queues: []*pb.Queue{{Name: "q", Pool: "none"}}}}, pb.Answer_ANSWER_INVALID},
		{"no operation", &pb.Request{}, pb.Answer_ANSWER_INVALID},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := r.request(test.request); got.Answer != test.want {
				t.Errorf("got %s (%s), want %s", got.Answer, got.Reason, test.want)
			}
		})
	}
}

// TestRandomFaults runs jobs while targets lose answers, carry out calls late, go silent
// and restart, and leaders change, in a random order given by the seed. No task runs twice
// at once or again after it is done, and every job ends.
func TestRandomFaults(t *testing.T) {
	for seed := range int64(4) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewSource(seed))
			r := newRig(t, "a", "b", "c")
			var ids []string
			for i := range 12 {
				ids = append(ids, fmt.Sprintf("j%d", i))
				r.submit(ids[i], uint32(1+rng.Intn(4)), uint32(1+rng.Intn(3)))
				r.injectFault(rng)
				time.Sleep(time.Duration(rng.Intn(120)) * time.Millisecond)
			}
			r.fleet.ChangeAll(func(t *standin.StepTarget) { t.Silent, t.LoseAnswers, t.CallDelay = false, false, 0 })
			r.waitDone(ids...)
			r.reportFaults()
		})
	}
}

func (r *rig) injectFault(rng *rand.Rand) {
	id := string(rune('a' + rng.Intn(3)))
	switch kind := rng.Intn(7); kind {
	case 0:
		r.fleet.Restart(id)
	case 1:
		r.startLeader()
	default:
		r.fleet.Change(id, func(t *standin.StepTarget) {
			t.LoseAnswers, t.Silent, t.CallDelay = kind == 2, kind == 3, 0
			if kind == 4 {
				t.CallDelay = time.Duration(50+rng.Intn(400)) * time.Millisecond
			}
		})
	}
}

// TestLatencyHistograms runs a job and checks that its commits, calls, first start and end
// are in the histograms that the metrics address serves.
func TestLatencyHistograms(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a")
	r.submit("j", 2, 1)
	r.waitDone("j")
	var text strings.Builder
	is.NoErr(metrics.Write(&text, gometrics.DefaultRegistry, nil))
	for _, series := range []string{
		`driver_commit_us_count{outcome="committed"}`, `driver_target_call_us_count{call="start",outcome="answered"}`,
		"driver_first_start_us_count", `driver_job_us_count{outcome="done"}`, `driver_job_us{outcome="done",quantile="0.99"}`,
	} {
		is.True(strings.Contains(text.String(), "sapphirering_"+series+" "))
	}
}

// TestStartsBehindSilentTarget places tasks on a target that has just gone silent: only those
// whose start was sent wait until its lease lapses, the others start elsewhere at once.
func TestStartsBehindSilentTarget(t *testing.T) {
	// Each target has room for half of the tasks; two starts are sent at a time.
	const tasks, sent = 8, 2
	is := is.New(t)
	r := newRigWithLease(t, time.Minute, "a", "b")
	time.Sleep(300 * time.Millisecond) // both have answered a listing
	r.fleet.Change("a", func(t *standin.StepTarget) { t.Silent = true })
	r.submit("j", tasks)
	r.eventually("tasks whose start was not sent run elsewhere", 3*time.Second, func() bool { return r.fleet.Started("b") == tasks-sent })
	is.Equal(r.fleet.Started("a"), 0)
	r.reportFaults()
}

// TestLostCalls plays targets that leave a share of all calls without an answer and carry
// them out later, after newer calls: the tasks end about as soon as they would without, and
// each runs once.
func TestLostCalls(t *testing.T) { testLostCalls(t, false) }

// TestLostCallsLearned is TestLostCalls with a leader that knows how many calls are lost.
func TestLostCallsLearned(t *testing.T) { testLostCalls(t, true) }

func testLostCalls(t *testing.T, learned bool) {
	for _, share := range []float64{0.1, 0.5} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			r := newRigWithLease(t, 5*time.Second, "a", "b", "c")
			time.Sleep(300 * time.Millisecond) // all have answered a listing
			r.fleet.ChangeAll(func(t *standin.StepTarget) {
				t.LateShare, t.LateBy, t.Work = share, 600*time.Millisecond, 100*time.Millisecond
			})
			if learned {
				r.submit("earlier", 12, 12)
				r.waitDone("earlier")
			}
			// Two waves of 12 tasks on room for 12 take 0.2 s without losses.
			r.submit("j", 12, 12)
			r.eventually("all tasks are done", 3*time.Second, func() bool { return r.state("j") == pb.JobState_JOB_STATE_DONE })
			time.Sleep(700 * time.Millisecond)
			r.reportFaults()
		})
	}
}
