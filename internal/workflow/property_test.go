package workflow

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "sapphirering/internal/workflow/workflowpb"
)

const (
	propertyPool     = "render"
	propertyAttempts = 2
	propertyLimit    = 6000
)

// runModel is an independent record of what the machine allowed to run.
type runModel struct {
	t       *rapid.T
	machine *Machine
	index   uint64
	// newest holds the newest runs that may be running, by task; copies holds the earlier
	// runs that may be running in parallel.
	newest, copies map[TaskID]modelRun
	// attempts, failed, done and superseded are by task.
	attempts, failed map[TaskID]uint32
	done             map[TaskID]bool
	superseded       map[TaskID]bool
	jobs             map[string]*pb.Job
	cancelled        map[string]bool
	targets          map[string]*pb.Target
	down             map[string]bool
	evacuated        map[string]bool
}

type modelRun struct {
	attempt uint32
	target  string
}

func newRunModel(t *rapid.T) *runModel {
	m := &runModel{
		t: t, machine: New(), newest: make(map[TaskID]modelRun), copies: make(map[TaskID]modelRun), attempts: make(map[TaskID]uint32),
		failed: make(map[TaskID]uint32), superseded: make(map[TaskID]bool), done: make(map[TaskID]bool), jobs: make(map[string]*pb.Job),
		cancelled: make(map[string]bool), targets: make(map[string]*pb.Target), down: make(map[string]bool), evacuated: make(map[string]bool),
	}
	m.apply(&pb.Command{Body: &pb.Command_PutCatalogue{PutCatalogue: &pb.PutCatalogue{Catalogue: &pb.Catalogue{
		Version: 1,
		Queues: []*pb.Queue{
			{Name: "proofs", Host: "h", PathPrefix: "/p/", Pool: propertyPool, TimeoutMs: 1000, MaxAttempts: propertyAttempts},
		},
		Pools:      []*pb.Pool{{Name: propertyPool}, {Name: "other"}},
		Workspaces: []*pb.Workspace{{Name: "kita", Keys: []string{"k"}, Limit: &pb.Resources{CpuMillis: propertyLimit}}},
	}}}})
	return m
}

func (m *runModel) apply(command *pb.Command) *Outcome {
	data, err := proto.Marshal(command)
	if err != nil {
		m.t.Fatal(err)
	}
	m.index++
	return m.machine.Apply(m.index, data).(*Outcome)
}

func (m *runModel) submit() {
	id := fmt.Sprintf("job%d", len(m.jobs))
	spec := &pb.Job{Id: id, Queue: "proofs", Workspace: "kita"}
	for s := range rapid.IntRange(1, 3).Draw(m.t, "steps") {
		step := &pb.Step{
			Tasks: uint32(rapid.IntRange(1, 3).Draw(m.t, "tasks")), Needs: &pb.Resources{CpuMillis: int64(rapid.IntRange(500, 2500).Draw(m.t, "cpu"))},
			MaxPerTarget: uint32(rapid.IntRange(0, 1).Draw(m.t, "spread")), Lasting: rapid.IntRange(0, 3).Draw(m.t, "lasting") == 0,
			Gang: rapid.IntRange(0, 4).Draw(m.t, "gang") == 0,
		}
		if step.Lasting {
			step.MaxUnavailable, step.Gang = 1, false
		}
		step.Copies = rapid.Bool().Draw(m.t, "copies")
		if rapid.IntRange(0, 3).Draw(m.t, "label") == 0 {
			step.Label = "fast"
		}
		if s > 0 {
			step.After = []uint32{uint32(s - 1)}
		}
		spec.Steps = append(spec.Steps, step)
	}
	m.apply(&pb.Command{Body: &pb.Command_SubmitJob{SubmitJob: &pb.SubmitJob{Job: proto.CloneOf(spec)}}})
	m.jobs[id] = spec
}

