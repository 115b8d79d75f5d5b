package assign

import (
	"cmp"
	"maps"
	"math/rand"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sapphirering/internal/policy/runtimes"
	"sapphirering/internal/policy/shares"
)

// drawJobs returns random jobs of one task each; all are within their rate.
func drawJobs(t *rapid.T) []Job {
	var jobs []Job
	for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
		id := string(rune('a' + i))
		j := simple(id, 1, 1000)
		j.Priority = uint32(rapid.IntRange(0, 2).Draw(t, "priority"))
		j.SubmittedMS = int64(rapid.IntRange(0, 3).Draw(t, "submitted"))
		j.RemainingMS = int64(rapid.IntRange(1, 20).Draw(t, "remaining")) * 100
		j.DeadlineMS = int64(rapid.IntRange(-10, 30).Draw(t, "deadline")) * 100
		j.LateDeadlineMS = j.DeadlineMS + int64(rapid.IntRange(0, 30).Draw(t, "late"))*100
		j.WorkMillisMS = int64(rapid.IntRange(0, 20).Draw(t, "work")) * 100_000
		j.Worth = float64(rapid.IntRange(1, 5).Draw(t, "worth"))
		j.Lasting = rapid.IntRange(0, 7).Draw(t, "lasting") == 0
		j.Copy = !j.Lasting && rapid.IntRange(0, 7).Draw(t, "copy") == 0
		jobs = append(jobs, j)
	}
	return jobs
}

// plannedOrder returns the ids of jobs in the order in which they are placed.
func plannedOrder(jobs []Job, capacity int64) []string {
	s := &Snapshot{Jobs: slices.Clone(jobs), CapacityMillis: capacity}
	Plan(s)
	return idsOf(s.Jobs)
}

func idsOf(jobs []Job) []string {
	var ids []string
	for _, j := range jobs {
		ids = append(ids, j.ID)
	}
	return ids
}

// orderWithoutRates is the order of jobs as it was before rates, written down independently.
func orderWithoutRates(jobs []Job, capacity int64) []string {
	inTime := func(j *Job) bool { return !j.Copy && !j.Lasting && j.RemainingMS <= j.DeadlineMS }
	dropped, byStart := map[string]bool{}, []Job{}
	for _, j := range jobs {
		if inTime(&j) && j.WorkMillisMS > 0 && capacity > 0 {
			byStart = append(byStart, j)
		}
	}
	slices.SortFunc(byStart, func(a, b Job) int {
		return cmp.Or(cmp.Compare(a.DeadlineMS-a.RemainingMS, b.DeadlineMS-b.RemainingMS), cmp.Compare(a.ID, b.ID))
	})
	var kept []Job
	for _, j := range byStart {
		kept = append(kept, j)
		for {
			work, least := int64(0), 0
			for i, k := range kept {
				work += k.WorkMillisMS
				a, b := k.Worth/float64(k.WorkMillisMS), kept[least].Worth/float64(kept[least].WorkMillisMS)
				if a < b || a == b && k.ID < kept[least].ID {
					least = i
				}
			}
			if work <= capacity*(j.DeadlineMS-j.RemainingMS) || len(kept) == 0 {
				break
			}
			dropped[kept[least].ID] = true
			kept = slices.Delete(kept, least, least+1)
		}
	}
	class := func(j *Job) int {
		switch {
		case j.Copy:
			return 5
		case j.Lasting:
			return 0
		case inTime(j) && dropped[j.ID]:
			return 2
		case inTime(j):
			return 1
		case j.RemainingMS <= j.LateDeadlineMS:
			return 3
		}
		return 4
	}
	out := slices.Clone(jobs)
	slices.SortStableFunc(out, func(a, b Job) int {
		start := 0
		if c := class(&a); c >= 1 && c <= 3 {
			start = cmp.Compare(a.DeadlineMS-a.RemainingMS, b.DeadlineMS-b.RemainingMS)
		}
		return cmp.Or(cmp.Compare(class(&a), class(&b)), cmp.Compare(a.Priority, b.Priority), start,
			cmp.Compare(a.SubmittedMS, b.SubmittedMS), cmp.Compare(a.ID, b.ID))
	})
	return idsOf(out)
}

// TestOrderWithinRates guards against rates that change the order of jobs while every workspace is
// within its own, and against jobs beyond the rate that change the order or the shed jobs of the others.
func TestOrderWithinRates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs, capacity := drawJobs(t), int64(rapid.IntRange(0, 3).Draw(t, "capacity"))*1000
		if got, want := plannedOrder(jobs, capacity), orderWithoutRates(jobs, capacity); !slices.Equal(got, want) {
			t.Fatalf("order %v, without rates %v", got, want)
		}
		var within []Job
		beyond := map[string]bool{}
		for i := range jobs {
			if jobs[i].BeyondRate = rapid.Bool().Draw(t, "beyond"); jobs[i].BeyondRate && !jobs[i].Lasting {
				beyond[jobs[i].ID] = true
			} else {
				within = append(within, jobs[i])
			}
		}
		got := slices.DeleteFunc(plannedOrder(jobs, capacity), func(id string) bool { return beyond[id] })
		if want := plannedOrder(within, capacity); !slices.Equal(got, want) {
			t.Fatalf("order %v beside jobs beyond their rates, %v without them", got, want)
		}
	})
}

