package placement

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sapphirering/internal/policy/share"
)

func drawSnapshot(t *rapid.T) Snapshot {
	s := Snapshot{MaxStarts: 100, MaxWaits: 100}
	for i := range rapid.IntRange(0, 8).Draw(t, "workers") {
		s.Workers = append(s.Workers, Worker{
			Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/2), Zone: "a",
			Capacity: share.Resources{
				Millicores: rapid.Uint64Range(0, 8).Draw(t, "cores") * 1000, MemoryMB: 8000,
				Accelerators: rapid.Uint64Range(0, 4).Draw(t, "accelerators"), Slots: 8,
			},
			ReservedSlots: rapid.Uint64Range(0, 1).Draw(t, "reserved"),
			FreeInMS:      rapid.Int64Range(0, 1000).Draw(t, "free"),
			Excluded:      rapid.IntRange(0, 5).Draw(t, "excluded") == 0,
		})
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "teams") {
		s.Teams = append(s.Teams, share.Team{
			Name: fmt.Sprintf("t%d", i), Weight: rapid.Uint32Range(1, 3).Draw(t, "weight"),
			FreeUnits: rapid.Uint32Range(0, 9).Draw(t, "units"),
		})
	}
	for i := range rapid.IntRange(0, 40).Draw(t, "jobs") {
		s.Jobs = append(s.Jobs, Job{
			Job: share.Job{
				ID: fmt.Sprintf("j%02d", i), Team: fmt.Sprintf("t%d", rapid.IntRange(0, len(s.Teams)-1).Draw(t, "team")),
				Class: share.Class(rapid.IntRange(0, 2).Draw(t, "class")),
				Needs: share.Resources{
					Millicores: rapid.Uint64Range(0, 9000).Draw(t, "need"), MemoryMB: rapid.Uint64Range(0, 9000).Draw(t, "memory"),
					Accelerators: rapid.Uint64Range(0, 4).Draw(t, "acc"), Slots: 1,
				},
			},
			Queue: "q", ExpectedMS: rapid.Int64Range(0, 2000).Draw(t, "expected"),
			FailedOn: rapid.SliceOfN(rapid.SampledFrom([]string{"w0", "w1", "w2"}), 0, 2).Draw(t, "failed"),
		})
	}
	return s
}

// TestPlanProperties checks that no worker exceeds its capacity and no team its
// limit, that no job is placed twice or on an excluded worker, and that equal
// snapshots give equal plans.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		plan := MakePlan(s)
		if again := MakePlan(s); !reflect.DeepEqual(plan, again) {
			t.Fatalf("plans differ for equal snapshots")
		}
		jobs, workers := make(map[string]Job), make(map[string]Worker)
		for _, j := range s.Jobs {
			jobs[j.ID] = j
		}
		for _, w := range s.Workers {
			workers[w.Name] = w
		}
		used, units, seen := make(map[string]share.Resources), make(map[string]uint32), make(map[string]bool)
		for _, start := range plan.Starts {
			job, w := jobs[start.Job], workers[start.Worker]
			if seen[job.ID] || w.Excluded {
				t.Fatalf("job %s is placed twice or on the excluded worker %s", job.ID, w.Name)
			}
			seen[job.ID] = true
			units[job.Team]++
			used[w.Name] = used[w.Name].Add(effectiveNeeds(job.Needs, w))
			if !used[w.Name].Fits(w.Capacity) {
				t.Fatalf("worker %s over capacity: %+v of %+v", w.Name, used[w.Name], w.Capacity)
			}
		}
		for _, team := range s.Teams {
			if units[team.Name] > team.FreeUnits {
				t.Fatalf("team %s started %d, its limit allows %d", team.Name, units[team.Name], team.FreeUnits)
			}
		}
	})
}

func job(id string, class share.Class, needs share.Resources) Job {
	needs.Slots = 1
	return Job{Job: share.Job{ID: id, Team: "t", Class: class, Needs: needs}, Queue: "q"}
}

func worker(name string, accelerators uint64) Worker {
	return Worker{Name: name, Capacity: share.Resources{Millicores: 16000, MemoryMB: 64000, Accelerators: accelerators, Slots: 8}}
}