func (m *runModel) register() {
	id := fmt.Sprintf("t%d", rapid.IntRange(0, 4).Draw(m.t, "target"))
	born := int64(1)
	if known := m.targets[id]; known != nil {
		born = known.BornUnixMs + int64(rapid.IntRange(0, 1).Draw(m.t, "restarted"))
	}
	target := &pb.Target{Id: id, BornUnixMs: born, Pool: propertyPool, Vm: "vm-" + id, Capacity: &pb.Resources{CpuMillis: 16000}}
	target.Zone = propertyZones[(id[1]-'0')%2]
	if id == "t4" {
		target.Pool = "other"
	}
	if id != "t0" {
		target.Labels = []string{"fast"}
	}
	if known := m.targets[id]; known != nil && known.BornUnixMs == born {
		target.Leaving = known.Leaving || rapid.IntRange(0, 5).Draw(m.t, "leaves") == 0
	}
	m.apply(&pb.Command{Body: &pb.Command_PutTargets{PutTargets: &pb.PutTargets{Targets: []*pb.Target{proto.CloneOf(target)}}}})
	m.targets[id] = target
}

var propertyZones = []string{"z0", "z1"}

// orderEvacuation begins or ends the evacuation of a zone, sometimes by an order that another one has overtaken.
func (m *runModel) orderEvacuation() {
	zone := rapid.SampledFrom(propertyZones).Draw(m.t, "zone")
	begin, overtaken := rapid.IntRange(0, 2).Draw(m.t, "begin") == 0, rapid.IntRange(0, 3).Draw(m.t, "overtaken") == 0
	after := m.machine.zones[zone].GetLastOrder()
	if overtaken {
		after++
	}
	if out := m.apply(evacuationOrder(zone, "", after, begin)); (out.Code == OK) == overtaken {
		m.t.Fatalf("order after %d: %s", after, out.Reason)
	}
	if !overtaken {
		m.evacuated[zone] = begin
	}
}

func (m *runModel) drawTask() (TaskID, bool) {
	if len(m.jobs) == 0 {
		return TaskID{}, false
	}
	id := fmt.Sprintf("job%d", rapid.IntRange(0, len(m.jobs)-1).Draw(m.t, "job"))
	steps := m.jobs[id].Steps
	s := rapid.IntRange(0, len(steps)-1).Draw(m.t, "step")
	return TaskID{Job: id, Step: uint32(s), Index: uint32(rapid.IntRange(0, int(steps[s].Tasks)-1).Draw(m.t, "index"))}, true
}

// start proposes starts as two drivers with conflicting plans might: of any task, on
// any target, as any attempt.
func (m *runModel) start() {
	var starts []*pb.Start
	for range rapid.IntRange(1, 4).Draw(m.t, "starts") {
		id, ok := m.drawTask()
		if !ok {
			return
		}
		target := fmt.Sprintf("t%d", rapid.IntRange(0, 4).Draw(m.t, "on"))
		attempt := m.attempts[id] + uint32(rapid.SampledFrom([]int{0, 1, 1, 1, 1, 2}).Draw(m.t, "attempt"))
		born := m.targets[target].GetBornUnixMs()
		if rapid.IntRange(0, 5).Draw(m.t, "stale") == 0 {
			born--
		}
		copied := rapid.IntRange(0, 2).Draw(m.t, "copy") == 0
		starts = append(starts, &pb.Start{Task: id.Ref(attempt), Target: target, TargetBornUnixMs: born, Copy: copied})
	}
	out := m.apply(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: &pb.ChangeTasks{Starts: starts}}})
	refused := make(map[RefusedStart]int)
	for _, r := range out.Refused {
		r.Reason = ""
		refused[r]++
	}
	for _, start := range starts {
		if key := refusedStart(start, ""); refused[key] > 0 {
			refused[key]--
			continue
		}
		m.recordStart(TaskIDOf(start.Task), start)
	}
	m.checkGangs(starts)
}

