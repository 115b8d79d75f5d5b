package assign

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/matryer/is"

	"sapphirering/internal/workflow"
)

func tasks(job string, n int) []workflow.TaskID {
	out := make([]workflow.TaskID, n)
	for i := range out {
		out[i] = workflow.TaskID{Job: job, Index: uint32(i)}
	}
	return out
}

func room(cpu int64) workflow.Resources { return workflow.Resources{CPUMillis: cpu, MemoryMB: 1} }

func target(id string, cpu int64) Target {
	return Target{ID: id, Rack: "r" + id, Labels: []string{"k", "r" + id}, Free: workflow.Resources{CPUMillis: cpu, MemoryMB: 1000}, Slowness: 1}
}

func simple(id string, n int, cpu int64) Job {
	return Job{ID: id, RemainingMS: 1000, DeadlineMS: 10_000, LateDeadlineMS: 30_000, Steps: []Step{{Tasks: tasks(id, n), Room: room(cpu), Needs: room(cpu)}}}
}

func onTargets(starts []Start) map[string]int {
	out := make(map[string]int)
	for _, s := range starts {
		out[s.Target]++
	}
	return out
}

// TestPlacement checks on which targets tasks start.
func TestPlacement(t *testing.T) {
	step := func(change func(*Step)) Job {
		j := simple("j", 2, 1000)
		change(&j.Steps[0])
		return j
	}
	for _, test := range []struct {
		name    string
		targets []Target
		job     Job
		want    map[string]int
	}{
		{"the fuller target first", []Target{target("a", 8000), target("b", 4000)}, simple("j", 2, 1000), map[string]int{"b": 2}},
		{"a slow target last", []Target{{ID: "a", Free: workflow.Resources{CPUMillis: 4000, MemoryMB: 9}, Slowness: 3}, target("b", 8000)}, simple("j", 2, 1000), map[string]int{"b": 2}},
		{"a label", []Target{target("a", 4000), target("b", 8000)}, step(func(s *Step) { s.Label = "rb" }), map[string]int{"b": 2}},
		{"the rack of the data", []Target{target("a", 4000), target("b", 8000)}, step(func(s *Step) { s.DataRack = "rb" }), map[string]int{"b": 2}},
		{"a limit per target", []Target{target("a", 4000), target("b", 8000)}, step(func(s *Step) { s.MaxPerTarget = 1 }), map[string]int{"a": 1, "b": 1}},
		{"a target that failed the step", []Target{target("a", 4000), target("b", 8000)}, step(func(s *Step) { s.Avoid = map[string]bool{"a": true} }), map[string]int{"b": 2}},
		{"allowed targets only", []Target{target("a", 4000), target("b", 8000)}, step(func(s *Step) { s.Allowed = map[string]bool{"b": true} }), map[string]int{"b": 2}},
		{"a gang whole", []Target{target("a", 1500), target("b", 1500)}, step(func(s *Step) { s.Gang = true }), map[string]int{"a": 1, "b": 1}},
		{"no part of a gang", []Target{target("a", 1500)}, step(func(s *Step) { s.Gang = true }), map[string]int{}},
		{"a gang on one rack", []Target{target("a", 1500), target("b", 4000)}, step(func(s *Step) { s.Gang, s.SameRack = true, true }), map[string]int{"b": 2}},
		{"lasting tasks on several targets", []Target{target("a", 4000), target("b", 8000)}, step(func(s *Step) { s.Lasting = true }), map[string]int{"a": 1, "b": 1}},
		{"too large", []Target{target("a", 500)}, simple("j", 1, 1000), map[string]int{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			starts, waits := Plan(&Snapshot{Targets: test.targets, Jobs: []Job{test.job}})
			is.Equal(onTargets(starts), test.want)
			placed := len(starts)
			for _, wait := range waits {
				placed += wait.Tasks
			}
			is.Equal(placed, len(test.job.Steps[0].Tasks)) // each task starts or waits with a reason
		})
	}
}

