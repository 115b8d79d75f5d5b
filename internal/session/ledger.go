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
	// wantedLifetime is how long wanted units hold unless the leader repeats them.
	wantedLifetime = 2 * time.Second
)

// Ledger counts the units that this daemon runs against what it holds.
//
// Invariant: units started under a session never exceed the units that the
// committed state reserves for that session, and units started under the kept
// part never exceed it, whatever the leader does meanwhile.
type Ledger struct {
	holder  *Holder
	cfg     Config
	started time.Time
	// opened is the log index of this process's first session.
	opened uint64

	mu    sync.Mutex
	teams map[string]*teamUnits
	// inUse counts the units in use by the session that they were taken under.
	inUse map[string]uint32
	// releasing is true while one proposal of releases is on its way.
	releasing     bool
	releasingKept bool
}

type teamUnits struct {
	// Units running under the current session.
	session string
	running uint32
	// Units running under the kept part.
	kept uint32
	// Requests waiting for a unit.
	waiting       uint32
	urgentWaiting uint32
	// wanted is what the leader wants this session to come down to. Until then
	// nothing starts in place of what ends.
	wanted      uint32
	wantedUntil time.Time
	// cap is set while a release of the session's units may still be applied.
	cap *releaseCap
	// keptCap is the same for the kept part.
	keptCap *releaseCap
}

// releaseCap is the ceiling of a release that may be applied at any time. It
// holds until the committed units change from the revision that the release is
// based on: then the release is applied, or never will be.
type releaseCap struct {
	ceiling uint32
	base    uint64
}

// Unit is the right to run one request.
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

// enter forgets what belongs to an older session: its work is covered until
// that session is reclaimed.
func (u *teamUnits) enter(session string) {
	if u.session != session {
		u.session, u.running, u.cap, u.wantedUntil = session, 0, nil, time.Time{}
	}
}

// Acquire takes a unit of the team, or returns nil when none is free. Keyed
// work needs a live session; work of open queues may use the kept part.
func (l *Ledger) Acquire(team string, open bool) *Unit {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Read under the lock: a unit is counted before its session can be closed.
	session, live := l.holder.Session()
	units := l.team(team)
	units.enter(session)
	if live && units.running < min(l.limit(units, session, team), l.ceiling(units)) {
		units.running++
		l.inUse[session]++
		return &Unit{ledger: l, team: team, session: session}
	}
	if (live || open) && l.keptUsable(team) && units.kept < l.keptLimit(units, team) {
		units.kept++
		return &Unit{ledger: l, team: team, kept: true}
	}
	return nil
}

// ceiling is what the leader wants the session to run at most.
func (l *Ledger) ceiling(units *teamUnits) uint32 {
	if l.cfg.Now().Before(units.wantedUntil) {
		return units.wanted
	}
	return math.MaxUint32
}

// limit is what the session may run of the team now.
func (l *Ledger) limit(units *teamUnits, session, team string) uint32 {
	held := l.cfg.Machine.Reservation(session, team)
	if units.cap == nil {
		return held.GetUnits()
	}
	if held.GetRevision() != units.cap.base {
		units.cap = nil
		return held.GetUnits()
	}
	return min(held.GetUnits(), units.cap.ceiling)
}

// keptLimit is what may run under the kept part now.
func (l *Ledger) keptLimit(units *teamUnits, team string) uint32 {
	held := l.cfg.Machine.KeptReservation(l.cfg.MemberName, team)
	if units.keptCap == nil {
		return held.GetUnits()
	}
	if held.GetRevision() != units.keptCap.base {
		units.keptCap = nil
		return held.GetUnits()
	}
	return min(held.GetUnits(), units.keptCap.ceiling)
}

// keptUsable is false until work that an earlier process of this VM may have
// started under the kept part is surely over. No earlier process has used a
// part that the VM got after this one opened its first session.
func (l *Ledger) keptUsable(team string) bool {
	since := l.cfg.Machine.KeptReservation(l.cfg.MemberName, team).GetSinceIndex()
	if l.opened != 0 && since > l.opened {
		return true
	}
	return l.cfg.Now().Sub(l.started) >= state.MaxRequestDeadlineMS*time.Millisecond
}

