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
	// turnLength is how long a single contended unit stays with jobs or requests.
	turnLength = 5 * time.Second
	// askInterval spaces repeated requests for the same release.
	askInterval = 400 * time.Millisecond
	askTimeout  = time.Second
	// idleSplitAfter is how long an unchanged demand is not looked at again.
	idleSplitAfter = time.Second
)

// splitGate tells whether anything changed since the last split.
type splitGate struct {
	demand, units uint64
	last          time.Time
}

func (g *splitGate) due(demand, units uint64, now time.Time) bool {
	if demand == g.demand && units == g.units && now.Sub(g.last) < idleSplitAfter {
		return false
	}
	g.demand, g.units, g.last = demand, units, now
	return true
}

// splitReservations divides each team's upper limit over the live sessions by
// reported demand. A grant uses only what is free; where a session holds more
// than its part, it is asked to release first. All teams of one session go in
// one command, so a step costs at most one commit per session.
func (m *Manager) splitReservations(ctx context.Context) error {
	if !m.splitGate.due(m.sessions.demandChanges(), m.cfg.Machine.AllocationChanges(), m.cfg.Now()) {
		return nil
	}
	reports := m.sessions.reports(m.cfg.Machine.Sessions())
	if len(reports) == 0 {
		return nil
	}
	split := newSplit(reports)
	split.staleAfter = m.cfg.Lease / 2
	holdings := m.cfg.Machine.Allocations()
	for _, doc := range m.cfg.Machine.Documents() {
		if holding := holdings[doc.Team]; holding != nil {
			m.splitTeam(doc, holding, split)
		}
	}
	m.takeBackDeleted(split)
	m.sessions.setWanted(wanted{units: split.wanted, kept: m.kept.wantedByReport(reports)})
	m.asked.ask(ctx, reports, split.wanted)
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

// split collects the changes of one step, by session.
type split struct {
	reports []report
	// demands holds the reported demand of each team, in the order of reports.
	demands map[string][]*wirepb.TeamDemand
	// staleAfter is the age from which on a report is not relied on.
	staleAfter time.Duration
	wanted     map[string][]*statepb.Reservation
	grants     map[string][]*statepb.Reservation
}

func newSplit(reports []report) *split {
	s := &split{
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

// requestDemand sums what requests of the team ask for.
func (s *split) requestDemand(team string) (demand, urgent uint32) {
	for _, d := range s.demands[team] {
		demand += d.GetRunningUnits() + d.GetWaitingUnits()
		urgent += d.GetUrgentWaitingUnits()
	}
	return demand, urgent
}

// holders returns each session's side of the team, in the order of reports.
func (s *split) holders(team string, held []*statepb.Reservation) []share.Holder {
	holders := make([]share.Holder, len(s.reports))
	for i, r := range s.reports {
		holders[i].Held = held[i].GetUnits()
		holders[i].Leaving = r.leaving
		if r.silent || r.age > s.staleAfter {
			// What it runs is not known: it keeps what it holds and gets no more.
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

func (m *Manager) splitTeam(doc *statepb.TeamDocument, holding *state.Allocation, s *split) {
	team, limit := doc.Team, doc.UpperLimitUnits
	held := make([]*statepb.Reservation, len(s.reports))
	heldUnits := uint32(0)
	for i, r := range s.reports {
		held[i] = holding.ReservationOf(r.session)
		heldUnits += held[i].GetUnits()
	}
	// Kept parts, expired sessions and sessions without a report yet.
	elsewhere := holding.Units - heldUnits - holding.RunningJobs
	work := limit - min(limit, elsewhere)
	jobs := m.jobUnits(holding, team, work, s)
	free := limit - min(limit, holding.Units)
	// Units that queued jobs wait for are not granted to sessions.
	free -= min(free, jobs-min(jobs, holding.RunningJobs))
	handouts := share.HandOut(work-min(work, jobs), free, s.holders(team, held))
	for i, h := range handouts {
		r := &statepb.Reservation{Team: team, Units: h.Target, Revision: held[i].GetRevision()}
		session := s.reports[i].session
		switch {
		case h.Shrink:
			s.wanted[session] = append(s.wanted[session], r)
			m.reasons.Record("team", team, "session %s is to come down from %d to %d units: others need them, or they lie idle",
				session, held[i].GetUnits(), h.Target)
		case h.Grant:
			s.grants[session] = append(s.grants[session], r)
			m.reasons.Record("team", team, "session %s is granted %d units after %d for its demand",
				session, h.Target, held[i].GetUnits())
		}
	}
}

// takeBackDeleted asks for the units of teams whose document was deleted.
func (m *Manager) takeBackDeleted(s *split) {
	for _, r := range s.reports {
		for _, held := range m.cfg.Machine.Session(r.session).GetReservations() {
			if m.cfg.Machine.Document(held.Team) == nil {
				s.wanted[r.session] = append(s.wanted[r.session], &statepb.Reservation{Team: held.Team})
			}
		}
	}
}

// jobUnits is what the team's running and queued jobs get of its units.
func (m *Manager) jobUnits(holding *state.Allocation, team string, units uint32, s *split) uint32 {
	jobs := holding.RunningJobs + holding.QueuedJobs
	requests, _ := s.requestDemand(team)
	turn := m.cfg.Now().UnixNano()/int64(turnLength)%2 == 0
	return share.SplitWork(units, jobs, requests, turn)
}

// releaseAsker asks holders to come down without waiting for their renewals.
type releaseAsker struct {
	askMember func(ctx context.Context, member string, request *wirepb.ReleaseRequest) error
	now       func() time.Time

	mu   sync.Mutex
	last map[string]time.Time
}

func newReleaseAsker(cfg Config) *releaseAsker {
	return &releaseAsker{askMember: cfg.AskRelease, now: cfg.Now, last: make(map[string]time.Time)}
}

// ask sends each session its wanted reservations, at most once per askInterval.
func (a *releaseAsker) ask(ctx context.Context, reports []report, wanted map[string][]*statepb.Reservation) {
	if a.askMember == nil {
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

func (a *releaseAsker) due(session string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	for other, at := range a.last {
		if now.Sub(at) > time.Minute {
			delete(a.last, other)
		}
	}
	if at, ok := a.last[session]; ok && now.Sub(at) < askInterval {
		return false
	}
	a.last[session] = now
	return true
}

func (a *releaseAsker) send(ctx context.Context, member string, request *wirepb.ReleaseRequest) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if err := a.askMember(ctx, member, request); err != nil {
		event.ReleaseAskFails.Emit(event.F("member", member), event.Err(err))
	}
}
