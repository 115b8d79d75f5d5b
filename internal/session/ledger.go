package session

import (
	"context"
	"math"
	"sync"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

const (
	releaseTimeout = 2 * time.Second
	// wantedLifetime is how long units that the leader wants back stay a limit
	// unless it repeats the request.
	wantedLifetime = 2 * time.Second
)

// Ledger counts the units that this daemon runs against its reservations.
//
// Invariant: units in use under a session never exceed the units that the
// committed state reserves for that session, and units in use under a kept
// reservation never exceed it, whatever the leader does meanwhile.
type Ledger struct {
	holder *Holder
	cfg    Config
	// started is when this process created the ledger.
	started time.Time
	// firstSessionIndex is the log index that opened this process's first
	// session; zero before.
	firstSessionIndex uint64

	mu    sync.Mutex
	teams map[string]*teamUnits
	// inUse counts the units in use per session that they were acquired under.
	inUse map[string]uint32
	// releasing is true while a proposal of releases has no outcome yet;
	// releasingKept is the same for kept reservations.
	releasing     bool
	releasingKept bool
}

// teamUnits counts the units of one team.
type teamUnits struct {
	// Units in use under the current session.
	session string
	running uint32
	// Units in use under the kept reservation.
	kept uint32
	// Requests waiting for a unit.
	waiting       uint32
	urgentWaiting uint32
	// wanted is the number of units to which the leader wants this session to go
	// down. Until wantedUntil no unit is acquired while so many are in use.
	wanted      uint32
	wantedUntil time.Time
	// pending is set while a release of the session's units may still be applied.
	pending *pendingRelease
	// pendingKept is the same for the kept reservation.
	pendingKept *pendingRelease
}

// pendingRelease is a proposed release that may be applied at any time. Until
// then no more than limit units may be in use. It ends when the reservation's
// revision is no longer baseRevision, on which the release is based: then the
// release has been applied, or never will be.
type pendingRelease struct {
	limit        uint32
	baseRevision uint64
}

// Unit is the right to run one request of a team.
type Unit struct {
	ledger  *Ledger
	team    string
	session string
	kept    bool
	once    sync.Once
}

func newLedger(holder *Holder, cfg Config) *Ledger {
	return &Ledger{holder: holder, cfg: cfg, started: cfg.Now(), teams: make(map[string]*teamUnits), inUse: make(map[string]uint32)}
}

func (l *Ledger) team(name string) *teamUnits {
	units := l.teams[name]
	if units == nil {
		units = &teamUnits{}
		l.teams[name] = units
	}
	return units
}

// resetForSession drops the counts of an older session. The units of its running
// work stay reserved until that session is reclaimed.
func (u *teamUnits) resetForSession(session string) {
	if u.session != session {
		u.session, u.running, u.pending, u.wantedUntil = session, 0, nil, time.Time{}
	}
}

// Acquire returns a unit of the team, or nil when none is free. Keyed work needs
// a live lease; work of open queues may use the kept reservation without one.
func (l *Ledger) Acquire(team string, open bool) *Unit {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The session is read under the lock, so that a unit is counted before its session can be closed.
	session, live := l.holder.Session()
	units := l.team(team)
	units.resetForSession(session)
	if live && units.running < min(l.sessionLimit(units, session, team), l.wantedLimit(units)) {
		units.running++
		l.inUse[session]++
		return &Unit{ledger: l, team: team, session: session}
	}
	if (live || open) && l.keptIsUsable(team) && units.kept < l.keptLimit(units, team) {
		units.kept++
		return &Unit{ledger: l, team: team, kept: true}
	}
	return nil
}

// wantedLimit returns the units that the leader wants the session to use at most.
func (l *Ledger) wantedLimit(units *teamUnits) uint32 {
	if l.cfg.Now().Before(units.wantedUntil) {
		return units.wanted
	}
	return math.MaxUint32
}

// sessionLimit returns how many units of the team the session may use now.
func (l *Ledger) sessionLimit(units *teamUnits, session, team string) uint32 {
	held := l.cfg.Machine.Reservation(session, team)
	if units.pending == nil {
		return held.GetUnits()
	}
	if held.GetRevision() != units.pending.baseRevision {
		units.pending = nil
		return held.GetUnits()
	}
	return min(held.GetUnits(), units.pending.limit)
}

// keptLimit returns how many units of the team the kept reservation allows now.
func (l *Ledger) keptLimit(units *teamUnits, team string) uint32 {
	held := l.cfg.Machine.KeptReservation(l.cfg.MemberName, team)
	if units.pendingKept == nil {
		return held.GetUnits()
	}
	if held.GetRevision() != units.pendingKept.baseRevision {
		units.pendingKept = nil
		return held.GetUnits()
	}
	return min(held.GetUnits(), units.pendingKept.limit)
}

// keptIsUsable is false while work that an earlier process of this VM started
// under the kept reservation may still run. An earlier process cannot have used
// a reservation that the VM got after this process opened its first session.
func (l *Ledger) keptIsUsable(team string) bool {
	since := l.cfg.Machine.KeptReservation(l.cfg.MemberName, team).GetSinceIndex()
	if l.firstSessionIndex != 0 && since > l.firstSessionIndex {
		return true
	}
	return l.cfg.Now().Sub(l.started) >= state.MaxRequestDeadlineMS*time.Millisecond
}

// recordFirstSession stores the log index that opened the first session of this process.
func (l *Ledger) recordFirstSession(index uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstSessionIndex == 0 {
		l.firstSessionIndex = index
	}
}

// Release gives the unit back.
func (u *Unit) Release() {
	u.once.Do(func() {
		l := u.ledger
		l.mu.Lock()
		defer l.mu.Unlock()
		units := l.team(u.team)
		if u.kept {
			units.kept--
			return
		}
		l.inUse[u.session]--
		if l.inUse[u.session] == 0 {
			delete(l.inUse, u.session)
		}
		if units.session != u.session {
			return
		}
		units.running--
		if units.running >= l.wantedLimit(units) {
			l.startReleases(u.session, []*statepb.Reservation{{Team: u.team, Units: units.wanted}})
		}
	})
}

// running returns the units in use under the session, over all teams.
func (l *Ledger) running(session string) uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inUse[session]
}

