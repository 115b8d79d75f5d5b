package replay

import (
	"path/filepath"
	"testing"
)

// TestReplayShare replays every share and placement trace through the policies
// and the baseline, prints both results, and checks the policies against the bounds
// that the trace states.
func TestReplayShare(t *testing.T) {
	for _, pattern := range []string{"share-*.yaml", "placement-*.yaml"} {
		paths, err := filepath.Glob(filepath.Join("../../testdata/traces", pattern))
		if err != nil || len(paths) == 0 {
			t.Fatalf("no traces match %s: %v", pattern, err)
		}
		for _, path := range paths {
			t.Run(filepath.Base(path), func(t *testing.T) {
				t.Parallel()
				replayShare(t, path)
			})
		}
	}
}

func replayShare(t *testing.T, path string) {
	trace, err := LoadShareTrace(path)
	if err != nil {
		t.Fatal(err)
	}
	policy := ReplayShare(trace, NewPolicyPlanner())
	naive := ReplayShare(trace, NaivePlanner{})
	for _, row := range []struct {
		name string
		ShareResult
	}{{"policy", policy}, {"naive", naive}} {
		t.Logf("%-6s distance from share %.3f, urgent start p99 %6.0f ms, done %6d, lost %4d, never %3d, preempted %3d, plan %s",
			row.name, row.Distance, row.UrgentP99MS, row.Done, row.Lost, row.Unplaceable, row.Preempted, row.PlanMean)
	}
	checkShare(t, trace.Expect, policy, naive)
}

func checkShare(t *testing.T, want ShareExpectation, policy, naive ShareResult) {
	if policy.Distance > want.MaxDistance {
		t.Errorf("distance from share %.3f, at most %.3f is stated", policy.Distance, want.MaxDistance)
	}
	if want.MaxOfNaive > 0 && policy.Distance > want.MaxOfNaive*naive.Distance {
		t.Errorf("distance from share %.3f, at most %.2f of the baseline's %.3f is stated", policy.Distance, want.MaxOfNaive, naive.Distance)
	}
	if policy.UrgentP99MS > want.MaxUrgentP99MS {
		t.Errorf("urgent start p99 %.0f ms, at most %.0f ms is stated", policy.UrgentP99MS, want.MaxUrgentP99MS)
	}
	if policy.Lost > want.MaxLost {
		t.Errorf("%d jobs lost, at most %d are stated", policy.Lost, want.MaxLost)
	}
	if float64(policy.Done) < want.MinDoneOfNaive*float64(naive.Done) {
		t.Errorf("%d jobs done, at least %.2f of the baseline's %d is stated", policy.Done, want.MinDoneOfNaive, naive.Done)
	}
}
