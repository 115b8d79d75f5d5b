package maintenance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_700_000_000_000)

// fleetOf returns a snapshot with pools of the given sizes over three zones.
func fleetOf(budget int, sizes ...int) Snapshot {
	s := Snapshot{Now: start, Budgets: make(map[string]int), IncompleteZones: make(map[string]string), Held: make(map[string]string)}
	for p, size := range sizes {
		pool := fmt.Sprintf("p%d", p)
		s.Budgets[pool] = budget
		for i := range size {
			zone := string(rune('a' + i%3))
			s.VMs = append(s.VMs, VM{Name: fmt.Sprintf("%s-%d", pool, i), Pool: pool, Zone: zone, Rack: zone + "0"})
		}
	}
	return s
}

// waveOver returns a wave of all VMs.
func waveOver(s Snapshot) Wave {
	w := Wave{ID: "w", Canary: 1, Declared: start}
	for _, vm := range s.VMs {
		w.VMs = append(w.VMs, vm.Name)
	}
	return w
}

func names(starts []Start) string {
	var out []string
	for _, s := range starts {
		out = append(out, s.VM)
	}
	return strings.Join(out, " ")
}

// TestCanaryThenGrowth checks that a wave takes out one VM first, then as many as
// are done, in one zone.
func TestCanaryThenGrowth(t *testing.T) {
	is := is.New(t)
	s := fleetOf(2, 12)
	w := waveOver(s)
	s.Waves = []Wave{w}
	is.Equal(names(MakePlan(s).Starts), "p0-0")
	s.Waves[0].Done = []string{"p0-0", "p0-1", "p0-2"}
	is.Equal(names(MakePlan(s).Starts), "p0-3 p0-6 p0-9") // three more, all of zone a
	s.Waves[0].Failed = []string{"p0-4"}
	is.Equal(len(MakePlan(s).Starts), 1) // a failure halves the growth
}

// TestStopsOnCorrelatedFailure checks that two failed reboots of three end the wave.
func TestStopsOnCorrelatedFailure(t *testing.T) {
	is := is.New(t)
	s := fleetOf(2, 12)
	w := waveOver(s)
	w.Done, w.Failed = []string{"p0-0"}, []string{"p0-1", "p0-2"}
	s.Waves = []Wave{w}
	plan := MakePlan(s)
	is.Equal(len(plan.Starts), 0)
	is.Equal(len(plan.Ends), 1)
	is.True(!plan.Ends[0].Done)
	is.True(strings.Contains(plan.Ends[0].Reason, "2 of 3 reboots failed together"))
}

// TestNoRoomAsksForASpareVM checks that a pool at its budget asks for a spare VM once.
func TestNoRoomAsksForASpareVM(t *testing.T) {
	is := is.New(t)
	s := fleetOf(3, 3)
	s.Waves = []Wave{waveOver(s)}
	plan := MakePlan(s)
	is.Equal(len(plan.Starts), 0)
	is.Equal(len(plan.SpareRequests), 1)
	is.Equal(plan.SpareRequests[0].Pool, "p0")
	is.Equal(len(plan.Waits), 3)
}

// TestPredict checks that the forecast tells whether a wave can finish, and why not.
func TestPredict(t *testing.T) {
	is := is.New(t)
	s := fleetOf(2, 6)
	w := waveOver(s)
	w.Deadline = start.Add(2 * time.Hour)
	f := Predict(s, w, 5*time.Minute, 0)
	is.True(f.Feasible)
	w.Deadline = start.Add(10 * time.Minute)
	f = Predict(s, w, 5*time.Minute, 0)
	is.True(!f.Feasible)
	is.True(strings.Contains(f.Reason, "cannot finish by the deadline because it needs"))
	full := fleetOf(6, 6)
	f = Predict(full, waveOver(full), 5*time.Minute, 0)
	is.True(!f.Feasible)
	is.True(strings.Contains(f.Reason, "pool p0 has no room"))
	is.True(Predict(full, waveOver(full), 5*time.Minute, 1).Feasible) // with one VM lent
}

// TestDeadlineEndsTheWave checks that no VM is taken out after the deadline.
func TestDeadlineEndsTheWave(t *testing.T) {
	is := is.New(t)
	s := fleetOf(2, 6)
	w := waveOver(s)
	w.Done, w.Deadline = []string{"p0-0"}, start.Add(-time.Second)
	s.Waves = []Wave{w}
	plan := MakePlan(s)
	is.Equal(len(plan.Starts), 0)
	is.Equal(len(plan.Ends), 1)
	is.True(strings.Contains(plan.Ends[0].Reason, "deadline"))
}

// TestPlanKeepsBudgetsAndOneZone draws random fleets and waves, and checks that no
// plan takes a pool below its budget, has VMs out in two zones at once, exceeds a
// wave's limit, or takes out a VM that is unavailable or in an incomplete zone.
func TestPlanKeepsBudgetsAndOneZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := fleetOf(rapid.IntRange(0, 4).Draw(t, "budget"), rapid.SliceOfN(rapid.IntRange(1, 9), 1, 4).Draw(t, "sizes")...)
		w := waveOver(s)
		w.MaxParallel = rapid.IntRange(0, 3).Draw(t, "parallel")
		w.Canary = rapid.IntRange(1, 3).Draw(t, "canary")
		zone := ""
		available, out := make(map[string]int), 0
		for i := range s.VMs {
			vm := &s.VMs[i]
			switch rapid.IntRange(0, 5).Draw(t, "condition") {
			case 0:
				vm.Condition = Lost
			case 1:
				if zone == "" || zone == vm.Zone {
					vm.Condition, vm.Wave, zone = Out, "w", vm.Zone
					out++
				}
			case 2:
				w.Done = append(w.Done, vm.Name)
			}
			if vm.Condition == Available {
				available[vm.Pool]++
			}
		}
		s.IncompleteZones["c"] = rapid.SampledFrom([]string{"", "an entry VM is silent"}).Draw(t, "incomplete")
		s.Waves = []Wave{w}
		plan := MakePlan(s)
		byName := make(map[string]VM)
		for _, vm := range s.VMs {
			byName[vm.Name] = vm
		}
		for _, start := range plan.Starts {
			vm := byName[start.VM]
			available[vm.Pool]--
			out++
			if vm.Condition != Available || s.IncompleteZones[vm.Zone] != "" {
				t.Fatalf("%s is taken out, it is in condition %d, zone incomplete: %q", vm.Name, vm.Condition, s.IncompleteZones[vm.Zone])
			}
			if available[vm.Pool] < s.Budgets[vm.Pool] {
				t.Fatalf("pool %s is left with %d available VMs", vm.Pool, available[vm.Pool])
			}
			if zone != "" && vm.Zone != zone {
				t.Fatalf("%s of zone %s is taken out while VMs of zone %s are out", vm.Name, vm.Zone, zone)
			}
			zone = vm.Zone
		}
		if w.MaxParallel > 0 && len(plan.Starts) > 0 && out > w.MaxParallel {
			t.Fatalf("%d VMs are out, the wave allows %d", out, w.MaxParallel)
		}
	})
}
