package driver

import (
	"hash/fnv"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/leases"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// A leader may be lost at any moment, and the next one cannot ask which calls were in progress. So
// the committed state says at any time which calls that grant leases may have no answer:
// whole leases are granted only while the target's record is granting, and other leases only by the
// starts of runs that no record has settled yet. Renewals come together, so that records are few and granting
// for a short time.
const (
	// renewalCycles is how often within a lease the targets are renewed, and renewalWindow the part of
	// such a cycle in which they are.
	renewalCycles, renewalWindow = 4, 5
	// targetsPerRenewal is the number of targets that are renewed together.
	targetsPerRenewal = 64
	// grantWait is how long a call that needs a record waits for it.
	grantWait = 100 * time.Millisecond
	// startQueueTime is how long a start may wait to be sent after it was planned.
	startQueueTime = 500 * time.Millisecond
)

// phaseOf spreads targets over the groups that are renewed together.
func phaseOf(target string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(target)) // never fails
	return h.Sum32()
}

// renewalCycle is the time from one common renewal of a target to the next.
func (d *Driver) renewalCycle() time.Duration { return d.cfg.Limits.LeaseTTL / renewalCycles }

// lastRenewalTime returns when the last common renewal of the target's group began.
func (d *Driver) lastRenewalTime(l *link, now time.Time) time.Time {
	cycle := d.renewalCycle()
	if cycle <= 0 {
		return now
	}
	groups := time.Duration(1 + len(d.links)/targetsPerRenewal)
	phase := cycle / groups * (time.Duration(l.phase) % groups)
	return now.Add(-((now.Sub(d.startedAt) + cycle - phase) % cycle))
}

// wantGrant asks for a record that allows whole leases.
func (d *Driver) wantGrant(l *link) {
	now := d.cfg.Now()
	if now.Sub(l.wantsGrantAt) >= grantWait {
		l.wantsGrantAt = now
	}
	d.leaseChanged(l)
	d.wakeLoop()
}

// leaseChanged makes the next command carry the target's record if that has changed.
func (d *Driver) leaseChanged(l *link) { d.leasesChanged[l] = struct{}{} }

// grantInUse reports whether whole leases are being granted, or are about to be.
func (d *Driver) grantInUse(l *link) bool {
	if l.grantOpen && d.cfg.Now().Sub(d.slowCommitAt) < d.cfg.Limits.LeaseTTL {
		// A record that is closed now could be opened again too late for the lease.
		return true
	}
	if d.cfg.Now().Sub(l.wantsGrantAt) < grantWait+time.Duration(d.commitTook.Load()) || l.unanswered == 0 && len(l.queuedStarts) > 0 && d.startNeedsGrant(l.queuedStarts[0], l) {
		return true
	}
	for c := range l.grants {
		if c.lease >= d.cfg.Limits.LeaseTTL && !c.late {
			return true
		}
	}
	return false
}

// startNeedsGrant reports whether the start of a run may only be sent while the target's record is
// granting.
func (d *Driver) startNeedsGrant(r *run, l *link) bool {
	return r.startCalls >= leases.MaxUnrecordedStarts || d.leaseForStart(r, l) > startLease
}

// mayStart reports whether the start of a run may be sent, and asks for the record that it needs unless
// the target may be silent.
func (d *Driver) mayStart(r *run, l *link) bool {
	if l.suspended {
		return false
	}
	if l.grantOpen || !d.startNeedsGrant(r, l) {
		return true
	}
	if l.unanswered == 0 {
		d.wantGrant(l)
	}
	return false
}

// startSettled reports whether no start call for a run can take effect late any more.
func (d *Driver) startSettled(r *run, l *link) bool {
	if r.born != l.target.BornUnixMs || r.phase == runCalling || r.phase == runUnanswered || r.startsInProgress > 0 {
		return false
	}
	if r.adopted && r.startSentAt.IsZero() {
		// The target refuses calls of a former leader once it has answered this one.
		return l.everListed
	}
	// Until it is listed, a start may have been answered by the next incarnation.
	return r.listed && !r.unanswered || d.cfg.Now().Sub(r.startSentAt) > d.lateBound()
}

// settledIndex returns the log index up to which the starts of the runs on a target are settled.
func (d *Driver) settledIndex(v *workflow.View, l *link) uint64 {
	settled := v.Index()
	for id, task := range v.PlacedOn(l.target.Id) {
		placed := task.PlacedIndexOn(l.target.Id)
		r := d.runs.find(id, task.AttemptOn(l.target.Id))
		if r == nil || !d.startSettled(r, l) {
			settled = min(settled, placed-1)
		}
	}
	return settled
}

// settles reports whether an index settles a run that the committed record does not.
func settles(v *workflow.View, target string, former, index uint64) bool {
	for _, task := range v.PlacedOn(target) {
		if placed := task.PlacedIndexOn(target); placed > former && placed <= index {
			return true
		}
	}
	return false
}

// leaseRecords returns the records that the next command carries, or none if nothing urgent has
// changed and there is no other reason for a command. Restrictions take effect here, permissions
// once the command is committed.
func (d *Driver) leaseRecords(starts []*pb.Start, due bool) []*pb.LeaseRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	scan := d.leaseScanDue
	if !due && !scan && len(d.leasesChanged) == 0 {
		return nil
	}
	whole := d.targetsOfWholeLeases(starts)
	candidates := d.leasesChanged
	if scan {
		candidates = make(map[*link]struct{}, len(d.links))
		for _, l := range d.links {
			candidates[l] = struct{}{}
		}
	}
	for l := range whole {
		candidates[l] = struct{}{}
	}
	var records []*pb.LeaseRecord
	urgent, inUse := due || scan, false
	closes := false
	d.cfg.Machine.View(func(v *workflow.View) {
		for l := range candidates {
			record, now := d.leaseRecord(v, l, whole[l])
			inUse = inUse || d.grantInUse(l)
			if record == nil {
				continue
			}
			records = append(records, record)
			urgent = urgent || now
			closes = closes || l.grantOpen && !record.Granting
		}
	})
	if !urgent && !(closes && !inUse) {
		return nil
	}
	d.leaseScanDue = false
	clear(d.leasesChanged)
	for _, record := range records {
		l := d.links[record.Target]
		l.grantOpen = l.grantOpen && record.Granting
		l.suspended = l.suspended || record.Suspended
	}
	return records
}

