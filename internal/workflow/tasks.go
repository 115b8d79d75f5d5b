package workflow

import (
	"fmt"
	"slices"

	pb "sapphirering/internal/workflow/workflowpb"
)

// changeTasks applies what is known of leases first, and the ends before the starts, so that the starts can use the
// resources that the ends release.
func (m *Machine) changeTasks(c *pb.ChangeTasks) *Outcome {
	if c.ForgetLeases {
		clear(m.leases)
	}
	m.recordLeases(c.LeaseEpoch, c.Leases)
	for _, r := range c.RepeatedStarts {
		if task := m.task(TaskIDOf(r.GetTask())); task != nil {
			task.RepeatedStart = RepeatedStart{m.index, r.SettlesMs}
		}
	}
	for _, id := range c.BegunJobs {
		if job := m.jobs[id]; job != nil {
			job.noteBegun()
		}
	}
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
	m.undoPartialGangs(accepted, out)
	return out
}

func refusedStart(start *pb.Start, reason string) RefusedStart {
	return RefusedStart{
		Task: TaskIDOf(start.GetTask()), Attempt: start.GetTask().GetAttempt(), Target: start.Target,
		TargetBornUnixMS: start.TargetBornUnixMs, Copy: start.Copy, Reason: reason,
	}
}

// undoPartialGangs reverts the starts of a gang if one of its members was refused: the
// others would hold resources and wait for a member that does not start. Only starts
// of the same command are reverted: no target has been told of them yet.
func (m *Machine) undoPartialGangs(accepted []*pb.Start, out *Outcome) {
	incomplete := make(map[TaskID]bool)
	for _, refused := range out.Refused {
		if task := m.task(refused.Task); task != nil && task.Spec().Gang {
			incomplete[refused.Task.FirstOfStep()] = true
		}
	}
	if len(incomplete) == 0 {
		return
	}
	for _, start := range accepted {
		task := m.task(TaskIDOf(start.GetTask()))
		if !incomplete[task.ID.FirstOfStep()] {
			continue
		}
		m.removePlacedRun(task, task.Target)
		task.Attempt--
		out.Refused = append(out.Refused, refusedStart(start, "another member of the gang was refused"))
	}
}

// startRun places a run of a task; it returns why the start breaks a rule, or "".
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

// checkStart returns why the start of a task on a target breaks a rule, or "".
func (m *Machine) checkStart(task *Task, start *pb.Start, target *pb.Target) string {
	job, step, attempt := task.Job, task.Spec(), start.Task.Attempt
	queue := m.queueOf(job.Spec)
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
	case m.evacuated(target.Zone):
		return fmt.Sprintf("availability zone %q is evacuated", target.Zone)
	case step.Label != "" && !slices.Contains(target.Labels, step.Label):
		return fmt.Sprintf("target has no label %q", step.Label)
	case !job.Ready(int(task.ID.Occurrence), int(task.ID.Step)):
		return "an earlier step is not done"
	case AttemptsUsedUp(task, queue):
		return "attempts are used up"
	case step.MaxPerTarget > 0 && m.stepTasksOnTarget(task, target.Id) >= int(step.MaxPerTarget):
		return "step has its most tasks on the target"
	}
	return m.checkWorkspaceLimit(task, attempt)
}

// checkWorkspaceLimit counts the members of a gang that this attempt has placed so far as part of the gang.
func (m *Machine) checkWorkspaceLimit(task *Task, attempt uint32) string {
	workspace, step := task.Job.Spec.Workspace, task.Spec()
	w := m.lookup.workspaces[workspace]
	if w == nil {
		return ""
	}
	used, needs := m.usedByWorkspace[workspace], ResourcesOf(step.Needs)
	if step.Gang {
		for _, member := range task.Job.Tasks[task.ID.Occurrence][task.ID.Step] {
			if member.State == pb.TaskState_TASK_STATE_PLACED && member.Attempt == attempt {
				used = used.Sub(needs)
			}
		}
	}
	if LimitAllows(ResourcesOf(w.Limit), used, needs, StartsTogether(step)) {
		return ""
	}
	return fmt.Sprintf("workspace %q is at its limit", workspace)
}

// stepTasksOnTarget counts the tasks of the same occurrence and step on a target.
func (m *Machine) stepTasksOnTarget(task *Task, target string) int {
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
	return (*Machine)(v).stepTasksOnTarget(task, target)
}

func (m *Machine) place(task *Task, attempt uint32, target string) {
	m.keepAsCopy(task)
	task.State, task.Attempt, task.Target, task.PlacedIndex = pb.TaskState_TASK_STATE_PLACED, attempt, target, m.index
	m.addPlacedRun(task, target)
}

// noteBegun records that a target has begun a task of the job. A placed task may never begin: its start may come to
// nothing.
func (j *Job) noteBegun() {
	if j.State == pb.JobState_JOB_STATE_QUEUED {
		j.State = pb.JobState_JOB_STATE_RUNNING
	}
}

// begun reports whether a run that ended so was begun by its target for certain.
func begun(kind pb.EndKind) bool {
	return kind != pb.EndKind_END_KIND_UNSPECIFIED && kind != pb.EndKind_END_KIND_NOT_RUN && kind != pb.EndKind_END_KIND_LOST
}

// keepAsCopy records the newest run of a task, if it is placed, as its Copy.
func (m *Machine) keepAsCopy(task *Task) {
	if task.State == pb.TaskState_TASK_STATE_PLACED {
		task.Copy, task.Target, task.PlacedIndex = Run{task.Attempt, task.Target, task.PlacedIndex}, "", 0
	}
}

