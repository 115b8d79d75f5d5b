package preempt

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/matryer/is"

	"sapphirering/internal/workflow"
)

func cores(n int64) workflow.Resources { return workflow.Resources{CPUMillis: n * 1000, MemoryMB: n} }

func task(name string) workflow.TaskID { return workflow.TaskID{Job: name} }

func anywhere(int) bool { return true }

// TestPlan covers who stops for whom.
func TestPlan(t *testing.T) {
	long := Run{ID: task("long"), Room: cores(8), Priority: 1, EndsInMS: 30_000, UnsavedMS: 9000}
	saved := Run{ID: task("saved"), Room: cores(8), Priority: 1, EndsInMS: 30_000, UnsavedMS: 400}
	with := func(r Run, change func(*Run)) Run {
		change(&r)
		return r
	}
	lasting := Waiting{Task: task("w"), Room: cores(4), Lasting: true, WaitsMS: 2500, Admits: anywhere}
	urgent := Waiting{Task: task("w"), Room: cores(4), SlackMS: 1000, RunMS: 1000, Admits: anywhere}
	waits := func(w Waiting, change func(*Waiting)) Waiting {
		change(&w)
		return w
	}
	for _, test := range []struct {
		name    string
		waiting Waiting
		runs    []Run
		want    []string
	}{
		{"a lasting task takes the run that loses least", lasting, []Run{long, saved}, []string{"saved"}},
		{"as many as it needs", waits(lasting, func(w *Waiting) { w.Room = cores(12) }), []Run{long, saved}, []string{"saved", "long"}},
		{"not before it has waited", waits(lasting, func(w *Waiting) { w.WaitsMS = 1000 }), []Run{saved}, nil},
		{"nothing for what ends soon", lasting, []Run{with(long, func(r *Run) { r.EndsInMS = 300 }), saved}, nil},
		{"nothing while a run is stopping", lasting, []Run{with(long, func(r *Run) { r.Stopping = true }), saved}, nil},
		{"no lasting or unknown run", lasting, []Run{with(saved, func(r *Run) { r.NonPreemptible = true })}, nil},
		{"a lasting task goes before any priority", lasting, []Run{with(saved, func(r *Run) { r.Priority = 0 })}, []string{"saved"}},
		{"nothing where all runs together have no room", waits(lasting, func(w *Waiting) { w.Room = cores(20) }), []Run{long, saved}, nil},
		{"nothing where it may not run", waits(lasting, func(w *Waiting) { w.Admits = func(int) bool { return false } }), []Run{saved}, nil},
		{"an urgent task takes a run of lower priority", urgent, []Run{long, saved}, []string{"saved"}},
		{"not one of its own", urgent, []Run{with(saved, func(r *Run) { r.Priority = 0 })}, nil},
		{"not when more is lost than it does", urgent, []Run{long}, nil},
		{"not while it can wait", waits(urgent, func(w *Waiting) { w.SlackMS = 40_000 }), []Run{saved}, nil},
		{"not when it is late anyway", waits(urgent, func(w *Waiting) { w.SlackMS = -1 }), []Run{saved}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var got []string
			for _, v := range Plan([]Waiting{test.waiting}, []Target{{ID: "t", Runs: test.runs}}) {
				got = append(got, v.Run.Job)
			}
			is.Equal(got, test.want)
		})
	}
}

// TestRoomIsGivenOnce has two tasks wait for the room of one run.
func TestRoomIsGivenOnce(t *testing.T) {
	is := is.New(t)
	run := func(name string) Run {
		return Run{ID: task(name), Room: cores(8), EndsInMS: 30_000, UnsavedMS: 1000}
	}
	w := Waiting{Task: task("w"), Room: cores(6), Lasting: true, WaitsMS: 3000, Admits: anywhere}
	targets := []Target{{ID: "a", Runs: []Run{run("1")}}, {ID: "b", Runs: []Run{run("2")}}}
	victims := Plan([]Waiting{w, w, w}, targets)
	is.Equal(len(victims), 2) // one a target, the third task has no room left
	is.True(victims[0].Target != victims[1].Target)
}

