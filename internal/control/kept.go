package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
)

// keptDivisor limits all kept reservations of a team together to the upper
// limit divided by it.
const keptDivisor = 4

// keptState holds the kept reservations to lower and which VMs have left the
// cluster.
type keptState struct {
	now func() time.Time
	// removedSince holds since when a VM with kept reservations has been no
	// member and had no session.
	removedSince map[string]time.Time
	// toLower holds the kept reservations that VMs are asked to release down
	// to, by VM name.
	toLower map[string][]*statepb.Reservation
}

func newKeptState(now func() time.Time) *keptState {
	k := &keptState{now: now}
	k.reset()
	return k
}

func (k *keptState) reset() {
	k.removedSince = make(map[string]time.Time)
	k.toLower = nil
}

// wantedBySession returns the kept reservations to lower, by session.
func (k *keptState) wantedBySession(reports []report) map[string][]*statepb.Reservation {
	wanted := make(map[string][]*statepb.Reservation)
	for _, r := range reports {
		if lower := k.toLower[r.name]; len(lower) > 0 {
			wanted[r.session] = lower
		}
	}
	return wanted
}

// setKeptReservations gives each entry VM a small kept reservation of every
// team with open queues, so that an availability zone that is cut off from the
// leader goes on serving them. The VM itself lowers its kept reservations.
// Those of a VM that was removed for good are reclaimed once it has been absent
// for as long as its last work can run.
func (m *Manager) setKeptReservations(ctx context.Context) error {
	if !m.keptChanges.due(m.sessions.demandChanges(), m.cfg.Machine.AllocationChanges(), m.cfg.Now()) {
		return nil
	}
	reports := m.sessions.reports(m.cfg.Machine.Sessions())
	names := liveMemberNames(reports)
	m.kept.toLower = make(map[string][]*statepb.Reservation)
	var changes []*statepb.KeptReservation
	allocations := m.cfg.Machine.Allocations()
	for _, doc := range m.cfg.Machine.Documents() {
		perVM, allocation := keptUnitsPerVM(doc, len(names)), allocations[doc.Team]
		if allocation != nil && (perVM > 0 || len(allocation.Kept) > 0) {
			changes = append(changes, m.planTeamKept(doc, allocation, perVM, names)...)
		}
	}
	for _, k := range m.cfg.Machine.KeptReservations() {
		if m.cfg.Machine.Document(k.Team) == nil {
			m.kept.toLower[k.MemberName] = append(m.kept.toLower[k.MemberName], &statepb.Reservation{Team: k.Team})
		}
	}
	changes = append(changes, m.reclaimRemoved(names)...)
	if len(changes) == 0 {
		return nil
	}
	err := m.propose(ctx, &statepb.Command{Body: &statepb.Command_SetKeptReservations{
		SetKeptReservations: &statepb.SetKeptReservations{Kept: changes},
	}})
	if err != nil {
		return fmt.Errorf("set kept reservations: %w", err)
	}
	return nil
}

// liveMemberNames returns the names of the entry VMs that have a live session
// and are not leaving, sorted.
func liveMemberNames(reports []report) []string {
	var names []string
	for _, r := range reports {
		if r.name != "" && !r.leaving {
			names = append(names, r.name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// keptUnitsPerVM is the kept reservation of each VM: an even split of the
// team's upper limit divided by keptDivisor.
func keptUnitsPerVM(doc *statepb.TeamDocument, vms int) uint32 {
	open := slices.ContainsFunc(doc.Queues, func(q *statepb.Queue) bool { return q.Open })
	if !open || vms == 0 {
		return 0
	}
	return doc.UpperLimitUnits / keptDivisor / uint32(vms)
}

// planTeamKept returns the kept reservations of one team to raise and notes
// those to lower. The units per VM change with the number of live VMs, so a
// raise waits until the limit for all kept reservations together leaves room
// for it.
func (m *Manager) planTeamKept(doc *statepb.TeamDocument, allocation *state.Allocation, perVM uint32, names []string) []*statepb.KeptReservation {
	room := doc.UpperLimitUnits / keptDivisor
	free := doc.UpperLimitUnits - min(doc.UpperLimitUnits, allocation.Units)
	for _, k := range allocation.Kept {
		room -= min(room, k.Units)
	}
	var raise []*statepb.KeptReservation
	for _, name := range names {
		held := allocation.KeptBy(name)
		switch {
		case held.GetUnits() > perVM:
			m.kept.toLower[name] = append(m.kept.toLower[name], &statepb.Reservation{Team: doc.Team, Units: perVM})
		case held.GetUnits() < perVM:
			add := min(perVM-held.GetUnits(), free, room)
			if add == 0 {
				continue
			}
			free, room = free-add, room-add
			raise = append(raise, &statepb.KeptReservation{
				MemberName: name, Team: doc.Team, Units: held.GetUnits() + add, Revision: held.GetRevision(),
			})
		}
	}
	return raise
}

// reclaimRemoved reclaims the kept reservations of VMs that operators removed
// from the cluster, once their last work has certainly ended by this leader's
// own clock.
func (m *Manager) reclaimRemoved(live []string) []*statepb.KeptReservation {
	if m.cfg.Members == nil {
		return nil
	}
	known := slices.Clone(live)
	for _, member := range m.cfg.Members() {
		known = append(known, member.Name)
	}
	for _, session := range m.cfg.Machine.Sessions() {
		known = append(known, session.MemberName)
	}
	var reclaimed []*statepb.KeptReservation
	for _, k := range m.cfg.Machine.KeptReservations() {
		if slices.Contains(known, k.MemberName) {
			delete(m.kept.removedSince, k.MemberName)
			continue
		}
		since, seen := m.kept.removedSince[k.MemberName]
		if !seen {
			since = m.kept.now()
			m.kept.removedSince[k.MemberName] = since
		}
		if m.kept.now().Sub(since) >= reclaimAfter {
			reclaimed = append(reclaimed, &statepb.KeptReservation{MemberName: k.MemberName, Team: k.Team, Revision: k.Revision})
		}
	}
	return reclaimed
}
