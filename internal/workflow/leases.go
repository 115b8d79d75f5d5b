package workflow

import (
	"maps"
	"slices"

	pb "sapphirering/internal/workflow/workflowpb"
)

// Lease is what was committed about the leases of one incarnation of a target.
type Lease struct {
	BornUnixMS int64
	// Granting is set while any number of calls that grant whole leases may be in progress or without an
	// answer.
	Granting bool
	// Suspended is set while the target is silent and no call that grants a lease is sent.
	Suspended bool
	// SettledIndex is the log index up to which the start calls of placed runs can no longer take effect late.
	SettledIndex uint64
	// LapseMS is the time from the commit of the record, at Index, until every lease that was granted before
	// has certainly lapsed, in milliseconds.
	LapseMS int64
	Index   uint64
}

// Settles reports whether the start calls of a run, placed by the command with a log index, can no longer take
// effect late.
func (l Lease) Settles(placedIndex uint64) bool {
	return placedIndex > firstIndex && placedIndex <= l.SettledIndex
}

// Lease returns what was committed about the leases of a target's registered incarnation; false if
// nothing was.
func (v *View) Lease(target string) (Lease, bool) {
	lease, known := v.leases[target]
	registered := v.targets[target]
	if !known || registered == nil || registered.BornUnixMs != lease.BornUnixMS {
		return Lease{}, false
	}
	return lease, true
}

// LeaseEpoch returns the epoch of the last leader that kept lease records. If another one has led since, they
// no longer hold.
func (v *View) LeaseEpoch() uint64 { return v.leaseEpoch }

// recordLeases stores records of registered incarnations.
func (m *Machine) recordLeases(epoch uint64, records []*pb.LeaseRecord) {
	m.leaseEpoch = max(m.leaseEpoch, epoch)
	for _, r := range records {
		target := m.targets[r.Target]
		if target == nil || target.BornUnixMs != r.TargetBornUnixMs {
			continue
		}
		m.leases[r.Target] = leaseOf(r, m.index)
	}
}

func leaseOf(r *pb.LeaseRecord, index uint64) Lease {
	return Lease{
		BornUnixMS: r.GetTargetBornUnixMs(), Granting: r.GetGranting(), Suspended: r.GetSuspended(), SettledIndex: r.GetSettledIndex(),
		LapseMS: r.GetLapseMs(), Index: index,
	}
}

// noteRunRemoved records that a run has left a target. If its start may still take effect late, calls may
// grant leases of which the state would have no trace.
func (m *Machine) noteRunRemoved(target string, placedIndex uint64) {
	registered := m.targets[target]
	if registered == nil {
		return
	}
	lease := m.leases[target]
	if lease.BornUnixMS == registered.BornUnixMs && !lease.Settles(placedIndex) && !lease.Suspended {
		lease.Granting = true
		m.leases[target] = lease
	}
}

func (m *Machine) storeLeases() []*pb.StoredLease {
	var stored []*pb.StoredLease
	for _, id := range slices.Sorted(maps.Keys(m.leases)) {
		lease := m.leases[id]
		stored = append(stored, &pb.StoredLease{Index: lease.Index, Record: &pb.LeaseRecord{
			Target: id, TargetBornUnixMs: lease.BornUnixMS, Granting: lease.Granting, Suspended: lease.Suspended,
			SettledIndex: lease.SettledIndex, LapseMs: lease.LapseMS,
		}})
	}
	return stored
}
