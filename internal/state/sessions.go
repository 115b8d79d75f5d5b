package state

import (
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
		OpenedUnixMs: m.nowMS, Revision: m.index,
	}
	m.sessions[session.Id] = stored
	return m.ok(m.index)
}

// expireSession ends a session. What it held stays handed out until the
// session is reclaimed: its work may still be running.
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
	return m.ok(m.index)
}

// reclaimSession forgets an expired session. It is proposed once the longest
// deadline has passed, so nothing that it started can still run.
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
	delete(m.sessions, session.Id)
	for id, claim := range m.claims {
		if claim.Session == session.Id && claim.State == statepb.ClaimState_CLAIM_STATE_RUNNING {
			next := proto.CloneOf(claim)
			next.State = statepb.ClaimState_CLAIM_STATE_UNKNOWN
			m.claims[id] = next
		}
	}
	return m.ok(m.index)
}

// liveSession returns the session when it has not expired.
func (m *Machine) liveSession(id string) *statepb.Session {
	session := m.sessions[id]
	if session == nil || session.ExpiredUnixMs != 0 {
		return nil
	}
	return session
}

func reserved(session *statepb.Session, team string) uint32 {
	for _, r := range session.GetReservations() {
		if r.Team == team {
			return r.Units
		}
	}
	return 0
}

func (m *Machine) keptUnits(team string) uint32 {
	units := uint32(0)
	for id, kept := range m.kept {
		if id.team == team {
			units += kept
		}
	}
	return units
}

// handedOut sums what may run for a team: reservations, kept parts and running jobs.
func (m *Machine) handedOut(team string) uint32 {
	units := m.keptUnits(team) + m.runningJobs[team]
	for _, session := range m.sessions {
		units += reserved(session, team)
	}
	return units
}

// setReservations replaces what a session holds. The sum handed out never
// rises above the upper limit; coming down is always allowed.
func (m *Machine) setReservations(c *statepb.SetReservations) *statepb.Outcome {
	session := m.liveSession(c.Session)
	if session == nil {
		return m.notFound("live session", c.Session)
	}
	for _, r := range c.Reservations {
		doc := m.documents[r.Team]
		if doc == nil {
			return m.notFound("document", r.Team)
		}
		held := reserved(session, r.Team)
		if r.Units <= held {
			continue
		}
		if sum := m.handedOut(r.Team) - held + r.Units; sum > doc.UpperLimitUnits {
			return m.refused("team %q: %d units would be handed out, the upper limit is %d",
				r.Team, sum, doc.UpperLimitUnits)
		}
	}
	next := proto.CloneOf(session)
	for _, r := range c.Reservations {
		setReservation(next, r)
	}
	next.Revision = m.index
	m.sessions[session.Id] = next
	return m.ok(m.index)
}

func setReservation(session *statepb.Session, r *statepb.Reservation) {
	kept := session.Reservations[:0]
	for _, other := range session.Reservations {
		if other.Team != r.Team {
			kept = append(kept, other)
		}
	}
	if r.Units > 0 {
		kept = append(kept, proto.CloneOf(r))
	}
	session.Reservations = kept
}

// setKeptReservations sets parts that VMs may use while cut off.
func (m *Machine) setKeptReservations(c *statepb.SetKeptReservations) *statepb.Outcome {
	for _, k := range c.Kept {
		doc := m.documents[k.Team]
		if doc == nil {
			return m.notFound("document", k.Team)
		}
		held := m.kept[keptID{k.MemberName, k.Team}]
		if k.Units <= held {
			continue
		}
		if sum := m.handedOut(k.Team) - held + k.Units; sum > doc.UpperLimitUnits {
			return m.refused("team %q: %d units would be handed out, the upper limit is %d",
				k.Team, sum, doc.UpperLimitUnits)
		}
	}
	for _, k := range c.Kept {
		id := keptID{k.MemberName, k.Team}
		m.kept[id] = k.Units
		if k.Units == 0 {
			delete(m.kept, id)
		}
	}
	return m.ok(m.index)
}