var oneTeam = []share.Team{{Name: "t", Weight: 1, FreeUnits: 100}}

// TestUnplaceable checks that a job which no worker could run is reported in the
// first round and does not delay the jobs behind it. If an absent worker could run
// it, the job waits.
func TestUnplaceable(t *testing.T) {
	is := is.New(t)
	s := Snapshot{
		Workers: []Worker{worker("w1", 0)}, Teams: oneTeam, MaxStarts: 10, MaxWaits: 10,
		Jobs: []Job{job("a", share.Normal, share.Resources{MemoryMB: 65000}), job("b", share.Normal, share.Resources{})},
	}
	plan := MakePlan(s)
	is.Equal(len(plan.Unplaceable), 1)
	is.Equal(plan.Unplaceable[0].Job, "a")
	is.Equal(plan.Starts[0].Job, "b")
	big := worker("big", 0)
	big.Capacity.MemoryMB = 128000
	s.Absent = []Worker{big}
	is.Equal(len(MakePlan(s).Unplaceable), 0)
}

// TestAvoidsFailedWorker checks that a later attempt goes to another worker, and to
// the same one only if no other could run the job.
func TestAvoidsFailedWorker(t *testing.T) {
	is := is.New(t)
	failed := job("a", share.Normal, share.Resources{})
	failed.FailedOn = []string{"w1"}
	s := Snapshot{Workers: []Worker{worker("w1", 0), worker("w2", 0)}, Teams: oneTeam, Jobs: []Job{failed}, MaxStarts: 1, MaxWaits: 1}
	is.Equal(MakePlan(s).Starts[0].Worker, "w2")
	s.Workers = s.Workers[:1]
	is.Equal(MakePlan(s).Starts[0].Worker, "w1")
}

// TestKeepsAcceleratorsFree checks that small jobs go to workers without
// accelerators, and that the worker that is free first is kept for a waiting
// accelerator job.
func TestKeepsAcceleratorsFree(t *testing.T) {
	is := is.New(t)
	small := job("small", share.Normal, share.Resources{Millicores: 1000})
	s := Snapshot{Workers: []Worker{worker("a", 8), worker("b", 0)}, Teams: oneTeam, Jobs: []Job{small}, MaxStarts: 9, MaxWaits: 9}
	is.Equal(MakePlan(s).Starts[0].Worker, "b")

	busy := worker("a", 8)
	busy.Used = share.Resources{Accelerators: 1, Slots: 1}
	busy.FreeInMS = 500
	short, long := job("k-short", share.Long, share.Resources{Accelerators: 1}), job("k-long", share.Long, share.Resources{Accelerators: 1})
	short.ExpectedMS, long.ExpectedMS = 400, 60_000
	s = Snapshot{
		Workers: []Worker{busy}, Teams: oneTeam, MaxStarts: 9, MaxWaits: 9,
		Jobs: []Job{job("big", share.Normal, share.Resources{Accelerators: 8}), short, long},
	}
	plan := MakePlan(s)
	is.Equal(len(plan.Starts), 1)
	is.Equal(plan.Starts[0].Job, "k-short") // ends before the large one can start
}

// TestUrgentPreempts checks that an urgent job preempts when every slot is taken,
// and takes a reserved slot without preemption.
func TestUrgentPreempts(t *testing.T) {
	is := is.New(t)
	full := worker("w1", 0)
	full.Used = share.Resources{Slots: 8}
	s := Snapshot{
		Workers: []Worker{full}, MaxStarts: 9, MaxWaits: 9,
		Teams: []share.Team{{Name: "t", Weight: 1, FreeUnits: 1}, {Name: "o", Weight: 1, Used: share.Resources{Slots: 8}}},
		Jobs:  []Job{job("u", share.Urgent, share.Resources{})},
	}
	for i := range 8 {
		s.Running = append(s.Running, share.Running{ID: fmt.Sprintf("r%d", i), Team: "o", Worker: "w1", Class: share.Long, Needs: share.Resources{Slots: 1}})
	}
	is.Equal(len(MakePlan(s).Preempt), 1)
	s.Workers[0].Used.Slots = 7
	s.Workers[0].ReservedSlots = 1
	is.Equal(len(MakePlan(s).Starts), 1)
	s.Jobs = []Job{job("n", share.Normal, share.Resources{})}
	is.Equal(len(MakePlan(s).Starts), 0) // the reserved slot is kept for urgent jobs
}

