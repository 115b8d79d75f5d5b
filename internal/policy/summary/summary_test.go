package summary

import (
	"errors"
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "sapphirering/internal/workflow/workflowpb"
)

// TestReplayLeadersLost replays the load pattern of the package: 340 queues finish 200 runs a second and the leader
// is lost every 3 s. It guards against leaders that lose all they learned, and against summaries that come more
// often than MinIntervalMS.
func TestReplayLeadersLost(t *testing.T) {
	is := is.New(t)
	const queues, perSecond, stepMS, leadershipMS = 340, 200, 250, 3000
	keptMS, change, kept, runs, lastMS := int64(0), 0.0, 0, make([]float64, queues), int64(0)
	for nowMS := int64(1_000_000); nowMS < 1_060_000; nowMS += stepMS {
		if (nowMS-1_000_000)%leadershipMS == 0 {
			change = 0
		}
		for i := range perSecond * stepMS / 1000 {
			q := (int(nowMS/stepMS)*50 + i) % queues
			change += Change(runs[q])
			runs[q]++
		}
		if Due(nowMS, keptMS, queues, change) {
			is.True(keptMS == 0 || nowMS-keptMS >= MinIntervalMS)
			is.True(keptMS != 0 || nowMS < 1_001_000) // the first within a second
			keptMS, change, kept, lastMS = nowMS, 0, kept+1, nowMS
		}
	}
	t.Logf("%d summaries in a minute", kept)
	is.True(kept >= 6 && kept <= 12)
	is.True(lastMS > 1_040_000)
}

// TestDue guards against summaries without a change, and against none after a clock was set back.
func TestDue(t *testing.T) {
	for i, test := range []struct {
		now, kept int64
		change    float64
		due       bool
	}{
		{100_000, 0, 0, false}, {100_000, 0, 0.1, false}, {100_000, 0, 0.5, true},
		{100_000, 96_000, 5, false}, {100_000, 95_000, 5, true}, {100_000, 95_000, 0.1, false},
		{100_000, 40_000, 0.01, true}, {100_000, 40_000, 0, false}, {100_000, 900_000, 0.5, true},
	} {
		if got := Due(test.now, test.kept, 1, test.change); got != test.due {
			t.Errorf("case %d: due %v", i, got)
		}
	}
	if Due(100_000, 95_000, 340, 5) || !Due(100_000, 95_000, 340, 11) {
		t.Error("many queues need a larger change")
	}
	if w := Weight(2000, 1000); math.Abs(w-0.25) > 1e-9 || Weight(-5, 1000) != 1 {
		t.Errorf("weight after two half-lives: %g", w)
	}
}

// TestFit guards against a summary above the limit, and against the loss of well-known queues while there are
// VMs close to normal left.
func TestFit(t *testing.T) {
	is := is.New(t)
	s := &pb.Learned{Version: Version, Pools: []*pb.LearnedPool{{Pool: "p"}}}
	for i := range 100 {
		s.Queues = append(s.Queues, &pb.LearnedQueue{Queue: fmt.Sprintf("queue-%03d", i), Runs: float64(i)})
		s.Vms = append(s.Vms, &pb.LearnedVM{Vm: fmt.Sprintf("vm-%03d", i), Slowness: 1.3 + float64(i)/100})
	}
	is.Equal(Fit(s, 1<<20), 0)
	max := proto.Size(s) - 500
	dropped := Fit(s, max)
	is.True(dropped > 0 && proto.Size(s) <= max)
	is.Equal(len(s.Queues), 100)
	is.Equal(s.Vms[0].Slowness, 1.3+0.99)
	Fit(s, 1000)
	is.True(proto.Size(s) <= 1000)
	is.Equal(len(s.Vms), 0)
	is.Equal(s.Queues[0].Runs, 99.0)
	Fit(s, 10)
	is.True(proto.Size(s) <= 10)
}

// TestCheck guards against the use of a summary of another version, or with values that would make predictions
// that are not finite.
func TestCheck(t *testing.T) {
	good := func() *pb.Learned {
		return &pb.Learned{
			Version: Version, Queues: []*pb.LearnedQueue{{Queue: "q", Runs: 4, X: 28, Y: 29, Xx: 196.5, Xy: 203, Residual: 1, Predicted: 4, Within: 3}},
			Pools: []*pb.LearnedPool{{Pool: "p", StartsUnixMs: []int64{1, 2}, PeakMillis: 5}}, Vms: []*pb.LearnedVM{{Vm: "v", Slowness: 2}},
		}
	}
	if err := Check(good()); err != nil {
		t.Fatal(err)
	}
	for i, spoil := range []func(*pb.Learned){
		func(s *pb.Learned) { s.Version = 2 }, func(s *pb.Learned) { s.Version = 0 },
		func(s *pb.Learned) { s.Queues[0].Runs = math.NaN() }, func(s *pb.Learned) { s.Queues[0].Runs = -1 },
		func(s *pb.Learned) { s.Queues[0].X = math.Inf(1) }, func(s *pb.Learned) { s.Queues[0].Y = 1e9 },
		func(s *pb.Learned) { s.Queues[0].Xx = 10 }, func(s *pb.Learned) { s.Queues[0].Xy = math.NaN() },
		func(s *pb.Learned) { s.Queues[0].Residual = -1 }, func(s *pb.Learned) { s.Queues[0].Residual = math.Inf(1) },
		func(s *pb.Learned) { s.Queues[0].Within = 9 }, func(s *pb.Learned) { s.Queues[0].Predicted = math.Inf(1) },
		func(s *pb.Learned) { s.Vms[0].Slowness = 0 }, func(s *pb.Learned) { s.Vms[0].Slowness = math.NaN() },
		func(s *pb.Learned) { s.Pools[0].PeakMillis = -1 }, func(s *pb.Learned) { s.Pools[0].StartsUnixMs = []int64{2, 1} },
	} {
		s := good()
		spoil(s)
		if err := Check(s); !errors.Is(err, ErrUnusable) {
			t.Errorf("case %d: %v", i, err)
		}
	}
}
