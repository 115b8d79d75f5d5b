package workflow

import (
	"fmt"
	"strconv"
	"strings"

	pb "sapphirering/internal/workflow/workflowpb"
)

const (
	// MaxPayloadBytes is the largest payload of a job; callers rely on this size.
	MaxPayloadBytes = 4000
	// MaxSteps and MaxTasks limit how much one job adds to every snapshot.
	MaxSteps = 64
	MaxTasks = 20_000
	// maxIDBytes limits the length of job ids in the log.
	maxIDBytes = 64
)

// TaskID identifies a task across the whole system.
type TaskID struct {
	Job        string
	Occurrence uint32
	Step       uint32
	Index      uint32
}

// String gives the id's text form, JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Job)+24)
	b = append(b, t.Job...)
	for _, n := range [...]uint32{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendUint(b, uint64(n), 10)
	}
	return string(b)
}

// FirstOfStep returns the id of the first task of the same step and occurrence. It also
// identifies the step, and the gang if the step is one.
func (t TaskID) FirstOfStep() TaskID {
	t.Index = 0
	return t
}

// ParseTaskID parses the text form of a task id.
func ParseTaskID(text string) (TaskID, error) {
	var id TaskID
	rest := text
	for _, field := range []*uint32{&id.Index, &id.Step, &id.Occurrence} {
		dot := strings.LastIndexByte(rest, '.')
		if dot < 0 {
			return TaskID{}, fmt.Errorf("task id %q has fewer than four parts", text)
		}
		n, err := strconv.ParseUint(rest[dot+1:], 10, 32)
		if err != nil {
			return TaskID{}, fmt.Errorf("task id %q: %w", text, err)
		}
		*field, rest = uint32(n), rest[:dot]
	}
	if rest == "" {
		return TaskID{}, fmt.Errorf("task id %q names no job", text)
	}
	id.Job = rest
	return id, nil
}

// TaskIDOf returns the id of the task that a run belongs to.
func TaskIDOf(r *pb.TaskRef) TaskID {
	return TaskID{Job: r.GetJob(), Occurrence: r.GetOccurrence(), Step: r.GetStep(), Index: r.GetIndex()}
}

// Ref returns the reference to one run of the task.
func (t TaskID) Ref(attempt uint32) *pb.TaskRef {
	return &pb.TaskRef{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index, Attempt: attempt}
}

// Task is one task of a job.
type Task struct {
	ID    TaskID
	State pb.TaskState
	// Attempt is the number of the newest run; 0 before the first.
	Attempt uint32
	Failed  uint32
	// Target is where the newest run runs or may run while the task is placed.
	Target string
	// PlacedIndex is the log index of the command that placed it there.
	PlacedIndex uint64
	Checkpoint  string
	// Superseded is set if a former run, which began late, has ended as done while
	// the newest run may still run: the task is done once the newest run has ended.
	Superseded bool
	// RepeatedStart is the last record of starts that were sent again; the zero value if there is none.
	RepeatedStart RepeatedStart
	// Copy is an earlier run that may still run in parallel with the newest one, or
	// after the task is done; the zero Run if there is none.
	Copy Run
	Job  *Job
}

// RepeatedStart is the record that start calls of a task were sent again: none of them takes effect later than SettlesMS
// milliseconds after the commit at the log index.
type RepeatedStart struct {
	Index     uint64
	SettlesMS int64
}

// Run is one run of a task on a target.
type Run struct {
	Attempt uint32
	Target  string
	// PlacedIndex is the log index of the command that placed it.
	PlacedIndex uint64
}

// TargetOf returns the target where a run of the task runs or may run, or "".
func (t *Task) TargetOf(attempt uint32) string {
	switch {
	case t.State == pb.TaskState_TASK_STATE_PLACED && attempt == t.Attempt:
		return t.Target
	case attempt == t.Copy.Attempt:
		return t.Copy.Target
	}
	return ""
}

// Targets returns the targets where runs of the task run or may run, that of the
// newest run first.
func (t *Task) Targets() []string {
	var targets []string
	for _, target := range [...]string{t.Target, t.Copy.Target} {
		if target != "" {
			targets = append(targets, target)
		}
	}
	return targets
}

// AttemptOn returns the number of the run that runs or may run on a target, or 0.
func (t *Task) AttemptOn(target string) uint32 {
	switch target {
	case "":
		return 0
	case t.Target:
		return t.Attempt
	case t.Copy.Target:
		return t.Copy.Attempt
	}
	return 0
}

