package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

const (
	stepInterval = 100 * time.Millisecond
	// stepsPerRound is the number of steps in a round. The first step of a
	// round runs all loops, the others only the urgent ones.
	stepsPerRound = 5
	stepTimeout   = 2 * time.Second
	// reclaimAfter is how long after a session expired all of its work has
	// certainly ended: the longest request deadline plus 5 s.
	reclaimAfter = (state.MaxRequestDeadlineMS + 5_000) * time.Millisecond
)

// Log is the leader's access to the replicated log.
type Log interface {
	// ProposeLocal commits a command while this daemon leads.
	ProposeLocal(ctx context.Context, command *statepb.Command) (*statepb.Outcome, error)
	// ConfirmLeadership returns nil once a quorum has confirmed that this
	// daemon leads.
	ConfirmLeadership(ctx context.Context) error
	// CommitIndex returns the last committed index.
	CommitIndex() uint64
}

// Config holds the dependencies and settings of a Manager.
type Config struct {
	Machine *state.Machine
	Log     Log
	Lease   time.Duration
	// Now reads the local clock. Leases are measured by its monotonic
	// differences.
	Now func() time.Time
	// NowMS is the time that commands are stamped with, in Unix milliseconds.
	NowMS func() int64
	// AskRelease asks the holder of a session to release units at once. If it
	// is nil, holders learn of the release with their next renewal.
	AskRelease func(ctx context.Context, member string, request *wirepb.ReleaseRequest) error
	// Members lists the daemons of the cluster, with or without a session.
	Members func() []*wirepb.Member
	// Platform reboots VMs; nil when no platform is configured.
	Platform Platform
}

// Manager runs the control loops while this daemon leads.
type Manager struct {
	cfg          Config
	sessions     *sessions
	releases     *releaseSender
	kept         *keptState
	jobs         *placementState
	reasons      *Reasons
	pruner       *pruner
	splitChanges changeTracker
	keptChanges  changeTracker
	fleet        *fleetState
	// running is held by Run, so that an earlier Run ends before the next one
	// starts.
	running sync.Mutex
}

// NewManager returns a manager that is not running yet.
func NewManager(cfg Config) *Manager {
	return &Manager{
		cfg: cfg, sessions: newSessions(cfg.Lease, cfg.Now), releases: newReleaseSender(cfg),
		kept: newKeptState(cfg.Now), jobs: newPlacementState(), reasons: NewReasons(cfg.Now), pruner: &pruner{}, fleet: newFleetState(),
	}
}

// Run runs the control loops until ctx is cancelled at the end of the
// leadership.
func (m *Manager) Run(ctx context.Context) {
	m.running.Lock()
	defer m.running.Unlock()
	if err := m.cfg.Log.ConfirmLeadership(ctx); err != nil {
		return
	}
	m.sessions.start(m.cfg.Machine.Sessions())
	m.kept.reset()
	m.jobs.reset()
	m.fleet = newFleetState()
	event.ControlStarted.Emit()
	defer event.ControlStopped.Emit()
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if n%stepsPerRound == 0 {
			m.step(ctx)
		} else {
			m.urgentStep(ctx)
		}
	}
}

// controlLoop is one loop of the manager.
type controlLoop struct {
	name string
	run  func(context.Context) error
	// urgent loops run at every step, since work that is about to start waits
	// for them.
	urgent bool
}

// loops returns the control loops in the order in which a step runs them.
func (m *Manager) loops() []controlLoop {
	return []controlLoop{
		{"expire sessions", m.expireSessions, true},
		{"split reservations", m.splitReservations, true},
		{"set kept reservations", m.setKeptReservations, false},
		{"place jobs", m.placeJobs, true},
		{"prune", m.prune, false},
		{"manage VMs", m.manageVMs, false},
	}
}

// step runs every loop once.
func (m *Manager) step(ctx context.Context) { m.runLoops(ctx, m.loops()) }

// urgentStep runs the urgent loops once.
func (m *Manager) urgentStep(ctx context.Context) {
	m.runLoops(ctx, slices.DeleteFunc(m.loops(), func(l controlLoop) bool { return !l.urgent }))
}

// runLoops runs each loop once. A loop that fails is run again at the next
// step.
func (m *Manager) runLoops(ctx context.Context, loops []controlLoop) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	m.sessions.recordCommit(m.cfg.Log.CommitIndex())
	for _, loop := range loops {
		if err := loop.run(ctx); err != nil && ctx.Err() == nil {
			event.ControlFailed.Emit(event.F("step", loop.name), event.Err(err))
		}
	}
}