// fullPool replays the load of the package: targets full of tasks that run for half a
// minute, and lasting tasks of a lost target that wait for room. It returns the
// seconds until the last of them is at work, and the core seconds thrown away.
func fullPool(seed int64, plan func([]Waiting, []Target) []Victim) (seconds, thrownAway float64) {
	const stepMS, stopMS = 100, 400
	rng := rand.New(rand.NewSource(seed))
	targets := make([]Target, 8)
	gone := make(map[workflow.TaskID]int64)
	for i := range targets {
		targets[i].ID = fmt.Sprint(i)
		for k := range 4 {
			targets[i].Runs = append(targets[i].Runs, Run{ID: task(fmt.Sprint(i, k)), Room: cores(4), EndsInMS: 5000 + rng.Int63n(25_000), UnsavedMS: rng.Int63n(2000)})
		}
	}
	var waiting []Waiting
	for i := range 5 {
		waiting = append(waiting, Waiting{Task: task(fmt.Sprint("w", i)), Room: cores(3), Lasting: true, Admits: anywhere})
	}
	for now := int64(0); ; now += stepMS {
		for i := range targets {
			left := targets[i].Runs[:0]
			for _, r := range targets[i].Runs {
				r.EndsInMS -= stepMS
				at, stopped := gone[r.ID]
				if stopped && now >= at || r.EndsInMS <= 0 {
					targets[i].Free = targets[i].Free.Add(r.Room)
					continue
				}
				left = append(left, r)
			}
			targets[i].Runs = left
		}
		rest := waiting[:0]
		for _, w := range waiting {
			w.WaitsMS = now
			placed := false
			for i := range targets {
				if !placed && w.Room.FitsIn(targets[i].Free) {
					targets[i].Free, placed = targets[i].Free.Sub(w.Room), true
				}
			}
			if !placed {
				rest = append(rest, w)
			}
		}
		if waiting = rest; len(waiting) == 0 {
			return float64(now) / 1000, thrownAway
		}
		for _, v := range plan(waiting, snapshot(targets)) {
			gone[v.Run] = now + stopMS
			thrownAway += float64(v.LossMillisMS) / 1e6
			for i := range targets {
				for k := range targets[i].Runs {
					targets[i].Runs[k].Stopping = targets[i].Runs[k].Stopping || targets[i].Runs[k].ID == v.Run
				}
			}
		}
	}
}

func snapshot(targets []Target) []Target {
	out := make([]Target, len(targets))
	for i, t := range targets {
		out[i] = Target{ID: t.ID, Free: t.Free, Runs: append([]Run(nil), t.Runs...)}
	}
	return out
}

// TestReplayFullPool compares the policy with waiting: lasting tasks are at work within
// three seconds, not after the longest of their neighbours.
func TestReplayFullPool(t *testing.T) {
	for seed := range int64(5) {
		seconds, thrownAway := fullPool(seed, Plan)
		naive, _ := fullPool(seed, func([]Waiting, []Target) []Victim { return nil })
		t.Logf("seed %d: at work after %.1f s against %.1f s, %.1f core seconds thrown away", seed, seconds, naive, thrownAway)
		if seconds > 3 || naive < 5 || thrownAway > 5*4*2 {
			t.Errorf("seed %d: %.1f s, without stops %.1f s, %.1f core seconds thrown away", seed, seconds, naive, thrownAway)
		}
	}
}

// BenchmarkPlan looks for room in one full pool, with as many waiting tasks as one round
// takes and runs that all would have to stop.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []int{85, 530} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var waiting []Waiting
			for i := range 4 * MaxWaiting {
				waiting = append(waiting, Waiting{Task: task(fmt.Sprint("w", i)), Room: cores(8), Lasting: true, WaitsMS: 3000, Admits: anywhere})
			}
			targets := make([]Target, size)
			for i := range targets {
				for k := range 16 {
					targets[i].Runs = append(targets[i].Runs, Run{ID: task(fmt.Sprint(i, k)), Room: cores(1), EndsInMS: 30_000, UnsavedMS: int64(1000 + 37*(i*k%50))})
				}
			}
			b.ResetTimer()
			for range b.N {
				Plan(waiting, snapshot(targets))
			}
		})
	}
}
