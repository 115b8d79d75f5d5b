package control

import (
	"context"
	"fmt"

	"sapphirering/internal/state/statepb"
)

// splitReservations divides each team's upper limit over the live sessions by
// reported demand. A grant uses only what is free; where a session holds more
// than its part, it is asked to release first.
func (m *Manager) splitReservations(ctx context.Context) error {
	reports := m.sessions.reports(m.cfg.Machine.Sessions())
	wanted := make(map[string][]*statepb.Reservation)
	grants := make(map[string][]*statepb.Reservation)
	for _, doc := range m.cfg.Machine.Documents() {
		m.splitTeam(doc, reports, wanted, grants)
	}
	m.sessions.setWanted(wanted)
	for session, reservations := range grants {
		err := m.propose(ctx, &statepb.Command{Body: &statepb.Command_SetReservations{
			SetReservations: &statepb.SetReservations{Session: session, Reservations: reservations},
		}})
		if err != nil {
			return fmt.Errorf("grant to session %s: %w", session, err)
		}
	}
	return nil
}

func (m *Manager) splitTeam(doc *statepb.TeamDocument, reports []report, wanted, grants map[string][]*statepb.Reservation) {
	if len(reports) == 0 {
		return
	}
	parts := splitByDemand(doc.UpperLimitUnits-min(doc.UpperLimitUnits, m.jobUnits(doc.Team)), demands(doc.Team, reports))
	free := doc.UpperLimitUnits - min(doc.UpperLimitUnits, m.cfg.Machine.HandedOut(doc.Team))
	for i, r := range reports {
		held := m.cfg.Machine.Reserved(r.session, doc.Team)
		switch {
		case held > parts[i]:
			wanted[r.session] = append(wanted[r.session], &statepb.Reservation{Team: doc.Team, Units: parts[i]})
		case held < parts[i] && free > 0:
			add := min(free, parts[i]-held)
			free -= add
			grants[r.session] = append(grants[r.session], &statepb.Reservation{Team: doc.Team, Units: held + add})
		}
	}
}

// jobUnits is what the team's running and queued jobs ask of the limit, at
// most half of it while requests compete.
func (m *Manager) jobUnits(team string) uint32 {
	units := m.cfg.Machine.RunningJobs(team)
	for _, job := range m.cfg.Machine.OpenJobs() {
		if job.Team == team && job.State == statepb.JobState_JOB_STATE_QUEUED {
			units++
		}
	}
	return min(units, max(1, m.cfg.Machine.Document(team).GetUpperLimitUnits()/2))
}

func demands(team string, reports []report) []uint32 {
	out := make([]uint32, len(reports))
	for i, r := range reports {
		for _, d := range r.demands {
			if d.Team == team {
				out[i] = d.RunningUnits + d.WaitingUnits
			}
		}
	}
	return out
}

// splitByDemand divides units in proportion to demand, the rest evenly. The
// parts never sum to more than units.
func splitByDemand(units uint32, demands []uint32) []uint32 {
	parts := make([]uint32, len(demands))
	total := uint64(0)
	for _, d := range demands {
		total += uint64(d)
	}
	left := units
	for i, d := range demands {
		if total > 0 {
			parts[i] = min(d, uint32(uint64(units)*uint64(d)/total))
			left -= parts[i]
		}
	}
	for left > 0 && len(parts) > 0 {
		share := max(1, left/uint32(len(parts)))
		for i := range parts {
			add := min(share, left)
			parts[i] += add
			left -= add
		}
	}
	return parts
}
