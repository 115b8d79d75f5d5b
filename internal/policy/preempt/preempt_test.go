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

// TestPlan checks which runs stop for which waiting tasks.
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
		{"a lasting task stops the run with least loss", lasting, []Run{long, saved}, []string{"saved"}},
		{"a lasting task stops as many runs as it needs", waits(lasting, func(w *Waiting) { w.Room = cores(12) }), []Run{long, saved}, []string{"saved", "long"}},
		{"nothing before a lasting task has waited", waits(lasting, func(w *Waiting) { w.WaitsMS = 1000 }), []Run{saved}, nil},
		{"nothing if a run ends soon", lasting, []Run{with(long, func(r *Run) { r.EndsInMS = 300 }), saved}, nil},
		{"nothing while a run is stopping", lasting, []Run{with(long, func(r *Run) { r.Stopping = true }), saved}, nil},
		{"no run that is not preemptible", lasting, []Run{with(saved, func(r *Run) { r.NonPreemptible = true })}, nil},
		{"a lasting task stops a run of any priority", lasting, []Run{with(saved, func(r *Run) { r.Priority = 0 })}, []string{"saved"}},
		{"nothing if all runs together free too little room", waits(lasting, func(w *Waiting) { w.Room = cores(20) }), []Run{long, saved}, nil},
		{"nothing on a target that the task may not run on", waits(lasting, func(w *Waiting) { w.Admits = func(int) bool { return false } }), []Run{saved}, nil},
		{"an urgent task stops a run of lower priority", urgent, []Run{long, saved}, []string{"saved"}},
		{"an urgent task stops no run of its own priority", urgent, []Run{with(saved, func(r *Run) { r.Priority = 0 })}, nil},
		{"nothing if more work is lost than the urgent task does", urgent, []Run{long}, nil},
		{"nothing while the urgent task can wait", waits(urgent, func(w *Waiting) { w.SlackMS = 40_000 }), []Run{saved}, nil},
		{"nothing if the urgent task is late anyway", waits(urgent, func(w *Waiting) { w.SlackMS = -1 }), []Run{saved}, nil},
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

// TestFreedRoomIsGivenOnce checks that no two tasks get the room of the same run: three tasks
// wait and there are two runs.
func TestFreedRoomIsGivenOnce(t *testing.T) {
	is := is.New(t)
	run := func(name string) Run {
		return Run{ID: task(name), Room: cores(8), EndsInMS: 30_000, UnsavedMS: 1000}
	}
	w := Waiting{Task: task("w"), Room: cores(6), Lasting: true, WaitsMS: 3000, Admits: anywhere}
	targets := []Target{{ID: "a", Runs: []Run{run("1")}}, {ID: "b", Runs: []Run{run("2")}}}
	victims := Plan([]Waiting{w, w, w}, targets)
	is.Equal(len(victims), 2) // one per target; no room is left for the third task
	is.True(victims[0].Target != victims[1].Target)
}

// fullPool simulates targets full of tasks that run for up to half a minute, and lasting
// tasks of a lost target that wait for room. It returns the seconds until the last of
// them has room, and the core seconds that are lost.
func fullPool(seed int64, plan func([]Waiting, []Target) []Victim) (seconds, lostCoreSeconds float64) {
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
			return float64(now) / 1000, lostCoreSeconds
		}
		for _, v := range plan(waiting, snapshot(targets)) {
			gone[v.Run] = now + stopMS
			lostCoreSeconds += float64(v.LossMillisMS) / 1e6
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

// TestReplayFullPool compares the policy with waiting for runs to end: it gives lasting
// tasks room within three seconds.
func TestReplayFullPool(t *testing.T) {
	for seed := range int64(5) {
		seconds, lostCoreSeconds := fullPool(seed, Plan)
		naive, _ := fullPool(seed, func([]Waiting, []Target) []Victim { return nil })
		t.Logf("seed %d: placed after %.1f s, without stops %.1f s, %.1f core seconds lost", seed, seconds, naive, lostCoreSeconds)
		if seconds > 3 || naive < 5 || lostCoreSeconds > 5*4*2 {
			t.Errorf("seed %d: placed after %.1f s, without stops %.1f s, %.1f core seconds lost", seed, seconds, naive, lostCoreSeconds)
		}
	}
}

// BenchmarkPlan plans one round of a full pool, with more waiting tasks than one round
// takes, where room is free only if runs are stopped.
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
