package driver

import (
	"slices"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/assign"
	"sapphirering/internal/policy/copies"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// planCopies returns the copies (second, concurrent runs) that are worth starting for tasks
// of a job, as a separate job that is planned after all waiting work.
func (d *Driver) planCopies(v *workflow.View, job *workflow.Job, queue *pb.Queue, nowMS int64) assign.Job {
	planned := assign.Job{ID: job.Spec.Id, Workspace: job.Spec.Workspace, Priority: queue.Priority, SubmittedMS: job.Spec.SubmittedUnixMs, BeyondRate: job.Spec.BeyondRate, Copy: true}
	if !slices.ContainsFunc(job.Spec.Steps, func(step *pb.Step) bool { return step.Copies }) {
		return planned
	}
	times := d.timesOf(job, queue)
	if job.Spec.Occurrences == 0 && nowMS > times.lateDeadlineMS {
		// The job has no worth left. In jobs with due times each occurrence has its own worth.
		return planned
	}
	now := d.cfg.Now()
	for k := range job.Tasks {
		for s, tasks := range job.Tasks[k] {
			if job.RemainingTasks(k, s) == 0 || !job.Spec.Steps[s].Copies {
				continue
			}
			for _, task := range tasks {
				r := d.onlyRun(task)
				if r == nil || workflow.AttemptsUsedUp(task, queue) || copies.Reason(d.copyInputs(v, task, times, r, now)) == "" {
					continue
				}
				step := stepRequirements(v, task.Spec(), tasks)
				step.Tasks, step.FirstRunTarget = []workflow.TaskID{task.ID}, r.target
				if queue.Advised {
					step.Allowed = d.advisedTargets(v, task.ID, queue.Pool)
				}
				planned.Steps = append(planned.Steps, step)
			}
		}
	}
	return planned
}

// onlyRun returns the only run of a task that may have a copy, or nil if there is none or
// it is known to be over. A run being stopped counts: its target may be silent.
func (d *Driver) onlyRun(task *workflow.Task) *run {
	if !task.CanCopy() || task.Spec().Fills || task.Spec().EstimateMs <= 0 {
		return nil
	}
	r := d.runOn(task, task.Targets()[0])
	if r == nil || r.phase > runStopping {
		return nil
	}
	if l := d.links[r.target]; l == nil || l.target.BornUnixMs != r.born {
		return nil
	}
	return r
}

// copyInputs returns the inputs of the decision whether a run gets a copy.
func (d *Driver) copyInputs(v *workflow.View, task *workflow.Task, times jobTimes, r *run, now time.Time) copies.Run {
	in := d.progressOf(task, r, now)
	in.Silent = d.links[r.target].overdueFor(now)
	after := time.Duration(times.leftMS)*time.Millisecond - in.Expected
	in.Slack = time.Duration(times.deadlineMS-d.cfg.NowMS())*time.Millisecond - max(after, 0)
	if in.MissesSlack() {
		in.TargetSlowness = d.slownessOf(v, r.target, now)
	}
	return in
}

// progressOf returns the progress of a run and its expected run time.
func (d *Driver) progressOf(task *workflow.Task, r *run, now time.Time) copies.Run {
	in := copies.Run{Expected: time.Duration(d.expectedOn(task, r)) * time.Millisecond}
	if d.cfg.Learning.Quantiles {
		in.Pessimistic = max(time.Duration(d.learned.pessimisticOf(task))*time.Millisecond, in.Expected)
	}
	if !r.runningSince.IsZero() && !r.progressAt.IsZero() {
		in.Worked, in.Percent, in.Quiet = r.progressAt.Sub(r.runningSince), r.percent, now.Sub(r.progressAt)
	}
	return in
}

// minMeasuredRuns is how many runs of known speed show that their target is slow: a single
// one may just be a long task.
const minMeasuredRuns = 2

// slownessOf returns the slowness of a target: the factor of its least slow run if the
// speed of several is known, else the factor learned from its ended runs.
func (d *Driver) slownessOf(v *workflow.View, target string, now time.Time) float64 {
	least, measured := 0.0, 0
	for _, task := range v.PlacedOn(target) {
		r := d.runOn(task, target)
		if r == nil || task.Spec().Lasting || task.Spec().Fills {
			continue
		}
		if factor, known := d.progressOf(task, r, now).Slowness(); known {
			if measured++; measured == 1 || factor < least {
				least = factor
			}
		}
	}
	if measured < minMeasuredRuns {
		return d.links[target].health.slowness()
	}
	return least
}

// reportCopy logs a copy that is to start.
func (d *Driver) reportCopy(v *workflow.View, start assign.Start) {
	task := v.Task(start.Task)
	r := d.onlyRun(task)
	if r == nil {
		return
	}
	in := d.copyInputs(v, task, d.timesOf(task.Job, v.QueueOf(task.Job)), r, d.cfg.Now())
	event.CopyPlanned.Emit(event.F("task", start.Task.String()), event.F("attempt", task.Attempt+1), event.F("target", start.Target),
		event.F("beside", r.target), event.F("reason", copies.Reason(in)), event.F("silent", in.Silent.String()),
		event.F("worked", in.Worked.String()), event.F("percent", in.Percent), event.F("target_slowness", in.TargetSlowness), event.F("quiet", in.Quiet.String()), event.F("expected", in.Expected.String()), event.F("slack", in.Slack.String()))
}
