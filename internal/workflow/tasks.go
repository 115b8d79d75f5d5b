package workflow

import (
	"fmt"
	"slices"

	pb "sapphirering/internal/workflow/workflowpb"
)

// changeTasks records ends, then starts; starts see the room that ends gave.
func (m *Machine) changeTasks(c *pb.ChangeTasks) *Outcome {
	for _, end := range c.Ends {
		m.endRun(end)
	}
	out := m.ok()
	var accepted []*pb.Start
	for _, start := range c.Starts {
		if reason := m.startRun(start); reason != "" {
			out.Refused = append(out.Refused, refusedStart(start, reason))
			continue
		}
		accepted = append(accepted, start)
	}
	m.undoPartGangs(accepted, out)
	return out
}

func refusedStart(start *pb.Start, reason string) RefusedStart {
	return RefusedStart{
		Task: TaskIDOf(start.GetTask()), Attempt: start.GetTask().GetAttempt(), Target: start.Target,
		TargetBornUnixMS: start.TargetBornUnixMs, Copy: start.Copy, Reason: reason,
	}
}

// undoPartGangs takes back the starts of a gang of which a member was refused:
// the others would hold room and wait for it in vain. Only starts of the same
// command are taken back: nobody was told of them yet.
func (m *Machine) undoPartGangs(accepted []*pb.Start, out *Outcome) {
	broken := make(map[TaskID]bool)
	for _, refused := range out.Refused {
		if task := m.task(refused.Task); task != nil && task.Spec().Gang {
			broken[refused.Task.FirstOfStep()] = true
		}
	}
	if len(broken) == 0 {
		return
	}
	for _, start := range accepted {
		task := m.task(TaskIDOf(start.GetTask()))
		if !broken[task.ID.FirstOfStep()] {
			continue
		}
		m.release(task, task.Target)
		task.Attempt--
		out.Refused = append(out.Refused, refusedStart(start, "another member of the gang was refused"))
	}
}

// startRun places a task; it returns why the start breaks a rule, or "".
func (m *Machine) startRun(start *pb.Start) string {
	id := TaskIDOf(start.GetTask())
	task := m.task(id)
	if task == nil {
		return "task does not exist"
	}
	target := m.targets[start.Target]
	if target == nil || target.BornUnixMs != start.TargetBornUnixMs {
		return fmt.Sprintf("target %q is not registered in this incarnation", start.Target)
	}
	if reason := m.checkStart(task, start, target); reason != "" {
		return reason
	}
	m.place(task, start.Task.Attempt, target.Id)
	return ""
}

// checkStart returns the rule that the start of a task on a target breaks, or "".
func (m *Machine) checkStart(task *Task, start *pb.Start, target *pb.Target) string {
	job, step, attempt := task.Job, task.Spec(), start.Task.Attempt
	queue := m.routes.queues[job.Spec.Queue]
	switch {
	case Ended(job.State):
		return fmt.Sprintf("job is %s", job.State)
	case start.Copy && !task.CanCopy():
		return "task may have no copy now"
	case start.Copy && task.AttemptOn(target.Id) > 0:
		return "the other run is on the target"
	case !start.Copy && (task.State != pb.TaskState_TASK_STATE_WAITING || task.Copy.Target != ""):
		return fmt.Sprintf("task is %s", task.State)
	case attempt != task.Attempt+1:
		return fmt.Sprintf("attempt %d follows attempt %d", attempt, task.Attempt)
	case queue == nil:
		return fmt.Sprintf("queue %q does not exist any more", job.Spec.Queue)
	case queue.Pool != target.Pool:
		return fmt.Sprintf("target is of pool %q, the queue uses %q", target.Pool, queue.Pool)
	case target.Leaving:
		return "target is leaving"
	case step.Label != "" && !slices.Contains(target.Labels, step.Label):
		return fmt.Sprintf("target has no label %q", step.Label)
	case !job.Ready(int(task.ID.Occurrence), int(task.ID.Step)):
		return "an earlier step is not done"
	case !step.Lasting && queue.MaxAttempts > 0 && task.Failed >= queue.MaxAttempts:
		return "attempts are used up"
	case step.MaxPerTarget > 0 && m.stepOnTarget(task, target.Id) >= int(step.MaxPerTarget):
		return "step has its most tasks on the target"
	}
	return m.checkLimit(job.Spec.Workspace, ResourcesOf(step.Needs))
}

func (m *Machine) checkLimit(workspace string, needs Resources) string {
	w := m.routes.workspaces[workspace]
	if w == nil || m.used[workspace].Add(needs).WithinLimit(ResourcesOf(w.Limit)) {
		return ""
	}
	return fmt.Sprintf("workspace %q is at its limit", workspace)
}

// stepOnTarget counts the tasks of the same occurrence and step on a target.
func (m *Machine) stepOnTarget(task *Task, target string) int {
	count := 0
	for _, other := range task.Job.Tasks[task.ID.Occurrence][task.ID.Step] {
		if other.AttemptOn(target) > 0 {
			count++
		}
	}
	return count
}

// StepTasksOnTarget counts the tasks of the same occurrence and step on a target.
func (v *View) StepTasksOnTarget(task *Task, target string) int {
	return (*Machine)(v).stepOnTarget(task, target)
}

func (m *Machine) place(task *Task, attempt uint32, target string) {
	m.keepAsCopy(task)
	task.State, task.Attempt, task.Target = pb.TaskState_TASK_STATE_PLACED, attempt, target
	m.notePlaced(task, target)
	if task.Job.State == pb.JobState_JOB_STATE_QUEUED {
		task.Job.State = pb.JobState_JOB_STATE_RUNNING
	}
}