// TestExcludesWorkerThatFailsEverything checks that a worker on which different
// jobs fail is excluded while others succeed, that at most one worker in four is,
// and that a successful probe admits it again.
func TestExcludesWorkerThatFailsEverything(t *testing.T) {
	is := is.New(t)
	h, now := NewHealth(), time.UnixMilli(0)
	peers := []string{"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"}
	for i := range 9 {
		for _, bad := range []string{"w1", "w2", "w3"} {
			h.Observe(bad, "p", fmt.Sprintf("j%d", i), false, now)
		}
	}
	is.Equal(len(h.Exclude("p", peers, now)), 0) // nothing succeeds: the jobs may be at fault
	h.Observe("w4", "p", "ok", true, now)
	is.Equal(len(h.Exclude("p", peers, now)), 2)
	is.Equal(len(h.Exclude("p", peers, now)), 0)
	excluded, probe := h.State("w1", now)
	is.True(excluded && !probe)
	now = now.Add(initialProbeDelay)
	_, probe = h.State("w1", now)
	is.True(probe)
	h.Observe("w1", "p", "probe", false, now)
	_, probe = h.State("w1", now.Add(initialProbeDelay))
	is.True(!probe) // the delay doubles
	h.Observe("w1", "p", "probe2", true, now.Add(2*initialProbeDelay))
	excluded, _ = h.State("w1", now)
	is.True(!excluded)
}

// TestFailingJobExcludesNoWorker checks that repeated failures of a single job
// exclude no worker.
func TestFailingJobExcludesNoWorker(t *testing.T) {
	is := is.New(t)
	h, now := NewHealth(), time.UnixMilli(0)
	peers := []string{"w1", "w2", "w3", "w4"}
	h.Observe("w4", "p", "ok", true, now)
	for range 20 {
		h.Observe("w1", "p", "bad", false, now)
	}
	is.Equal(len(h.Exclude("p", peers, now)), 0)
}

func TestEstimator(t *testing.T) {
	is := is.New(t)
	e := NewEstimator()
	is.Equal(e.RunTime("t", share.Long, 1000), int64(1000))
	for range minSamples {
		e.ObserveRunTime("t", share.Long, 10_000, 1000)
		e.ObserveSize("t", share.Long, 4000, 40_000)
	}
	is.Equal(e.RunTime("t", share.Long, 1000), int64(10_000))
	is.Equal(e.RunTime("t", share.Normal, 1000), int64(1000)) // other classes are not corrected
	size := e.Size("t", share.Long, share.Resources{Millicores: 10_000}, share.Resources{Millicores: 16_000})
	is.Equal(size.Millicores, uint64(1000))
}

func benchmarkPlan(b *testing.B, workers, teams int) {
	s := Snapshot{MaxStarts: 32, MaxWaits: 256}
	for i := range workers {
		w := worker(fmt.Sprintf("w%03d", i), uint64(i%2*8))
		w.Rack = fmt.Sprintf("r%d", i/4)
		w.Used.Slots = uint64(i % 9)
		s.Workers = append(s.Workers, w)
	}
	for i := range teams {
		name := fmt.Sprintf("t%d", i)
		s.Teams = append(s.Teams, share.Team{Name: name, Weight: 1, FreeUnits: 50})
		for k := range 10 {
			j := job(fmt.Sprintf("%s-%d", name, k), share.Class(k%3), share.Resources{Millicores: 1000})
			j.Team = name
			s.Jobs = append(s.Jobs, j)
		}
	}
	for b.Loop() {
		MakePlan(s)
	}
}

// BenchmarkPlan measures one planning round.
func BenchmarkPlan(b *testing.B) {
	for _, size := range [][2]int{{50, 5}, {50, 340}, {530, 5}, {530, 340}} {
		b.Run(fmt.Sprintf("workers=%d/teams=%d", size[0], size[1]), func(b *testing.B) { benchmarkPlan(b, size[0], size[1]) })
	}
}
