package session

import (
	"context"
	"sync"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

const releaseTimeout = 2 * time.Second

// Ledger counts the units that this daemon runs against what it holds.
//
// Invariant: units started under a session never exceed the units that the
// committed state reserves for that session, and units started under the kept
// part never exceed it, whatever the leader does meanwhile.
type Ledger struct {
	holder  *Holder
	cfg     Config
	started time.Time

	mu    sync.Mutex
	teams map[string]*teamUnits
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
	// Ceiling while a release is on its way; it holds until the release is applied here.
	capped    bool
	ceiling   uint32
	releasing bool
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
	return &Ledger{holder: holder, cfg: cfg, started: cfg.Now(), teams: make(map[string]*teamUnits)}
}

func (l *Ledger) team(name string) *teamUnits {
	units := l.teams[name]
	if units == nil {
		units = &teamUnits{}
		l.teams[name] = units
	}
	return units
}

// Acquire takes a unit of the team, or returns nil when none is free. Keyed
// work needs a live session; work of open queues may use the kept part.
func (l *Ledger) Acquire(team string, open bool) *Unit {
	session, live := l.holder.Session()
	l.mu.Lock()
	defer l.mu.Unlock()
	units := l.team(team)
	if units.session != session {
		// Work of an older session is covered until that session is reclaimed.
		units.session, units.running, units.capped = session, 0, false
	}
	if live && units.running < l.limit(units, session, team) {
		units.running++
		return &Unit{ledger: l, team: team, session: session}
	}
	if (live || open) && l.keptUsable() && units.kept < l.cfg.Machine.Kept(l.cfg.MemberName, team) {
		units.kept++
		return &Unit{ledger: l, team: team, kept: true}
	}
	return nil
}

// limit is what the session may run of the team now.
func (l *Ledger) limit(units *teamUnits, session, team string) uint32 {
	held := l.cfg.Machine.Reserved(session, team)
	if units.capped && !units.releasing && held <= units.ceiling {
		// The release is applied here; whatever follows it in the log is a new grant.
		units.capped = false
	}
	if units.capped {
		return min(held, units.ceiling)
	}
	return held
}

// keptUsable is false until work that an earlier process of this VM may have
// started under the kept part is surely over.
func (l *Ledger) keptUsable() bool {
	return l.cfg.Now().Sub(l.started) >= state.MaxRequestDeadlineMS*time.Millisecond
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
		if units.session == u.session {
			units.running--
		}
	})
}

// SetWaiting records how many requests of the team wait for a unit.
func (l *Ledger) SetWaiting(team string, waiting, urgent uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	units := l.team(team)
	units.waiting, units.urgentWaiting = waiting, urgent
}

// report fills in the demand of every team.
func (l *Ledger) report(request *wirepb.RenewRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for team, units := range l.teams {
		request.Demands = append(request.Demands, &wirepb.TeamDemand{
			Team: team, RunningUnits: units.running + units.kept,
			WaitingUnits: units.waiting, UrgentWaitingUnits: units.urgentWaiting,
		})
	}
}

// setWanted lowers what this daemon runs of the named teams and gives the rest
// back through the log. The ceiling comes first: the leader may grant the
// units elsewhere as soon as the release is committed.
func (l *Ledger) setWanted(wanted []*statepb.Reservation) {
	session, live := l.holder.Session()
	if !live {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.withPendingReleases(wanted) {
		units := l.team(w.Team)
		if units.releasing || units.session != session && units.session != "" {
			continue
		}
		target := max(w.Units, units.running)
		if target >= l.cfg.Machine.Reserved(session, w.Team) {
			continue
		}
		units.session = session
		units.capped, units.ceiling, units.releasing = true, target, true
		go l.release(session, w.Team, target)
	}
}

// withPendingReleases adds releases whose outcome stayed unknown: they are
// repeated, since the ceiling is lifted only once the release is applied.
func (l *Ledger) withPendingReleases(wanted []*statepb.Reservation) []*statepb.Reservation {
	all := append([]*statepb.Reservation(nil), wanted...)
	for team, units := range l.teams {
		if units.capped && !units.releasing {
			all = append(all, &statepb.Reservation{Team: team, Units: units.ceiling})
		}
	}
	return all
}

// release commits the lower reservation.
func (l *Ledger) release(session, team string, target uint32) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := l.cfg.Leader.Propose(ctx, &statepb.Command{
		Actor: l.cfg.MemberID,
		Body: &statepb.Command_SetReservations{SetReservations: &statepb.SetReservations{
			Session: session, Reservations: []*statepb.Reservation{{Team: team, Units: target}},
		}},
	})
	if err != nil {
		event.ReserveFailed.Emit(event.F("team", team), event.Err(err))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.team(team).releasing = false
}
