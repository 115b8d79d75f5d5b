package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/share"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

const (
	// turnLength is how long jobs or requests keep a single contended unit
	// before it is the other's turn.
	turnLength = 5 * time.Second
	// releaseRetryInterval is the least time between two release requests to
	// the same session.
	releaseRetryInterval = 400 * time.Millisecond
	releaseTimeout       = time.Second
	// unchangedSplitInterval is the time between splits while demand and units
	// are unchanged.
	unchangedSplitInterval = time.Second
)

// changeTracker remembers the demand and unit changes of the last run.
type changeTracker struct {
	demand, units uint64
	last          time.Time
}

// due reports whether demand or units have changed since the last run, or that
// run was unchangedSplitInterval ago.
func (g *changeTracker) due(demand, units uint64, now time.Time) bool {
	if demand == g.demand && units == g.units && now.Sub(g.last) < unchangedSplitInterval {
		return false
	}
	g.demand, g.units, g.last = demand, units, now
	return true
}

// splitReservations divides each team's upper limit over the live sessions by
// reported demand. A grant uses only free units; a session that holds more than
// its part is asked to release units first. All teams of one session go in one
// command, so a step needs at most one commit per session.
func (m *Manager) splitReservations(ctx context.Context) error {
	if !m.splitChanges.due(m.sessions.demandChanges(), m.cfg.Machine.AllocationChanges(), m.cfg.Now()) {
		return nil
	}
	reports := m.sessions.reports(m.cfg.Machine.Sessions())
	if len(reports) == 0 {
		return nil
	}
	split := newSplitPlan(reports)
	split.staleAfter = m.cfg.Lease / 2
	allocations := m.cfg.Machine.Allocations()
	for _, doc := range m.cfg.Machine.Documents() {
		if allocation := allocations[doc.Team]; allocation != nil {
			m.splitTeam(doc, allocation, split)
		}
	}
	m.releaseDeletedTeams(split)
	m.sessions.setWanted(wantedReservations{units: split.wanted, kept: m.kept.wantedBySession(reports)})
	m.releases.sendAll(ctx, reports, split.wanted)
	for _, r := range reports {
		grants := split.grants[r.session]
		if len(grants) == 0 {
			continue
		}
		err := m.propose(ctx, &statepb.Command{Body: &statepb.Command_SetReservations{
			SetReservations: &statepb.SetReservations{Session: r.session, Reservations: grants},
		}})
		if err != nil {
			return fmt.Errorf("grant to session %s: %w", r.session, err)
		}
	}
	return nil
}

// splitPlan collects the grants and releases of one step, by session.
type splitPlan struct {
	reports []report
	// demands holds the reported demand of each team, in the order of reports.
	demands map[string][]*wirepb.TeamDemand
	// staleAfter is the age above which a report is not used.
	staleAfter time.Duration
	wanted     map[string][]*statepb.Reservation
	grants     map[string][]*statepb.Reservation
}

func newSplitPlan(reports []report) *splitPlan {
	s := &splitPlan{
		reports: reports, demands: make(map[string][]*wirepb.TeamDemand),
		wanted: make(map[string][]*statepb.Reservation), grants: make(map[string][]*statepb.Reservation),
	}
	for i, r := range reports {
		for _, d := range r.demands {
			if s.demands[d.Team] == nil {
				s.demands[d.Team] = make([]*wirepb.TeamDemand, len(reports))
			}
			s.demands[d.Team][i] = d
		}
	}
	return s
}

// requestDemand sums the units that requests of the team use or wait for, and
// the urgent ones that wait.
func (s *splitPlan) requestDemand(team string) (demand, urgent uint32) {
	for _, d := range s.demands[team] {
		demand += d.GetRunningUnits() + d.GetWaitingUnits()
		urgent += d.GetUrgentWaitingUnits()
	}
	return demand, urgent
}

// shareHolders returns what each session holds and demands of the team, in the
// order of reports.
func (s *splitPlan) shareHolders(team string, held []*statepb.Reservation) []share.Holder {
	holders := make([]share.Holder, len(s.reports))
	for i, r := range s.reports {
		holders[i].Held = held[i].GetUnits()
		holders[i].Leaving = r.leaving
		if r.silent || r.age > s.staleAfter {
			// What it runs is unknown: it keeps what it holds and gets no more.
			holders[i].Silent = true
			holders[i].Demand = holders[i].Held
			continue
		}
		if demands := s.demands[team]; demands != nil {
			holders[i].Demand = demands[i].GetRunningUnits() + demands[i].GetWaitingUnits()
			holders[i].Urgent = demands[i].GetUrgentWaitingUnits()
		}
	}
	return holders
}