// TestBeyondRateComesAfter checks the place of a job beyond the rate among jobs within theirs, and
// that its wait has a reason for which no run is stopped.
func TestBeyondRateComesAfter(t *testing.T) {
	late := func(j *Job) { j.DeadlineMS = -1 }
	worthless := func(j *Job) { j.DeadlineMS, j.LateDeadlineMS = -1, -1 }
	none := func(*Job) {}
	for _, test := range []struct {
		name           string
		beyond, within func(*Job)
		first          bool
	}{
		{"urgent, of a higher priority", func(j *Job) { j.DeadlineMS, j.Priority = 1000, 0 }, func(j *Job) { j.Priority = 1 }, false},
		{"in time, the other late", none, late, true},
		{"late, the other late", late, late, false},
		{"late, the other worthless", late, worthless, false},
		{"worthless, the other a copy", worthless, func(j *Job) { j.Copy = true }, true},
		{"a copy", func(j *Job) { j.Copy = true }, worthless, false},
		{"both copies", func(j *Job) { j.Copy = true }, func(j *Job) { j.Copy = true }, false},
		{"lasting", func(j *Job) { j.Lasting = true }, none, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			beyond, within := simple("a", 1, 1000), simple("b", 1, 1000)
			beyond.BeyondRate = true
			test.beyond(&beyond)
			test.within(&within)
			starts, waits := Plan(&Snapshot{Targets: []Target{target("t", 1000)}, Jobs: []Job{beyond, within}})
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Task.Job == "a", test.first)
			for _, wait := range waits {
				if wait.Job == "a" {
					is.Equal(wait.Reason, WaitRate)
				}
			}
		})
	}
}

// A load of 20 workspaces that fills its pool; each is entitled to twice its usual rate. For 6 s two
// of them send five times that rate.
const (
	workspaces            = 20
	surgeFromMS, surgeMS  = 4000, 6000
	surgeLoadMS           = 14_000
	surging, surgeFactor  = 2, 5
	usualJobsPerSecond    = 93.0 / workspaces
	surgeWeight           = 2 * usualJobsPerSecond
	fullPoolShare         = 1.05
	surgeEstimatesLearned = 300
)

// newSurge returns the usual load, and the same with the additional jobs of the surge.
func newSurge(rng *rand.Rand) (usual, surge []*burstJob) {
	for w := range workspaces {
		for _, j := range newArrivals(rng, rng.ExpFloat64()*1000/usualJobsPerSecond, surgeLoadMS, usualJobsPerSecond) {
			j.workspace = w
			usual = append(usual, j)
		}
	}
	surge = slices.Clone(usual)
	for w := range surging {
		for _, j := range newArrivals(rng, surgeFromMS, surgeFromMS+surgeMS, (surgeFactor-1)*usualJobsPerSecond) {
			j.workspace = w
			surge = append(surge, j)
		}
	}
	for _, jobs := range [][]*burstJob{usual, surge} {
		slices.SortStableFunc(jobs, func(a, b *burstJob) int { return cmp.Compare(a.atMS, b.atMS) })
	}
	return usual, surge
}

// markRates marks the jobs beyond the rate of their workspace, or none if the weight is 0.
func markRates(jobs []*burstJob, weight float64) {
	var buckets [workspaces]shares.Bucket
	for i := range buckets {
		buckets[i] = shares.Full(weight, 0)
	}
	for _, j := range jobs {
		j.beyondRate = !buckets[j.workspace].Take(weight, j.atMS)
	}
}

// learnedEstimates returns a model that has seen runs.
func learnedEstimates(rng *rand.Rand) (learned runtimes.Model) {
	for range surgeEstimatesLearned {
		takes, estimate := estimated(rng)
		learned.Note(estimate, takes+listLagMS)
	}
	return learned
}

// fullPool returns a pool with little more room than the usual load needs.
func fullPool(usual []*burstJob) supply {
	vms := max(int(fullPoolShare*meanWork(usual)*workspaces*usualJobsPerSecond/vmCPUMillis), 1)
	return supply{idle: vms, all: vms}
}

// TestReplaySurgeOfTwoWorkspaces replays the surge with and without rates: with rates the jobs of the
// other workspaces earn within a tenth what they earn without the surge. Without rates, they queue
// behind those of the surge.
func TestReplaySurgeOfTwoWorkspaces(t *testing.T) {
	const seeds, lagMS = 3, startLagMS + commitLagMS
	sums := make(map[string]float64)
	for seed := range int64(seeds) {
		rng := rand.New(rand.NewSource(seed))
		usual, surge := newSurge(rng)
		learned := learnedEstimates(rng)
		mean := meanWork(usual)
		s := fullPool(usual)
		replay := func(name string, jobs []*burstJob, weight float64) {
			markRates(jobs, weight)
			ended := simulate(jobs, s, learned, lagMS, planStarts)
			var others, own, beyond []*openJob
			for _, j := range ended {
				switch {
				case j.workspace >= surging:
					others = append(others, j)
				case j.beyondRate:
					beyond = append(beyond, j)
				default:
					own = append(own, j)
				}
			}
			sums[name+": others"] += earnedPart(others, mean) / seeds
			sums[name+": surging"] += earnedPart(own, mean) / seeds
			sums[name+": all"] += earnedPart(ended, mean) / seeds
			if len(beyond) > 0 {
				sums[name+": beyond"] += earnedPart(beyond, mean) / seeds
			}
		}
		replay("no surge", usual, surgeWeight)
		replay("surge without rates", surge, 0)
		replay("surge", surge, surgeWeight)
	}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		t.Logf("part of the worth, %s: %.3f", name, sums[name])
	}
	if got, want := sums["surge: others"], 0.9*sums["no surge: others"]; got < want {
		t.Errorf("the other workspaces earn %.3f during the surge, want at least %.3f", got, want)
	}
	if gain := sums["surge: others"] - sums["surge without rates: others"]; gain < 0.05 {
		t.Errorf("rates gain the other workspaces %.3f, want at least 0.05", gain)
	}
}
