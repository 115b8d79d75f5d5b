package workflow

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "sapphirering/internal/workflow/workflowpb"
)

// TestLearnedIsKept guards against a summary that is lost with a snapshot, that outlives its queue, or that grows
// the state without bound.
func TestLearnedIsKept(t *testing.T) {
	is := is.New(t)
	m := New()
	index := uint64(0)
	apply := func(command *pb.Command) *Outcome {
		data, err := proto.Marshal(command)
		is.NoErr(err)
		index++
		return m.Apply(index, data).(*Outcome)
	}
	put := func(l *pb.Learned) *Outcome {
		return apply(&pb.Command{Body: &pb.Command_PutLearned{PutLearned: &pb.PutLearned{Learned: l}}})
	}
	catalogue := &pb.Catalogue{Version: 1, Pools: []*pb.Pool{{Name: "p"}}, Queues: []*pb.Queue{
		{Name: "a", Host: "H", PathPrefix: "/a/", Pool: "p", TimeoutMs: 1}, {Name: "b", Host: "h", PathPrefix: "/b/", Pool: "p", TimeoutMs: 1},
	}}
	is.Equal(apply(&pb.Command{Body: &pb.Command_PutCatalogue{PutCatalogue: &pb.PutCatalogue{Catalogue: catalogue}}}).Code, OK)
	is.Equal(put(nil).Code, Invalid)
	is.Equal(put(&pb.Learned{Queues: []*pb.LearnedQueue{{Queue: strings.Repeat("q", MaxLearnedBytes)}}}).Code, Invalid)
	stored := func() *pb.Learned {
		var l *pb.Learned
		m.View(func(v *View) { l = v.Learned() })
		return l
	}
	is.True(stored() == nil) // a refused summary changes nothing
	is.Equal(put(&pb.Learned{
		Version: 7, AtUnixMs: 5, Queues: []*pb.LearnedQueue{{Queue: "h/a/", Runs: 2}, {Queue: "h/b/", Runs: 3}, {Queue: "h/c/"}},
		Pools: []*pb.LearnedPool{{Pool: "p"}, {Pool: "gone"}}, Vms: []*pb.LearnedVM{{Vm: "v"}},
	}).Code, OK)
	is.Equal(len(stored().Queues), 2)
	is.Equal(len(stored().Pools), 1)

	data, err := m.Snapshot()
	is.NoErr(err)
	before := proto.CloneOf(stored())
	m = New()
	is.NoErr(m.Restore(data))
	is.True(proto.Equal(stored(), before))

	catalogue.Version, catalogue.Queues = 2, catalogue.Queues[1:]
	is.Equal(apply(&pb.Command{Body: &pb.Command_PutCatalogue{PutCatalogue: &pb.PutCatalogue{Catalogue: catalogue}}}).Code, OK)
	is.Equal(len(stored().Queues), 1)
	is.Equal(stored().Queues[0].Queue, "h/b/")
	is.Equal(stored().Version, uint32(7))
}
