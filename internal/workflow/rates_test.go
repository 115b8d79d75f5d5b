package workflow

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/matryer/is"

	pb "sapphirering/internal/workflow/workflowpb"
)

// TestRates submits more jobs than the weight of a workspace allows, takes the state over a snapshot
// between any two of them, and compares: a leader elected in between must come to the same decisions.
func TestRates(t *testing.T) {
	const begin = 1_000_000
	catalogue := func(version uint64, weight float64) *pb.Catalogue {
		return &pb.Catalogue{
			Version: version, Pools: []*pb.Pool{{Name: "p"}}, Queues: []*pb.Queue{{Name: "q", Host: "h", Pool: "p", TimeoutMs: 1}},
			Workspaces: []*pb.Workspace{{Name: "w", Weight: weight}, {Name: "no rate"}},
		}
	}
	lasting := &pb.Job{Workspace: "w", Steps: []*pb.Step{{Tasks: 1, Lasting: true, MaxUnavailable: 1}}}
	timed := &pb.Job{Workspace: "w", Steps: []*pb.Step{{Tasks: 1}}, Occurrences: 2, IntervalMs: 1000}
	short := func(workspace string) *pb.Job {
		return &pb.Job{Workspace: workspace, Steps: []*pb.Step{{Tasks: 1}}, BeyondRate: true} // the caller's claim is not used
	}
	type submission struct {
		atMS   int64
		job    *pb.Job
		beyond bool
	}
	for _, test := range []struct {
		name   string
		weight float64
		jobs   []submission
	}{
		{"two a second", 2, []submission{{0, short("w"), false}, {0, short("w"), false}, {0, short("w"), true}, {499, short("w"), true}, {500, short("w"), false}, {500, short("w"), true}, {9000, short("w"), false}, {9000, short("w"), false}, {9000, short("w"), true}}},
		{"one in two seconds", 0.5, []submission{{0, short("w"), false}, {1999, short("w"), true}, {2000, short("w"), false}}},
		{"no weight", 0, []submission{{0, short("w"), false}, {0, short("w"), false}}},
		{"a negative weight, accepted earlier", -1, []submission{{0, short("w"), false}, {0, short("w"), false}}},
		{"jobs that take nothing", 1, []submission{{0, lasting, false}, {0, timed, false}, {0, short(""), false}, {0, short("gone"), false}, {0, short("no rate"), false}, {0, short("w"), false}, {0, short("w"), true}, {0, lasting, false}, {0, timed, false}}},
		{"the clock goes back", 1, []submission{{1000, short("w"), false}, {0, short("w"), true}, {1500, short("w"), true}, {2000, short("w"), false}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := &testMachine{t: t, machine: New()}
			is.Equal(m.put(catalogue(1, test.weight)).Code, OK)
			for i, s := range test.jobs {
				snapshot, err := m.machine.Snapshot()
				is.NoErr(err)
				restored := &testMachine{t: t, machine: New(), index: m.index}
				is.NoErr(restored.machine.Restore(snapshot))
				s.job.Id, s.job.Queue = fmt.Sprint(i), "q"
				for _, machine := range []*testMachine{m, restored} {
					for range 2 { // a resent submission takes nothing and changes nothing
						is.Equal(machine.apply(&pb.Command{TimeUnixMs: begin + s.atMS, Body: &pb.Command_SubmitJob{SubmitJob: &pb.SubmitJob{Job: s.job}}}).Code, OK)
					}
					machine.machine.View(func(v *View) { is.Equal(v.Job(s.job.Id).Spec.BeyondRate, s.beyond) })
				}
				one, err := m.machine.Snapshot()
				is.NoErr(err)
				other, err := restored.machine.Snapshot()
				is.NoErr(err)
				is.True(slices.Equal(one, other))
				m = restored
			}
			is.Equal(m.put(&pb.Catalogue{Version: 2}).Code, OK)
			is.Equal(len(m.machine.rates), 0) // no catalogue leaves buckets behind
		})
	}
}

// TestCheckWeights checks which weights a new catalogue may hold, and that the state still applies any: a log
// of an earlier version may hold them.
func TestCheckWeights(t *testing.T) {
	for _, test := range []struct {
		weight float64
		valid  bool
	}{
		{0, true}, {1, true}, {0.001, true}, {1e9, true}, {-1, false}, {2e9, false}, {math.Inf(1), false}, {math.Inf(-1), false}, {math.NaN(), false},
	} {
		c := &pb.Catalogue{Version: 1, Workspaces: []*pb.Workspace{{Name: "w", Weight: test.weight}}}
		if err := CheckWeights(c); (err == nil) != test.valid || err != nil && !errors.Is(err, ErrInvalidCatalogue) {
			t.Errorf("weight %g: %v", test.weight, err)
		}
		if err := CheckCatalogue(c); err != nil {
			t.Errorf("weight %g of an earlier version: %v", test.weight, err)
		}
	}
}

// TestRateChange changes the weight of a workspace that has used up its rate: the new rate counts from
// then on, and a smaller bucket holds no more than it may.
func TestRateChange(t *testing.T) {
	is := is.New(t)
	m := &testMachine{t: t, machine: New()}
	put := func(version uint64, weight float64) {
		is.Equal(m.put(&pb.Catalogue{
			Version: version, Pools: []*pb.Pool{{Name: "p"}}, Queues: []*pb.Queue{{Name: "q", Host: "h", Pool: "p", TimeoutMs: 1}},
			Workspaces: []*pb.Workspace{{Name: "w", Weight: weight}},
		}).Code, OK)
	}
	next := 0
	beyond := func(atMS int64) (out bool) {
		next++
		id := fmt.Sprint(next)
		m.apply(&pb.Command{TimeUnixMs: atMS, Body: &pb.Command_SubmitJob{SubmitJob: &pb.SubmitJob{Job: &pb.Job{Id: id, Queue: "q", Workspace: "w", Steps: []*pb.Step{{Tasks: 1}}}}}})
		m.machine.View(func(v *View) { out = v.Job(id).Spec.BeyondRate })
		return out
	}
	put(1, 1)
	is.Equal([]bool{beyond(1000), beyond(1000)}, []bool{false, true})
	put(2, 10)
	is.Equal([]bool{beyond(1100), beyond(1100)}, []bool{false, true})
	is.Equal(beyond(5000), false)
	put(3, 1)
	is.Equal([]bool{beyond(5000), beyond(5000)}, []bool{false, true})
	put(4, 0)
	is.Equal([]bool{beyond(5000), beyond(5000)}, []bool{false, false})
}
