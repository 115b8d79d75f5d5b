package workflow

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "sapphirering/internal/workflow/workflowpb"
)

// TestPrune checks that jobs that ended before a time are found, and that pruning removes
// only ended jobs.
func TestPrune(t *testing.T) {
	is := is.New(t)
	m := New()
	index := uint64(0)
	apply := func(timeMS int64, command *pb.Command) {
		command.TimeUnixMs = timeMS
		data, err := proto.Marshal(command)
		is.NoErr(err)
		index++
		is.Equal(m.Apply(index, data).(*Outcome).Code, OK)
	}
	apply(1, &pb.Command{Body: &pb.Command_PutCatalogue{PutCatalogue: &pb.PutCatalogue{Catalogue: &pb.Catalogue{
		Version: 1, Pools: []*pb.Pool{{Name: "p"}}, Queues: []*pb.Queue{{Name: "q", Pool: "p", TimeoutMs: 1}},
	}}}})
	for i, id := range []string{"old", "new", "open"} {
		apply(int64(i+1), &pb.Command{Body: &pb.Command_SubmitJob{SubmitJob: &pb.SubmitJob{Job: &pb.Job{Id: id, Queue: "q", Steps: []*pb.Step{{Tasks: 1}}}}}})
	}
	apply(100, &pb.Command{Body: &pb.Command_CancelJob{CancelJob: &pb.CancelJob{Job: "old"}}})
	apply(900, &pb.Command{Body: &pb.Command_CancelJob{CancelJob: &pb.CancelJob{Job: "new"}}})
	var found []string
	m.View(func(v *View) { found = v.JobsEndedBefore(500, 10) })
	is.Equal(found, []string{"old"})
	apply(1000, &pb.Command{Body: &pb.Command_Prune{Prune: &pb.Prune{Jobs: []string{"old", "open"}}}})
	m.View(func(v *View) {
		is.True(v.Job("old") == nil)
		is.True(v.Job("new") != nil)
		is.True(v.Job("open") != nil) // a job that has not ended is never removed
	})
}
