package driver_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// TestHeardTargetsCountAsAnnounced guards against targets that count as silent because another daemon
// has acknowledged their announcements, and against a list that hides what the leader does not know.
func TestHeardTargetsCountAsAnnounced(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a", "gone")
	r.connections = 1
	r.startLeader()
	r.eventually("repetitions may be collected", 5*time.Second, func() bool {
		return r.request(r.fleet.Announcements("render")[0]).CollectRepeats
	})
	first := r.fleet.Announcements("render")[0]
	heard := func(change func(*pb.Heard)) []string {
		h := &pb.Heard{Target: first.Target.Id, BornUnixMs: first.Target.BornUnixMs, Sequence: uint64(time.Now().UnixNano()), ClockMs: first.TargetClockMs}
		change(h)
		response := r.request(&pb.Request{Operation: pb.Operation_OPERATION_NOTE_HEARD, Heard: []*pb.Heard{h}})
		is.Equal(response.Answer, pb.Answer_ANSWER_OK)
		return response.UnknownTargets
	}
	is.Equal(heard(func(h *pb.Heard) { h.Target = "unknown" }), []string{"unknown"})
	is.Equal(heard(func(h *pb.Heard) { h.BornUnixMs++ }), []string{first.Target.Id})
	is.Equal(heard(func(h *pb.Heard) { h.BornUnixMs-- }), []string{first.Target.Id})
	r.muteAnnouncements.Store(true)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		is.Equal(len(heard(func(*pb.Heard) {})), 0)
	}
	// Only the target that was listed has not missed announcements and gets starts.
	r.submit("j", 1, 1, 1)
	r.eventually("the job ends", 5*time.Second, func() bool {
		heard(func(*pb.Heard) {})
		return r.state("j") == pb.JobState_JOB_STATE_DONE
	})
	r.machine.View(func(v *workflow.View) {
		is.True(v.Target(first.Target.Id) != nil)
	})
	// After its last message a target must announce itself whole.
	r.request(&pb.Request{Operation: pb.Operation_OPERATION_DEREGISTER, Target: &pb.Target{Id: first.Target.Id, BornUnixMs: first.Target.BornUnixMs}})
	is.Equal(heard(func(*pb.Heard) {}), []string{first.Target.Id})
	r.reportFaults()
}