// recordStart checks a start that the machine allowed against the rules, and records it.
func (m *runModel) recordStart(id TaskID, start *pb.Start) {
	job, step := m.jobs[id.Job], m.jobs[id.Job].Steps[id.Step]
	target := m.targets[start.Target]
	m.checkOtherRuns(id, start)
	switch {
	case m.done[id]:
		m.t.Fatalf("%s started after it was done", id)
	case m.cancelled[id.Job]:
		m.t.Fatalf("%s started after its job was cancelled", id)
	case start.Task.Attempt != m.attempts[id]+1:
		m.t.Fatalf("%s: attempt %d follows %d", id, start.Task.Attempt, m.attempts[id])
	case !step.Lasting && m.failed[id] >= propertyAttempts:
		m.t.Fatalf("%s started after %d failed runs", id, m.failed[id])
	case target == nil || target.BornUnixMs != start.TargetBornUnixMs || target.Leaving || target.Pool != propertyPool:
		m.t.Fatalf("%s started on %v", id, target)
	case m.evacuated[target.Zone]:
		m.t.Fatalf("%s started in the evacuated zone of %v", id, target)
	case step.Label != "" && !slices.Contains(target.Labels, step.Label):
		m.t.Fatalf("%s started on a target without label %q", id, step.Label)
	}
	for _, before := range step.After {
		for i := range job.Steps[before].Tasks {
			if !m.done[TaskID{Job: id.Job, Step: before, Index: i}] {
				m.t.Fatalf("%s started before step %d was done", id, before)
			}
		}
	}
	m.attempts[id] = start.Task.Attempt
	if run, ok := m.newest[id]; ok {
		m.copies[id] = run
	}
	m.newest[id] = modelRun{start.Task.Attempt, start.Target}
	m.checkUsage(id)
}

// checkOtherRuns checks that no other run of the task may be running, or that one may be
// running on another target and the step allows copies.
func (m *runModel) checkOtherRuns(id TaskID, start *pb.Start) {
	step := m.jobs[id.Job].Steps[id.Step]
	run, open := m.newest[id]
	other, copied := m.copies[id]
	switch {
	case !open && !copied:
		if start.Copy {
			m.t.Fatalf("%s: a copy started on %s without another run", id, start.Target)
		}
	case open && copied:
		m.t.Fatalf("%s started on %s while it may run on %s and %s", id, start.Target, run.target, other.target)
	case !start.Copy || !step.Copies || step.Gang || step.Lasting || m.superseded[id]:
		m.t.Fatalf("%s started on %s while it may run on %s", id, start.Target, run.target+other.target)
	case run.target+other.target == start.Target:
		m.t.Fatalf("%s: a copy started on the same target %s", id, start.Target)
	}
}

// usage returns the CPU needs of all runs that may be running, and how many of them
// belong to the task's step and run on its target.
func (m *runModel) usage(id TaskID) (used int64, here int) {
	for _, runs := range []map[TaskID]modelRun{m.newest, m.copies} {
		for other, run := range runs {
			used += m.jobs[other.Job].Steps[other.Step].Needs.CpuMillis
			if other.Job == id.Job && other.Step == id.Step && run.target == m.newest[id].target {
				here++
			}
		}
	}
	return used, here
}

func (m *runModel) checkUsage(id TaskID) {
	used, here := m.usage(id)
	step := m.jobs[id.Job].Steps[id.Step]
	if used > propertyLimit+step.Needs.CpuMillis || !step.Gang && used > propertyLimit && 2*(used-step.Needs.CpuMillis) >= propertyLimit {
		m.t.Fatalf("workspace uses %d CPU millis with a start that needs %d, its limit is %d", used, step.Needs.CpuMillis, propertyLimit)
	}
	if most := m.jobs[id.Job].Steps[id.Step].MaxPerTarget; most > 0 && here > int(most) {
		m.t.Fatalf("%s: %d tasks of the step on one target, at most %d", id, here, most)
	}
}

// checkGangs compares the model with the machine after the starts of incomplete gangs
// were reverted.
func (m *runModel) checkGangs(starts []*pb.Start) {
	for _, start := range starts {
		id := TaskIDOf(start.Task)
		task := m.machine.task(id)
		run, open := m.newest[id]
		if open != (task.State == pb.TaskState_TASK_STATE_PLACED) {
			m.t.Fatalf("%s: machine has state %s, the model has run %v", id, task.State, run)
		}
	}
}

