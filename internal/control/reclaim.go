package control

import (
	"context"
	"fmt"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/target"
)

// reclaimReservations reclaims an expired session's reservations, team by team,
// as soon as the requests of the team are past their deadlines. A team with
// short deadlines gets the units of a lost entry VM back in seconds instead of
// minutes.
func (m *Manager) reclaimReservations(ctx context.Context, session *statepb.Session) error {
	expired := m.sessions.expiredFor(session)
	var teams []string
	for _, r := range session.Reservations {
		if expired >= time.Duration(r.LongestDeadlineMs)*time.Millisecond+target.LateRunMargin {
			teams = append(teams, r.Team)
		}
	}
	if len(teams) == 0 {
		return nil
	}
	err := m.propose(ctx, &statepb.Command{Body: &statepb.Command_ReclaimReservations{
		ReclaimReservations: &statepb.ReclaimReservations{Session: session.Id, Teams: teams},
	}})
	if err != nil {
		return fmt.Errorf("reclaim reservations of session %s: %w", session.Id, err)
	}
	event.ReservationsReclaimed.Emit(event.F("session", session.Id), event.F("teams", len(teams)))
	return nil
}