// TestCopiesTakeWhatIsLeft checks that a copy is placed after every waiting task, never on
// the target of its first run, and does not count as waiting.
func TestCopiesTakeWhatIsLeft(t *testing.T) {
	copied := simple("c", 1, 1000)
	copied.Copy, copied.Steps[0].FirstRunTarget = true, "a"
	for _, test := range []struct {
		name  string
		free  int64
		first int
		want  []Start
	}{
		{"room for both", 2000, 1, []Start{{Task: tasks("j", 1)[0], Target: "b"}, {Task: tasks("c", 1)[0], Target: "b", Copy: true}}},
		{"room for one", 1000, 1, []Start{{Task: tasks("j", 1)[0], Target: "b"}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			late := simple("j", test.first, 1000)
			late.DeadlineMS, late.LateDeadlineMS = -1, -1 // even a late end has no value
			full := target("a", 8000)
			late.Steps[0].Allowed = map[string]bool{"b": true}
			starts, waits := Plan(&Snapshot{Targets: []Target{full, target("b", test.free)}, Jobs: []Job{copied, late}})
			is.Equal(starts, test.want)
			is.Equal(len(waits), 0)
		})
	}
}

// TestHomeZoneWithUnknownTargets plans a step with tasks on targets that are not in the
// snapshot: their zone is not known, and the waiting tasks share one home zone.
func TestHomeZoneWithUnknownTargets(t *testing.T) {
	is := is.New(t)
	j := simple("j", 4, 1000)
	j.Steps[0].OnTarget = map[string]int{"gone": 3}
	var targets []Target
	for i, zone := range []string{"z1", "z2", "z1", "z2"} {
		at := target(fmt.Sprint("t", i), 2000)
		at.Zone = zone
		targets = append(targets, at)
	}
	starts, _ := Plan(&Snapshot{Targets: targets, Jobs: []Job{j}})
	is.Equal(onTargets(starts), map[string]int{"t0": 2, "t2": 2})
}

// TestLastingTasksSpreadOverRacks checks that lasting tasks of a step go to different racks,
// so that a rack failure takes few of them, although tasks are placed near other lasting ones.
func TestLastingTasksSpreadOverRacks(t *testing.T) {
	is := is.New(t)
	var targets []Target
	for _, at := range []struct {
		id, rack string
		lasting  int
	}{{"a1", "r1", 2}, {"a2", "r1", 2}, {"a3", "r1", 2}, {"b1", "r2", 0}, {"c1", "r3", 0}} {
		targets = append(targets, Target{ID: at.id, Rack: at.rack, Lasting: at.lasting, Free: room(8000), Slowness: 1})
	}
	j := simple("j", 3, 1000)
	j.Lasting, j.Steps[0].Lasting = true, true
	starts, _ := Plan(&Snapshot{Targets: targets, Jobs: []Job{j}})
	racks := make(map[string]int)
	for _, s := range starts {
		racks[s.Target[:1]]++
	}
	is.Equal(racks, map[string]int{"a": 1, "b": 1, "c": 1})
}

// TestLimit checks that a workspace starts no more tasks than its limit allows.
func TestLimit(t *testing.T) {
	is := is.New(t)
	j := simple("j", 5, 1000)
	j.Workspace = "kita"
	starts, waits := Plan(&Snapshot{
		Targets: []Target{target("a", 16000)}, Jobs: []Job{j},
		Workspaces: map[string]*Workspace{"kita": {Used: room(1000), Limit: workflow.Resources{CPUMillis: 3000}}},
	})
	is.Equal(len(starts), 2)
	is.Equal(waits[0].Reason, waitLimit)
}

// TestOrder checks which job starts first.
func TestOrder(t *testing.T) {
	is := is.New(t)
	first := func(jobs ...Job) string {
		starts, _ := Plan(&Snapshot{NowMS: 5000, Targets: []Target{target("a", 1000)}, Jobs: jobs})
		return starts[0].Task.Job
	}
	late := simple("late", 1, 1000)
	late.DeadlineMS = 5500
	soon := simple("soon", 1, 1000)
	soon.DeadlineMS = 7000
	relaxed := simple("relaxed", 1, 1000)
	urgent := simple("urgent", 1, 1000)
	urgent.DeadlineMS = 9000
	relaxed.Priority = 1
	lasting := simple("lasting", 1, 1000)
	lasting.Lasting = true
	is.Equal(first(late, relaxed), "relaxed") // jobs that can be in time come before late ones
	is.Equal(first(urgent, soon), "soon")
	is.Equal(first(relaxed, urgent), "urgent")
	is.Equal(first(soon, lasting), "lasting")
}

