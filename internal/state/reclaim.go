package state

import (
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/state/statepb"
)

// longestDeadlines returns, per team, the longest deadline of any queue that
// accepts its work, in milliseconds.
func (m *Machine) longestDeadlines() map[string]uint32 {
	longest := make(map[string]uint32)
	for _, ref := range m.queues {
		deadline := ref.queue.MaxDeadlineMs
		longest[ref.team] = max(longest[ref.team], deadline)
		for _, team := range ref.queue.AdmittedTeams {
			longest[team] = max(longest[team], deadline)
		}
	}
	return longest
}

// raiseDeadlines applies longer deadlines of a changed document to the
// reservations of live sessions: requests started from now on may run longer.
// Expired sessions start no requests, so their reservations keep their deadline.
func (m *Machine) raiseDeadlines() {
	longest := m.longestDeadlines()
	for id, session := range m.sessions {
		if session.ExpiredUnixMs != 0 || !deadlineRises(session, longest) {
			continue
		}
		next := proto.CloneOf(session)
		for _, r := range next.Reservations {
			r.LongestDeadlineMs = max(r.LongestDeadlineMs, longest[r.Team])
		}
		m.sessions[id] = next
	}
}

func deadlineRises(session *statepb.Session, longest map[string]uint32) bool {
	for _, r := range session.Reservations {
		if longest[r.Team] > r.LongestDeadlineMs {
			return true
		}
	}
	return false
}

// reclaimReservations releases units of an expired session once every request
// that may run under them is past its deadline. The session and its other
// reservations stay until reclaimSession removes them.
func (m *Machine) reclaimReservations(c *statepb.ReclaimReservations) *statepb.Outcome {
	session := m.sessions[c.Session]
	if session == nil {
		return m.notFound("session", c.Session)
	}
	if session.ExpiredUnixMs == 0 {
		return m.refused("session %q has not expired", session.Id)
	}
	next := proto.CloneOf(session)
	for _, team := range c.Teams {
		held := reservation(next, team)
		if m.nowMS-session.ExpiredUnixMs < int64(held.GetLongestDeadlineMs()) {
			return m.refused("session %q: requests of team %q may still run", session.Id, team)
		}
		setReservation(next, team, 0, m.index, 0)
	}
	next.Revision = m.index
	m.sessions[session.Id] = next
	return m.ok(m.index)
}
