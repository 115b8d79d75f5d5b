package driver

import (
	"fmt"
	"testing"
	"time"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// TestListingCostBesideOtherRuns measures the handling of one target's listing beside few and
// many runs on other targets: at the busiest times of large sites thousands of tasks run, and
// some thousand listings arrive per second.
func TestListingCostBesideOtherRuns(t *testing.T) {
	const here, few, many, rounds, maxRatio = 10, 10, 20_000, 200, 5
	took := func(others int) time.Duration {
		d := New(Config{Machine: workflow.New(), Now: time.Now, NowMS: func() int64 { return 0 }})
		l := &link{target: &pb.Target{Id: "here"}, listedAt: time.Now()}
		for i := range here {
			id := workflow.TaskID{Job: "j", Index: uint32(i)}
			d.addRun(&run{task: id, attempt: 1, target: "here", phase: runConfirmed})
			l.listing.Running = append(l.listing.Running, Running{Task: id, Attempt: 1})
		}
		for i := range others {
			d.addRun(&run{task: workflow.TaskID{Job: "k", Index: uint32(i)}, attempt: 1, target: fmt.Sprint("t", i%200), phase: runConfirmed})
		}
		best := time.Hour
		for range 5 {
			began := time.Now()
			for range rounds {
				d.reconcileRuns(l)
			}
			best = min(best, time.Since(began))
		}
		return best / rounds
	}
	alone, beside := took(few), took(many)
	t.Logf("a listing of %d runs takes %s beside %d others, %s beside %d", here, alone, few, beside, many)
	if beside > maxRatio*alone {
		t.Errorf("a listing takes %.0f times as long beside the runs of other targets", float64(beside)/float64(alone))
	}
}
