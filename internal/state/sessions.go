package state

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/state/statepb"
)

func (m *Machine) openSession(c *statepb.OpenSession) *statepb.Outcome {
	session := c.GetSession()
	if session.GetId() == "" || session.Member == "" {
		return m.invalid("session: id and member are required")
	}
	if known := m.sessions[session.Id]; known != nil {
		if known.ExpiredUnixMs != 0 {
			return m.refused("session %q has expired", session.Id)
		}
		return m.ok(known.Revision)
	}
	stored := &statepb.Session{
		Id: session.Id, Member: session.Member, Zone: session.Zone,
		OpenedUnixMs: m.nowMS, Revision: m.index, OpenedIndex: m.index, MemberName: session.MemberName,
	}
	m.sessions[session.Id] = stored
	m.allocationChanges++
	return m.ok(m.index)
}

// expireSession ends a session. Its reservations stay allocated until they are
// reclaimed: its work may still be running.
func (m *Machine) expireSession(c *statepb.ExpireSession) *statepb.Outcome {
	session := m.sessions[c.Session]
	if session == nil {
		return m.notFound("session", c.Session)
	}
	if session.ExpiredUnixMs != 0 {
		return m.ok(session.Revision)
	}
	next := proto.CloneOf(session)
	next.ExpiredUnixMs = m.nowMS
	next.Revision = m.index
	m.sessions[session.Id] = next
	m.allocationChanges++
	return m.ok(m.index)
}

// reclaimSession removes an expired session. It is proposed once the longest
// deadline has passed, so nothing that the session started can still run.
func (m *Machine) reclaimSession(c *statepb.ReclaimSession) *statepb.Outcome {
	session := m.sessions[c.Session]
	if session == nil {
		return m.notFound("session", c.Session)
	}
	if session.ExpiredUnixMs == 0 {
		return m.refused("session %q has not expired", session.Id)
	}
	if m.nowMS-session.ExpiredUnixMs < MaxRequestDeadlineMS && len(session.Reservations) > 0 {
		return m.refused("session %q: requests that it started may still run", session.Id)
	}
	m.removeSession(session)
	return m.ok(m.index)
}

// closeSession removes a session whose holder states that nothing runs under it.
// Another session must take over its running attempts first, since their tasks
// continue on the targets.
func (m *Machine) closeSession(c *statepb.CloseSession) *statepb.Outcome {
	session := m.sessions[c.Session]
	if session == nil {
		return m.ok(m.index)
	}
	if driven := len(m.drivenJobs[c.Session]); driven > 0 {
		return m.refused("session %q: drives %d running attempts", c.Session, driven)
	}
	m.removeSession(session)
	return m.ok(m.index)
}

// removeSession removes a session; its running claims get the state unknown.
func (m *Machine) removeSession(session *statepb.Session) {
	delete(m.sessions, session.Id)
	m.allocationChanges++
	for id, claim := range m.claims {
		if claim.Session == session.Id && claim.State == statepb.ClaimState_CLAIM_STATE_RUNNING {
			next := proto.CloneOf(claim)
			next.State = statepb.ClaimState_CLAIM_STATE_UNKNOWN
			m.claims[id] = next
		}
	}
}

// liveSession returns the session if it exists and has not expired, or nil.
func (m *Machine) liveSession(id string) *statepb.Session {
	session := m.sessions[id]
	if session == nil || session.ExpiredUnixMs != 0 {
		return nil
	}
	return session
}

func reservedUnits(session *statepb.Session, team string) uint32 {
	return reservation(session, team).GetUnits()
}

// reservation returns the reservation of a session for a team, or nil.
func reservation(session *statepb.Session, team string) *statepb.Reservation {
	for _, r := range session.GetReservations() {
		if r.Team == team {
			return r
		}
	}
	return nil
}

// isStale reports whether a change is based on a reservation that has changed since.
func isStale(held, change *statepb.Reservation) bool {
	return change.Revision != 0 && change.Revision != held.GetRevision()
}

