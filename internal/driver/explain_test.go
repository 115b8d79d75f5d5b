package driver

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "sapphirering/internal/workflow/workflowpb"
)

// TestExplainVM explains what runs on a VM, why it takes no starts, and why it moves.
func TestExplainVM(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := newTestDriver(t, func() time.Time { return now })
	is.Equal(d.explain(&pb.Request{Vm: "vm-t0"}).Answer, pb.Answer_ANSWER_GONE) // the platform has not listed it yet
	d.fleet.vms = map[string]VM{"vm-t0": {Name: "vm-t0", Pool: "p", Zone: "z"}}
	d.links["t0"].failures = 2
	d.pools.draining["vm-t0"] = true
	d.pools.moving["vm-t0"] = &move{to: "rest", begunAt: now.Add(-time.Second)}
	d.vmDecisions.note(now, "vm-t0", "moves from pool %s to %s: %s", "p", "rest", "idle")
	answer := d.explain(&pb.Request{Vm: "vm-t0"})
	is.Equal(answer.Answer, pb.Answer_ANSWER_OK)
	text := strings.Join(answer.Lines, "\n")
	for _, want := range []string{
		`VM vm-t0 of pool "p" in zone z`, "target t0", "runs 1 tasks: j.0.0.0", "takes no starts: it has been moving to pool rest for 1s",
		"takes no starts: its pool no longer needs it", "takes no starts: its target gave no answer to 2 calls", "moves from pool p to rest: idle",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in\n%s", want, text)
		}
	}
}

// TestExplainTaskAndRefusal explains one task, and why a job was not accepted.
func TestExplainTaskAndRefusal(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := newTestDriver(t, func() time.Time { return now })
	explain := func(job string, task *pb.TaskRef) *pb.Response {
		return d.explain(&pb.Request{QueueName: "q", Job: &pb.Job{Id: job}, Task: task})
	}
	is.True(strings.HasPrefix(explain("j", &pb.TaskRef{Index: 1}).Lines[0], "task j.0.0.1: placed, 1 runs so far, 0 failed"))
	is.Equal(explain("j", &pb.TaskRef{Index: 9}).Lines, []string{"task j.0.0.9 does not exist"})
	is.Equal(explain("unknown", nil).Reason, "")
	d.noteRefused(&pb.Request{Job: &pb.Job{Id: "refused"}}, "invalid", "step 0: needs are negative")
	answer := explain("refused", nil)
	is.Equal(answer.Answer, pb.Answer_ANSWER_GONE)
	is.True(strings.HasSuffix(answer.Reason, "refused: step 0: needs are negative"))
}

// TestHistoryIsBounded adds more subjects and decisions than are kept.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	now := time.Now()
	for i := range maxSubjects + 10 {
		h.note(now, fmt.Sprint(i), "decision")
	}
	for i := range 2 * maxDecisions {
		h.note(now, "900", "decision %d", i)
	}
	h.note(now, strings.Repeat("x", maxSubjectBytes+1), "decision")
	is.Equal(len(h.subjects), maxSubjects)
	is.Equal(len(h.subjectOrder), maxSubjects)
	is.Equal(len(h.about("9")), 0)
	kept := h.about("900")
	is.Equal(len(kept), maxDecisions)
	is.True(strings.HasSuffix(kept[maxDecisions-1], fmt.Sprintf("decision %d", 2*maxDecisions-1)))
}