// burst simulates jobs that arrive for eight seconds at 1.6 times the capacity of the
// pool, then hardly any. It returns the share of jobs in time.
func burst(seed int64, plan func(*Snapshot) []Start) float64 {
	const stepMS, endMS, burstMS, cores = 50, 40_000, 8000, 64
	rng := rand.New(rand.NewSource(seed))
	type job struct {
		left, running int
		endsAt        []int64
		deadline      int64
		submitted     int64
		workMS        int64
	}
	jobs := make(map[string]*job)
	inTime, all, free := 0, 0, cores
	for now := int64(0); now < endMS; now += stepMS {
		rate := 0.02
		if now < burstMS {
			rate = 1.6 * cores / 8 * stepMS / 1000
		}
		for range int(rate + rng.Float64()) {
			all++
			work := int64(500 + rng.Intn(1000))
			jobs[fmt.Sprintf("j%03d", all)] = &job{left: 8, workMS: work, submitted: now, deadline: now + work*16/10 + 600}
		}
		s := &Snapshot{NowMS: now, Targets: []Target{{ID: "t", Free: workflow.Resources{CPUMillis: 1 << 40, MemoryMB: 1 << 40}, Slowness: 1}}}
		for id, j := range jobs {
			rest := j.endsAt[:0]
			for _, at := range j.endsAt {
				if at > now {
					rest = append(rest, at)
					continue
				}
				free++
				j.running--
			}
			j.endsAt = rest
			if j.left == 0 && j.running == 0 {
				if now <= j.deadline {
					inTime++
				}
				delete(jobs, id)
				continue
			}
			if j.left > 0 {
				s.Jobs = append(s.Jobs, Job{ID: id, RemainingMS: j.workMS, DeadlineMS: j.deadline, LateDeadlineMS: j.submitted + 3*(j.deadline-j.submitted), SubmittedMS: j.submitted,
					Steps: []Step{{Tasks: tasks(id, j.left), Room: room(1000), Needs: room(1000)}}})
			}
		}
		s.Targets[0].Free.CPUMillis = int64(free) * 1000
		for _, start := range plan(s) {
			j := jobs[start.Task.Job]
			j.left--
			j.running++
			free--
			j.endsAt = append(j.endsAt, now+j.workMS)
		}
	}
	return float64(inTime) / float64(all)
}

// firstInFirstOut plans in the order of submission, for comparison.
func firstInFirstOut(s *Snapshot) []Start {
	s.CapacityMillis = 0
	for i := range s.Jobs {
		j := &s.Jobs[i]
		j.RemainingMS, j.DeadlineMS = 0, 1<<60+j.SubmittedMS
	}
	starts, _ := Plan(s)
	return starts
}

// TestReplayBurst compares the order with first in, first out: the share of jobs in
// time is higher by at least 0.1.
func TestReplayBurst(t *testing.T) {
	for seed := range int64(5) {
		policy := burst(seed, func(s *Snapshot) []Start {
			starts, _ := Plan(s)
			return starts
		})
		naive := burst(seed, firstInFirstOut)
		t.Logf("seed %d: in time %.2f, first in first out %.2f", seed, policy, naive)
		if policy < naive+0.1 {
			t.Errorf("seed %d: the order is no better than first in, first out", seed)
		}
	}
}

