package state

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/state/statepb"
)

const (
	// MaxJobPayloadBytes is the largest job payload, which goes through the log.
	MaxJobPayloadBytes = 256 << 10
	// maxJobAttempts is the largest number of attempts that a job may ask for.
	maxJobAttempts = 20
	// maxKeptAttempts is the largest number of attempts that a job stores.
	maxKeptAttempts = 48
)

// Ended reports whether a job state is final.
func Ended(s statepb.JobState) bool {
	switch s {
	case statepb.JobState_JOB_STATE_DONE, statepb.JobState_JOB_STATE_FAILED,
		statepb.JobState_JOB_STATE_CANCELLED, statepb.JobState_JOB_STATE_UNKNOWN:
		return true
	}
	return false
}

func (m *Machine) submitJob(c *statepb.SubmitJob) *statepb.Outcome {
	job := c.GetJob()
	if known := m.jobs[job.GetId()]; known != nil {
		return m.resubmitJob(job, known)
	}
	if err := checkAge(job.GetId(), m.nowMS, OperationWindow); err != nil {
		return m.invalid("job id: %v", err)
	}
	ref, ok := m.queues[job.Queue]
	if !ok {
		return m.notFound("queue", job.Queue)
	}
	if m.documents[job.Team] == nil {
		return m.notFound("document", job.Team)
	}
	if len(job.Payload) > MaxJobPayloadBytes {
		return m.invalid("payload: %d bytes, at most %d are allowed", len(job.Payload), MaxJobPayloadBytes)
	}
	if job.MaxAttempts == 0 || job.MaxAttempts > maxJobAttempts {
		return m.invalid("max_attempts: must be within 1 and %d", maxJobAttempts)
	}
	stored := proto.CloneOf(job)
	stored.Pool = ref.queue.Pool
	stored.State = statepb.JobState_JOB_STATE_QUEUED
	stored.SubmittedUnixMs = m.nowMS
	stored.Revision = m.index
	stored.Attempts, stored.CancelRequested, stored.PreemptRequested = nil, false, false
	m.putJob(stored)
	outcome := m.ok(m.index)
	outcome.Job = stored
	return outcome
}

// resubmitJob answers a resent submission with the stored job.
func (m *Machine) resubmitJob(job, known *statepb.Job) *statepb.Outcome {
	if known.Team != job.Team || known.Queue != job.Queue || !bytes.Equal(known.Payload, job.Payload) {
		return m.invalid("job id %q was used for another job", job.Id)
	}
	outcome := m.outcome(statepb.Code_CODE_EXISTS, "job %q is %s", job.Id, known.State)
	outcome.Job = known
	outcome.Revision = known.Revision
	return outcome
}

// copyJob returns a copy of a job with a new revision.
func (m *Machine) copyJob(job *statepb.Job) *statepb.Job {
	next := proto.CloneOf(job)
	next.Revision = m.index
	return next
}

// CurrentAttempt returns the running attempt of a job, or nil.
func CurrentAttempt(job *statepb.Job) *statepb.Attempt {
	if job.GetState() != statepb.JobState_JOB_STATE_RUNNING || len(job.Attempts) == 0 {
		return nil
	}
	return job.Attempts[len(job.Attempts)-1]
}

