package driver_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/driver"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// TestSummaryDelaysNoStart guards against starts that wait for the commit of a summary, and against a first summary
// that does not come soon after the first runs, in a cluster that loses its leaders often.
func TestSummaryDelaysNoStart(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "t0", "t1", "t2", "t3")
	r.learning = driver.Learning{Keep: true}
	r.startLeader()
	sent, release := make(chan struct{}, 8), make(chan struct{})
	r.log.callBeforeCommits(func(command *pb.Command) {
		if command.GetPutLearned() != nil {
			sent <- struct{}{}
			<-release
		}
	})
	r.submit("a", 6, 6)
	r.eventually("done", 5*time.Second, func() bool { return r.state("a") == pb.JobState_JOB_STATE_DONE })
	select {
	case <-sent:
	case <-time.After(3 * time.Second):
		t.Fatal("no summary after 12 runs")
	}
	for i := range 3 {
		id := fmt.Sprint("b", i)
		r.submit(id, 4)
		r.eventually("done while the summary is not committed", 5*time.Second, func() bool { return r.state(id) == pb.JobState_JOB_STATE_DONE })
	}
	close(release)
	r.eventually("summary", 5*time.Second, func() bool {
		kept := false
		r.machine.View(func(v *workflow.View) { kept = v.Learned() != nil })
		return kept
	})
	r.machine.View(func(v *workflow.View) { is.Equal(v.Learned().Queues[0].Queue, "h/p/") })
	r.startLeader()
	r.submit("c", 2)
	r.eventually("done", 5*time.Second, func() bool { return r.state("c") == pb.JobState_JOB_STATE_DONE })
	r.reportFaults()
}
