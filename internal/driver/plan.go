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
	// worthlessFactor is the number of objectives after its submission from which on the end
	// of a job has no worth.
	worthlessFactor = 3
	// maxStartsPerRound is the number of starts from which on a round plans no further pools,
	// so that the commit of one command does not delay others.
	maxStartsPerRound = 256
	// discoveryPeriod is the time after which a new leader has heard from all targets
	// that announce themselves.
	discoveryPeriod = 5 * time.Second
)

// plan returns the starts of one round for all pools.
func (d *Driver) plan() []*pb.Start {
	d.mu.Lock()
	defer d.mu.Unlock()
	var starts []*pb.Start
	d.cfg.Machine.View(func(v *workflow.View) {
		d.forgetAdvice(v)
		d.suspects = d.suspectTargets(v)
		workspaces := workspacesOf(v)
		for pool, snapshot := range d.snapshots(v) {
			if !slices.ContainsFunc(snapshot.Jobs, func(j assign.Job) bool { return len(j.Steps) > 0 }) {
				delete(d.admission.backlogs, pool)
				continue
			}
			snapshot.Targets, snapshot.CapacityMillis = d.planTargets(v, pool)
			snapshot.Workspaces = workspaces
			planned, waits := assign.Plan(snapshot)
			d.noteBacklog(v, pool, snapshot)
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
	// minReportedWait is the time since acceptance after which the reason why a job
	// waits is logged, at most once per waitReportInterval and pool.
	minReportedWait    = 3 * time.Second
	waitReportInterval = 2 * time.Second
	// maxWaitsReported limits the waits logged per interval.
	maxWaitsReported = 5
)

// noteWaits records since when a pool has had tasks that fit on no target, and
// logs why jobs accepted some time ago wait.
func (d *Driver) noteWaits(pool string, s *assign.Snapshot, waits []assign.Wait) {
	now := d.cfg.Now()
	beyondRate := func(w assign.Wait) bool { return w.WaitingJob.BeyondRate }
	noteStuck(d.pools.stuckSince, pool, now, slices.ContainsFunc(waits, func(w assign.Wait) bool { return !beyondRate(w) }))
	noteStuck(d.pools.beyondRateStuckSince, pool, now, slices.ContainsFunc(waits, beyondRate))
	if len(waits) == 0 {
		return
	}
	if now.Sub(d.waitsReportedAt[pool]) < waitReportInterval {
		return
	}
	d.waitsReportedAt[pool] = now
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
		if age < minReportedWait.Milliseconds() || reported == maxWaitsReported {
			continue
		}
		reported++
		event.JobWaits.Emit(event.F("job", wait.Job), event.F("task", wait.Step.String()), event.F("tasks", wait.Tasks),
			event.F("age_ms", age), event.F("reason", wait.Reason), event.F("pool", pool),
			event.F("targets", len(s.Targets)), event.F("largest_free_millis", largest))
	}
}

// noteStuck records since when a pool has had waiting tasks.
func noteStuck(since map[string]time.Time, pool string, now time.Time, waits bool) {
	if !waits {
		delete(since, pool)
	} else if _, known := since[pool]; !known {
		since[pool] = now
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

// planTargets returns the targets of a pool that may get starts, and their CPU capacity for
// tasks that are not lasting, whether in use or free, including that of VMs moving to the pool.
func (d *Driver) planTargets(v *workflow.View, pool string) (out []assign.Target, capacity int64) {
	for vm, m := range d.pools.moving {
		if m.to == pool && !v.Evacuated(d.fleet.vms[vm].Zone) {
			capacity += m.cpu
		}
	}
	now := d.cfg.Now()
	for id, l := range d.links {
		known := v.Target(id)
		if known == nil || known.Pool != pool || known.Leaving || known.BornUnixMs != l.target.BornUnixMs {
			continue
		}
		if v.Evacuated(known.Zone) || !d.acceptsStarts(l) || d.waves.cordoned(known.Vm) || v.MaintenanceOrdered(known.Vm) || d.pools.moving[known.Vm] != nil || d.pools.draining[known.Vm] || !l.health.allowsStarts(now) {
			continue
		}
		used := v.UsedOn(id)
		free := workflow.ResourcesOf(known.Capacity).Sub(l.unplacedRoom(v, used.Changes)).Sub(used.Room)
		free = l.offered(now, workflow.ResourcesOf(known.Capacity), free)
		capacity += used.ShortMillis + max(free.CPUMillis, 0)
		out = append(out, assign.Target{
			ID: id, Zone: known.Zone, Rack: rackOf(known), Labels: known.Labels, Free: free, Lasting: used.Lasting, Slowness: l.health.slowness(),
			ColdFor: l.warmupLeft(now),
		})
	}
	slices.SortFunc(out, func(a, b assign.Target) int { return strings.Compare(a.ID, b.ID) })
	return out, capacity
}

// listedRoom is the room of unplacedRoom, with the listing and the changes of the state from
// which it was worked out.
type listedRoom struct {
	listedAt time.Time
	changes  uint64
	room     workflow.Resources
}

// unplacedRoom returns the resources of runs that a target lists but the state does
// not place there: they are being stopped and still occupy the target. Changes counts the
// changes of the runs that the state places there.
func (l *link) unplacedRoom(v *workflow.View, changes uint64) workflow.Resources {
	if l.unplaced.listedAt.Equal(l.listedAt) && l.unplaced.changes == changes {
		return l.unplaced.room
	}
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
	l.unplaced = listedRoom{l.listedAt, changes, room}
	return room
}

// rackOf returns the rack of a target.
func rackOf(t *pb.Target) string { return rackLabel(t.Labels) }

// rackLabel returns the rack of a target or VM: the last of its labels, which are its kind
// and its rack.
func rackLabel(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	return labels[len(labels)-1]
}

// snapshots returns the jobs with tasks to start or work left, by pool.
func (d *Driver) snapshots(v *workflow.View) map[string]*assign.Snapshot {
	out := make(map[string]*assign.Snapshot)
	nowMS := d.cfg.NowMS()
	for _, job := range v.OpenJobs() {
		if workflow.Ended(job.State) {
			continue
		}
		queue := v.QueueOf(job)
		if queue == nil {
			continue
		}
		waiting, usedUp := d.planJob(v, job, queue, nowMS)
		if usedUp != nil {
			d.failUsedUp(usedUp, queue)
			continue
		}
		for _, planned := range []assign.Job{waiting, d.planCopies(v, job, queue, nowMS)} {
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

// planJob returns the steps of a job that may start now, and the work left in the whole job. usedUp
// is a waiting task whose attempts are used up, or nil.
func (d *Driver) planJob(v *workflow.View, job *workflow.Job, queue *pb.Queue, nowMS int64) (planned assign.Job, usedUp *workflow.Task) {
	planned = assign.Job{ID: job.Spec.Id, Workspace: job.Spec.Workspace, Priority: queue.Priority, SubmittedMS: job.Spec.SubmittedUnixMs, BeyondRate: job.Spec.BeyondRate}
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
			for _, id := range waiting {
				if task := job.Tasks[k][s][id.Index]; workflow.AttemptsUsedUp(task, queue) {
					return planned, task
				}
			}
			// Tasks that run are assumed to be half done.
			planned.WorkMillisMS += d.workOf(job, k, s, float64(job.RemainingTasks(k, s)+len(waiting))/2)
			if len(waiting) == 0 {
				continue
			}
			step := d.planStep(v, job, k, s, waiting)
			d.avoidSuspects(&step, job, k, s, queue, nowMS)
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
		return planned, nil
	}
	planned.Worth = d.learned.worth(job)
	times := d.timesOf(job, queue)
	planned.RemainingMS, planned.DeadlineMS, planned.LateDeadlineMS = times.remainingMS, times.deadlineMS, times.lateDeadlineMS
	return planned, nil
}

// workOf returns the CPU of a number of tasks of a step times their expected run time, in
// thousandths of a core times milliseconds.
func (d *Driver) workOf(job *workflow.Job, occurrence, step int, tasks float64) int64 {
	return int64(tasks * float64(workflow.RequiredCapacity(job.Spec.Steps[step]).CPUMillis*d.learned.expectedIn(job, occurrence, step)))
}

// jobTimes holds the expected duration of the longest chain of steps left, the same with
// the lag of each step added, and the Unix times at which the objective ends and after which
// even a late end has no worth.
type jobTimes struct{ leftMS, remainingMS, deadlineMS, lateDeadlineMS int64 }

func (d *Driver) timesOf(job *workflow.Job, queue *pb.Queue) jobTimes {
	total, left, remaining := d.chainTimes(job)
	allowed := objective(queue, total)
	return jobTimes{
		leftMS: left, remainingMS: remaining, deadlineMS: job.Spec.SubmittedUnixMs + allowed, lateDeadlineMS: job.Spec.SubmittedUnixMs + worthlessFactor*allowed,
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
		// The tasks of a gang start together, once all of its previous runs have ended.
		return nil
	}
	return waiting
}

// planStep returns what the waiting tasks of one step require of targets.
func (d *Driver) planStep(v *workflow.View, job *workflow.Job, occurrence, number int, waiting []workflow.TaskID) assign.Step {
	step := stepRequirements(v, job.Spec.Steps[number], job.Tasks[occurrence][number])
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

// stepRequirements returns what a step requires of targets and where its tasks run.
func stepRequirements(v *workflow.View, spec *pb.Step, tasks []*workflow.Task) assign.Step {
	step := assign.Step{
		Room: workflow.RequiredCapacity(spec), Needs: workflow.ResourcesOf(spec.Needs), Gang: spec.Gang, SameRack: spec.SameRack,
		Label: spec.Label, DataRack: spec.DataRack, MaxPerTarget: int(spec.MaxPerTarget), Lasting: spec.Lasting,
	}
	for _, task := range tasks {
		for _, id := range task.Targets() {
			if step.OnTarget == nil {
				// Most waiting steps have no task on any target.
				step.OnTarget, step.OnRack = make(map[string]int), make(map[string]int)
			}
			step.OnTarget[id]++
			if target := v.Target(id); target != nil {
				step.OnRack[rackOf(target)]++
			}
		}
	}
	return step
}

// chainTimes returns the expected duration in milliseconds of the job's longest chain of
// steps, of the longest chain of steps left, and of the latter with each step's lag added.
func (d *Driver) chainTimes(job *workflow.Job) (total, left, remaining int64) {
	last := len(job.Tasks) - 1
	full, rest, lagged := make([]int64, len(job.Spec.Steps)), make([]int64, len(job.Spec.Steps)), make([]int64, len(job.Spec.Steps))
	lag := d.learned.stepLag()
	for i := range full {
		full[i] = d.learned.longestOf(job, last, i)
		if job.RemainingTasks(last, i) > 0 {
			rest[i], lagged[i] = full[i], full[i]+lag
		}
	}
	return longestChain(job.Spec.Steps, full), longestChain(job.Spec.Steps, rest), longestChain(job.Spec.Steps, lagged)
}

// longestChain returns the duration of the longest chain of steps with the given durations.
func longestChain(steps []*pb.Step, durations []int64) int64 {
	longest, finish := int64(0), make([]int64, len(steps))
	for i, step := range steps {
		for _, before := range step.After {
			finish[i] = max(finish[i], finish[before])
		}
		finish[i] += durations[i]
		longest = max(longest, finish[i])
	}
	return longest
}

// objective returns how long a job may take in milliseconds, given its longest chain.
func objective(queue *pb.Queue, chain int64) int64 {
	return int64(queue.SlackFactor*float64(chain)) + queue.ObjectiveMs
}

// failUnplaceableJobs fails jobs with a task that no VM could run even when empty. VMs of all
// pools count, since they move between pools, and so do those that are away. Before the platform
// has listed its VMs, nothing is known of the latter.
func (d *Driver) failUnplaceableJobs() {
	if d.cfg.Now().Sub(d.startedAt) < discoveryPeriod {
		return
	}
	type unplaceableJob struct{ job, reason string }
	var found []unplaceableJob
	d.mu.Lock()
	placeable := d.learned.placeable
	d.cfg.Machine.View(func(v *workflow.View) {
		kinds := d.knownKinds(v)
		if d.fleet.readAt.IsZero() || len(kinds) == 0 {
			return
		}
		for id, job := range v.OpenJobs() {
			if placeable[id] || job.State != pb.JobState_JOB_STATE_QUEUED {
				continue
			}
			if job.PlacedBefore() {
				// A task that fitted once may fit again.
				placeable[id] = true
				continue
			}
			if reason := neverFitsReason(kinds, job); reason != "" {
				found = append(found, unplaceableJob{id, reason})
				continue
			}
			placeable[id] = true
		}
		for id := range placeable {
			if v.OpenJobs()[id] == nil {
				delete(placeable, id)
			}
		}
	})
	d.mu.Unlock()
	for _, unplaceable := range found {
		event.JobUnplaceable.Emit(event.F("job", unplaceable.job), event.F("reason", unplaceable.reason))
		if _, err := d.commit(&pb.Command{Body: &pb.Command_FailJob{FailJob: &pb.FailJob{Job: unplaceable.job, Reason: unplaceable.reason}}}); err != nil {
			event.EndsUncommitted.Emit(event.F("job", unplaceable.job), event.Err(err))
		}
	}
}

// vmKind is what a VM offers, whether a target runs there now or not.
type vmKind struct {
	capacity workflow.Resources
	labels   []string
	// seenAt is when its target was last registered, or the VM last in the platform's list.
	seenAt time.Time
}

// kindSource is where a vmKind is known from: the platform's list, or the target on the VM.
type kindSource struct {
	vm     string
	listed bool
}

// kindMemory is how long a VM that is no longer listed counts as one that may come back, or be
// replaced by another of its kind.
const kindMemory = workflow.FormerTargetMemoryMS * time.Millisecond

// knownKinds returns what the registered targets, the VMs that the platform lists in whatever
// state, and those that were known until lately offer.
func (d *Driver) knownKinds(v *workflow.View) []vmKind {
	now := d.cfg.Now()
	for _, target := range v.Targets() {
		d.kinds[kindSource{vm: target.Vm}] = vmKind{workflow.ResourcesOf(target.Capacity), target.Labels, now}
	}
	for name, former := range v.FormerTargets() {
		seenAt := now.Add(-time.Duration(max(d.cfg.NowMS()-former.RemovedUnixMs, 0)) * time.Millisecond)
		if source := (kindSource{vm: name}); seenAt.After(d.kinds[source].seenAt) {
			d.kinds[source] = vmKind{workflow.ResourcesOf(former.Target.Capacity), former.Target.Labels, seenAt}
		}
	}
	for name, vm := range d.fleet.vms {
		d.kinds[kindSource{name, true}] = vmKind{vm.Capacity, vm.Labels, now}
	}
	kinds := make([]vmKind, 0, len(d.kinds))
	for source, kind := range d.kinds {
		if now.Sub(kind.seenAt) > kindMemory {
			delete(d.kinds, source)
			continue
		}
		kinds = append(kinds, kind)
	}
	return kinds
}

// neverFitsReason returns why no VM of the known kinds can run some step of the job, or "".
func neverFitsReason(kinds []vmKind, job *workflow.Job) string {
	for i, step := range job.Spec.Steps {
		room := workflow.RequiredCapacity(step)
		fits := func(kind vmKind) bool {
			return room.FitsIn(kind.capacity) && (step.Label == "" || slices.Contains(kind.labels, step.Label))
		}
		if !slices.ContainsFunc(kinds, fits) {
			return fmt.Sprintf("step %d fits on no known VM", i)
		}
	}
	return ""
}
