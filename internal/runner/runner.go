// Package runner drives the job attempts that the committed state has given
// to this daemon's session: it starts each task on its target, renews the task
// lease, and records the end.
package runner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"sapphirering/internal/clock"
	"sapphirering/internal/event"
	"sapphirering/internal/session"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/target"
)

const (
	// TaskLease is how long a task runs on without a renewal.
	TaskLease = 10 * time.Second

	scanInterval = 50 * time.Millisecond
	pollInterval = 250 * time.Millisecond
	callTimeout  = 3 * time.Second
	// lostAfter is how long an attempt may go without an answer of its target.
	lostAfter = TaskLease + 2*time.Second
	// DriveGrace is how long a driver goes on renewing tasks after its session
	// lease ran out, so that running jobs outlast a short cut. Later another
	// daemon may count the attempt as over.
	DriveGrace = 60 * time.Second
	// takenOverLostAfter is how long a task that was taken over may be out of
	// reach: its former driver may renew it until its grace is over.
	takenOverLostAfter = DriveGrace + lostAfter
	// lastStartAfter is when no start of a former driver can arrive any more. A
	// driver starts tasks only under a live session lease, an attempt is handed
	// over only after that lease, and a call ends within callTimeout.
	lastStartAfter = callTimeout + 2*time.Second
)

// Proposer commits commands through the leader.
type Proposer interface {
	Propose(ctx context.Context, command *statepb.Command) (*statepb.Outcome, error)
}

// Runner drives attempts.
type Runner struct {
	Machine  *state.Machine
	Holder   *session.Holder
	Registry *target.Registry
	Client   *target.Client
	Proposer Proposer

	mu      sync.Mutex
	driving map[string]struct{}
	// changes is the number of job changes at the last scan.
	changes uint64
	session string
}

// Run looks for attempts of this session until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	r.driving = make(map[string]struct{})
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.scan(ctx)
		}
	}
}

// scan starts a driver for each attempt of this session that has none.
func (r *Runner) scan(ctx context.Context) {
	session, _ := r.Holder.Session()
	changes := r.Machine.JobChanges()
	if session == "" || session == r.session && changes == r.changes {
		return
	}
	r.session, r.changes = session, changes
	for _, job := range r.Machine.DrivenBy(session) {
		current := state.CurrentAttempt(job)
		key := attemptKey(job.Id, current.GetNumber())
		if current != nil && r.begin(key) {
			go r.drive(ctx, key, job, current)
		}
	}
}

func attemptKey(job string, attempt uint32) string { return fmt.Sprintf("%s/%d", job, attempt) }

func (r *Runner) begin(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.driving[key]; ok {
		return false
	}
	r.driving[key] = struct{}{}
	return true
}

func (r *Runner) end(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.driving, key)
}

// drive renews one attempt until it ends, or until this daemon may drive it no
// more.
func (r *Runner) drive(ctx context.Context, key string, job *statepb.Job, attempt *statepb.Attempt) {
	defer r.end(key)
	event.JobStarted.Emit(event.F("job", job.Id), event.F("attempt", attempt.Number), event.F("vm", attempt.Vm))
	// A task that was taken over may run already and is never started again.
	takenOver := attempt.Takeovers > 0
	start, lastAnswer, began := !takenOver, time.Now(), time.Now()
	for ctx.Err() == nil && r.drives(job.Id, attempt) {
		status, err := r.call(ctx, job, attempt, start && r.Holder.Live())
		switch {
		case err != nil:
			if !job.Repeatable && !errors.Is(err, target.ErrNotRun) {
				// The first call may have started the task; a second start could run it twice.
				start = false
			}
			if time.Since(lastAnswer) > lostAfter && !(takenOver && time.Since(began) < takenOverLostAfter) {
				r.record(ctx, job, attempt, lostEnd(job, "the target stopped answering"))
				return
			}
		case r.mayStillStart(status, start, takenOver, began):
			lastAnswer = time.Now()
		default:
			start, lastAnswer = false, time.Now()
			if end := attemptEnd(job, status); end != nil {
				r.record(ctx, job, attempt, end)
				return
			}
		}
		clock.Sleep(ctx, pollInterval)
	}
}

// mayStillStart reports whether a task that its target does not know may yet
// be started: by this driver once its lease is live again, or by a call of the
// former driver that is still under way.
func (r *Runner) mayStillStart(status *target.TaskStatus, start, takenOver bool, began time.Time) bool {
	if status.State != target.TaskAbsent {
		return false
	}
	return start && !r.Holder.Live() || takenOver && time.Since(began) < lastStartAfter
}

