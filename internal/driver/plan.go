package driver

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/assign"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

const (
	// lateFactor is how many objectives after its submission a job still earns.
	lateFactor = 3
	// maxStartsPerRound bounds one command, so that its commit does not hold up others.
	maxStartsPerRound = 256
	// knownAfter is how long after its beginning a leader has heard from all
	// targets that announce themselves.
	knownAfter = 5 * time.Second
)

// plan returns the starts of one round over all pools.
func (d *Driver) plan() []*pb.Start {
	d.mu.Lock()
	defer d.mu.Unlock()
	var starts []*pb.Start
	d.cfg.Machine.View(func(v *workflow.View) {
		d.forgetAdvice(v)
		workspaces := workspacesOf(v)
		for pool, snapshot := range d.snapshots(v) {
			if !slices.ContainsFunc(snapshot.Jobs, func(j assign.Job) bool { return len(j.Steps) > 0 }) {
				continue
			}
			snapshot.Targets, snapshot.CapacityMillis = d.planTargets(v, pool)
			snapshot.Workspaces = workspaces
			planned, waits := assign.Plan(snapshot)
			d.noteWaits(pool, snapshot, waits)
			d.preempt(v, pool, snapshot, waits)
			for _, start := range planned {
				if start.Copy {
					d.reportCopy(v, start)
				}
				starts = append(starts, startOf(v, start))
			}
			if len(starts) >= maxStartsPerRound {
				return
			}
		}
	})
	return starts
}

const (
	// waitReported is how long a job must have been accepted for a line about
	// why it waits; waitInterval spaces such lines.
	waitReported = 3 * time.Second
	waitInterval = 2 * time.Second
	// maxWaitsReported bounds the lines of one interval.
	maxWaitsReported = 5
)

// noteWaits remembers since when a pool has had tasks that fit nowhere, and
// reports why old jobs wait.
func (d *Driver) noteWaits(pool string, s *assign.Snapshot, waits []assign.Wait) {
	if len(waits) == 0 {
		delete(d.pools.stuckSince, pool)
		return
	}
	now := d.cfg.Now()
	if _, ok := d.pools.stuckSince[pool]; !ok {
		d.pools.stuckSince[pool] = now
	}
	if now.Sub(d.waitsReported[pool]) < waitInterval {
		return
	}
	d.waitsReported[pool] = now
	submitted := make(map[string]int64, len(s.Jobs))
	for i := range s.Jobs {
		submitted[s.Jobs[i].ID] = s.Jobs[i].SubmittedMS
	}
	largest := int64(0)
	for _, target := range s.Targets {
		largest = max(largest, target.Free.CPUMillis)
	}
	reported := 0
	for _, wait := range waits {
		age := s.NowMS - submitted[wait.Job]
		if age < waitReported.Milliseconds() || reported == maxWaitsReported {
			continue
		}
		reported++
		event.JobWaits.Emit(event.F("job", wait.Job), event.F("task", wait.Step.String()), event.F("tasks", wait.Tasks),
			event.F("age_ms", age), event.F("reason", wait.Reason), event.F("pool", pool),
			event.F("targets", len(s.Targets)), event.F("largest_free_millis", largest))
	}
}

func startOf(v *workflow.View, s assign.Start) *pb.Start {
	task := v.Task(s.Task)
	return &pb.Start{
		Task: s.Task.Ref(task.Attempt + 1), Target: s.Target,
		TargetBornUnixMs: v.Target(s.Target).BornUnixMs, Copy: s.Copy,
	}
}

func workspacesOf(v *workflow.View) map[string]*assign.Workspace {
	out := make(map[string]*assign.Workspace)
	for _, w := range v.Catalogue().GetWorkspaces() {
		out[w.Name] = &assign.Workspace{Used: v.WorkspaceUsage(w.Name), Limit: workflow.ResourcesOf(w.Limit)}
	}
	return out
}

// planTargets returns the targets of a pool that may get starts, and the processor room there
// for work that ends, taken or not, with that of VMs on their way.
func (d *Driver) planTargets(v *workflow.View, pool string) (out []assign.Target, capacity int64) {
	for _, m := range d.pools.moving {
		if m.to == pool {
			capacity += m.cpu
		}
	}
	now := d.cfg.Now()
	for id, l := range d.links {
		known := v.Target(id)
		if known == nil || known.Pool != pool || known.Leaving || known.BornUnixMs != l.target.BornUnixMs {
			continue
		}
		if !d.startable(l) || d.waves.cordoned[known.Vm] || d.pools.moving[known.Vm] != nil || d.pools.draining[known.Vm] || !l.health.admits(now) {
			continue
		}
		free := workflow.ResourcesOf(known.Capacity)
		free = free.Sub(unplacedRoom(v, l))
		lasting := 0
		for _, task := range v.PlacedOn(id) {
			room := workflow.RequiredCapacity(task.Spec())
			free = free.Sub(room)
			if task.Spec().Lasting {
				lasting++
			} else {
				capacity += room.CPUMillis
			}
		}
		capacity += max(free.CPUMillis, 0)
		out = append(out, assign.Target{
			ID: id, Zone: known.Zone, Rack: rackOf(known), Labels: known.Labels, Free: free, Lasting: lasting, Slowness: l.health.slowness(),
		})
	}
	slices.SortFunc(out, func(a, b assign.Target) int { return strings.Compare(a.ID, b.ID) })
	return out, capacity
}