// startAttempt starts a queued job on a VM. The job counts against the team's upper
// limit until the attempt ends.
func (m *Machine) startAttempt(c *statepb.StartAttempt) *statepb.Outcome {
	job := m.jobs[c.Job]
	if job == nil {
		return m.notFound("job", c.Job)
	}
	if job.Revision != c.BaseRevision {
		return m.conflict("job", c.Job, c.BaseRevision, job.Revision)
	}
	if job.State != statepb.JobState_JOB_STATE_QUEUED {
		return m.refused("job %q is %s", job.Id, job.State)
	}
	if !job.Repeatable && len(job.Attempts) > 0 {
		return m.refused("job %q is not repeatable and has been started", job.Id)
	}
	vm := m.vms[c.Vm]
	if vm == nil || vm.Phase != statepb.VMPhase_VM_PHASE_ACTIVE || vm.Pool != job.Pool {
		return m.refused("vm %q is not an active VM of pool %q", c.Vm, job.Pool)
	}
	if m.liveSession(c.Session) == nil {
		return m.refused("session %q is not live", c.Session)
	}
	if units := m.allocatedUnits(job.Team); units >= m.documents[job.Team].GetUpperLimitUnits() {
		return m.refused("team %q: %d units are handed out, the upper limit is %d",
			job.Team, units, m.documents[job.Team].GetUpperLimitUnits())
	}
	next := m.copyJob(job)
	next.State = statepb.JobState_JOB_STATE_RUNNING
	next.Reason = ""
	next.Attempts = append(recentAttempts(next.Attempts), &statepb.Attempt{
		Number: lastAttempt(job).GetNumber() + 1, Vm: c.Vm, Session: c.Session,
		StartedUnixMs: m.nowMS, LeaseUntilUnixMs: c.LeaseUntilUnixMs,
	})
	m.putJob(next)
	outcome := m.ok(m.index)
	outcome.Job = next
	return outcome
}

// recentAttempts drops the oldest attempts of a long history.
func recentAttempts(attempts []*statepb.Attempt) []*statepb.Attempt {
	if len(attempts) < maxKeptAttempts {
		return attempts
	}
	return attempts[len(attempts)-maxKeptAttempts+1:]
}

func lastAttempt(job *statepb.Job) *statepb.Attempt {
	if len(job.GetAttempts()) == 0 {
		return nil
	}
	return job.Attempts[len(job.Attempts)-1]
}

// AttemptFailed is the outcome of an attempt that counts against max_attempts;
// lost and preempted attempts do not.
const AttemptFailed = "failed"

// FailedAttempts returns the number of attempts that count against max_attempts.
func FailedAttempts(job *statepb.Job) uint32 {
	failed := uint32(0)
	for _, a := range job.GetAttempts() {
		if a.Outcome == AttemptFailed {
			failed++
		}
	}
	return failed
}

// runningAttempt returns the job if the attempt with the given number is running.
func (m *Machine) runningAttempt(id string, attempt uint32) (*statepb.Job, *statepb.Outcome) {
	job := m.jobs[id]
	if job == nil {
		return nil, m.notFound("job", id)
	}
	current := CurrentAttempt(job)
	if current.GetNumber() != attempt || attempt == 0 {
		return nil, m.refused("job %q: attempt %d is not running", id, attempt)
	}
	return job, nil
}

// renewAttempt extends the task lease; the session may change when another
// entry VM of the zone takes the task over.
func (m *Machine) renewAttempt(c *statepb.RenewAttempt) *statepb.Outcome {
	job, outcome := m.runningAttempt(c.Job, c.Attempt)
	if outcome != nil {
		return outcome
	}
	if m.liveSession(c.Session) == nil {
		return m.refused("session %q is not live", c.Session)
	}
	next := proto.CloneOf(job)
	current := CurrentAttempt(next)
	if current.Session != c.Session {
		current.Takeovers++
	}
	current.Session = c.Session
	current.LeaseUntilUnixMs = max(current.LeaseUntilUnixMs, c.LeaseUntilUnixMs)
	m.putJob(next)
	return m.ok(next.Revision)
}

func (m *Machine) endAttempt(c *statepb.EndAttempt) *statepb.Outcome {
	job, outcome := m.runningAttempt(c.Job, c.Attempt)
	if outcome != nil {
		return outcome
	}
	if c.State == statepb.JobState_JOB_STATE_RUNNING || c.State == statepb.JobState_JOB_STATE_UNSPECIFIED {
		return m.invalid("state: %s does not end an attempt", c.State)
	}
	next := m.copyJob(job)
	current := CurrentAttempt(next)
	current.EndedUnixMs = m.nowMS
	current.Outcome, current.Reason = c.Outcome, c.Reason
	next.State, next.Reason = c.State, c.Reason
	next.PreemptRequested = false
	if c.State == statepb.JobState_JOB_STATE_QUEUED && job.CancelRequested {
		next.State = statepb.JobState_JOB_STATE_CANCELLED
	} else if c.State == statepb.JobState_JOB_STATE_QUEUED && !job.Repeatable {
		// The job must not run a second time, whatever the driver reports.
		next.State = statepb.JobState_JOB_STATE_UNKNOWN
	}
	if c.Checkpoint != "" {
		next.Checkpoint = c.Checkpoint
	}
	if Ended(next.State) {
		next.EndedUnixMs = m.nowMS
		next.Answer = c.Answer
	}
	m.putJob(next)
	return m.ok(m.index)
}

