package driver_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// TestLastingTaskPreempts fills the only target with tasks that run for longer than the
// test: one of them is stopped so that a lasting task can start, and waits for room again
// without counting as failed.
func TestLastingTaskPreempts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newRig(t)
	r.fleet.Lasting = map[string]bool{"keep": true}
	a := r.fleet.Add("a")
	a.Work, a.Room = time.Minute, 4
	r.announceAll()
	r.submit("long", 4)
	placed := func(job string) int {
		n := 0
		r.machine.View(func(v *workflow.View) {
			for _, task := range v.PlacedOn("a") {
				if task.Job.Spec.Id == job {
					n++
				}
			}
		})
		return n
	}
	r.eventually("the target is full", testWait, func() bool { return placed("long") == 4 })
	keep := &pb.Job{Id: "keep", Payload: "p", Steps: []*pb.Step{{Tasks: 1, Needs: &pb.Resources{CpuMillis: 1000, MemoryMb: 10}, EstimateMs: 60, Lasting: true}}}
	is.Equal(r.request(&pb.Request{Operation: pb.Operation_OPERATION_SUBMIT, Host: "h", Path: "/p/keep", Job: keep}).Answer, pb.Answer_ANSWER_OK)
	r.eventually("the lasting task is placed", 2*testWait, func() bool { return placed("keep") == 1 })
	is.Equal(placed("long"), 3)
	r.machine.View(func(v *workflow.View) {
		for _, tasks := range v.Job("long").Tasks[0] {
			for _, task := range tasks {
				is.Equal(task.Failed, uint32(0))
			}
		}
	})
	is.Equal(r.state("long"), pb.JobState_JOB_STATE_RUNNING)
	r.reportFaults()
}