// splitTeam adds the grants and releases of one team to the plan.
func (m *Manager) splitTeam(doc *statepb.TeamDocument, allocation *state.Allocation, s *splitPlan) {
	team, limit := doc.Team, doc.UpperLimitUnits
	held := make([]*statepb.Reservation, len(s.reports))
	heldUnits := uint32(0)
	for i, r := range s.reports {
		held[i] = allocation.ReservationOf(r.session)
		heldUnits += held[i].GetUnits()
	}
	// Units of kept reservations, of expired sessions and of sessions without a
	// report yet.
	heldElsewhere := allocation.Units - heldUnits - allocation.RunningJobs
	divisible := limit - min(limit, heldElsewhere)
	jobs := m.jobUnits(allocation, team, divisible, s)
	free := limit - min(limit, allocation.Units)
	// Units that queued jobs wait for are not granted to sessions.
	free -= min(free, jobs-min(jobs, allocation.RunningJobs))
	handouts := share.Rebalance(divisible-min(divisible, jobs), free, s.shareHolders(team, held))
	for i, h := range handouts {
		r := &statepb.Reservation{Team: team, Units: h.Target, Revision: held[i].GetRevision()}
		session := s.reports[i].session
		switch {
		case h.Shrink:
			s.wanted[session] = append(s.wanted[session], r)
			m.reasons.Record("team", team, "session %s is asked to go from %d down to %d units: others need them, or they are idle",
				session, held[i].GetUnits(), h.Target)
		case h.Grant:
			s.grants[session] = append(s.grants[session], r)
			m.reasons.Record("team", team, "session %s is granted %d units after %d for its demand",
				session, h.Target, held[i].GetUnits())
		}
	}
}

// releaseDeletedTeams asks sessions to release all units of teams whose
// document was deleted.
func (m *Manager) releaseDeletedTeams(s *splitPlan) {
	for _, r := range s.reports {
		for _, held := range m.cfg.Machine.Session(r.session).GetReservations() {
			if m.cfg.Machine.Document(held.Team) == nil {
				s.wanted[r.session] = append(s.wanted[r.session], &statepb.Reservation{Team: held.Team})
			}
		}
	}
}

// jobUnits returns how many of the given units go to the team's running and
// queued jobs.
func (m *Manager) jobUnits(allocation *state.Allocation, team string, units uint32, s *splitPlan) uint32 {
	jobs := allocation.RunningJobs + allocation.QueuedJobs
	requests, _ := s.requestDemand(team)
	jobsTurn := m.cfg.Now().UnixNano()/int64(turnLength)%2 == 0
	return share.SplitWork(units, jobs, requests, jobsTurn)
}

// releaseSender asks holders to release units without waiting for their
// renewals.
type releaseSender struct {
	askRelease func(ctx context.Context, member string, request *wirepb.ReleaseRequest) error
	now        func() time.Time

	mu   sync.Mutex
	last map[string]time.Time
}

func newReleaseSender(cfg Config) *releaseSender {
	return &releaseSender{askRelease: cfg.AskRelease, now: cfg.Now, last: make(map[string]time.Time)}
}

// sendAll sends each session its wanted reservations, at most once per
// releaseRetryInterval.
func (a *releaseSender) sendAll(ctx context.Context, reports []report, wanted map[string][]*statepb.Reservation) {
	if a.askRelease == nil {
		return
	}
	for _, r := range reports {
		units := wanted[r.session]
		if len(units) == 0 || !a.due(r.session) {
			continue
		}
		request := &wirepb.ReleaseRequest{Session: r.session, Wanted: units}
		go a.send(context.WithoutCancel(ctx), r.member, request)
	}
}

func (a *releaseSender) due(session string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	for other, at := range a.last {
		if now.Sub(at) > time.Minute {
			delete(a.last, other)
		}
	}
	if at, ok := a.last[session]; ok && now.Sub(at) < releaseRetryInterval {
		return false
	}
	a.last[session] = now
	return true
}

func (a *releaseSender) send(ctx context.Context, member string, request *wirepb.ReleaseRequest) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := a.askRelease(ctx, member, request); err != nil {
		event.ReleaseRequestFailed.Emit(event.F("member", member), event.Err(err))
	}
}