// end ends a random run, sometimes as a former attempt.
func (m *runModel) end() {
	id, ok := m.drawTask()
	if !ok {
		return
	}
	run, open := m.newest[id]
	if !open {
		run = modelRun{m.attempts[id], "t1"}
	}
	if other, copied := m.copies[id]; copied && rapid.Bool().Draw(m.t, "end copy") {
		m.endCopy(id, other)
		return
	}
	attempt := run.attempt
	stale := rapid.IntRange(0, 4).Draw(m.t, "former") == 0 && attempt > 0
	if stale {
		attempt--
	}
	kind := m.drawEndKind()
	if m.copies[id].attempt == attempt {
		// The copy runs on another target: this end is from a target that does not run it.
		run.target = "t-none"
	}
	m.apply(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: &pb.ChangeTasks{Ends: []*pb.End{
		{Task: id.Ref(attempt), Target: run.target, Kind: kind},
	}}}})
	switch {
	case open && !stale:
		m.recordEnd(id, kind)
	case kind == pb.EndKind_END_KIND_DONE && attempt > 0:
		m.recordFormerRunDone(id)
	}
}

func (m *runModel) drawEndKind() pb.EndKind {
	return rapid.SampledFrom([]pb.EndKind{
		pb.EndKind_END_KIND_DONE, pb.EndKind_END_KIND_DONE, pb.EndKind_END_KIND_FAILED, pb.EndKind_END_KIND_STOPPED,
		pb.EndKind_END_KIND_LOST, pb.EndKind_END_KIND_NOT_RUN,
	}).Draw(m.t, "kind")
}

// endCopy ends the earlier of two runs, or the run that continues after the task is done.
func (m *runModel) endCopy(id TaskID, run modelRun) {
	kind := m.drawEndKind()
	m.apply(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: &pb.ChangeTasks{Ends: []*pb.End{
		{Task: id.Ref(run.attempt), Target: run.target, Kind: kind},
	}}}})
	delete(m.copies, id)
	switch {
	case m.done[id]:
	case kind == pb.EndKind_END_KIND_DONE:
		m.done[id] = true
		m.keepNewestAsCopy(id)
	case kind == pb.EndKind_END_KIND_FAILED:
		m.countFailure(id)
	}
}

// keepNewestAsCopy records that the newest run of a task may continue after the task is done.
func (m *runModel) keepNewestAsCopy(id TaskID) {
	if run, open := m.newest[id]; open {
		m.copies[id] = run
		delete(m.newest, id)
	}
}

func (m *runModel) countFailure(id TaskID) {
	m.failed[id]++
	if m.failed[id] >= propertyAttempts && !m.jobs[id.Job].Steps[id.Step].Lasting {
		m.cancelled[id.Job] = true
	}
}

// recordFormerRunDone records that a former run completed the work: tasks that wait are
// done, and tasks that run are done once their run has ended.
func (m *runModel) recordFormerRunDone(id TaskID) {
	step := m.jobs[id.Job].Steps[id.Step]
	if step.Lasting {
		return
	}
	for i := range step.Tasks {
		member := TaskID{Job: id.Job, Step: id.Step, Index: i}
		if member != id && !step.Gang {
			continue
		}
		if _, open := m.newest[member]; open {
			m.superseded[member] = true
		} else {
			m.done[member] = true
		}
	}
}

func (m *runModel) recordEnd(id TaskID, kind pb.EndKind) {
	attempt := m.newest[id].attempt
	delete(m.newest, id)
	step := m.jobs[id.Job].Steps[id.Step]
	switch {
	case (kind == pb.EndKind_END_KIND_DONE || m.superseded[id]) && !step.Lasting:
		m.done[id] = true
		for i := range step.Tasks {
			// The end of one member ends all gang members with the same attempt.
			other := TaskID{Job: id.Job, Step: id.Step, Index: i}
			if step.Gang && m.attempts[other] == attempt {
				m.done[other] = true
				delete(m.newest, other)
			}
		}
	case kind == pb.EndKind_END_KIND_FAILED:
		m.countFailure(id)
		for i := range step.Tasks {
			if other := (TaskID{Job: id.Job, Step: id.Step, Index: i}); step.Gang {
				m.failed[other] = max(m.failed[other], m.failed[id])
			}
		}
	}
}

