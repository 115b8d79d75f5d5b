package driver_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "sapphirering/internal/workflow/workflowpb"
	"sapphirering/test/standin"
)

// TestCopyBesideLateRun runs a job that allows copies on a target that stops answering or
// becomes slow, with a lease longer than the test: the job is done by its copies, and the
// late runs are stopped once their target can be reached.
func TestCopyBesideLateRun(t *testing.T) {
	for _, test := range []struct {
		name string
		late func(*standin.StepTarget)
	}{
		{"silent target", func(t *standin.StepTarget) { t.Silent = true }},
		{"slow target", func(*standin.StepTarget) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newRigWithLease(t, time.Minute, "a")
			r.fleet.Copies = map[string]bool{"j": true}
			r.fleet.Change("a", func(t *standin.StepTarget) { t.Work = time.Hour })
			r.submitLong("j", true)
			r.eventually("the tasks run", testWait, func() bool { return r.fleet.Running("a") == 2 })
			r.fleet.Add("b")
			r.fleet.Change("a", test.late)
			r.waitDone("j")
			is.Equal(r.fleet.Started("b"), 2)
			r.fleet.Change("a", func(t *standin.StepTarget) { t.Silent = false })
			r.eventually("the late runs are stopped", testWait, func() bool { return r.fleet.Running("a") == 0 })
			r.reportFaults()
		})
	}
}

// submitLong submits a job of two tasks whose objective is several seconds.
func (r *rig) submitLong(id string, copies bool) {
	r.t.Helper()
	step := &pb.Step{Tasks: 2, Copies: copies, EstimateMs: 2000, Needs: &pb.Resources{CpuMillis: 1000, MemoryMb: 10}}
	answer := r.request(&pb.Request{
		Operation: pb.Operation_OPERATION_SUBMIT, Host: "h", Path: "/p/" + id,
		Job: &pb.Job{Id: id, Payload: "p", Steps: []*pb.Step{step}},
	})
	if answer.Answer != pb.Answer_ANSWER_OK {
		r.t.Fatalf("submit %s: %s: %s", id, answer.Answer, answer.Reason)
	}
}

// TestNoCopyUnlessAllowed loses a target that runs a job without copies: none of its tasks starts
// elsewhere before the lease lapses.
func TestNoCopyUnlessAllowed(t *testing.T) {
	is := is.New(t)
	r := newRigWithLease(t, time.Minute, "a")
	r.fleet.Change("a", func(t *standin.StepTarget) { t.Work = time.Hour })
	r.submitLong("j", false)
	r.eventually("the tasks run", testWait, func() bool { return r.fleet.Running("a") == 2 })
	r.fleet.Add("b")
	r.fleet.Change("a", func(t *standin.StepTarget) { t.Silent = true })
	time.Sleep(3 * time.Second)
	is.Equal(r.fleet.Started("b"), 0)
	r.reportFaults()
}

// TestRandomFaultsWithCopies is TestRandomFaults with some jobs that allow copies and some
// that do not: every job ends, no task starts again long after it is done, tasks without
// copies run once at a time, and no run is left at the end.
func TestRandomFaultsWithCopies(t *testing.T) {
	for seed := range int64(4) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewSource(seed))
			r := newRig(t, "a", "b", "c")
			r.fleet.Copies = make(map[string]bool)
			var ids []string
			for i := range 12 {
				ids = append(ids, fmt.Sprintf("j%d", i))
				r.fleet.Copies[ids[i]] = i%3 > 0
			}
			for i, id := range ids {
				r.submitSteps(id, i%3 > 0, uint32(1+rng.Intn(4)), uint32(1+rng.Intn(3)))
				r.injectFault(rng)
				time.Sleep(time.Duration(rng.Intn(120)) * time.Millisecond)
			}
			r.fleet.ChangeAll(func(t *standin.StepTarget) { t.Silent, t.LoseAnswers, t.CallDelay = false, false, 0 })
			r.waitDone(ids...)
			r.eventually("all runs stop", testWait, func() bool {
				return r.fleet.Running("a")+r.fleet.Running("b")+r.fleet.Running("c") == 0
			})
			for _, id := range ids {
				if got := r.state(id); got != pb.JobState_JOB_STATE_DONE {
					t.Errorf("%s is %s", id, got)
				}
			}
			r.reportFaults()
		})
	}
}
