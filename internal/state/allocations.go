package state

import "sapphirering/internal/state/statepb"

// Allocation is the part of one team's upper limit that is allocated.
type Allocation struct {
	// Reserved holds the reservations of live sessions, sorted by session.
	Reserved []SessionReservation
	// Expired holds the reservations of expired sessions, sorted by session. They
	// stay until the requests that may run under them are past their deadlines.
	Expired []SessionReservation
	// Kept holds the reservations that VMs may use while they are cut off.
	Kept []*statepb.KeptReservation
	// Units sums all units that may be in use anywhere, including those of running
	// jobs and expired sessions.
	Units uint32
	// RunningJobs and QueuedJobs count the team's jobs.
	RunningJobs, QueuedJobs uint32
}

// SessionReservation is the reservation of one session for a team.
type SessionReservation struct {
	Session     string
	Reservation *statepb.Reservation
}

// ReservationOf returns the reservation of a live session, or nil.
func (a *Allocation) ReservationOf(session string) *statepb.Reservation {
	for _, r := range a.Reserved {
		if r.Session == session {
			return r.Reservation
		}
	}
	return nil
}

// KeptBy returns the kept reservation of the named VM, or nil.
func (a *Allocation) KeptBy(memberName string) *statepb.KeptReservation {
	for _, k := range a.Kept {
		if k.MemberName == memberName {
			return k
		}
	}
	return nil
}

// Allocations returns the allocation of every team with a document, by team, all
// at one log index.
func (m *Machine) Allocations() map[string]*Allocation {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := make(map[string]*Allocation, len(m.documents))
	for team := range m.documents {
		all[team] = &Allocation{
			Units:       m.runningJobs[team],
			RunningJobs: m.runningJobs[team], QueuedJobs: m.queuedJobs[team],
		}
	}
	for _, kept := range m.keptList() {
		if h := all[kept.Team]; h != nil {
			h.Kept = append(h.Kept, kept)
			h.Units += kept.Units
		}
	}
	for _, session := range sorted(m.sessions) {
		for _, r := range session.Reservations {
			h := all[r.Team]
			if h == nil {
				continue
			}
			h.Units += r.Units
			if session.ExpiredUnixMs != 0 {
				h.Expired = append(h.Expired, SessionReservation{session.Id, r})
				continue
			}
			h.Reserved = append(h.Reserved, SessionReservation{session.Id, r})
		}
	}
	return all
}

// AllocationChanges returns a counter that increases with each change of what
// Allocations returns.
func (m *Machine) AllocationChanges() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.allocationChanges
}
