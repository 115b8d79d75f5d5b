// Package control holds the leader's loops: session leases, reservations, job
// placement, VM liveness, moves and maintenance. Each loop compares committed
// state with what daemons report and proposes commands; the state machine
// checks every rule again when it applies them.
package control

import (
	"slices"
	"sync"
	"time"

	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

// lease is the leader's view of one session.
type lease struct {
	renewed  time.Time
	expiring bool
	// reported is false until the holder renewed with this leader.
	reported bool
	applied  uint64
	demands  []*wirepb.TeamDemand
	vms      []*wirepb.VMReport
	leaving  bool
}

// commitSample remembers the commit index at a time.
type commitSample struct {
	at    time.Time
	index uint64
}

// sessions tracks leases while this daemon leads.
type sessions struct {
	length time.Duration
	now    func() time.Time

	mu      sync.Mutex
	leases  map[string]*lease
	commits []commitSample
	wanted  wanted
	// expired holds when this leader first saw each session as expired.
	expired map[string]time.Time
	// changes rises when a demand or the set of live sessions changes.
	changes uint64
}

// wanted is what sessions are to come down to, by session.
type wanted struct {
	units map[string][]*statepb.Reservation
	kept  map[string][]*statepb.Reservation
}

func newSessions(length time.Duration, now func() time.Time) *sessions {
	return &sessions{
		length: length, now: now,
		leases: make(map[string]*lease), expired: make(map[string]time.Time),
	}
}

// drift is the margin by which the leader waits longer than the holder.
func (s *sessions) drift() time.Duration { return s.length / 4 }

// start gives every open session one full period: the former leader may have
// renewed it just before this one was elected.
func (s *sessions) start(open []*statepb.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases = make(map[string]*lease)
	s.expired = make(map[string]time.Time)
	s.commits = nil
	s.wanted = wanted{}
	for _, session := range open {
		if session.ExpiredUnixMs == 0 {
			s.leases[session.Id] = &lease{renewed: s.now()}
		}
	}
}

// noteCommit remembers the commit index for lagIndex.
func (s *sessions) noteCommit(index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.commits = append(s.commits, commitSample{now, index})
	for len(s.commits) > 1 && now.Sub(s.commits[1].at) >= s.length {
		s.commits = s.commits[1:]
	}
}

// lagIndex is the index that a daemon must have applied to be renewed: what
// was committed one lease ago. A daemon that follows too slowly loses its
// lease, so every change is in force within two leases.
func (s *sessions) lagIndex() uint64 {
	if len(s.commits) == 0 || s.now().Sub(s.commits[0].at) < s.length {
		return 0
	}
	return s.commits[0].index
}

// renewal is the result of renew.
type renewal int

const (
	renewed renewal = iota
	renewExpired
	renewLagging
)

// renew extends a lease. committed is the session in the committed state.
func (s *sessions) renew(committed *statepb.Session, r *wirepb.RenewRequest) renewal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if committed == nil || committed.ExpiredUnixMs != 0 {
		return renewExpired
	}
	l := s.leases[r.Session]
	if l == nil {
		l = &lease{renewed: s.now()}
		s.leases[r.Session] = l
	}
	if l.expiring {
		return renewExpired
	}
	if r.AppliedIndex < max(s.lagIndex(), committed.OpenedIndex) {
		return renewLagging
	}
	if !l.reported || l.leaving != r.Leaving || !slices.EqualFunc(l.demands, r.Demands, sameDemand) {
		s.changes++
	}
	l.renewed = s.now()
	l.applied, l.reported = r.AppliedIndex, true
	l.demands, l.vms, l.leaving = r.Demands, r.Vms, r.Leaving
	return renewed
}

func sameDemand(a, b *wirepb.TeamDemand) bool {
	return a.Team == b.Team && a.RunningUnits == b.RunningUnits &&
		a.WaitingUnits == b.WaitingUnits && a.UrgentWaitingUnits == b.UrgentWaitingUnits
}

// demandChanges returns a number that rises with each change of reported demand.
func (s *sessions) demandChanges() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// wantedOf returns what the session is to come down to.
func (s *sessions) wantedOf(session string) (units, kept []*statepb.Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wanted.units[session], s.wanted.kept[session]
}

// overdue marks and returns the sessions whose lease is surely over at the holder.
func (s *sessions) overdue(open []*statepb.Session) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for _, session := range open {
		if session.ExpiredUnixMs != 0 {
			delete(s.leases, session.Id)
			continue
		}
		l := s.leases[session.Id]
		if l == nil {
			s.leases[session.Id] = &lease{renewed: s.now()}
			continue
		}
		if l.expiring || s.now().Sub(l.renewed) > s.length+s.drift() {
			l.expiring = true
			s.changes++
			ids = append(ids, session.Id)
		}
	}
	return ids
}

// expiredFor returns how long this leader has seen the session expired. Wall
// clocks of former leaders don't count: one that ran ahead would end the work
// of a session before it is over.
func (s *sessions) expiredFor(session *statepb.Session) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if session.ExpiredUnixMs == 0 {
		return 0
	}
	since, seen := s.expired[session.Id]
	if !seen {
		since = s.now()
		s.expired[session.Id] = since
	}
	return s.now().Sub(since)
}

// forget drops what is known of a session that is reclaimed.
func (s *sessions) forget(session string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.expired, session)
	delete(s.leases, session)
}

// waitingFor returns the members whose live sessions have not applied index.
// A session opened after index serves only once its holder has applied both.
func (s *sessions) waitingFor(index uint64, open []*statepb.Session) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var members []string
	for _, session := range open {
		if session.ExpiredUnixMs != 0 || session.OpenedIndex >= index {
			continue
		}
		if l := s.leases[session.Id]; l == nil || l.applied < index {
			members = append(members, session.Member)
		}
	}
	return members
}

// report is what one live session reported last.
type report struct {
	session string
	member  string
	name    string
	zone    string
	age     time.Duration
	demands []*wirepb.TeamDemand
	vms     []*wirepb.VMReport
	leaving bool
	// silent sessions have not renewed with this leader yet.
	silent bool
}

// reports returns the last report of every live session.
func (s *sessions) reports(open []*statepb.Session) []report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []report
	for _, session := range open {
		l := s.leases[session.Id]
		if session.ExpiredUnixMs != 0 || l == nil || l.expiring {
			continue
		}
		out = append(out, report{
			session: session.Id, member: session.Member, name: session.MemberName, zone: session.Zone, age: s.now().Sub(l.renewed),
			demands: l.demands, vms: l.vms, leaving: l.leaving, silent: !l.reported,
		})
	}
	return out
}

// setWanted tells what each session is to come down to at its next renewal.
func (s *sessions) setWanted(w wanted) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wanted = w
}
