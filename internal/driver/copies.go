package driver

import (
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
	if !hasCopies(job) || d.worthless(job, queue, nowMS) {
		return planned
	}
	now := d.cfg.Now()
	for k := range job.Tasks {
		for s, tasks := range job.Tasks[k] {
			if job.StepLeft(k, s) == 0 || !job.Spec.Steps[s].Copies {
				continue
			}
			for _, task := range tasks {
				r := d.lonelyRun(task)
				if r == nil || copies.Reason(d.copyInputs(task, queue, r, now)) == "" {
					continue
				}
				step := stepPlaces(v, task.Spec(), tasks)
				step.Tasks, step.Beside = []workflow.TaskID{task.ID}, r.target
				if queue.Advised {
					step.Only = d.advisedTargets(v, task.ID, queue.Pool)
				}
				planned.Steps = append(planned.Steps, step)
			}
		}
	}
	return planned
}

func hasCopies(job *workflow.Job) bool {
	for _, step := range job.Spec.Steps {
		if step.Copies && !step.Fills {
			return true
		}
	}
	return false
}

// worthless reports whether a job without due times earns nothing any more.
func (d *Driver) worthless(job *workflow.Job, queue *pb.Queue, nowMS int64) bool {
	total, _ := d.chain(job)
	return job.Spec.Occurrences == 0 && nowMS > job.Spec.SubmittedUnixMs+lateFactor*objectiveMS(queue, total)
}

// lonelyRun returns the only run of a task that may have a copy, or nil if its end is
// known. One that is being stopped has no end yet: its target may be silent.
func (d *Driver) lonelyRun(task *workflow.Task) *run {
	if !task.MayCopy() || task.Spec().Fills || task.Spec().EstimateMs <= 0 {
		return nil
	}
	attempt := task.Copy.Attempt
	if task.State == pb.TaskState_TASK_STATE_PLACED {
		attempt = task.Attempt
	}
	r := d.runs[runID{task.ID, attempt}]
	if r == nil || r.phase > runStopping {
		return nil
	}
	if l := d.links[r.target]; l == nil || l.target.BornUnixMs != r.born {
		return nil
	}
	return r
}

// copyInputs is what the decision about a copy looks at.
func (d *Driver) copyInputs(task *workflow.Task, queue *pb.Queue, r *run, now time.Time) copies.Run {
	in := copies.Run{
		Expected: time.Duration(d.learned.expected(task.Job.Spec.Queue, task.Spec())) * time.Millisecond,
		Silent:   d.links[r.target].owesFor(now),
	}
	if !r.working.IsZero() && !r.movedAt.IsZero() {
		in.Worked, in.Percent, in.Quiet = r.movedAt.Sub(r.working), r.percent, now.Sub(r.movedAt)
	}
	total, left := d.chain(task.Job)
	deadlineMS := task.Job.Spec.SubmittedUnixMs + objectiveMS(queue, total)
	after := time.Duration(left)*time.Millisecond - in.Expected
	in.Slack = time.Duration(deadlineMS-d.cfg.NowMS())*time.Millisecond - max(after, 0)
	return in
}

// reportCopy writes a line about a copy that is to start.
func (d *Driver) reportCopy(v *workflow.View, start assign.Start) {
	task := v.Task(start.Task)
	r := d.lonelyRun(task)
	if r == nil {
		return
	}
	in := d.copyInputs(task, v.Queue(task.Job.Spec.Queue), r, d.cfg.Now())
	event.CopyPlanned.Emit(event.F("task", start.Task.String()), event.F("attempt", task.Attempt+1), event.F("target", start.Target),
		event.F("beside", r.target), event.F("reason", copies.Reason(in)), event.F("silent", in.Silent.String()),
		event.F("worked", in.Worked.String()), event.F("percent", in.Percent), event.F("quiet", in.Quiet.String()), event.F("expected", in.Expected.String()), event.F("slack", in.Slack.String()))
}