// propose commits a command. An outcome other than CODE_OK is returned as an
// error.
func (m *Manager) propose(ctx context.Context, command *statepb.Command) error {
	outcome, err := m.cfg.Log.ProposeLocal(ctx, command)
	if err != nil {
		return err
	}
	if outcome.Code != statepb.Code_CODE_OK {
		return fmt.Errorf("%s: %s", outcome.Code, outcome.Message)
	}
	return nil
}

// Renew handles one session renewal.
func (m *Manager) Renew(ctx context.Context, r *wirepb.RenewRequest) *wirepb.CallResponse {
	if err := m.cfg.Log.ConfirmLeadership(ctx); err != nil {
		return &wirepb.CallResponse{ErrorCode: wirepb.ErrorCode_ERROR_CODE_NOT_LEADER, ErrorMessage: err.Error()}
	}
	switch m.sessions.renew(m.cfg.Machine.Session(r.Session), r) {
	case renewExpired:
		return &wirepb.CallResponse{
			ErrorCode: wirepb.ErrorCode_ERROR_CODE_SESSION_EXPIRED, ErrorMessage: "session " + r.Session + " has expired",
		}
	case renewLagging:
		return &wirepb.CallResponse{
			ErrorCode:    wirepb.ErrorCode_ERROR_CODE_UNAVAILABLE,
			ErrorMessage: fmt.Sprintf("index %d applied at %s is too old", r.AppliedIndex, r.Member),
		}
	}
	units, kept := m.sessions.wantedOf(r.Session)
	return &wirepb.CallResponse{Body: &wirepb.CallResponse_Renew{Renew: &wirepb.RenewResponse{
		LeaseMs: uint32(m.cfg.Lease.Milliseconds()), Wanted: units, WantedKept: kept,
		CommitIndex: m.cfg.Log.CommitIndex(),
	}}}
}

// InForce reports whether every live session has applied index. A change that
// lowers a team's upper limit is in force only once no more units than that are
// handed out.
func (m *Manager) InForce(index uint64) *wirepb.InForceResponse {
	if m.cfg.Machine.Index() < index {
		// The local state may lack sessions that were opened before index.
		return &wirepb.InForceResponse{Waiting: []string{"the leader"}}
	}
	waiting := m.sessions.waitingFor(index, m.cfg.Machine.Sessions())
	waiting = append(waiting, m.overLimit(index)...)
	return &wirepb.InForceResponse{InForce: len(waiting) == 0, Waiting: waiting}
}

// overLimit names the team whose document was written at index if more units of
// it are handed out than its upper limit.
func (m *Manager) overLimit(index uint64) []string {
	for _, doc := range m.cfg.Machine.Documents() {
		if doc.Revision != index {
			continue
		}
		if units := m.cfg.Machine.AllocatedUnits(doc.Team); units > doc.UpperLimitUnits {
			return []string{fmt.Sprintf("team %s: %d units are handed out, the upper limit is %d",
				doc.Team, units, doc.UpperLimitUnits)}
		}
	}
	return nil
}

// expireSessions expires sessions whose lease has run out and reclaims what
// expired sessions hold once their work has certainly ended.
func (m *Manager) expireSessions(ctx context.Context) error {
	committed := m.cfg.Machine.Sessions()
	for _, id := range m.sessions.overdue(committed) {
		err := m.propose(ctx, &statepb.Command{Body: &statepb.Command_ExpireSession{
			ExpireSession: &statepb.ExpireSession{Session: id},
		}})
		if err != nil {
			return fmt.Errorf("expire session %s: %w", id, err)
		}
		event.SessionExpired.Emit(event.F("session", id))
	}
	var failed error
	for _, session := range committed {
		if m.sessions.expiredFor(session) < reclaimAfter {
			if err := m.reclaimReservations(ctx, session); err != nil {
				failed = err
			}
			continue
		}
		if err := m.reclaim(ctx, session); err != nil {
			failed = err
		}
	}
	return failed
}

// reclaim removes an expired session. The command may be refused while the
// committed clock is behind the leader's monotonic one; that does not hold up
// other sessions.
func (m *Manager) reclaim(ctx context.Context, session *statepb.Session) error {
	err := m.propose(ctx, &statepb.Command{Body: &statepb.Command_ReclaimSession{
		ReclaimSession: &statepb.ReclaimSession{Session: session.Id},
	}})
	if err != nil {
		return fmt.Errorf("reclaim session %s: %w", session.Id, err)
	}
	m.sessions.forget(session.Id)
	event.SessionReclaimed.Emit(event.F("session", session.Id))
	return nil
}
