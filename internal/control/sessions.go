// Package control holds the leader's loops: session leases, reservations, job
// placement, VM liveness, moves and maintenance. Each loop compares the
// committed state with what daemons report and proposes commands. The state
// machine checks every rule again when it applies them.
package control

import (
	"slices"
	"sync"
	"time"

	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

// lease is the leader's view of one session lease.
type lease struct {
	lastRenewed time.Time
	expiring    bool
	// reported is false until the holder has renewed with this leader.
	reported     bool
	appliedIndex uint64
	demands      []*wirepb.TeamDemand
	vms          []*wirepb.VMReport
	leaving      bool
}

// commitSample is the commit index at a point in time.
type commitSample struct {
	at    time.Time
	index uint64
}

// sessions tracks session leases while this daemon leads.
type sessions struct {
	leaseLength time.Duration
	now         func() time.Time

	mu      sync.Mutex
	leases  map[string]*lease
	commits []commitSample
	wanted  wantedReservations
	// expiredSince holds when this leader first saw each session expired.
	expiredSince map[string]time.Time
	// changes is incremented when a demand or the set of live sessions changes.
	changes uint64
}

// wantedReservations holds the lower reservations that holders are asked to
// release down to, by session.
type wantedReservations struct {
	units map[string][]*statepb.Reservation
	kept  map[string][]*statepb.Reservation
}

func newSessions(length time.Duration, now func() time.Time) *sessions {
	return &sessions{
		leaseLength: length, now: now,
		leases: make(map[string]*lease), expiredSince: make(map[string]time.Time),
	}
}

// driftMargin is how much longer than the holder the leader waits for a lease
// to run out.
func (s *sessions) driftMargin() time.Duration { return s.leaseLength / 4 }

// start gives every session that has not expired one full lease: the previous
// leader may have renewed it just before this one was elected.
func (s *sessions) start(committed []*statepb.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases = make(map[string]*lease)
	s.expiredSince = make(map[string]time.Time)
	s.commits = nil
	s.wanted = wantedReservations{}
	for _, session := range committed {
		if session.ExpiredUnixMs == 0 {
			s.leases[session.Id] = &lease{lastRenewed: s.now()}
		}
	}
}

// recordCommit records the commit index for requiredIndex.
func (s *sessions) recordCommit(index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.commits = append(s.commits, commitSample{now, index})
	for len(s.commits) > 1 && now.Sub(s.commits[1].at) >= s.leaseLength {
		s.commits = s.commits[1:]
	}
}

// requiredIndex is the index that a daemon must have applied to be renewed: the
// commit index of one lease ago. A daemon that applies the log more slowly
// loses its lease, so every change is in force within two leases.
func (s *sessions) requiredIndex() uint64 {
	if len(s.commits) == 0 || s.now().Sub(s.commits[0].at) < s.leaseLength {
		return 0
	}
	return s.commits[0].index
}

// renewResult tells whether a lease was renewed, and otherwise why not.
type renewResult int

const (
	renewOK renewResult = iota
	renewExpired
	renewLagging
)

// renew extends a lease. committed is the session in the committed state.
func (s *sessions) renew(committed *statepb.Session, r *wirepb.RenewRequest) renewResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if committed == nil || committed.ExpiredUnixMs != 0 {
		return renewExpired
	}
	l := s.leases[r.Session]
	if l == nil {
		l = &lease{lastRenewed: s.now()}
		s.leases[r.Session] = l
	}
	if l.expiring {
		return renewExpired
	}
	if r.AppliedIndex < max(s.requiredIndex(), committed.OpenedIndex) {
		return renewLagging
	}
	if !l.reported || l.leaving != r.Leaving || !slices.EqualFunc(l.demands, r.Demands, sameDemand) {
		s.changes++
	}
	l.lastRenewed = s.now()
	l.appliedIndex, l.reported = r.AppliedIndex, true
	l.demands, l.vms, l.leaving = r.Demands, r.Vms, r.Leaving
	return renewOK
}

func sameDemand(a, b *wirepb.TeamDemand) bool {
	return a.Team == b.Team && a.RunningUnits == b.RunningUnits &&
		a.WaitingUnits == b.WaitingUnits && a.UrgentWaitingUnits == b.UrgentWaitingUnits
}

// demandChanges returns a number that is incremented with each change of
// reported demand or of the set of live sessions.
func (s *sessions) demandChanges() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// wantedOf returns the reservations and kept reservations that the session is
// asked to release down to.
func (s *sessions) wantedOf(session string) (units, kept []*statepb.Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wanted.units[session], s.wanted.kept[session]
}

// overdue marks and returns the sessions whose lease has certainly run out at
// the holder.
func (s *sessions) overdue(committed []*statepb.Session) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for _, session := range committed {
		if session.ExpiredUnixMs != 0 {
			delete(s.leases, session.Id)
			continue
		}
		l := s.leases[session.Id]
		if l == nil {
			s.leases[session.Id] = &lease{lastRenewed: s.now()}
			continue
		}
		if l.expiring || s.now().Sub(l.lastRenewed) > s.leaseLength+s.driftMargin() {
			l.expiring = true
			s.changes++
			ids = append(ids, session.Id)
		}
	}
	return ids
}

// expiredFor returns how long this leader has seen the session expired. The
// wall clocks of previous leaders are not used: if one ran ahead, the session's
// work would be counted as ended too early.
func (s *sessions) expiredFor(session *statepb.Session) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if session.ExpiredUnixMs == 0 {
		return 0
	}
	since, seen := s.expiredSince[session.Id]
	if !seen {
		since = s.now()
		s.expiredSince[session.Id] = since
	}
	return s.now().Sub(since)
}

// forget drops the lease and the expiry of a reclaimed session.
func (s *sessions) forget(session string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.expiredSince, session)
	delete(s.leases, session)
}

// waitingFor returns the members whose live sessions have not applied index. A
// session opened after index is left out: its holder serves only once it has
// applied both.
func (s *sessions) waitingFor(index uint64, committed []*statepb.Session) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var members []string
	for _, session := range committed {
		if session.ExpiredUnixMs != 0 || session.OpenedIndex >= index {
			continue
		}
		if l := s.leases[session.Id]; l == nil || l.appliedIndex < index {
			members = append(members, session.Member)
		}
	}
	return members
}

// report is the last report of one live session.
type report struct {
	session string
	member  string
	name    string
	zone    string
	age     time.Duration
	demands []*wirepb.TeamDemand
	vms     []*wirepb.VMReport
	leaving bool
	// silent is true while the session has not renewed with this leader.
	silent bool
}

// reports returns the last report of every live session.
func (s *sessions) reports(committed []*statepb.Session) []report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []report
	for _, session := range committed {
		l := s.leases[session.Id]
		if session.ExpiredUnixMs != 0 || l == nil || l.expiring {
			continue
		}
		out = append(out, report{
			session: session.Id, member: session.Member, name: session.MemberName, zone: session.Zone, age: s.now().Sub(l.lastRenewed),
			demands: l.demands, vms: l.vms, leaving: l.leaving, silent: !l.reported,
		})
	}
	return out
}

// setWanted sets what each session is asked at its next renewal to release down
// to.
func (s *sessions) setWanted(w wantedReservations) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wanted = w
}