// cancelJobs cancels each job at once if it is not running, and otherwise asks the
// running attempt to stop. Jobs that have ended or do not exist are ignored.
func (m *Machine) cancelJobs(c *statepb.CancelJobs) *statepb.Outcome {
	for _, id := range c.Jobs {
		job := m.jobs[id]
		if job == nil || Ended(job.State) || job.CancelRequested {
			continue
		}
		next := m.copyJob(job)
		next.CancelRequested = true
		if job.State != statepb.JobState_JOB_STATE_RUNNING {
			next.State = statepb.JobState_JOB_STATE_CANCELLED
			next.Reason = "cancelled before it ran"
			next.EndedUnixMs = m.nowMS
		}
		m.putJob(next)
	}
	return m.ok(m.index)
}

func (m *Machine) preemptJob(c *statepb.PreemptJob) *statepb.Outcome {
	job := m.jobs[c.Job]
	if job == nil {
		return m.notFound("job", c.Job)
	}
	if CurrentAttempt(job) == nil {
		return m.refused("job %q is not running", c.Job)
	}
	if !job.Repeatable {
		return m.refused("job %q is not repeatable: it would never run to its end", c.Job)
	}
	next := m.copyJob(job)
	next.PreemptRequested = true
	next.Reason = c.Reason
	m.putJob(next)
	return m.ok(m.index)
}

// parkJob removes a queued job that can never run from the queue.
func (m *Machine) parkJob(c *statepb.ParkJob) *statepb.Outcome {
	job := m.jobs[c.Job]
	if job == nil {
		return m.notFound("job", c.Job)
	}
	if job.Revision != c.BaseRevision {
		return m.conflict("job", c.Job, c.BaseRevision, job.Revision)
	}
	if job.State != statepb.JobState_JOB_STATE_QUEUED {
		return m.refused("job %q is %s, only a queued job is parked", c.Job, job.State)
	}
	next := m.copyJob(job)
	next.State = statepb.JobState_JOB_STATE_PARKED
	next.Reason = c.Reason
	m.putJob(next)
	return m.ok(m.index)
}

// retryJob queues a parked job again. Its failed attempts so far no longer count
// against max_attempts.
func (m *Machine) retryJob(c *statepb.RetryJob) *statepb.Outcome {
	job := m.jobs[c.Job]
	if job == nil {
		return m.notFound("job", c.Job)
	}
	if job.State != statepb.JobState_JOB_STATE_PARKED {
		return m.refused("job %q is %s, only a parked job can be retried", c.Job, job.State)
	}
	next := m.copyJob(job)
	next.State = statepb.JobState_JOB_STATE_QUEUED
	next.Reason = "retried by an operator"
	next.MaxAttempts = FailedAttempts(job) + max(1, job.MaxAttempts)
	m.putJob(next)
	return m.ok(m.index)
}

// prune removes claims, operations and jobs that are older than the given times.
// Running claims and jobs that have not ended stay.
func (m *Machine) prune(c *statepb.Prune) *statepb.Outcome {
	for id, claim := range m.claims {
		if m.prunableClaim(claim, c.ClaimsBeforeUnixMs) {
			delete(m.claims, id)
		}
	}
	for id, operation := range m.operations {
		if operation.TimeUnixMs < c.OperationsBeforeUnixMs {
			delete(m.operations, id)
		}
	}
	for id, job := range m.jobs {
		if Ended(job.State) && job.EndedUnixMs < c.JobsBeforeUnixMs {
			delete(m.jobs, id)
		}
	}
	return m.ok(m.index)
}