// unplacedRoom returns what runs take that a target lists and the state does
// not place there: they are being stopped and still take room.
func unplacedRoom(v *workflow.View, l *link) workflow.Resources {
	var room workflow.Resources
	placed := v.PlacedOn(l.target.Id)
	for i := range l.listing.Running {
		id := l.listing.Running[i].Task
		if placed[id] != nil {
			continue
		}
		if task := v.Task(id); task != nil {
			room = room.Add(workflow.RequiredCapacity(task.Spec()))
		}
	}
	return room
}

// rackOf returns the rack of a target.
func rackOf(t *pb.Target) string { return lastLabel(t.Labels) }

// lastLabel returns the rack among the labels of a target or a VM: they are its
// kind and its rack.
func lastLabel(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	return labels[len(labels)-1]
}

// snapshots returns the jobs that have tasks to start, by pool.
func (d *Driver) snapshots(v *workflow.View) map[string]*assign.Snapshot {
	out := make(map[string]*assign.Snapshot)
	nowMS := d.cfg.NowMS()
	for _, job := range v.OpenJobs() {
		if workflow.Ended(job.State) {
			continue
		}
		queue := v.Queue(job.Spec.Queue)
		if queue == nil {
			continue
		}
		for _, planned := range []assign.Job{d.planJob(v, job, queue, nowMS), d.planCopies(v, job, queue, nowMS)} {
			if len(planned.Steps) == 0 && planned.WorkMillisMS == 0 {
				continue
			}
			s := out[queue.Pool]
			if s == nil {
				s = &assign.Snapshot{NowMS: nowMS}
				out[queue.Pool] = s
			}
			s.Jobs = append(s.Jobs, planned)
		}
	}
	return out
}

// planJob returns what of a job may start now, and what all of it asks for.
func (d *Driver) planJob(v *workflow.View, job *workflow.Job, queue *pb.Queue, nowMS int64) assign.Job {
	planned := assign.Job{ID: job.Spec.Id, Workspace: job.Spec.Workspace, Priority: queue.Priority, SubmittedMS: job.Spec.SubmittedUnixMs}
	for k := range job.Tasks {
		if due := job.DueMS(k); due > nowMS {
			continue
		}
		for s := range job.Tasks[k] {
			if job.RemainingTasks(k, s) == 0 {
				continue
			}
			if !job.Ready(k, s) {
				planned.WorkMillisMS += d.workOf(job, k, s, float64(job.RemainingTasks(k, s)))
				continue
			}
			waiting := tasksToStart(job, k, s)
			// Tasks that run are half done.
			planned.WorkMillisMS += d.workOf(job, k, s, float64(job.RemainingTasks(k, s)+len(waiting))/2)
			if len(waiting) == 0 {
				continue
			}
			step := d.planStep(v, job, k, s, waiting)
			if queue.Advised {
				step.Allowed = d.advisedTargets(v, step.Tasks[0], queue.Pool)
			}
			if !queue.Advised || len(step.Allowed) > 0 {
				planned.Steps = append(planned.Steps, step)
			}
		}
	}
	if planned.Lasting = job.Spec.Steps[0].Lasting; planned.Lasting {
		planned.WorkMillisMS = 0
	}
	if len(planned.Steps) == 0 && planned.WorkMillisMS == 0 {
		return planned
	}
	planned.Worth = d.learned.worth(job)
	times := d.timesOf(job, queue)
	planned.RemainingMS, planned.DeadlineMS, planned.LateDeadlineMS = times.remainingMS, times.deadlineMS, times.lateDeadlineMS
	return planned
}

// workOf returns the processor room times run time of so many tasks of a step, in thousandths
// of a core times milliseconds.
func (d *Driver) workOf(job *workflow.Job, occurrence, step int, tasks float64) int64 {
	return int64(tasks * float64(workflow.RequiredCapacity(job.Spec.Steps[step]).CPUMillis*d.learned.expectedIn(job, occurrence, step)))
}

// jobTimes are the longest chain of work left, as learned, the time until the end if all
// of it may start, and the Unix times at which the objective ends and at which even a late
// end has no worth.
type jobTimes struct{ chainMS, remainingMS, deadlineMS, lateDeadlineMS int64 }

func (d *Driver) timesOf(job *workflow.Job, queue *pb.Queue) jobTimes {
	total, left, remaining := d.chain(job)
	within := objective(queue, total)
	return jobTimes{
		chainMS: left, remainingMS: remaining, deadlineMS: job.Spec.SubmittedUnixMs + within, lateDeadlineMS: job.Spec.SubmittedUnixMs + lateFactor*within,
	}
}