// SetWaiting records how many requests of the team wait for a unit. The first
// waiting or urgent request triggers an early renewal; an increase is reported
// with the next regular one.
func (l *Ledger) SetWaiting(team string, waiting, urgent uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	units := l.team(team)
	appeared := waiting > 0 && units.waiting == 0 || urgent > 0 && units.urgentWaiting == 0
	units.waiting, units.urgentWaiting = waiting, urgent
	if appeared {
		l.holder.requestRenewal()
	}
}

// report adds the demand of every team that has any to the request.
func (l *Ledger) report(request *wirepb.RenewRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for team, units := range l.teams {
		running := units.running + units.kept
		if running == 0 && units.waiting == 0 {
			continue
		}
		request.Demands = append(request.Demands, &wirepb.TeamDemand{
			Team: team, RunningUnits: running,
			WaitingUnits: units.waiting, UrgentWaitingUnits: units.urgentWaiting,
		})
	}
}

// setWanted limits the units of the named teams and returns the rest through
// the log, all teams in one command. The limit applies before the proposal,
// because the leader may grant the units to others as soon as it is committed.
func (l *Ledger) setWanted(wanted []*statepb.Reservation) {
	session, live := l.holder.Session()
	if !live {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// Each list is complete: a team that is not in it may use all its reserved units.
	for _, units := range l.teams {
		units.wantedUntil = time.Time{}
	}
	for _, w := range wanted {
		units := l.team(w.Team)
		units.resetForSession(session)
		units.wanted, units.wantedUntil = w.Units, l.cfg.Now().Add(wantedLifetime)
	}
	l.startReleases(session, l.withPendingReleases(session, wanted))
}

// startReleases proposes the releases that are possible now, unless an earlier
// proposal has no outcome yet. The others follow when a unit ends, when the
// proposal is committed or when the leader asks again.
func (l *Ledger) startReleases(session string, wanted []*statepb.Reservation) {
	if l.releasing {
		return
	}
	var releases []*statepb.Reservation
	for _, w := range wanted {
		if release := l.beginRelease(session, w); release != nil {
			releases = append(releases, release)
		}
	}
	if len(releases) > 0 {
		l.releasing = true
		go l.commitReleases(session, releases)
	}
}

// beginRelease sets the limit and returns the release, or nil when no unit can
// be released.
func (l *Ledger) beginRelease(session string, w *statepb.Reservation) *statepb.Reservation {
	units := l.team(w.Team)
	units.resetForSession(session)
	held := l.cfg.Machine.Reservation(session, w.Team)
	target := max(w.Units, units.running)
	if units.pending != nil && units.pending.baseRevision == held.GetRevision() {
		// The lowest limit holds, whichever of several releases is applied.
		target = min(target, units.pending.limit)
	}
	if target >= held.GetUnits() {
		return nil
	}
	units.pending = &pendingRelease{limit: target, baseRevision: held.Revision}
	return &statepb.Reservation{Team: w.Team, Units: target, Revision: held.Revision}
}

// withPendingReleases adds the releases whose outcome is unknown. They are
// repeated, since their limit ends only once a release is applied.
func (l *Ledger) withPendingReleases(session string, wanted []*statepb.Reservation) []*statepb.Reservation {
	all := append([]*statepb.Reservation(nil), wanted...)
	named := make(map[string]bool, len(wanted))
	for _, w := range wanted {
		named[w.Team] = true
	}
	for team, units := range l.teams {
		if units.pending == nil || units.session != session || named[team] {
			continue
		}
		if units.pending.baseRevision == l.cfg.Machine.Reservation(session, team).GetRevision() {
			all = append(all, &statepb.Reservation{Team: team, Units: units.pending.limit})
		}
	}
	return all
}

// commitReleases proposes the lowered reservations.
func (l *Ledger) commitReleases(session string, releases []*statepb.Reservation) {
	err := l.propose(&statepb.Command{
		Actor: l.cfg.MemberID,
		Body: &statepb.Command_SetReservations{SetReservations: &statepb.SetReservations{
			Session: session, Reservations: releases,
		}},
	})
	if err != nil {
		event.ReserveFailed.Emit(event.F("session", session), event.Err(err))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releasing = false
	if err == nil {
		// Units may have ended meanwhile and can be released now.
		l.startReleases(session, l.wantedWithoutPending(session))
	}
}

// wantedWithoutPending lists the units that the leader wants back from teams that
// have no release pending.
func (l *Ledger) wantedWithoutPending(session string) []*statepb.Reservation {
	var wanted []*statepb.Reservation
	for team, units := range l.teams {
		if units.session == session && units.pending == nil && l.cfg.Now().Before(units.wantedUntil) {
			wanted = append(wanted, &statepb.Reservation{Team: team, Units: units.wanted})
		}
	}
	return wanted
}

func (l *Ledger) propose(command *statepb.Command) error {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := l.cfg.Leader.Propose(ctx, command)
	return err
}

// setWantedKept lowers the kept reservations in the same way. Only the VM itself
// lowers its kept reservation, since no other knows what runs under it.
func (l *Ledger) setWantedKept(wanted []*statepb.Reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.releasingKept {
		return
	}
	var lowered []*statepb.KeptReservation
	for _, w := range wanted {
		units := l.team(w.Team)
		held := l.cfg.Machine.KeptReservation(l.cfg.MemberName, w.Team)
		target := max(w.Units, units.kept)
		if units.pendingKept != nil && units.pendingKept.baseRevision == held.GetRevision() {
			target = min(target, units.pendingKept.limit)
		}
		if target >= held.GetUnits() || !l.keptIsUsable(w.Team) {
			continue
		}
		units.pendingKept = &pendingRelease{limit: target, baseRevision: held.Revision}
		lowered = append(lowered, &statepb.KeptReservation{
			MemberName: l.cfg.MemberName, Team: w.Team, Units: target, Revision: held.Revision,
		})
	}
	if len(lowered) > 0 {
		l.releasingKept = true
		go l.commitKeptReleases(lowered)
	}
}

func (l *Ledger) commitKeptReleases(lowered []*statepb.KeptReservation) {
	err := l.propose(&statepb.Command{
		Actor: l.cfg.MemberID,
		Body: &statepb.Command_SetKeptReservations{
			SetKeptReservations: &statepb.SetKeptReservations{Kept: lowered},
		},
	})
	if err != nil {
		event.ReserveFailed.Emit(event.F("member", l.cfg.MemberName), event.Err(err))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releasingKept = false
}
