package driver

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// TestEndsAndStartsShareACommand has an end and a waiting task in one round, as every round of
// a busy queue has: they are committed together, and what the end makes ready starts in the
// next round, which follows at once.
func TestEndsAndStartsShareACommand(t *testing.T) {
	is := is.New(t)
	d, _, pass := newDriverWithClock(t)
	log := &lossyLog{machine: d.cfg.Machine, index: 100}
	d.cfg.Log, d.cfg.Targets = log, &closingTarget{}
	target := &pb.Target{Id: "t3", BornUnixMs: 1, Pool: "p", Vm: "vm-t3", Capacity: &pb.Resources{CpuMillis: 1000, MemoryMb: 1000}}
	log.apply(&pb.Command{Body: &pb.Command_PutTargets{PutTargets: &pb.PutTargets{Targets: []*pb.Target{target}}}})
	l := &link{target: target, everListed: true, lastAnnounced: d.cfg.Now(), cancel: func() {}}
	d.links["t3"] = l
	d.noteClock(l, 1)
	pass(time.Millisecond)
	log.apply(&pb.Command{Body: &pb.Command_SubmitJob{SubmitJob: &pb.SubmitJob{Job: &pb.Job{Id: "waits", Queue: "q", Steps: []*pb.Step{
		{Tasks: 1, Needs: &pb.Resources{CpuMillis: 10}},
	}}}}})
	log.apply(&pb.Command{Body: &pb.Command_SubmitJob{SubmitJob: &pb.SubmitJob{Job: &pb.Job{Id: "chain", Queue: "q", Steps: []*pb.Step{
		{Tasks: 1, Needs: &pb.Resources{CpuMillis: 10}}, {Tasks: 1, After: []uint32{0}, Needs: &pb.Resources{CpuMillis: 10}},
	}}}}})
	first := workflow.TaskID{Job: "chain"}
	log.apply(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: &pb.ChangeTasks{Starts: []*pb.Start{{Task: first.Ref(1), Target: "t3", TargetBornUnixMs: 1}}}}})
	d.addRun(&run{task: first, attempt: 1, target: "t3", born: 1, phase: runEnded})
	d.pendingEnds = []pendingEnd{{end: &pb.End{Task: first.Ref(1), Target: "t3", Kind: pb.EndKind_END_KIND_DONE}}}

	log.all = nil
	d.requestRound() // as the jobs' submits do
	is.True(d.changeTasks())
	is.Equal(len(log.all), 1)
	change := log.all[0].GetChangeTasks()
	is.Equal(len(change.Ends), 1)
	is.Equal(len(change.Starts), 1)
	is.Equal(change.Starts[0].Task.Job, "waits")

	is.True(!d.changeTasks())
	is.Equal(len(log.all), 2)
	change = log.all[1].GetChangeTasks()
	is.Equal(len(change.Ends), 0)
	is.Equal(len(change.Starts), 1)
	is.Equal(workflow.TaskIDOf(change.Starts[0].Task), workflow.TaskID{Job: "chain", Step: 1})
}

// TestListingsAsRareAsCommits spaces the listings of a target by the time of a commit: ends that
// are listed meanwhile wait anyway.
func TestListingsAsRareAsCommits(t *testing.T) {
	d := new(Driver)
	for _, test := range []struct{ commit, want time.Duration }{
		{0, listingPause},
		{6 * time.Millisecond, listingPause},
		{60 * time.Millisecond, listingCommits * 60 * time.Millisecond},
		{time.Second, maxListingPause},
	} {
		d.commitTook.Store(int64(test.commit))
		is.New(t).Equal(d.pauseBetweenListings(&link{}), test.want)
	}
}
