package driver_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

const (
	pathID      = "5c0e7a21d94b0001"
	pathSettles = 3 * time.Second
)

// at sends an operation to a path as an edge daemon does, which cannot tell where the job's id begins.
func (r *rig) at(operation pb.Operation, path string) *pb.Response {
	request := &pb.Request{Operation: operation, Host: "h", Path: path, IdDigits: 16, Job: &pb.Job{Id: "hint"}}
	if operation == pb.Operation_OPERATION_SUBMIT {
		request.Job.Steps = []*pb.Step{{Tasks: 1, Needs: &pb.Resources{CpuMillis: 500, MemoryMb: 10}}}
	}
	return r.request(request)
}

const (
	submitAt = pb.Operation_OPERATION_SUBMIT
	statusAt = pb.Operation_OPERATION_STATUS
	cancelAt = pb.Operation_OPERATION_CANCEL
	countAt  = pb.Operation_OPERATION_COUNT
)

// TestRemovedNestedQueue guards against answers of a queue with a shorter prefix for jobs of a removed one: "no such job" for an
// accepted job that goes on, a cancel without effect, and a job that is accepted under another queue.
func TestRemovedNestedQueue(t *testing.T) {
	outer, inner := [3]string{"outer", "h", "/jobs/"}, [3]string{"inner", "h", "/jobs/fi50/"}
	is := is.New(t)
	r := newRig(t, "a", "b")
	r.putQueues(2, outer, inner)
	is.Equal(r.at(submitAt, inner[2]+pathID).Answer, pb.Answer_ANSWER_OK)
	is.Equal(r.at(statusAt, inner[2]+pathID).Answer, pb.Answer_ANSWER_OK)
	is.Equal(r.at(statusAt, outer[2]+pathID).Answer, pb.Answer_ANSWER_GONE) // no such job there
	r.putQueues(3, outer)
	for range 2 {
		for _, operation := range []pb.Operation{submitAt, statusAt, cancelAt} {
			is.Equal(r.at(operation, inner[2]+pathID).Answer, pb.Answer_ANSWER_NO_QUEUE)
			is.Equal(r.at(operation, inner[2]+"5c0e7a21d94b0002").Answer, pb.Answer_ANSWER_NO_QUEUE)
		}
		is.Equal(r.at(countAt, inner[2]).Answer, pb.Answer_ANSWER_NO_QUEUE)
		is.Equal(r.at(statusAt, outer[2]).Waiting, uint64(0))
		r.startLeader()
	}
	r.putQueues(4, outer, [3]string{"renamed", "h", "/jobs/fi50/"}) // the place is served again
	r.eventually("the job is done", pathSettles, func() bool { return r.at(statusAt, inner[2]+pathID).State == pb.JobState_JOB_STATE_DONE })
	is.Equal(r.at(cancelAt, inner[2]+pathID).Answer, pb.Answer_ANSWER_OK)
	is.Equal(r.startedAnywhere(), 1)
	r.reportFaults()
}

// TestCancelAfterQueueReturned guards against a job that its caller cannot cancel any more once the queue is back at its place.
func TestCancelAfterQueueReturned(t *testing.T) {
	outer, inner := [3]string{"outer", "h", "/jobs/"}, [3]string{"inner", "h", "/jobs/fi50/"}
	is := is.New(t)
	r := newRig(t, "a", "b")
	r.putQueues(2, outer, inner)
	job := &pb.Job{Steps: []*pb.Step{{Tasks: 1, Needs: &pb.Resources{CpuMillis: 500, MemoryMb: 10}, Lasting: true}}}
	r.fleet.Lasting = map[string]bool{pathID: true}
	is.Equal(r.request(&pb.Request{Operation: submitAt, Host: "h", Path: inner[2] + pathID, IdDigits: 16, Job: job}).Answer, pb.Answer_ANSWER_OK)
	r.eventually("the lasting task runs", pathSettles, func() bool { return r.runningAnywhere() == 1 })
	r.putQueues(3, outer)
	is.Equal(r.at(cancelAt, inner[2]+pathID).Answer, pb.Answer_ANSWER_NO_QUEUE)
	time.Sleep(300 * time.Millisecond)
	is.Equal(r.runningAnywhere(), 1) // an accepted job goes on
	r.putQueues(4, outer, inner)
	is.Equal(r.at(cancelAt, inner[2]+pathID).Answer, pb.Answer_ANSWER_OK)
	r.eventually("the lasting task is stopped", pathSettles, func() bool { return r.runningAnywhere() == 0 })
	r.reportFaults()
}

// TestPrefixWithoutSlash guards against jobs that run under an id that holds a part of their queue's prefix, and counts that are
// taken for a job's state.
func TestPrefixWithoutSlash(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a", "b")
	r.putQueues(2, [3]string{"press", "h", "/press"})
	is.Equal(r.at(submitAt, "/press"+pathID).Answer, pb.Answer_ANSWER_OK)
	r.eventually("the job is done", pathSettles, func() bool { return r.at(statusAt, "/press"+pathID).State == pb.JobState_JOB_STATE_DONE })
	r.machine.View(func(v *workflow.View) {
		is.True(v.Job(pathID) != nil)
		is.True(v.Job("press"+pathID) == nil)
	})
	counted := r.at(statusAt, "/press")
	is.Equal(counted.Answer, pb.Answer_ANSWER_OK)
	is.True(counted.Counted)
	for _, operation := range []pb.Operation{submitAt, cancelAt} {
		is.Equal(r.at(operation, "/press").Answer, pb.Answer_ANSWER_NO_QUEUE)
		is.Equal(r.at(operation, "/press/"+pathID).Answer, pb.Answer_ANSWER_NO_QUEUE)
	}
	// A queue whose prefix reaches into the ids of the other one hides a part of them, and denies none.
	r.putQueues(3, [3]string{"press", "h", "/press"}, [3]string{"hides", "h", "/press5c"})
	for _, operation := range []pb.Operation{submitAt, statusAt, cancelAt} {
		is.Equal(r.at(operation, "/press"+pathID).Answer, pb.Answer_ANSWER_NO_QUEUE)
	}
	is.Equal(r.at(submitAt, "/press6c0e7a21d94b0001").Answer, pb.Answer_ANSWER_OK)
	is.Equal(r.at(submitAt, "/press5c7c0e7a21d94b0001").Answer, pb.Answer_ANSWER_OK)
	r.eventually("the jobs are done", pathSettles, func() bool {
		return r.at(statusAt, "/press6c0e7a21d94b0001").State == pb.JobState_JOB_STATE_DONE && r.at(statusAt, "/press5c7c0e7a21d94b0001").State == pb.JobState_JOB_STATE_DONE
	})
	r.reportFaults()
}
