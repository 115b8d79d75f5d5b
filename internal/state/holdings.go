package state

import "sapphirering/internal/state/statepb"

// Allocation is what of one team's upper limit is handed out.
type Allocation struct {
	// Reserved holds what live sessions hold, by session.
	Reserved []SessionReservation
	// Expired holds what expired sessions still hold, by session, until the
	// requests that may run under it are past their deadlines.
	Expired []SessionReservation
	// Kept holds the parts that VMs keep for a cut.
	Kept []*statepb.KeptReservation
	// Units sums all that may run anywhere, jobs and expired sessions included.
	Units uint32
	// RunningJobs and QueuedJobs count the team's jobs.
	RunningJobs, QueuedJobs uint32
}

// SessionReservation is what one live session holds of a team.
type SessionReservation struct {
	Session     string
	Reservation *statepb.Reservation
}

// ReservationOf returns what the session holds, or nil.
func (h *Allocation) ReservationOf(session string) *statepb.Reservation {
	for _, r := range h.Reserved {
		if r.Session == session {
			return r.Reservation
		}
	}
	return nil
}

// KeptBy returns the part that the named VM keeps, or nil.
func (h *Allocation) KeptBy(memberName string) *statepb.KeptReservation {
	for _, k := range h.Kept {
		if k.MemberName == memberName {
			return k
		}
	}
	return nil
}

// Allocations returns the holding of every team with a document, by team, all at
// one log index.
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

// AllocationChanges returns a number that rises with each change of what Allocations returns.
func (m *Machine) AllocationChanges() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.unitChanges
}
