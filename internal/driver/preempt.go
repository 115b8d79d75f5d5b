package driver

import (
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/assign"
	"sapphirering/internal/policy/preempt"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

const (
	// maxWaitGap is how long a step may not be seen waiting for its wait to count as the
	// same one: rounds are at least that frequent.
	maxWaitGap = 500 * time.Millisecond
	// restoreTime is the run time that a task with checkpoints loses by a stop: targets take
	// about that long to load a checkpoint.
	restoreTime = 250 * time.Millisecond
)

// waitSpan is one wait of a step for room: its begin and when it was last seen.
type waitSpan struct{ since, seen time.Time }

// preempt stops running tasks of a pool for tasks that wait for room there.
func (d *Driver) preempt(v *workflow.View, pool string, s *assign.Snapshot, waits []assign.Wait) {
	var waiting []preempt.Waiting
	lowest := lowestPriority(v, pool)
	for i := range waits {
		waiting = append(waiting, d.waitingTasks(s, &waits[i], lowest)...)
	}
	if len(waiting) == 0 {
		return
	}
	now := d.cfg.Now()
	targets := make([]preempt.Target, len(s.Targets))
	for i := range s.Targets {
		targets[i] = preempt.Target{ID: s.Targets[i].ID, Free: s.Targets[i].Free, Runs: d.runsOnTarget(v, s.Targets[i].ID, now)}
	}
	for _, victim := range preempt.Plan(waiting, targets) {
		task := v.Task(victim.Run)
		event.TaskPreempted.Emit(event.F("task", victim.Run.String()), event.F("attempt", task.Attempt), event.F("target", victim.Target),
			event.F("for", victim.For.String()), event.F("waited", now.Sub(d.waitSpans[victim.For.FirstOfStep()].since).String()),
			event.F("loss_core_ms", victim.LossMillisMS/1000))
		d.callStop(d.runOn(task, victim.Target))
	}
}

// lowestPriority returns the lowest priority, the largest number, of a pool's queues.
func lowestPriority(v *workflow.View, pool string) uint32 {
	lowest := uint32(0)
	for _, queue := range v.Catalogue().GetQueues() {
		if queue.Pool == pool {
			lowest = max(lowest, queue.Priority)
		}
	}
	return lowest
}

// waitingTasks records the begin of a wait and returns those of its tasks for which some
// run could be stopped; lowest is the lowest priority of the runs.
func (d *Driver) waitingTasks(s *assign.Snapshot, wait *assign.Wait, lowest uint32) []preempt.Waiting {
	step, job := wait.WaitingStep, wait.WaitingJob
	if wait.Reason != assign.WaitRoom || step.Gang {
		return nil
	}
	now, id := d.cfg.Now(), wait.Step.FirstOfStep()
	span, known := d.waitSpans[id]
	if !known || now.Sub(span.seen) > maxWaitGap {
		span.since = now
	}
	span.seen = now
	d.waitSpans[id] = span
	template := preempt.Waiting{
		Room: step.Room, Priority: job.Priority, Lasting: step.Lasting, WaitsMS: now.Sub(span.since).Milliseconds(),
		SlackMS: job.DeadlineMS - job.RemainingMS - s.NowMS, RunMS: job.RemainingMS,
		Admits: func(target int) bool {
			// A cold target that would make the job late gets no start of it, so its room does not count.
			at := &s.Targets[target]
			return step.MayRunOn(at) && step.BelowTargetLimit(at) && !wait.MakesLate(at)
		},
	}
	if !template.MayStop(lowest) {
		return nil
	}
	tasks := step.Tasks[len(step.Tasks)-wait.Tasks:]
	if step.MaxPerTarget > 0 {
		// Once one task is placed, the target may have no place left for the next of its step.
		tasks = tasks[:1]
	}
	out := make([]preempt.Waiting, min(len(tasks), preempt.MaxWaiting))
	for i := range out {
		out[i] = template
		out[i].Task = tasks[i]
	}
	return out
}

// runsOnTarget describes the runs on a target for preemption.
func (d *Driver) runsOnTarget(v *workflow.View, target string, now time.Time) []preempt.Run {
	var out []preempt.Run
	for _, task := range v.PlacedOn(target) {
		spec, r := task.Spec(), d.runOn(task, target)
		run := preempt.Run{
			ID: task.ID, Room: workflow.RequiredCapacity(spec), EndsInMS: d.remainingMS(task, target, now),
			NonPreemptible: !isRelocatable(task) || spec.Fills || task.State != pb.TaskState_TASK_STATE_PLACED ||
				r == nil || r.phase != runConfirmed,
			Stopping: r != nil && (r.phase == runStopping || r.phase == runStopped),
		}
		if queue := v.QueueOf(task.Job); queue != nil {
			run.Priority = queue.Priority
			// A stop would end the job as failed.
			run.NonPreemptible = run.NonPreemptible || workflow.AttemptsUsedUp(task, queue)
		}
		if r != nil && !r.runningSince.IsZero() {
			run.UnsavedMS = now.Sub(r.runningSince).Milliseconds()
		}
		if spec.Checkpoints {
			run.UnsavedMS = min(run.UnsavedMS, restoreTime.Milliseconds())
		}
		out = append(out, run)
	}
	return out
}

// pruneWaits removes waits that are over.
func (d *Driver) pruneWaits(now time.Time) {
	for id, span := range d.waitSpans {
		if now.Sub(span.seen) > maxWaitGap {
			delete(d.waitSpans, id)
		}
	}
}
