package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/placement"
	"sapphirering/internal/policy/share"
	"sapphirering/internal/runner"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
)

const (
	// maxReportAge is the age up to which a report counts as fresh, for
	// placements and drains.
	maxReportAge = 3 * time.Second
	// maxStartsPerRound and maxWaitsPerRound bound one planning round of a
	// pool.
	maxStartsPerRound = 32
	maxWaitsPerRound  = 256
	// maxQueuedPerTeam bounds the queued jobs of one pool, team and class that
	// a round considers.
	maxQueuedPerTeam = 64
	// maxPreemptsPerStep bounds the preemptions that preemptOverLimit proposes
	// in one step.
	maxPreemptsPerStep = 16
	// unchangedRoundInterval is the time between planning rounds while jobs are
	// unchanged.
	unchangedRoundInterval = 500 * time.Millisecond
	// attemptEndedAfter is how long after its driver's session expired an
	// attempt has certainly ended: the driver stops renewing after
	// runner.DriveGrace, then the last task lease runs out; 5 s are margin.
	attemptEndedAfter = runner.DriveGrace + runner.TaskLease + 5*time.Second
)

// placementState is what the leader remembers between planning rounds of jobs.
type placementState struct {
	health  *placement.Health
	learner *placement.Estimator
	// running holds the attempts that ran in the last round.
	running map[attemptKey]struct{}
	changes uint64
	last    time.Time
}

type attemptKey struct {
	job     string
	attempt uint32
}

func newPlacementState() *placementState {
	l := &placementState{}
	l.reset()
	return l
}

// reset drops what an earlier leadership of this daemon has learned.
func (l *placementState) reset() {
	l.health, l.learner = placement.NewHealth(), placement.NewEstimator()
	l.running = make(map[attemptKey]struct{})
	l.changes, l.last = 0, time.Time{}
}

// due reports whether jobs have changed since the last round, or that round was
// unchangedRoundInterval ago.
func (l *placementState) due(changes uint64, now time.Time) bool {
	if changes == l.changes && now.Sub(l.last) < unchangedRoundInterval {
		return false
	}
	l.changes, l.last = changes, now
	return true
}

// placeJobs hands over attempts whose driver is gone, records the outcomes of
// ended ones, and starts, preempts and parks jobs as the policy plans.
func (m *Manager) placeJobs(ctx context.Context) error {
	if !m.jobs.due(m.cfg.Machine.JobChanges(), m.cfg.Now()) {
		return nil
	}
	reports := m.sessions.reports(m.cfg.Machine.Sessions())
	open := m.cfg.Machine.OpenJobs()
	m.observeEndedAttempts(open)
	if err := m.reassignOrphans(ctx, open, reports); err != nil {
		return err
	}
	if err := m.preemptOverLimit(ctx, open, reports); err != nil {
		return err
	}
	for _, pool := range m.buildPoolViews(open, reports).withQueuedJobs() {
		if err := m.placePool(ctx, pool); err != nil {
			return err
		}
	}
	return nil
}