func (m *runModel) cancel() {
	if id, ok := m.drawTask(); ok {
		m.apply(&pb.Command{Body: &pb.Command_CancelJob{CancelJob: &pb.CancelJob{Job: id.Job}}})
		m.cancelled[id.Job] = m.cancelled[id.Job] || !m.allDone(id.Job)
	}
}

// allDone reports whether every task of a job is done, so that a cancel changes nothing.
// checkTargetUse compares the use of each target with that of the tasks placed there.
func (m *runModel) checkTargetUse() {
	m.machine.View(func(v *View) {
		for id := range m.targets {
			var want TargetUse
			for _, task := range v.PlacedOn(id) {
				room := RequiredCapacity(task.Spec())
				want.Room = want.Room.Add(room)
				if task.Spec().Lasting {
					want.Lasting++
				} else {
					want.ShortMillis += room.CPUMillis
				}
			}
			got := v.UsedOn(id)
			if got.Changes = 0; got != want {
				m.t.Fatalf("use of %s is %+v, its tasks take %+v", id, got, want)
			}
		}
	})
}

func (m *runModel) allDone(job string) bool {
	for s, step := range m.jobs[job].Steps {
		for i := range step.Tasks {
			if !m.done[TaskID{Job: job, Step: uint32(s), Index: i}] {
				return false
			}
		}
	}
	return true
}

// restart replaces the machine by one restored from its snapshot.
func (m *runModel) restart() {
	data, err := m.machine.Snapshot()
	if err != nil {
		m.t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		m.t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil {
		m.t.Fatal(err)
	}
	if !bytes.Equal(data, again) {
		m.t.Fatal("a restored machine returns a different snapshot")
	}
	m.machine = restored
}

// check compares the state of the machine with the model.
func (m *runModel) check() {
	m.checkTargetUse()
	used, _ := m.usage(TaskID{})
	m.machine.View(func(v *View) {
		if got := v.WorkspaceUsage("kita").CPUMillis; got != used {
			m.t.Fatalf("workspace uses %d CPU millis by the machine, %d by the model", got, used)
		}
		for id, spec := range m.jobs {
			job := v.Job(id)
			done, all := 0, 0
			job.EachTask(func(task *Task) {
				all++
				if m.done[task.ID] {
					done++
				}
				if (task.State == pb.TaskState_TASK_STATE_DONE) != m.done[task.ID] {
					m.t.Fatalf("%s is %s, done by the model: %v", task.ID, task.State, m.done[task.ID])
				}
			})
			if (job.State == pb.JobState_JOB_STATE_DONE) != (done == all && !m.cancelled[id]) {
				m.t.Fatalf("job %s is %s with %d of %d tasks done", spec.Id, job.State, done, all)
			}
		}
	})
}

// TestTasksProperty applies random histories of submits, starts, ends, late ends, new
// incarnations, cancels and restarts. No task may run twice at once unless its step
// allows copies, again after it is done, before earlier steps are done, beyond its
// maximum attempts, its workspace's limit or its maximum per target, on a wrong target,
// in an evacuated zone, or after its job has ended.
func TestTasksProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newRunModel(rt)
		for range 4 {
			m.register()
		}
		m.submit()
		for range rapid.IntRange(20, 120).Draw(rt, "length") {
			switch rapid.IntRange(0, 20).Draw(rt, "action") {
			case 20:
				m.orderEvacuation()
			case 0:
				m.submit()
			case 1, 2:
				m.register()
			case 3:
				m.restart()
			case 4:
				if rapid.IntRange(0, 3).Draw(rt, "cancels") == 0 {
					m.cancel()
				}
			case 5, 6, 7, 8, 9:
				m.end()
			default:
				m.start()
			}
			m.check()
		}
	})
}