// noteOpened keeps the log index of the first session of this process.
func (l *Ledger) noteOpened(index uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.opened == 0 {
		l.opened = index
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
		if units.running >= l.ceiling(units) {
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

// SetWaiting records how many requests of the team wait for a unit. Demand
// that appears is reported at once, more of it with the next renewal.
func (l *Ledger) SetWaiting(team string, waiting, urgent uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	units := l.team(team)
	appeared := waiting > 0 && units.waiting == 0 || urgent > 0 && units.urgentWaiting == 0
	units.waiting, units.urgentWaiting = waiting, urgent
	if appeared {
		l.holder.renewSoon()
	}
}

// report fills in the demand of every team that has any.
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

// setWanted lowers what this daemon runs of the named teams and gives the rest
// back through the log, all teams in one command. The ceiling comes first: the
// leader may grant the units elsewhere as soon as the release is committed.
func (l *Ledger) setWanted(wanted []*statepb.Reservation) {
	session, live := l.holder.Session()
	if !live {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// Each list is whole: a team that it leaves out may run what it holds.
	for _, units := range l.teams {
		units.wantedUntil = time.Time{}
	}
	for _, w := range wanted {
		units := l.team(w.Team)
		units.enter(session)
		units.wanted, units.wantedUntil = w.Units, l.cfg.Now().Add(wantedLifetime)
	}
	l.startReleases(session, l.withPendingReleases(session, wanted))
}

// startReleases proposes what may be given back now, unless a proposal is on
// its way; what is left out is taken up when a unit ends or the leader asks again.
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
		go l.release(session, releases)
	}
}

// beginRelease sets the ceiling and returns the release, or nil when there is
// nothing to give back.
func (l *Ledger) beginRelease(session string, w *statepb.Reservation) *statepb.Reservation {
	units := l.team(w.Team)
	units.enter(session)
	held := l.cfg.Machine.Reservation(session, w.Team)
	target := max(w.Units, units.running)
	if units.cap != nil && units.cap.base == held.GetRevision() {
		// Whichever of several releases is applied, the ceiling covers it.
		target = min(target, units.cap.ceiling)
	}
	if target >= held.GetUnits() {
		return nil
	}
	units.cap = &releaseCap{ceiling: target, base: held.Revision}
	return &statepb.Reservation{Team: w.Team, Units: target, Revision: held.Revision}
}

// withPendingReleases adds releases whose outcome stayed unknown: they are
// repeated, since the ceiling is lifted only once the release is applied.
func (l *Ledger) withPendingReleases(session string, wanted []*statepb.Reservation) []*statepb.Reservation {
	all := append([]*statepb.Reservation(nil), wanted...)
	named := make(map[string]bool, len(wanted))
	for _, w := range wanted {
		named[w.Team] = true
	}
	for team, units := range l.teams {
		if units.cap == nil || units.session != session || named[team] {
			continue
		}
		if units.cap.base == l.cfg.Machine.Reservation(session, team).GetRevision() {
			all = append(all, &statepb.Reservation{Team: team, Units: units.cap.ceiling})
		}
	}
	return all
}

// release commits the lower reservations.
func (l *Ledger) release(session string, releases []*statepb.Reservation) {
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
		// Units may have ended meanwhile.
		l.startReleases(session, l.stillWanted(session))
	}
}

// stillWanted lists the teams that run or hold more than the leader wants.
func (l *Ledger) stillWanted(session string) []*statepb.Reservation {
	var wanted []*statepb.Reservation
	for team, units := range l.teams {
		if units.session == session && units.cap == nil && l.cfg.Now().Before(units.wantedUntil) {
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

// setWantedKept comes down to the wanted kept parts in the same way. Only the
// VM itself lowers its kept part, since it alone knows what runs under it.
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
		if units.keptCap != nil && units.keptCap.base == held.GetRevision() {
			target = min(target, units.keptCap.ceiling)
		}
		if target >= held.GetUnits() || !l.keptUsable(w.Team) {
			continue
		}
		units.keptCap = &releaseCap{ceiling: target, base: held.Revision}
		lowered = append(lowered, &statepb.KeptReservation{
			MemberName: l.cfg.MemberName, Team: w.Team, Units: target, Revision: held.Revision,
		})
	}
	if len(lowered) > 0 {
		l.releasingKept = true
		go l.releaseKept(lowered)
	}
}

func (l *Ledger) releaseKept(lowered []*statepb.KeptReservation) {
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