// tasksToStart returns the tasks of a step that may start.
func tasksToStart(job *workflow.Job, occurrence, number int) []workflow.TaskID {
	tasks := job.Tasks[occurrence][number]
	var waiting []workflow.TaskID
	for _, task := range tasks {
		if task.State == pb.TaskState_TASK_STATE_WAITING && task.Copy.Target == "" {
			waiting = append(waiting, task.ID)
		}
	}
	if job.Spec.Steps[number].Gang && len(waiting) < len(tasks) {
		// A gang starts whole, once all members of its former run have ended.
		return nil
	}
	return waiting
}

// planStep returns what the waiting tasks of one step ask of targets.
func (d *Driver) planStep(v *workflow.View, job *workflow.Job, occurrence, number int, waiting []workflow.TaskID) assign.Step {
	step := stepPlaces(v, job.Spec.Steps[number], job.Tasks[occurrence][number])
	step.Tasks = waiting
	for _, id := range waiting {
		if failed := d.learned.failedOn(id); failed != "" {
			if step.Avoid == nil {
				step.Avoid = make(map[string]bool)
			}
			step.Avoid[failed] = true
		}
	}
	return step
}

// stepPlaces returns what a step asks of targets and where its tasks run.
func stepPlaces(v *workflow.View, spec *pb.Step, tasks []*workflow.Task) assign.Step {
	step := assign.Step{
		Room: workflow.RequiredCapacity(spec), Needs: workflow.ResourcesOf(spec.Needs), Gang: spec.Gang, SameRack: spec.SameRack,
		Label: spec.Label, DataRack: spec.DataRack, MaxPerTarget: int(spec.MaxPerTarget), Lasting: spec.Lasting,
		OnTarget: make(map[string]int), OnRack: make(map[string]int),
	}
	for _, task := range tasks {
		for _, id := range task.Targets() {
			step.OnTarget[id]++
			if target := v.Target(id); target != nil {
				step.OnRack[rackOf(target)]++
			}
		}
	}
	return step
}

// chain returns the longest chain of the job's steps and of what is left of them, in
// learned milliseconds, and the time that what is left takes with the lags of each step.
func (d *Driver) chain(job *workflow.Job) (total, left, remaining int64) {
	last := len(job.Tasks) - 1
	whole, rest, lagged := make([]int64, len(job.Spec.Steps)), make([]int64, len(job.Spec.Steps)), make([]int64, len(job.Spec.Steps))
	lag := d.learned.stepLag()
	for i := range whole {
		whole[i] = d.learned.longestOf(job, last, i)
		if job.RemainingTasks(last, i) > 0 {
			rest[i], lagged[i] = whole[i], whole[i]+lag
		}
	}
	return longestChain(job.Spec.Steps, whole), longestChain(job.Spec.Steps, rest), longestChain(job.Spec.Steps, lagged)
}

// longestChain returns the longest chain of steps that take the given times.
func longestChain(steps []*pb.Step, takes []int64) int64 {
	longest, ends := int64(0), make([]int64, len(steps))
	for i, step := range steps {
		for _, before := range step.After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += takes[i]
		longest = max(longest, ends[i])
	}
	return longest
}

// objective returns how long a job may take, by its longest chain.
func objective(queue *pb.Queue, chain int64) int64 {
	return int64(queue.SlackFactor*float64(chain)) + queue.ObjectiveMs
}

// failHopeless ends jobs with a task that no known target could run even when
// empty. VMs move between pools, so that targets of all pools count.
func (d *Driver) failHopeless() {
	if d.cfg.Now().Sub(d.began) < knownAfter {
		return
	}
	type hopeless struct{ job, reason string }
	var found []hopeless
	d.mu.Lock()
	checked := d.learned.checked
	d.cfg.Machine.View(func(v *workflow.View) {
		if len(v.Targets()) == 0 {
			return
		}
		for id, job := range v.OpenJobs() {
			if checked[id] || job.State != pb.JobState_JOB_STATE_QUEUED {
				continue
			}
			if reason := neverFits(v, job); reason != "" {
				found = append(found, hopeless{id, reason})
				continue
			}
			checked[id] = true
		}
		for id := range checked {
			if v.OpenJobs()[id] == nil {
				delete(checked, id)
			}
		}
	})
	d.mu.Unlock()
	for _, h := range found {
		event.JobHopeless.Emit(event.F("job", h.job), event.F("reason", h.reason))
		if _, err := d.commit(&pb.Command{Body: &pb.Command_FailJob{FailJob: &pb.FailJob{Job: h.job, Reason: h.reason}}}); err != nil {
			event.EndsUncommitted.Emit(event.F("job", h.job), event.Err(err))
		}
	}
}

// neverFits returns why a job can never run, or "".
func neverFits(v *workflow.View, job *workflow.Job) string {
	for i, step := range job.Spec.Steps {
		fits := false
		for _, target := range v.Targets() {
			if workflow.RequiredCapacity(step).FitsIn(workflow.ResourcesOf(target.Capacity)) &&
				(step.Label == "" || slices.Contains(target.Labels, step.Label)) {
				fits = true
				break
			}
		}
		if !fits {
			return fmt.Sprintf("step %d fits on no target", i)
		}
	}
	return ""
}