func (m *Machine) keptUnits(team string) uint32 {
	units := uint32(0)
	for id, kept := range m.kept {
		if id.team == team {
			units += kept.Units
		}
	}
	return units
}

// allocatedUnits sums the units that may be in use for a team: reservations, kept
// reservations and running jobs.
func (m *Machine) allocatedUnits(team string) uint32 {
	units := m.keptUnits(team) + m.runningJobs[team]
	for _, session := range m.sessions {
		units += reservedUnits(session, team)
	}
	return units
}

// setReservations changes the reservations of a session. An increase must not take
// the allocated units of a team above its upper limit; a decrease is always allowed.
// Stale changes are skipped.
func (m *Machine) setReservations(c *statepb.SetReservations) *statepb.Outcome {
	longest := m.longestDeadlines()
	session := m.liveSession(c.Session)
	if session == nil {
		return m.notFound("live session", c.Session)
	}
	next := proto.CloneOf(session)
	for _, r := range c.Reservations {
		doc := m.documents[r.Team]
		held := reservation(next, r.Team)
		if isStale(held, r) {
			continue
		}
		if doc == nil && r.Units > held.GetUnits() {
			return m.notFound("document", r.Team)
		}
		if r.Units > held.GetUnits() {
			others := m.allocatedUnits(r.Team) - reservedUnits(session, r.Team)
			if sum := others + r.Units; sum > doc.UpperLimitUnits {
				return m.refused("team %q: %d units would be handed out, the upper limit is %d",
					r.Team, sum, doc.UpperLimitUnits)
			}
		}
		setReservation(next, r.Team, r.Units, m.index, max(longest[r.Team], held.GetLongestDeadlineMs()))
	}
	next.Revision = m.index
	m.sessions[session.Id] = next
	m.allocationChanges++
	return m.ok(m.index)
}

func setReservation(session *statepb.Session, team string, units uint32, index uint64, longestMS uint32) {
	kept := session.Reservations[:0]
	for _, other := range session.Reservations {
		if other.Team != team {
			kept = append(kept, other)
		}
	}
	if units > 0 {
		kept = append(kept, &statepb.Reservation{
			Team: team, Units: units, Revision: index, LongestDeadlineMs: longestMS,
		})
	}
	session.Reservations = kept
}

// setKeptReservations sets the units that VMs may use while cut off. Each change is
// checked together with those before it, and all are undone if one is refused.
func (m *Machine) setKeptReservations(c *statepb.SetKeptReservations) *statepb.Outcome {
	before := maps.Clone(m.kept)
	for _, k := range c.Kept {
		held := m.kept[keptID{k.MemberName, k.Team}]
		if k.Revision != 0 && k.Revision != held.GetRevision() {
			continue
		}
		if outcome := m.checkKept(held, k); outcome != nil {
			m.kept = before
			return outcome
		}
		m.putKept(k)
	}
	return m.ok(m.index)
}

// checkKept refuses a kept reservation that would take the team above its upper limit.
func (m *Machine) checkKept(held, k *statepb.KeptReservation) *statepb.Outcome {
	if k.Units <= held.GetUnits() {
		return nil
	}
	doc := m.documents[k.Team]
	if doc == nil {
		return m.notFound("document", k.Team)
	}
	if sum := m.allocatedUnits(k.Team) - held.GetUnits() + k.Units; sum > doc.UpperLimitUnits {
		return m.refused("team %q: %d units would be handed out, the upper limit is %d",
			k.Team, sum, doc.UpperLimitUnits)
	}
	return nil
}

func (m *Machine) putKept(k *statepb.KeptReservation) {
	id := keptID{k.MemberName, k.Team}
	m.allocationChanges++
	if k.Units == 0 {
		delete(m.kept, id)
		return
	}
	since := m.kept[id].GetSinceIndex()
	if since == 0 {
		since = m.index
	}
	m.kept[id] = &statepb.KeptReservation{
		MemberName: k.MemberName, Team: k.Team, Units: k.Units, Revision: m.index, SinceIndex: since,
	}
}