// PlacedIndexOn returns the log index of the command that placed the task's run on a target, or 0.
func (t *Task) PlacedIndexOn(target string) uint64 {
	switch target {
	case "":
		return 0
	case t.Target:
		return t.PlacedIndex
	case t.Copy.Target:
		return t.Copy.PlacedIndex
	}
	return 0
}

// CanCopy reports whether a second run of the task may start in parallel: its step
// allows copies, the task is not done, and exactly one run runs or may run.
func (t *Task) CanCopy() bool {
	step := t.Spec()
	if !step.Copies || step.Gang || step.Lasting || t.Superseded {
		return false
	}
	placed, copied := t.State == pb.TaskState_TASK_STATE_PLACED, t.Copy.Target != ""
	return t.State != pb.TaskState_TASK_STATE_DONE && placed != copied
}

// Spec returns the definition of the step that the task belongs to.
func (t *Task) Spec() *pb.Step { return t.Job.Spec.Steps[t.ID.Step] }

// Job is one job with its tasks.
type Job struct {
	Spec    *pb.Job
	State   pb.JobState
	Reason  string
	EndedMS int64
	// Tasks is indexed by occurrence, step and task index.
	Tasks [][][]*Task

	// remaining counts the tasks that are not done, by occurrence and step.
	remaining [][]int
	// doneTasks counts the tasks that are done, placedRuns the runs that run or may run.
	doneTasks, placedRuns int
}

// Ended reports whether a job state is final.
func Ended(s pb.JobState) bool {
	return s == pb.JobState_JOB_STATE_DONE || s == pb.JobState_JOB_STATE_FAILED || s == pb.JobState_JOB_STATE_CANCELLED
}

// DueMS returns when an occurrence may begin, in Unix milliseconds; 0 if it may begin
// at once.
func (j *Job) DueMS(occurrence int) int64 {
	if j.Spec.Occurrences == 0 {
		return 0
	}
	return j.Spec.FirstDueUnixMs + int64(occurrence)*j.Spec.IntervalMs
}

// Ready reports whether all earlier steps that the step waits for are done.
func (j *Job) Ready(occurrence, step int) bool {
	for _, before := range j.Spec.Steps[step].After {
		if j.remaining[occurrence][before] > 0 {
			return false
		}
	}
	return true
}

// RemainingTasks returns the number of tasks of a step that are not done.
func (j *Job) RemainingTasks(occurrence, step int) int { return j.remaining[occurrence][step] }

// PlacedRuns returns the number of runs that run or may run.
func (j *Job) PlacedRuns() int { return j.placedRuns }

// PlacedBefore reports whether some task of the job was ever placed.
func (j *Job) PlacedBefore() bool {
	placed := false
	j.EachTask(func(t *Task) { placed = placed || t.Attempt > 0 })
	return placed
}

// EachTask calls f for every task.
func (j *Job) EachTask(f func(*Task)) {
	for _, steps := range j.Tasks {
		for _, tasks := range steps {
			for _, task := range tasks {
				f(task)
			}
		}
	}
}

