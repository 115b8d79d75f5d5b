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
	m.unitChanges++
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
	m.unitChanges++
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
	m.forgetSession(session)
	return m.ok(m.index)
}

// closeSession forgets a session whose holder asserts that nothing runs under
// it. Running attempts must be handed to another session first, since their
// tasks go on at the targets.
func (m *Machine) closeSession(c *statepb.CloseSession) *statepb.Outcome {
	session := m.sessions[c.Session]
	if session == nil {
		return m.ok(m.index)
	}
	if driven := len(m.driven[c.Session]); driven > 0 {
		return m.refused("session %q: drives %d running attempts", c.Session, driven)
	}
	m.forgetSession(session)
	return m.ok(m.index)
}

// forgetSession drops a session; claims that it left open have an unknown outcome.
func (m *Machine) forgetSession(session *statepb.Session) {
	delete(m.sessions, session.Id)
	m.unitChanges++
	for id, claim := range m.claims {
		if claim.Session == session.Id && claim.State == statepb.ClaimState_CLAIM_STATE_RUNNING {
			next := proto.CloneOf(claim)
			next.State = statepb.ClaimState_CLAIM_STATE_UNKNOWN
			m.claims[id] = next
		}
	}
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
	return reservation(session, team).GetUnits()
}

// reservation returns what a session holds of a team, or nil.
func reservation(session *statepb.Session, team string) *statepb.Reservation {
	for _, r := range session.GetReservations() {
		if r.Team == team {
			return r
		}
	}
	return nil
}

// superseded reports whether a change is based on units that have changed since.
func superseded(held, change *statepb.Reservation) bool {
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

// handedOut sums what may run for a team: reservations, kept parts and running jobs.
func (m *Machine) handedOut(team string) uint32 {
	units := m.keptUnits(team) + m.runningJobs[team]
	for _, session := range m.sessions {
		units += reserved(session, team)
	}
	return units
}

// setReservations changes what a session holds. The sum handed out never
// rises above the upper limit; coming down is always allowed. Changes based on
// superseded units are skipped.
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
		if superseded(held, r) {
			continue
		}
		if doc == nil && r.Units > held.GetUnits() {
			return m.notFound("document", r.Team)
		}
		if r.Units > held.GetUnits() {
			others := m.handedOut(r.Team) - reserved(session, r.Team)
			if sum := others + r.Units; sum > doc.UpperLimitUnits {
				return m.refused("team %q: %d units would be handed out, the upper limit is %d",
					r.Team, sum, doc.UpperLimitUnits)
			}
		}
		setReservation(next, r.Team, r.Units, m.index, max(longest[r.Team], held.GetLongestDeadlineMs()))
	}
	next.Revision = m.index
	m.sessions[session.Id] = next
	m.unitChanges++
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

// setKeptReservations sets parts that VMs may use while cut off. Each one is
// checked with those before it, and all are undone when one is refused.
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

// checkKept refuses a kept part that would take the team past its upper limit.
func (m *Machine) checkKept(held, k *statepb.KeptReservation) *statepb.Outcome {
	if k.Units <= held.GetUnits() {
		return nil
	}
	doc := m.documents[k.Team]
	if doc == nil {
		return m.notFound("document", k.Team)
	}
	if sum := m.handedOut(k.Team) - held.GetUnits() + k.Units; sum > doc.UpperLimitUnits {
		return m.refused("team %q: %d units would be handed out, the upper limit is %d",
			k.Team, sum, doc.UpperLimitUnits)
	}
	return nil
}

func (m *Machine) putKept(k *statepb.KeptReservation) {
	id := keptID{k.MemberName, k.Team}
	m.unitChanges++
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