// TestMaintenanceProperty orders maintenance for VMs of two overlapping waves at random:
// no wave has more VMs ordered at once than its cap, and no lasting step has more tasks
// unavailable through these orders than it allows.
func TestMaintenanceProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newRunModel(rt)
		var vms []string
		for i := range 4 {
			id := fmt.Sprintf("t%d", i)
			m.targets[id] = &pb.Target{Id: id, BornUnixMs: 1, Pool: propertyPool, Vm: "vm-" + id, Capacity: &pb.Resources{CpuMillis: 16000}}
			m.apply(&pb.Command{Body: &pb.Command_PutTargets{PutTargets: &pb.PutTargets{Targets: []*pb.Target{m.targets[id]}}}})
			vms = append(vms, "vm-"+id)
		}
		spec := &pb.Job{Id: "job0", Queue: "proofs", Workspace: "kita", Steps: []*pb.Step{
			{Tasks: 4, Needs: &pb.Resources{CpuMillis: 100}, Lasting: true, MaxUnavailable: uint32(rapid.IntRange(1, 3).Draw(rt, "budget")), MaxPerTarget: 1},
		}}
		m.apply(&pb.Command{Body: &pb.Command_SubmitJob{SubmitJob: &pb.SubmitJob{Job: spec}}})
		m.jobs["job0"] = spec
		for i := range uint32(4) {
			m.apply(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: &pb.ChangeTasks{Starts: []*pb.Start{
				{Task: TaskID{Job: "job0", Index: i}.Ref(1), Target: fmt.Sprintf("t%d", i), TargetBornUnixMs: 1},
			}}}})
		}
		limit := uint32(rapid.IntRange(1, 3).Draw(rt, "cap"))
		for wave := range uint64(2) {
			m.apply(&pb.Command{Body: &pb.Command_DeclareWave{DeclareWave: &pb.DeclareWave{Wave: &pb.Wave{Id: wave + 1, Vms: vms, Cap: limit}}}})
		}
		for range 40 {
			wave := uint64(rapid.IntRange(1, 2).Draw(rt, "wave"))
			vm := rapid.SampledFrom(vms).Draw(rt, "vm")
			if rapid.Bool().Draw(rt, "begins") {
				m.apply(&pb.Command{Body: &pb.Command_BeginMaintenance{BeginMaintenance: &pb.BeginMaintenance{Wave: wave, Vm: vm}}})
			} else if slices.Contains(m.machine.waves[wave].Ordered, vm) {
				m.apply(&pb.Command{Body: &pb.Command_EndMaintenance{EndMaintenance: &pb.EndMaintenance{Wave: wave, Vm: vm}}})
			}
			down := make(map[string]bool)
			for _, w := range m.machine.waves {
				if len(w.Ordered) > int(w.Cap) {
					rt.Fatalf("wave %d has %v ordered, its cap is %d", w.Id, w.Ordered, w.Cap)
				}
				for _, vm := range w.Ordered {
					down[vm] = true
				}
			}
			if most := int(spec.Steps[0].MaxUnavailable); len(down) > most {
				rt.Fatalf("%d VMs with a task each are ordered, at most %d tasks may be unavailable", len(down), most)
			}
		}
	})
}

// FuzzApply applies arbitrary bytes as commands: they are refused or applied without a
// crash, and a snapshot of the resulting state can be restored.
func FuzzApply(f *testing.F) {
	for _, command := range []*pb.Command{
		{Body: &pb.Command_SubmitJob{SubmitJob: &pb.SubmitJob{Job: &pb.Job{Id: "a", Queue: "q", Steps: []*pb.Step{{Tasks: 1}}}}}},
		{Body: &pb.Command_ChangeTasks{ChangeTasks: &pb.ChangeTasks{Starts: []*pb.Start{{}}, Ends: []*pb.End{{}}}}},
		{Body: &pb.Command_PutCatalogue{}}, {Body: &pb.Command_FailJob{}}, {Body: &pb.Command_DeclareWave{}},
	} {
		data, err := proto.Marshal(command)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New()
		m.Apply(1, data)
		m.Apply(2, data)
		snapshot, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := New().Restore(snapshot); err != nil {
			t.Fatal(err)
		}
	})
}