// keepAsCopy keeps the newest run of a task, if it is placed, as the earlier one.
func (m *Machine) keepAsCopy(task *Task) {
	if task.State == pb.TaskState_TASK_STATE_PLACED {
		task.Copy, task.Target = Run{task.Attempt, task.Target}, ""
	}
}

func (m *Machine) notePlaced(task *Task, target string) {
	onTarget := m.placed[target]
	if onTarget == nil {
		onTarget = make(map[TaskID]*Task)
		m.placed[target] = onTarget
	}
	onTarget[task.ID] = task
	workspace := task.Job.Spec.Workspace
	m.used[workspace] = m.used[workspace].Add(ResourcesOf(task.Spec().Needs))
	task.Job.placed++
}

// endRun ends a placed run of a task. The end of a former run, which a target
// began late, counts only if it did the work: then the task must not start again.
func (m *Machine) endRun(end *pb.End) {
	task := m.task(TaskIDOf(end.GetTask()))
	if task == nil || end.Task.Attempt > task.Attempt {
		return
	}
	newest := task.Attempt == end.Task.Attempt
	if target := task.TargetOf(end.Task.Attempt); target == "" || target != end.Target {
		if end.Kind == pb.EndKind_END_KIND_DONE && end.Task.Attempt > 0 {
			m.formerDone(task)
		}
		return
	}
	m.release(task, end.Target)
	if task.State == pb.TaskState_TASK_STATE_DONE {
		// The other run was first.
		m.closeIfOver(task.Job)
		return
	}
	if end.Checkpoint != "" {
		task.Checkpoint = end.Checkpoint
	}
	switch {
	case end.Kind == pb.EndKind_END_KIND_DONE, task.Superseded && newest:
		m.taskDone(task)
	case end.Kind == pb.EndKind_END_KIND_FAILED:
		m.taskFailed(task)
	}
	m.closeIfOver(task.Job)
}

// formerDone takes in that a former run of a task, or of its gang, did the work.
func (m *Machine) formerDone(task *Task) {
	step := task.Spec()
	if step.Lasting {
		return
	}
	members := []*Task{task}
	if step.Gang {
		members = task.Job.Tasks[task.ID.Occurrence][task.ID.Step]
	}
	for _, member := range members {
		switch member.State {
		case pb.TaskState_TASK_STATE_WAITING:
			m.markDone(member)
		case pb.TaskState_TASK_STATE_PLACED:
			member.Superseded = true
		}
	}
	m.closeIfOver(task.Job)
}

// release takes a placed run of a task off its target.
func (m *Machine) release(task *Task, target string) {
	if onTarget := m.placed[target]; onTarget != nil {
		delete(onTarget, task.ID)
		if len(onTarget) == 0 {
			delete(m.placed, target)
		}
	}
	workspace := task.Job.Spec.Workspace
	m.used[workspace] = m.used[workspace].Sub(ResourcesOf(task.Spec().Needs))
	if m.used[workspace] == (Resources{}) {
		delete(m.used, workspace)
	}
	task.Job.placed--
	if task.Copy.Target == target {
		task.Copy = Run{}
		return
	}
	task.State, task.Target = pb.TaskState_TASK_STATE_WAITING, ""
}

// taskDone counts a task as done. A lasting task is never done: it is started
// again. One end stands for the whole gang.
func (m *Machine) taskDone(task *Task) {
	step := task.Spec()
	if step.Lasting {
		return
	}
	m.markDone(task)
	if !step.Gang {
		return
	}
	for _, member := range task.Job.Tasks[task.ID.Occurrence][task.ID.Step] {
		if member.State == pb.TaskState_TASK_STATE_DONE || member.Attempt != task.Attempt {
			continue
		}
		if member.State == pb.TaskState_TASK_STATE_PLACED {
			m.release(member, member.Target)
		}
		m.markDone(member)
	}
}

// markDone counts a task as done. A run that goes on is not needed any more; it holds
// its room until it has ended.
func (m *Machine) markDone(task *Task) {
	job := task.Job
	m.keepAsCopy(task)
	task.State, task.Checkpoint, task.Superseded = pb.TaskState_TASK_STATE_DONE, "", false
	job.left[task.ID.Occurrence][task.ID.Step]--
	job.done++
	if job.done == job.taskCount() && !Ended(job.State) {
		m.endJob(job, pb.JobState_JOB_STATE_DONE, "")
	}
}

func (j *Job) taskCount() int {
	count := 0
	for _, step := range j.Spec.Steps {
		count += int(step.Tasks)
	}
	return count * len(j.Tasks)
}

// taskFailed counts a failed run; the last one allowed fails the job. A gang
// fails as one.
func (m *Machine) taskFailed(task *Task) {
	task.Failed++
	if task.Spec().Gang {
		for _, member := range task.Job.Tasks[task.ID.Occurrence][task.ID.Step] {
			member.Failed = max(member.Failed, task.Failed)
		}
	}
	queue := m.routes.queues[task.Job.Spec.Queue]
	if task.Spec().Lasting || queue == nil || queue.MaxAttempts == 0 || task.Failed < queue.MaxAttempts || Ended(task.Job.State) {
		return
	}
	m.endJob(task.Job, pb.JobState_JOB_STATE_FAILED, fmt.Sprintf("task %s failed %d times", task.ID, task.Failed))
}
