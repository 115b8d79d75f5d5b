package replay

import (
	"errors"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

const fleetTraces = "../../testdata/traces"

// TestFleetTraces replays every trace of capacity and maintenance with the policies
// and with the naive baseline, checks the budget at every committed index, and checks
// the outcome that the trace states. It prints the figures.
func TestFleetTraces(t *testing.T) {
	var paths []string
	for _, pattern := range []string{"capacity-*.yaml", "maintenance-*.yaml"} {
		found, err := filepath.Glob(filepath.Join(fleetTraces, pattern))
		if err != nil {
			t.Fatal(err)
		}
		paths = append(paths, found...)
	}
	if len(paths) == 0 {
		t.Fatal("no trace found")
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".yaml"), func(t *testing.T) {
			t.Parallel()
			trace, err := LoadFleetTrace(path)
			if err != nil {
				t.Fatal(err)
			}
			var runs sync.WaitGroup
			var got, naive FleetResult
			var gotErr, naiveErr error
			runs.Go(func() { got, gotErr = RunFleet(trace, false) })
			runs.Go(func() { naive, naiveErr = RunFleet(trace, true) })
			runs.Wait()
			if err := errors.Join(gotErr, naiveErr); err != nil {
				t.Fatal(err)
			}
			t.Logf("%s\n%s\n%s", FleetHeader, FleetRow("policies", got), FleetRow("baseline", naive))
			for _, miss := range trace.Expect.Check(got, naive) {
				t.Error(miss)
			}
		})
	}
}

// BenchmarkFleetPlan measures one planning round of both policies.
func BenchmarkFleetPlan(b *testing.B) {
	for name, path := range map[string]string{
		"vms=48": "maintenance-hedgerow-release.yaml", "vms=530": "maintenance-target-period.yaml",
	} {
		b.Run(name, func(b *testing.B) {
			trace, err := LoadFleetTrace(filepath.Join(fleetTraces, path))
			if err != nil {
				b.Fatal(err)
			}
			r := newFleetRun(trace, false)
			r.now = 2 * time.Hour
			r.declare(&FleetWave{Deadline: trace.Duration, Canary: 1})
			b.ReportAllocs()
			for b.Loop() {
				r.makePlans()
			}
		})
	}
}