// targetsOfWholeLeases returns the targets of which the next starts may need whole leases.
func (d *Driver) targetsOfWholeLeases(starts []*pb.Start) map[*link]bool {
	whole := make(map[*link]bool)
	for _, start := range starts {
		l := d.links[start.Target]
		if l != nil && l.target.BornUnixMs == start.TargetBornUnixMs && !l.grantOpen && d.leaseLeft(l) < startLeaseLeft+startQueueTime {
			whole[l] = true
		}
	}
	return whole
}

// leaseRecord returns a target's record if the committed one is to change, and whether that is
// urgent.
func (d *Driver) leaseRecord(v *workflow.View, l *link, whole bool) (record *pb.LeaseRecord, urgent bool) {
	id := l.target.Id
	registered := v.Target(id)
	if d.links[id] != l || registered == nil || registered.BornUnixMs != l.target.BornUnixMs {
		return nil, false
	}
	lease, recorded := v.Lease(id)
	silent, needed := l.failures > 0, whole || d.grantInUse(l)
	record = &pb.LeaseRecord{Target: id, TargetBornUnixMs: l.target.BornUnixMs, SettledIndex: max(d.settledIndex(v, l), lease.SettledIndex)}
	switch {
	case silent && (lease.Suspended || len(v.PlacedOn(id)) == 0):
		return nil, false
	case silent:
		record.Suspended = true
	case (lease.Suspended || l.suspended) && !l.everListed:
		return nil, false
	default:
		record.Granting = needed
	}
	record.LapseMs = d.lapseMS(l)
	switch {
	case record.Suspended, lease.Suspended, l.suspended, needed && !l.grantOpen:
		return record, true
	case lease.Granting && !needed:
		return record, false
	case !recorded && len(v.PlacedOn(id)) > 0, settles(v, id, lease.SettledIndex, record.SettledIndex):
		return record, false
	}
	return nil, false
}

// lapseMS returns the time until the leases of a target have certainly lapsed, in milliseconds.
func (d *Driver) lapseMS(l *link) int64 {
	return max(d.lapseOf(l).at.Sub(d.cfg.Now()).Milliseconds()+1, 0)
}

// confirmLeases gives the permissions of committed records.
func (d *Driver) confirmLeases(records []*pb.LeaseRecord) {
	if len(records) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, record := range records {
		l := d.links[record.Target]
		if l == nil || l.target.BornUnixMs != record.TargetBornUnixMs {
			continue
		}
		l.grantOpen, l.suspended = record.Granting, record.Suspended
		if record.Suspended {
			event.LeaseSuspended.Emit(event.F("target", record.Target), event.F("born", record.TargetBornUnixMs), event.F("lapse_ms", record.LapseMs))
			continue
		}
		if !l.wantsGrantAt.IsZero() {
			l.requestListing()
		}
		d.sendQueued(l)
	}
}

// keepLeases makes the next command carry records again whose commit has an unknown outcome.
func (d *Driver) keepLeases(records []*pb.LeaseRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, record := range records {
		if l := d.links[record.Target]; l != nil {
			d.leaseChanged(l)
		}
	}
}

// adoptLeases takes over what former leaders committed about a target's leases, and returns when those of
// its runs whose starts may have no answer have lapsed.
func (d *Driver) adoptLeases(v *workflow.View, l *link) (lease workflow.Lease, unsettledLapse time.Time) {
	lease, recorded := v.Lease(l.target.Id)
	if d.forgetLeases {
		lease, recorded = workflow.Lease{}, false
	}
	in := leases.Inherited{
		Recorded: recorded, Granting: lease.Granting, Suspended: lease.Suspended,
		RecordedAt: d.appliedAt(lease.Index), Left: time.Duration(lease.LapseMS) * time.Millisecond,
	}
	for _, task := range v.PlacedOn(l.target.Id) {
		if !lease.Settles(task.PlacedIndexOn(l.target.Id)) {
			in.Unsettled++
		}
	}
	lapse := leases.Of(in, d.startedAt, leases.Bounds{Lease: d.leaseBound(), ShortLease: lengthOf(startLease), LateCall: d.lateBound()})
	l.suspended = lease.Suspended
	l.formerLapseAt = lapse.At
	l.lapseAt = d.startedAt.Add(d.leaseBound())
	if recorded && !lease.Granting {
		l.lapseAt = in.RecordedAt.Add(in.Left)
	}
	return lease, lapse.UnsettledAt
}

// keepsRecords reports whether it is committed that this leader keeps lease records.
func (d *Driver) keepsRecords() bool {
	keeps := false
	d.cfg.Machine.View(func(v *workflow.View) { keeps = v.LeaseEpoch() == d.cfg.Epoch })
	return keeps
}

// appliedAt returns when this daemon had applied the command with a log index: before its
// leadership began, whose start is taken if it is not known.
func (d *Driver) appliedAt(index uint64) time.Time {
	if d.cfg.AppliedAt != nil {
		if at, known := d.cfg.AppliedAt(index); known && at.Before(d.startedAt) {
			return at
		}
	}
	return d.startedAt
}