// BenchmarkPlan plans one round of a site's busiest pool at several sizes: jobs and
// targets grow together, as at the users' sites; one target in four has room.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ targets, workspaces int }{{30, 20}, {100, 20}, {300, 20}, {530, 20}, {530, 340}} {
		targets := size.targets
		b.Run(fmt.Sprintf("targets=%d/workspaces=%d", targets, size.workspaces), func(b *testing.B) {
			snapshot := func() *Snapshot {
				s := &Snapshot{NowMS: 5000, Workspaces: make(map[string]*Workspace)}
				for i := range targets {
					at := target(fmt.Sprintf("t%03d", i), 0)
					at.Zone = fmt.Sprintf("zone-%d", i%3)
					if i%4 == 0 {
						at.Free = workflow.Resources{CPUMillis: 8000, MemoryMB: 1000}
					}
					s.Targets = append(s.Targets, at)
				}
				for i := range targets / 2 {
					j := simple(fmt.Sprintf("j%03d", i), 8, 1000)
					j.Workspace = fmt.Sprintf("w%d", i%size.workspaces)
					s.Workspaces[j.Workspace] = &Workspace{Limit: workflow.Resources{CPUMillis: 1 << 30}}
					s.Jobs = append(s.Jobs, j)
				}
				return s
			}
			for range b.N {
				b.StopTimer()
				s := snapshot()
				b.StartTimer()
				Plan(s)
			}
		})
	}
}

// zoneCut simulates a pool of 18 targets in three zones at 60 % of its capacity, in
// which zones become unreachable at random times. It returns the share of running
// jobs that have a task in the unreachable zone.
func zoneCut(seed int64, zoneOf func(target int) string) float64 {
	const targets, perTarget, stepMS, endMS = 18, 16, 100, 30_000
	rng := rand.New(rand.NewSource(seed))
	type running struct {
		endsAt int64
		on     int
	}
	busy := make([]int, targets)
	jobs := make(map[string][]running)
	waiting := make(map[string]int)
	held, all, number := 0, 0, 0
	for now := int64(0); now < endMS; now += stepMS {
		for id, parts := range jobs {
			left := parts[:0]
			for _, part := range parts {
				if part.endsAt > now {
					left = append(left, part)
				} else {
					busy[part.on]--
				}
			}
			if jobs[id] = left; len(left) == 0 && waiting[id] == 0 {
				delete(jobs, id)
			}
		}
		for range int(0.6*targets*perTarget/(8*1.5)*stepMS/1000 + rng.Float64()) {
			number++
			waiting[fmt.Sprintf("j%04d", number)] = 4 + rng.Intn(9)
		}
		s := &Snapshot{NowMS: now}
		for i := range targets {
			free := int64(perTarget-busy[i]) * 1000
			s.Targets = append(s.Targets, Target{ID: fmt.Sprint(i), Zone: zoneOf(i), Free: workflow.Resources{CPUMillis: free, MemoryMB: 1000}, Slowness: 1})
		}
		for id, n := range waiting {
			s.Jobs = append(s.Jobs, simple(id, n, 1000))
		}
		starts, _ := Plan(s)
		for _, start := range starts {
			var on int
			fmt.Sscan(start.Target, &on)
			id := start.Task.Job
			busy[on]++
			jobs[id] = append(jobs[id], running{now + 1000 + int64(rng.Intn(1000)), on})
			if waiting[id]--; waiting[id] == 0 {
				delete(waiting, id)
			}
		}
		if now > 3000 && rng.Intn(10) == 0 {
			cut := rng.Intn(3)
			for _, parts := range jobs {
				all++
				for _, part := range parts {
					if part.on%3 == cut {
						held++
						break
					}
				}
			}
		}
	}
	return float64(held) / float64(all)
}

// TestReplayZoneCut compares steps with a home zone with steps that are spread by
// room alone: an unreachable zone delays at least a third fewer of the running jobs.
func TestReplayZoneCut(t *testing.T) {
	for seed := range int64(5) {
		policy := zoneCut(seed, func(target int) string { return fmt.Sprint("zone-", target%3) })
		naive := zoneCut(seed, func(int) string { return "" })
		t.Logf("seed %d: share of jobs delayed %.2f, without home zones %.2f", seed, policy, naive)
		if policy > naive*2/3 {
			t.Errorf("seed %d: an unreachable zone delays too many jobs", seed)
		}
	}
}
