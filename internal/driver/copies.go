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

// planCopies returns the second runs that are worth it for tasks of a job, as a job of
// their own that comes after all work that waits.
func (d *Driver) planCopies(v *workflow.View, job *workflow.Job, queue *pb.Queue, nowMS int64) assign.Job {
	planned := assign.Job{ID: job.Spec.Id, Workspace: job.Spec.Workspace, Priority: queue.Priority, SubmittedMS: job.Spec.SubmittedUnixMs, Copy: true}
	if !slices.ContainsFunc(job.Spec.Steps, func(step *pb.Step) bool { return step.Copies }) {
		return planned
	}
	times := d.timesOf(job, queue)
	if job.Spec.Occurrences == 0 && nowMS > times.lateDeadlineMS {
		// It earns nothing any more. Jobs with due times have worth in each occurrence.
		return planned
	}
	now := d.cfg.Now()
	for k := range job.Tasks {
		for s, tasks := range job.Tasks[k] {
			if job.RemainingTasks(k, s) == 0 || !job.Spec.Steps[s].Copies {
				continue
			}
			for _, task := range tasks {
				r := d.lonelyRun(task)
				if r == nil || copies.Reason(d.copyInputs(v, task, times, r, now)) == "" {
					continue
				}
				step := stepPlaces(v, task.Spec(), tasks)
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

// lonelyRun returns the only run of a task that may have a copy, or nil if its end is
// known. One that is being stopped has no end yet: its target may be silent.
func (d *Driver) lonelyRun(task *workflow.Task) *run {
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

// copyInputs is what the decision about a copy looks at.
func (d *Driver) copyInputs(v *workflow.View, task *workflow.Task, times jobTimes, r *run, now time.Time) copies.Run {
	in := d.progressOf(task, r, now)
	in.Silent = d.links[r.target].owesFor(now)
	after := time.Duration(times.chainMS)*time.Millisecond - in.Expected
	in.Slack = time.Duration(times.deadlineMS-d.cfg.NowMS())*time.Millisecond - max(after, 0)
	if in.MissesSlack() {
		in.TargetSlowness = d.slownessOf(v, r.target, now)
	}
	return in
}

// progressOf tells how far a run is against what is expected of it.
func (d *Driver) progressOf(task *workflow.Task, r *run, now time.Time) copies.Run {
	in := copies.Run{Expected: time.Duration(d.learned.expectedOf(task)) * time.Millisecond}
	if !r.working.IsZero() && !r.movedAt.IsZero() {
		in.Worked, in.Percent, in.Quiet = r.movedAt.Sub(r.working), r.percent, now.Sub(r.movedAt)
	}
	return in
}

// minTelling is how many runs of a target must tell their speed for it to be theirs in
// common: one may just be long.
const minTelling = 2

// slownessOf returns by how much a target is slow: as its least slow run shows while
// several tell, else as its ended runs have.
func (d *Driver) slownessOf(v *workflow.View, target string, now time.Time) float64 {
	least, telling := 0.0, 0
	for _, task := range v.PlacedOn(target) {
		r := d.runOn(task, target)
		if r == nil || task.Spec().Lasting || task.Spec().Fills {
			continue
		}
		if factor, known := d.progressOf(task, r, now).Slowness(); known {
			if telling++; telling == 1 || factor < least {
				least = factor
			}
		}
	}
	if telling < minTelling {
		return d.links[target].health.slowness()
	}
	return least
}

// reportCopy writes a line about a copy that is to start.
func (d *Driver) reportCopy(v *workflow.View, start assign.Start) {
	task := v.Task(start.Task)
	r := d.lonelyRun(task)
	if r == nil {
		return
	}
	in := d.copyInputs(v, task, d.timesOf(task.Job, v.Queue(task.Job.Spec.Queue)), r, d.cfg.Now())
	event.CopyPlanned.Emit(event.F("task", start.Task.String()), event.F("attempt", task.Attempt+1), event.F("target", start.Target),
		event.F("beside", r.target), event.F("reason", copies.Reason(in)), event.F("silent", in.Silent.String()),
		event.F("worked", in.Worked.String()), event.F("percent", in.Percent), event.F("target_slowness", in.TargetSlowness), event.F("quiet", in.Quiet.String()), event.F("expected", in.Expected.String()), event.F("slack", in.Slack.String()))
}