func (m *Machine) addPlacedRun(task *Task, target string) {
	onTarget := m.tasksByTarget[target]
	if onTarget == nil {
		onTarget = make(map[TaskID]*Task)
		m.tasksByTarget[target] = onTarget
	}
	onTarget[task.ID] = task
	used := m.usedByTarget[target]
	room := RequiredCapacity(task.Spec())
	used.Room = used.Room.Add(room)
	if task.Spec().Lasting {
		used.Lasting++
	} else {
		used.ShortMillis += room.CPUMillis
	}
	used.Changes++
	m.usedByTarget[target] = used
	workspace := task.Job.Spec.Workspace
	m.usedByWorkspace[workspace] = m.usedByWorkspace[workspace].Add(ResourcesOf(task.Spec().Needs))
	task.Job.placedRuns++
}

// endRun ends a placed run of a task. The end of a former run, which a target began
// late, counts only if that run completed the work: the task must not start again then.
func (m *Machine) endRun(end *pb.End) {
	task := m.task(TaskIDOf(end.GetTask()))
	if task == nil || end.Task.Attempt > task.Attempt {
		return
	}
	if end.Task.Attempt > 0 && begun(end.Kind) {
		task.Job.noteBegun()
	}
	newest := task.Attempt == end.Task.Attempt
	if target := task.TargetOf(end.Task.Attempt); target == "" || target != end.Target {
		if end.Kind == pb.EndKind_END_KIND_DONE && end.Task.Attempt > 0 {
			m.recordFormerRunDone(task)
		}
		return
	}
	m.removePlacedRun(task, end.Target)
	if task.State == pb.TaskState_TASK_STATE_DONE {
		// The other run completed the task first.
		m.closeIfFinished(task.Job)
		return
	}
	if end.Checkpoint != "" {
		task.Checkpoint = end.Checkpoint
	}
	switch {
	case end.Kind == pb.EndKind_END_KIND_DONE, task.Superseded && newest:
		m.completeTask(task)
	case end.Kind == pb.EndKind_END_KIND_FAILED:
		m.recordFailure(task)
	}
	m.closeIfFinished(task.Job)
}

// recordFormerRunDone records that a former run of a task, or of its gang, completed
// the work.
func (m *Machine) recordFormerRunDone(task *Task) {
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
	m.closeIfFinished(task.Job)
}

// removePlacedRun removes a placed run of a task from its target.
func (m *Machine) removePlacedRun(task *Task, target string) {
	if onTarget := m.tasksByTarget[target]; onTarget != nil {
		delete(onTarget, task.ID)
		if len(onTarget) == 0 {
			delete(m.tasksByTarget, target)
		}
		used := m.usedByTarget[target]
		room := RequiredCapacity(task.Spec())
		used.Room = used.Room.Sub(room)
		if task.Spec().Lasting {
			used.Lasting--
		} else {
			used.ShortMillis -= room.CPUMillis
		}
		used.Changes++
		m.usedByTarget[target] = used
	}
	workspace := task.Job.Spec.Workspace
	m.usedByWorkspace[workspace] = m.usedByWorkspace[workspace].Sub(ResourcesOf(task.Spec().Needs))
	if m.usedByWorkspace[workspace] == (Resources{}) {
		delete(m.usedByWorkspace, workspace)
	}
	task.Job.placedRuns--
	m.noteRunRemoved(target, task.PlacedIndexOn(target))
	if task.Copy.Target == target {
		task.Copy = Run{}
		return
	}
	task.State, task.Target, task.PlacedIndex = pb.TaskState_TASK_STATE_WAITING, "", 0
}

// completeTask marks a task as done. A lasting task is never done: it is started again.
// The end of one gang member completes all members with the same attempt.
func (m *Machine) completeTask(task *Task) {
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
			m.removePlacedRun(member, member.Target)
		}
		m.markDone(member)
	}
}

// markDone marks a single task as done. A run that is still placed is no longer needed;
// its resources stay counted until it has ended.
func (m *Machine) markDone(task *Task) {
	job := task.Job
	m.keepAsCopy(task)
	task.State, task.Checkpoint, task.Superseded = pb.TaskState_TASK_STATE_DONE, "", false
	job.remaining[task.ID.Occurrence][task.ID.Step]--
	job.doneTasks++
	if job.doneTasks == job.taskCount() && !Ended(job.State) {
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

// AttemptsUsedUp reports whether a task has failed as often as a queue allows, so that it may not
// start again. The queue may be nil. A lasting task has no such limit.
func AttemptsUsedUp(task *Task, queue *pb.Queue) bool {
	most := queue.GetMaxAttempts()
	return most > 0 && task.Failed >= most && !task.Spec().Lasting
}

// recordFailure counts a failed run; the job fails when the queue's maximum is reached.
// A failure of one gang member counts for all members.
func (m *Machine) recordFailure(task *Task) {
	task.Failed++
	if task.Spec().Gang {
		for _, member := range task.Job.Tasks[task.ID.Occurrence][task.ID.Step] {
			member.Failed = max(member.Failed, task.Failed)
		}
	}
	if Ended(task.Job.State) || !AttemptsUsedUp(task, m.queueOf(task.Job.Spec)) {
		return
	}
	m.endJob(task.Job, pb.JobState_JOB_STATE_FAILED, fmt.Sprintf("task %s failed %d times", task.ID, task.Failed))
}