// drives reports whether this daemon may go on with the attempt: it is still
// the running one and given to this process, and the session lease is live or
// ran out less than DriveGrace ago.
func (r *Runner) drives(job string, attempt *statepb.Attempt) bool {
	current := state.CurrentAttempt(r.Machine.Job(job))
	if current.GetNumber() != attempt.Number || current.GetSession() != attempt.Session {
		return false
	}
	return time.Since(r.Holder.ValidUntil()) < DriveGrace
}

// current reports whether the attempt is still the running one.
func (r *Runner) current(job string, attempt uint32) bool {
	return state.CurrentAttempt(r.Machine.Job(job)).GetNumber() == attempt
}

// call starts, renews or stops the task.
func (r *Runner) call(ctx context.Context, job *statepb.Job, attempt *statepb.Attempt, start bool) (*target.TaskStatus, error) {
	vm := r.Machine.VM(attempt.Vm)
	if vm == nil {
		return nil, fmt.Errorf("vm %q is not registered", attempt.Vm)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	latest := r.Machine.Job(job.Id)
	if latest.GetCancelRequested() || latest.GetPreemptRequested() {
		return r.Client.StopTask(ctx, vm.Address, job.Id, attempt.Number)
	}
	announcement, _ := r.Registry.Get(vm.Name)
	return r.Client.Task(ctx, vm.Address, announcement.Token(), job.Id, attempt.Number, target.TaskRequest{
		Team: job.Team, Queue: job.Queue, Payload: job.Payload, Checkpoint: job.Checkpoint,
		LeaseMS: uint32(TaskLease.Milliseconds()), Start: start,
	})
}

// attemptEnd returns how the attempt ended, or nil while it runs.
func attemptEnd(job *statepb.Job, status *target.TaskStatus) *statepb.EndAttempt {
	switch status.State {
	case target.TaskRunning:
		return nil
	case target.TaskDone:
		return &statepb.EndAttempt{State: statepb.JobState_JOB_STATE_DONE, Outcome: status.State, Answer: status.Answer}
	case target.TaskFailed:
		return failedEnd(job, status.Reason)
	case target.TaskStopped:
		return stoppedEnd(job, status)
	}
	return lostEnd(job, "the target does not know the task")
}

// stoppedEnd queues a repeatable job again from its checkpoint. The state
// machine cancels it instead when that was asked for.
func stoppedEnd(job *statepb.Job, status *target.TaskStatus) *statepb.EndAttempt {
	return &statepb.EndAttempt{
		State: statepb.JobState_JOB_STATE_QUEUED, Outcome: status.State,
		Reason: status.Reason, Checkpoint: status.Checkpoint,
	}
}

// failedEnd queues a repeatable job again until its attempts are used up.
func failedEnd(job *statepb.Job, reason string) *statepb.EndAttempt {
	end := &statepb.EndAttempt{State: statepb.JobState_JOB_STATE_QUEUED, Outcome: state.AttemptFailed, Reason: reason}
	switch {
	case !job.Repeatable:
		end.State = statepb.JobState_JOB_STATE_FAILED
	case state.FailedAttempts(job)+1 >= job.MaxAttempts:
		end.State = statepb.JobState_JOB_STATE_PARKED
	}
	return end
}

// lostEnd ends an attempt whose fate is not known.
func lostEnd(job *statepb.Job, reason string) *statepb.EndAttempt {
	end := &statepb.EndAttempt{State: statepb.JobState_JOB_STATE_QUEUED, Outcome: "lost", Reason: reason}
	if !job.Repeatable {
		end.State = statepb.JobState_JOB_STATE_UNKNOWN
	}
	return end
}

// record commits the end, trying again until it is recorded or superseded.
func (r *Runner) record(ctx context.Context, job *statepb.Job, attempt *statepb.Attempt, end *statepb.EndAttempt) {
	end.Job, end.Attempt = job.Id, attempt.Number
	for ctx.Err() == nil && r.current(job.Id, attempt.Number) {
		step, cancel := context.WithTimeout(ctx, callTimeout)
		outcome, err := r.Proposer.Propose(step, &statepb.Command{Body: &statepb.Command_EndAttempt{EndAttempt: end}})
		cancel()
		if err == nil {
			event.JobEnded.Emit(event.F("job", job.Id), event.F("attempt", attempt.Number),
				event.F("outcome", end.Outcome), event.F("code", outcome.Code.String()))
			return
		}
		event.JobReportFailed.Emit(event.F("job", job.Id), event.Err(err))
		clock.Sleep(ctx, pollInterval)
	}
}