// reassignOrphans hands each attempt whose driver is gone or leaving to another
// entry VM of the zone. The task goes on running: a renewal never starts it
// again. An attempt that no other entry VM can take over is ended once its task
// has certainly ended.
func (m *Manager) reassignOrphans(ctx context.Context, open []*statepb.Job, reports []report) error {
	for _, job := range open {
		current := state.CurrentAttempt(job)
		if current == nil {
			continue
		}
		orphaned, ended := m.orphaned(current, reports)
		if !orphaned {
			continue
		}
		var err error
		if driver := m.newDriver(current, reports); driver != "" {
			err = m.takeOver(ctx, job, current, driver)
		} else if ended {
			err = m.endOrphanedAttempt(ctx, job, current)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// orphaned reports whether the driver of an attempt is gone or leaving, and
// whether the attempt's task has certainly ended.
func (m *Manager) orphaned(attempt *statepb.Attempt, reports []report) (orphaned, ended bool) {
	session := m.cfg.Machine.Session(attempt.Session)
	if session == nil {
		// The session is reclaimed: it expired longer ago than any task lease lasts.
		return true, true
	}
	if session.ExpiredUnixMs != 0 {
		return true, m.sessions.expiredFor(session) >= attemptEndedAfter
	}
	leaving := slices.ContainsFunc(reports, func(r report) bool { return r.session == session.Id && r.leaving })
	return leaving, false
}

// newDriver returns a live session with a fresh report about the VM of the
// attempt, or "".
func (m *Manager) newDriver(attempt *statepb.Attempt, reports []report) string {
	for _, r := range reports {
		if r.leaving || r.session == attempt.Session {
			continue
		}
		for _, v := range r.vms {
			if v.Vm == attempt.Vm && r.age+time.Duration(v.AgeMs)*time.Millisecond <= maxReportAge {
				return r.session
			}
		}
	}
	return ""
}

func (m *Manager) takeOver(ctx context.Context, job *statepb.Job, attempt *statepb.Attempt, driver string) error {
	err := m.propose(ctx, &statepb.Command{Body: &statepb.Command_RenewAttempt{RenewAttempt: &statepb.RenewAttempt{
		Job: job.Id, Attempt: attempt.Number, Session: driver,
	}}})
	if err != nil {
		return fmt.Errorf("hand job %s to session %s: %w", job.Id, driver, err)
	}
	event.JobTakenOver.Emit(event.F("job", job.Id), event.F("from", attempt.Session), event.F("to", driver))
	m.reasons.Record("job", job.Id, "handed to session %s, since %s is gone or leaving", driver, attempt.Session)
	return nil
}

func (m *Manager) endOrphanedAttempt(ctx context.Context, job *statepb.Job, attempt *statepb.Attempt) error {
	end := &statepb.EndAttempt{
		Job: job.Id, Attempt: attempt.Number, State: statepb.JobState_JOB_STATE_QUEUED,
		Outcome: "lost", Reason: "the entry VM that renewed the task lease is gone",
	}
	if !job.Repeatable {
		end.State = statepb.JobState_JOB_STATE_UNKNOWN
	}
	if err := m.propose(ctx, &statepb.Command{Body: &statepb.Command_EndAttempt{EndAttempt: end}}); err != nil {
		return fmt.Errorf("end attempt of job %s: %w", job.Id, err)
	}
	return nil
}

// observeEndedAttempts records the outcomes of attempts that have ended since
// the last round.
func (m *Manager) observeEndedAttempts(open []*statepb.Job) {
	running := make(map[attemptKey]struct{}, len(m.jobs.running))
	for _, job := range open {
		if current := state.CurrentAttempt(job); current != nil {
			running[attemptKey{job.Id, current.Number}] = struct{}{}
		}
	}
	for key := range m.jobs.running {
		if _, still := running[key]; !still {
			m.observeAttempt(m.cfg.Machine.Job(key.job), key.attempt)
		}
	}
	m.jobs.running = running
}

func (m *Manager) observeAttempt(job *statepb.Job, number uint32) {
	for _, a := range job.GetAttempts() {
		if a.Number != number {
			continue
		}
		switch a.Outcome {
		case "done":
			m.jobs.health.Observe(a.Vm, job.Pool, job.Id, true, m.cfg.Now())
			m.jobs.learner.ObserveRunTime(job.Team, class(job.Class), a.EndedUnixMs-a.StartedUnixMs, int64(job.DeclaredMs))
		case state.AttemptFailed:
			m.jobs.health.Observe(a.Vm, job.Pool, job.Id, false, m.cfg.Now())
		}
	}
}

// preemptOverLimit asks jobs to checkpoint and stop if more units of a team are
// handed out than its upper limit, or if urgent requests wait for a unit
// because jobs take more than their part.
func (m *Manager) preemptOverLimit(ctx context.Context, open []*statepb.Job, reports []report) error {
	split := newSplitPlan(reports)
	allocations := m.cfg.Machine.Allocations()
	remaining := maxPreemptsPerStep
	for _, doc := range m.cfg.Machine.Documents() {
		allocation := allocations[doc.Team]
		if allocation == nil || allocation.RunningJobs == 0 {
			continue
		}
		excess, reason := m.excessJobs(doc, allocation, split)
		for _, job := range preemptionCandidates(open, doc.Team, min(excess, remaining)) {
			if err := m.preempt(ctx, job.Id, reason); err != nil {
				return err
			}
			remaining--
		}
	}
	return nil
}

// excessJobs returns how many of the team's running jobs are to stop, including
// those that were asked already, and why.
func (m *Manager) excessJobs(doc *statepb.TeamDocument, allocation *state.Allocation, s *splitPlan) (int, string) {
	if over := int(allocation.Units) - int(doc.UpperLimitUnits); over > 0 {
		return min(over, int(allocation.RunningJobs)), fmt.Sprintf("the upper limit was lowered to %d", doc.UpperLimitUnits)
	}
	demand, urgent := s.requestDemand(doc.Team)
	if urgent == 0 {
		return 0, ""
	}
	part := m.jobUnits(allocation, doc.Team, doc.UpperLimitUnits, s)
	free := int(doc.UpperLimitUnits) - int(allocation.Units)
	idle := int(allocation.Units-allocation.RunningJobs) - int(min(demand-urgent, allocation.Units))
	lacking := int(urgent) - free - max(0, idle)
	return min(int(allocation.RunningJobs)-int(part), lacking), "urgent requests of the team wait for a unit"
}

// preemptionCandidates returns running repeatable jobs of the team that are to
// be asked to stop, the lowest class first and within it the newest attempt.
// There are n at most, less the jobs that were asked already.
func preemptionCandidates(open []*statepb.Job, team string, n int) []*statepb.Job {
	var candidates []*statepb.Job
	for _, job := range open {
		if job.Team != team || state.CurrentAttempt(job) == nil {
			continue
		}
		if job.PreemptRequested || job.CancelRequested {
			n--
		} else if job.Repeatable {
			candidates = append(candidates, job)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *statepb.Job) int {
		if a.Class != b.Class {
			return int(b.Class) - int(a.Class)
		}
		return int(state.CurrentAttempt(b).StartedUnixMs - state.CurrentAttempt(a).StartedUnixMs)
	})
	return candidates[:max(0, min(n, len(candidates)))]
}

func (m *Manager) preempt(ctx context.Context, job, reason string) error {
	err := m.propose(ctx, &statepb.Command{Body: &statepb.Command_PreemptJob{
		PreemptJob: &statepb.PreemptJob{Job: job, Reason: reason},
	}})
	if err != nil {
		return fmt.Errorf("preempt job %s: %w", job, err)
	}
	event.JobPreempted.Emit(event.F("job", job), event.F("reason", reason))
	m.reasons.Record("job", job, "asked to checkpoint and stop: %s", reason)
	return nil
}

// placePool runs one planning round of a pool and carries out its plan.
func (m *Manager) placePool(ctx context.Context, pool *poolView) error {
	newlyExcluded := m.jobs.health.Exclude(pool.name, pool.workerNames(), m.cfg.Now())
	for _, worker := range newlyExcluded {
		event.WorkerExcluded.Emit(event.F("vm", worker), event.F("pool", pool.name))
		m.reasons.Record("vm", worker, "excluded from placement: it failed different jobs in a row while others succeed")
	}
	plan := placement.MakePlan(m.placementSnapshot(pool))
	for _, refusal := range plan.Unplaceable {
		if err := m.parkJob(ctx, refusal); err != nil {
			return err
		}
	}
	for _, wait := range plan.Waits {
		m.reasons.Record("job", wait.Job, "waits: %s", wait.Reason)
	}
	for _, victim := range plan.Preempt {
		if err := m.preempt(ctx, victim.Job, victim.Reason); err != nil {
			return err
		}
	}
	for _, start := range plan.Starts {
		if err := m.startJob(ctx, start, pool); err != nil {
			return err
		}
	}
	return nil
}

func (m *Manager) parkJob(ctx context.Context, refusal placement.JobReason) error {
	job := m.cfg.Machine.Job(refusal.Job)
	err := m.propose(ctx, &statepb.Command{Body: &statepb.Command_ParkJob{ParkJob: &statepb.ParkJob{
		Job: refusal.Job, BaseRevision: job.GetRevision(), Reason: "can never run: " + refusal.Reason,
	}}})
	if err != nil {
		return fmt.Errorf("park job %s: %w", refusal.Job, err)
	}
	event.JobCannotRun.Emit(event.F("job", refusal.Job), event.F("reason", refusal.Reason))
	m.reasons.Record("job", refusal.Job, "can never run: %s", refusal.Reason)
	return nil
}

// startJob commits the start of one attempt. A refusal affects only this job.
func (m *Manager) startJob(ctx context.Context, start placement.Start, pool *poolView) error {
	job := m.cfg.Machine.Job(start.Job)
	outcome, err := m.cfg.Log.ProposeLocal(ctx, &statepb.Command{Body: &statepb.Command_StartAttempt{
		StartAttempt: &statepb.StartAttempt{
			Job: start.Job, BaseRevision: job.GetRevision(), Vm: start.Worker, Session: pool.drivers[start.Worker],
		},
	}})
	if err != nil {
		return fmt.Errorf("start job %s: %w", start.Job, err)
	}
	if outcome.Code != statepb.Code_CODE_OK {
		event.JobStartFailed.Emit(event.F("job", start.Job), event.F("reason", outcome.Message))
		m.reasons.Record("job", start.Job, "start refused: %s", outcome.Message)
		return nil
	}
	if excluded, _ := m.jobs.health.State(start.Worker, m.cfg.Now()); excluded {
		m.jobs.health.ProbeStarted(start.Worker, m.cfg.Now())
	}
	m.reasons.Record("job", start.Job, "started on %s: %s", start.Worker, start.Reason)
	return nil
}

func class(c statepb.Class) share.Class {
	switch c {
	case statepb.Class_CLASS_URGENT:
		return share.Urgent
	case statepb.Class_CLASS_LONG:
		return share.Long
	}
	return share.Normal
}
