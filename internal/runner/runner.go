// Package runner drives the job attempts that the committed state assigns to
// this daemon's session: it starts each task on its target, renews the task
// lease, and records how the attempt ended.
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
	// TaskLease is how long a task goes on running without a renewal.
	TaskLease = 10 * time.Second

	scanInterval = 50 * time.Millisecond
	pollInterval = 250 * time.Millisecond
	callTimeout  = 3 * time.Second
	// lostAfter is how long an attempt may go without an answer of its target
	// before it counts as lost.
	lostAfter = TaskLease + 2*time.Second
	// DriveGrace is how long a driver goes on renewing tasks after its session
	// lease ran out, so that running jobs survive a short network interruption.
	// After that another daemon may count the attempt as ended.
	DriveGrace = 60 * time.Second
	// takenOverLostAfter is how long a task that was taken over may be
	// unreachable: its previous driver may renew it until DriveGrace has
	// passed.
	takenOverLostAfter = DriveGrace + lostAfter
	// lateStartWindow is how long after a takeover a start by the previous
	// driver may still arrive. A driver starts tasks only under a live session
	// lease, an attempt is handed over only after that lease, and a call ends
	// within callTimeout.
	lateStartWindow = callTimeout + 2*time.Second
)

// Proposer commits commands through the leader.
type Proposer interface {
	Propose(ctx context.Context, command *statepb.Command) (*statepb.Outcome, error)
}

// Runner drives the attempts of this daemon's session.
type Runner struct {
	Machine  *state.Machine
	Holder   *session.Holder
	Registry *target.Registry
	Client   *target.Client
	Proposer Proposer

	mu      sync.Mutex
	driving map[string]struct{}
	// changes is the job change count at the last scan.
	changes uint64
	session string
}

// Run scans for attempts of this session until ctx is cancelled.
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

// scan starts a goroutine for each attempt of this session that is not driven
// yet.
func (r *Runner) scan(ctx context.Context) {
	session, _ := r.Holder.Session()
	changes := r.Machine.JobChanges()
	if session == "" || session == r.session && changes == r.changes {
		return
	}
	r.session, r.changes = session, changes
	for _, job := range r.Machine.JobsDrivenBy(session) {
		current := state.CurrentAttempt(job)
		key := attemptKey(job.Id, current.GetNumber())
		if current != nil && r.markDriven(key) {
			go r.drive(ctx, key, job, current)
		}
	}
}

func attemptKey(job string, attempt uint32) string { return fmt.Sprintf("%s/%d", job, attempt) }

func (r *Runner) markDriven(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.driving[key]; ok {
		return false
	}
	r.driving[key] = struct{}{}
	return true
}

func (r *Runner) unmarkDriven(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.driving, key)
}

// drive starts and renews one attempt until it ends, or until this daemon may
// no longer drive it.
func (r *Runner) drive(ctx context.Context, key string, job *statepb.Job, attempt *statepb.Attempt) {
	defer r.unmarkDriven(key)
	event.JobStarted.Emit(event.F("job", job.Id), event.F("attempt", attempt.Number), event.F("vm", attempt.Vm))
	// A task that was taken over may be running and is never started again.
	takenOver := attempt.Takeovers > 0
	mayStart, lastAnswer, began := !takenOver, time.Now(), time.Now()
	for ctx.Err() == nil && r.mayDrive(job.Id, attempt) {
		status, err := r.call(ctx, job, attempt, mayStart && r.Holder.Live())
		switch {
		case err != nil:
			if !job.Repeatable && !errors.Is(err, target.ErrNotRun) {
				// The first call may have started the task; a second start could run it twice.
				mayStart = false
			}
			if time.Since(lastAnswer) > lostAfter && !(takenOver && time.Since(began) < takenOverLostAfter) {
				r.recordEnd(ctx, job, attempt, lostEnd(job, "the target stopped answering"))
				return
			}
		case r.mayStillStart(status, mayStart, takenOver, began):
			lastAnswer = time.Now()
		default:
			mayStart, lastAnswer = false, time.Now()
			if end := attemptEnd(job, status); end != nil {
				r.recordEnd(ctx, job, attempt, end)
				return
			}
		}
		clock.Sleep(ctx, pollInterval)
	}
}

// mayStillStart reports whether a task that its target does not know may still
// be started: by this driver once its lease is live again, or by a call of the
// previous driver that is still in flight.
func (r *Runner) mayStillStart(status *target.TaskStatus, mayStart, takenOver bool, began time.Time) bool {
	if status.State != target.TaskAbsent {
		return false
	}
	return mayStart && !r.Holder.Live() || takenOver && time.Since(began) < lateStartWindow
}

// mayDrive reports whether this daemon may go on with the attempt: it is still
// the running one and assigned to this session, and the session lease is live
// or ran out less than DriveGrace ago.
func (r *Runner) mayDrive(job string, attempt *statepb.Attempt) bool {
	current := state.CurrentAttempt(r.Machine.Job(job))
	if current.GetNumber() != attempt.Number || current.GetSession() != attempt.Session {
		return false
	}
	return time.Since(r.Holder.ValidUntil()) < DriveGrace
}

// isCurrent reports whether the attempt is still the running one.
func (r *Runner) isCurrent(job string, attempt uint32) bool {
	return state.CurrentAttempt(r.Machine.Job(job)).GetNumber() == attempt
}

// call starts, renews or stops the task.
func (r *Runner) call(ctx context.Context, job *statepb.Job, attempt *statepb.Attempt, mayStart bool) (*target.TaskStatus, error) {
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
		LeaseMS: uint32(TaskLease.Milliseconds()), Start: mayStart,
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

// stoppedEnd queues a stopped job again from its checkpoint. The state machine
// cancels the job instead if that was requested.
func stoppedEnd(job *statepb.Job, status *target.TaskStatus) *statepb.EndAttempt {
	return &statepb.EndAttempt{
		State: statepb.JobState_JOB_STATE_QUEUED, Outcome: status.State,
		Reason: status.Reason, Checkpoint: status.Checkpoint,
	}
}

// failedEnd queues a failed repeatable job again until its attempts are used
// up. Then it is parked; a job that is not repeatable fails.
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

// lostEnd ends an attempt whose outcome is unknown.
func lostEnd(job *statepb.Job, reason string) *statepb.EndAttempt {
	end := &statepb.EndAttempt{State: statepb.JobState_JOB_STATE_QUEUED, Outcome: "lost", Reason: reason}
	if !job.Repeatable {
		end.State = statepb.JobState_JOB_STATE_UNKNOWN
	}
	return end
}

// recordEnd commits the end of an attempt. It retries until the end is recorded
// or the attempt is no longer the running one.
func (r *Runner) recordEnd(ctx context.Context, job *statepb.Job, attempt *statepb.Attempt, end *statepb.EndAttempt) {
	end.Job, end.Attempt = job.Id, attempt.Number
	for ctx.Err() == nil && r.isCurrent(job.Id, attempt.Number) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		outcome, err := r.Proposer.Propose(callCtx, &statepb.Command{Body: &statepb.Command_EndAttempt{EndAttempt: end}})
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