// CheckJob returns why a job is malformed, or nil.
func CheckJob(j *pb.Job) error {
	switch {
	case j.GetId() == "" || len(j.Id) > maxIDBytes:
		return fmt.Errorf("job id of %d bytes, 1 to %d are allowed", len(j.GetId()), maxIDBytes)
	case len(j.Payload) > MaxPayloadBytes:
		return fmt.Errorf("payload of %d bytes, at most %d are allowed", len(j.Payload), MaxPayloadBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return fmt.Errorf("%d steps, 1 to %d are allowed", len(j.Steps), MaxSteps)
	}
	tasks := uint64(0)
	for i, step := range j.Steps {
		if step.GetTasks() == 0 || step.Tasks > MaxTasks {
			return fmt.Errorf("step %d: %d tasks, 1 to %d are allowed", i, step.GetTasks(), MaxTasks)
		}
		for _, before := range step.After {
			if int(before) >= i {
				return fmt.Errorf("step %d: waits for step %d, only earlier ones are allowed", i, before)
			}
		}
		if n := step.Needs; n.GetCpuMillis() < 0 || n.GetMemoryMb() < 0 || n.GetAccelerators() < 0 {
			return fmt.Errorf("step %d: needs are negative", i)
		}
		tasks += uint64(step.Tasks)
	}
	if total := tasks * uint64(max(j.Occurrences, 1)); total > MaxTasks {
		return fmt.Errorf("%d tasks in all, at most %d are allowed", total, MaxTasks)
	}
	return nil
}

func newJob(spec *pb.Job) *Job {
	j := &Job{Spec: spec, State: pb.JobState_JOB_STATE_QUEUED}
	for k := range max(spec.Occurrences, 1) {
		var steps [][]*Task
		var remaining []int
		for s, step := range spec.Steps {
			tasks := make([]*Task, step.Tasks)
			backing := make([]Task, step.Tasks)
			for i := range tasks {
				backing[i] = Task{ID: TaskID{spec.Id, k, uint32(s), uint32(i)}, Job: j}
				tasks[i] = &backing[i]
			}
			steps = append(steps, tasks)
			remaining = append(remaining, len(tasks))
		}
		j.Tasks = append(j.Tasks, steps)
		j.remaining = append(j.remaining, remaining)
	}
	return j
}

// submitJob stores a new job. A job that is already stored stays unchanged: the
// caller resends it after a lost response.
func (m *Machine) submitJob(spec *pb.Job) *Outcome {
	if m.jobs[spec.GetId()] != nil {
		return m.ok()
	}
	if err := CheckJob(spec); err != nil {
		return m.outcome(Invalid, "job %q: %v", spec.GetId(), err)
	}
	queue := m.lookup.queueOf(queueIDOf(spec))
	if queue == nil {
		return m.outcome(NotFound, "queue %q does not exist", spec.Queue)
	}
	spec.Queue, spec.QueueHost, spec.QueuePath = queue.Name, queue.Host, queue.PathPrefix
	spec.SubmittedUnixMs = m.nowMS
	spec.BeyondRate = m.beyondRate(spec)
	job := newJob(spec)
	m.jobs[spec.Id] = job
	m.openJobs[spec.Id] = job
	return m.ok()
}

func (m *Machine) cancelJob(id string) *Outcome {
	job := m.jobs[id]
	if job == nil {
		return m.outcome(NotFound, "job %q does not exist", id)
	}
	if !Ended(job.State) {
		m.endJob(job, pb.JobState_JOB_STATE_CANCELLED, "cancelled")
	}
	return m.ok()
}

// failJob ends a job that can never run, or not to its end. It is proposed for a job of which no
// task has been placed (a task that fitted once may fit again) and for one in which a task waits
// whose attempts are used up, which is checked again.
func (m *Machine) failJob(c *pb.FailJob) *Outcome {
	job := m.jobs[c.Job]
	switch {
	case job == nil:
		return m.outcome(NotFound, "job %q does not exist", c.Job)
	case Ended(job.State):
		return m.ok()
	case c.UsedUp != nil && !m.waitsUsedUp(TaskIDOf(c.UsedUp)):
		return m.outcome(Refused, "job %q: the task may start again", c.Job)
	}
	m.endJob(job, pb.JobState_JOB_STATE_FAILED, c.Reason)
	return m.ok()
}

// waitsUsedUp reports whether a task waits for a start that its attempts do not allow.
func (m *Machine) waitsUsedUp(id TaskID) bool {
	task := m.task(id)
	return task != nil && task.State == pb.TaskState_TASK_STATE_WAITING && task.Copy.Target == "" && AttemptsUsedUp(task, m.queueOf(task.Job.Spec))
}

func (m *Machine) endJob(job *Job, state pb.JobState, reason string) {
	job.State, job.Reason, job.EndedMS = state, reason, m.nowMS
	m.closeIfFinished(job)
}

// closeIfFinished removes an ended job from the open jobs once none of its runs may
// still run.
func (m *Machine) closeIfFinished(job *Job) {
	if Ended(job.State) && job.placedRuns == 0 {
		delete(m.openJobs, job.Spec.Id)
	}
}

func (m *Machine) prune(c *pb.Prune) *Outcome {
	for _, id := range c.Jobs {
		if job := m.jobs[id]; job != nil && Ended(job.State) && job.placedRuns == 0 {
			delete(m.jobs, id)
		}
	}
	return m.ok()
}

// task returns the task with the id, or nil.
func (m *Machine) task(id TaskID) *Task {
	job := m.jobs[id.Job]
	if job == nil || int(id.Occurrence) >= len(job.Tasks) || int(id.Step) >= len(job.Spec.Steps) {
		return nil
	}
	tasks := job.Tasks[id.Occurrence][id.Step]
	if int(id.Index) >= len(tasks) {
		return nil
	}
	return tasks[id.Index]
}

// Task returns the task with the id, or nil.
func (v *View) Task(id TaskID) *Task { return (*Machine)(v).task(id) }
