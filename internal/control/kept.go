package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
)

// keptFraction is the part of a team's upper limit that all kept parts together may take.
const keptFraction = 4

// keptKeeper decides the kept parts and remembers which VMs are gone.
type keptKeeper struct {
	now func() time.Time
	// gone holds since when a VM with kept parts has been no member and had no session.
	gone map[string]time.Time
	// lower holds kept parts that VMs are to come down to, by VM name.
	lower map[string][]*statepb.Reservation
}

func newKeptKeeper(now func() time.Time) *keptKeeper {
	k := &keptKeeper{now: now}
	k.reset()
	return k
}

func (k *keptKeeper) reset() {
	k.gone = make(map[string]time.Time)
	k.lower = nil
}

// wantedByReport returns the kept parts to lower, by session.
func (k *keptKeeper) wantedByReport(reports []report) map[string][]*statepb.Reservation {
	wanted := make(map[string][]*statepb.Reservation)
	for _, r := range reports {
		if lower := k.lower[r.name]; len(lower) > 0 {
			wanted[r.session] = lower
		}
	}
	return wanted
}

// keepParts hands each entry VM a small kept part of teams with open queues, so
// that a cut availability zone goes on serving them. Parts are lowered by the
// VM itself; those of a VM that was removed for good come back once it has
// been gone for as long as its last work can run.
func (m *Manager) keepParts(ctx context.Context) error {
	if !m.keptGate.due(m.sessions.demandChanges(), m.cfg.Machine.AllocationChanges(), m.cfg.Now()) {
		return nil
	}
	reports := m.sessions.reports(m.cfg.Machine.Sessions())
	names := liveNames(reports)
	m.kept.lower = make(map[string][]*statepb.Reservation)
	var raise []*statepb.KeptReservation
	holdings := m.cfg.Machine.Allocations()
	for _, doc := range m.cfg.Machine.Documents() {
		part, holding := keptPart(doc, len(names)), holdings[doc.Team]
		if holding != nil && (part > 0 || len(holding.Kept) > 0) {
			raise = append(raise, m.keepTeam(doc, holding, part, names)...)
		}
	}
	for _, k := range m.cfg.Machine.KeptReservations() {
		if m.cfg.Machine.Document(k.Team) == nil {
			m.kept.lower[k.MemberName] = append(m.kept.lower[k.MemberName], &statepb.Reservation{Team: k.Team})
		}
	}
	raise = append(raise, m.returnGone(names)...)
	if len(raise) == 0 {
		return nil
	}
	err := m.propose(ctx, &statepb.Command{Body: &statepb.Command_SetKeptReservations{
		SetKeptReservations: &statepb.SetKeptReservations{Kept: raise},
	}})
	if err != nil {
		return fmt.Errorf("set kept parts: %w", err)
	}
	return nil
}

func liveNames(reports []report) []string {
	var names []string
	for _, r := range reports {
		if r.name != "" && !r.leaving {
			names = append(names, r.name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// keptPart is the kept part of each VM: an even split of a fraction of the limit.
func keptPart(doc *statepb.TeamDocument, vms int) uint32 {
	open := slices.ContainsFunc(doc.Queues, func(q *statepb.Queue) bool { return q.Open })
	if !open || vms == 0 {
		return 0
	}
	return doc.UpperLimitUnits / keptFraction / uint32(vms)
}

// keepTeam returns the raises of one team and notes what is to be lowered. The
// part changes with the number of live VMs, so a raise waits until all kept
// parts together leave room for it.
func (m *Manager) keepTeam(doc *statepb.TeamDocument, holding *state.Allocation, part uint32, names []string) []*statepb.KeptReservation {
	room := doc.UpperLimitUnits / keptFraction
	free := doc.UpperLimitUnits - min(doc.UpperLimitUnits, holding.Units)
	for _, k := range holding.Kept {
		room -= min(room, k.Units)
	}
	var raise []*statepb.KeptReservation
	for _, name := range names {
		held := holding.KeptBy(name)
		switch {
		case held.GetUnits() > part:
			m.kept.lower[name] = append(m.kept.lower[name], &statepb.Reservation{Team: doc.Team, Units: part})
		case held.GetUnits() < part:
			add := min(part-held.GetUnits(), free, room)
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

// returnGone takes back the kept parts of VMs that operators removed from the
// cluster, after their last work is surely over by this leader's own clock.
func (m *Manager) returnGone(live []string) []*statepb.KeptReservation {
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
	var back []*statepb.KeptReservation
	for _, k := range m.cfg.Machine.KeptReservations() {
		if slices.Contains(known, k.MemberName) {
			delete(m.kept.gone, k.MemberName)
			continue
		}
		since, seen := m.kept.gone[k.MemberName]
		if !seen {
			since = m.kept.now()
			m.kept.gone[k.MemberName] = since
		}
		if m.kept.now().Sub(since) >= reclaimAfter {
			back = append(back, &statepb.KeptReservation{MemberName: k.MemberName, Team: k.Team, Revision: k.Revision})
		}
	}
	return back
}
