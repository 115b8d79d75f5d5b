package driver

import (
	"fmt"
	"slices"
	"strings"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// explain answers what a job runs, where, and why its other tasks wait; the same for one
// task; or the state of a VM. For a job that was not accepted it gives the reason.
func (d *Driver) explain(r *pb.Request) *pb.Response {
	if r.Vm != "" {
		return d.explainVM(r.Vm)
	}
	if response := d.status(r); response.Answer != pb.Answer_ANSWER_OK {
		if refused := d.jobRefusals.about(r.Job.GetId()); len(refused) > 0 && response.Answer == pb.Answer_ANSWER_GONE {
			response.Reason = strings.Join(refused, "; ")
		}
		return response
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	response := &pb.Response{Answer: pb.Answer_ANSWER_OK}
	d.cfg.Machine.View(func(v *workflow.View) {
		job := v.Job(r.Job.Id)
		response.State, response.Reason = stateOf(job, d.begun), job.Reason
		if r.Task != nil {
			response.Lines = d.explainTask(v, workflow.TaskID{Job: r.Job.Id, Occurrence: r.Task.Occurrence, Step: r.Task.Step, Index: r.Task.Index})
			return
		}
		response.Lines = d.explainJob(v, job)
	})
	return response
}

func (d *Driver) explainJob(v *workflow.View, job *workflow.Job) []string {
	total, left, _ := d.chainTimes(job)
	lines := []string{fmt.Sprintf("job %s of workspace %q in queue %s: %s, submitted at %d, longest chain of steps expected to take %d ms, %d ms of it left",
		job.Spec.Id, job.Spec.Workspace, job.Spec.Queue, stateName(job.State), job.Spec.SubmittedUnixMs, total, left)}
	if job.Spec.BeyondRate {
		lines = append(lines, fmt.Sprintf("beyond the rate of its workspace when it was submitted (the weight is now %g jobs a second): jobs within their rates go first",
			v.Workspace(job.Spec.Workspace).GetWeight()))
	}
	lines = append(lines, "run times of its queue: "+d.explainRunTimes(queueKey(job.Spec)))
	if job.Reason != "" {
		lines = append(lines, "reason: "+job.Reason)
	}
	for k := range job.Tasks {
		for s := range job.Tasks[k] {
			lines = append(lines, d.explainStep(v, job, k, s))
		}
	}
	return lines
}

func stateName(s pb.JobState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "JOB_STATE_"))
}

// explainStep describes how far a step is and where its tasks run.
func (d *Driver) explainStep(v *workflow.View, job *workflow.Job, occurrence, step int) string {
	waiting, done, attempts := 0, 0, uint32(0)
	var on []string
	for _, task := range job.Tasks[occurrence][step] {
		attempts += task.Attempt
		switch task.State {
		case pb.TaskState_TASK_STATE_WAITING:
			waiting++
		case pb.TaskState_TASK_STATE_DONE:
			done++
		}
		for _, target := range task.Targets() {
			on = append(on, target+d.runPhaseNote(task, target))
		}
	}
	slices.Sort(on)
	line := fmt.Sprintf("step %d of occurrence %d: %d done, %d placed, %d waiting, %d runs so far", step, occurrence, done, len(on), waiting, attempts)
	if len(on) > 0 {
		line += "; on " + strings.Join(on, ", ")
	}
	if waiting > 0 {
		line += "; waits: " + d.waitReason(v, job, occurrence, step)
	}
	return line
}

func (d *Driver) runPhaseNote(task *workflow.Task, target string) string {
	r := d.runOn(task, target)
	if r == nil {
		return ""
	}
	return map[runPhase]string{
		runCalling: " (starting)", runUnanswered: " (start not answered)", runConfirmed: "",
		runStopping: " (stopping)", runStopped: " (stopped)", runEnded: " (ended)",
	}[r.phase]
}

// waitReason returns the first reason for which a step's tasks cannot start now.
func (d *Driver) waitReason(v *workflow.View, job *workflow.Job, occurrence, step int) string {
	spec := job.Spec.Steps[step]
	queue := v.QueueOf(job)
	switch {
	case workflow.Ended(job.State):
		return "the job has ended"
	case queue == nil:
		return "its queue is not known"
	case job.DueMS(occurrence) > d.cfg.NowMS():
		return "the occurrence is not due"
	case !job.Ready(occurrence, step):
		return "an earlier step is not done"
	case slices.ContainsFunc(job.Tasks[occurrence][step], func(task *workflow.Task) bool { return workflow.AttemptsUsedUp(task, queue) }):
		return "a task has failed as often as its queue allows, the job ends as failed"
	}
	workspace := v.Workspace(job.Spec.Workspace)
	if workflow.NeverWithinLimit(spec, workspace) {
		return "its gang needs more than the limit of its workspace, it waits for a catalogue with a higher one"
	}
	if workspace != nil && !workflow.LimitAllows(workflow.ResourcesOf(workspace.Limit), v.WorkspaceUsage(workspace.Name), workflow.ResourcesOf(spec.Needs), workflow.StartsTogether(spec)) {
		if workflow.LargerThanLimit(spec, workspace) {
			return "it needs more than the limit of its workspace, it starts while less than half of that is in use"
		}
		return "its workspace is at its limit"
	}
	targets, _ := d.planTargets(v, queue.Pool)
	evacuated, excluded := evacuatedNote(v, queue.Pool), false
	requirements := stepRequirements(v, spec, job.Tasks[occurrence][step])
	for i := range targets {
		target := &targets[i]
		switch {
		case !requirements.Room.FitsIn(target.Free):
		case evacuated == "" || requirements.MayRunOn(target) && requirements.BelowTargetLimit(target):
			return "it starts in the next round, or jobs ahead of it take the room"
		default:
			excluded = true
		}
	}
	if excluded {
		return fmt.Sprintf("the targets of pool %s with room lack its label or run as many of its tasks as one target may", queue.Pool) + evacuated
	}
	return fmt.Sprintf("no room on any of the %d targets of pool %s that accept starts", len(targets), queue.Pool) + evacuated
}
