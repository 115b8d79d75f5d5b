package driver

import (
	"context"
	"errors"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// ErrNoLease is returned when another leader may act now.
var ErrNoLease = errors.New("the leader's lease is not held")

// Announce handles the announcement of a target. That a target is leaving is committed
// before the answer, so that no later leader starts anything there either.
func (d *Driver) Announce(ctx context.Context, r *pb.Request) *pb.Response {
	target := r.Target
	d.mu.Lock()
	commit := d.handleAnnouncement(r)
	former := d.formerWithLaterStart(target)
	collect := d.share().Short()
	d.mu.Unlock()
	if commit && former != nil {
		// Refused while runs are placed there; the next announcement tries again.
		_, err := d.commitWithContext(ctx, &pb.Command{Body: &pb.Command_RemoveTargets{RemoveTargets: &pb.RemoveTargets{Targets: []*pb.Target{former}}}})
		if err != nil {
			return notReady("remove former target: " + err.Error())
		}
	}
	if commit {
		_, err := d.commitWithContext(ctx, &pb.Command{Body: &pb.Command_PutTargets{PutTargets: &pb.PutTargets{Targets: []*pb.Target{target}}}})
		if err != nil {
			return notReady("register target: " + err.Error())
		}
		d.requestRound()
	}
	return &pb.Response{Answer: pb.Answer_ANSWER_OK, CollectRepeats: collect}
}

// handleAnnouncement updates the link of the target and reports whether the
// committed target must change.
func (d *Driver) handleAnnouncement(r *pb.Request) bool {
	target := r.Target
	if ended := d.endedIncarnations[incarnation{target.Id, target.BornUnixMs}]; ended != nil {
		d.noteEndedSeen(ended, target, r.Sequence)
		return false
	}
	l := d.links[target.Id]
	switch {
	case l == nil:
		l = d.addLink(target)
		l.formerLapseAt = d.formerLapse[target.Id]
		event.TargetFound.Emit(event.F("target", target.Id), event.F("pool", target.Pool), event.F("zone", target.Zone), event.F("vm", target.Vm))
		d.endIncarnationsOn(target.Vm, bornBefore(target.BornUnixMs), "its VM runs another target")
		d.noteVMBack(target)
		d.refuseLateStarts(l)
	case target.BornUnixMs < l.target.BornUnixMs:
		// A late announcement, unless the target's clock was set back.
		if d.missedAnnouncements(l) {
			l.contradictedAt = d.cfg.Now()
			l.requestListing()
		}
		return false
	case target.BornUnixMs > l.target.BornUnixMs:
		l = d.beginIncarnation(l, target)
		d.endIncarnationsOn(target.Vm, bornBefore(target.BornUnixMs), "its VM runs another target")
		d.noteVMBack(target)
	case r.Sequence < l.sequence:
		return false
	case l.unannounced:
		former := l
		d.dropLink(former)
		l = d.addLink(target)
		l.formerLapseAt, l.clockSetBack = d.inheritedLapse(former), former.clockSetBack
		d.endIncarnationsOn(target.Vm, bornBefore(target.BornUnixMs), "its VM runs another target")
		d.noteVMBack(target)
	}
	l.sequence = r.Sequence
	l.lastAnnounced = d.cfg.Now()
	l.announcedAt = l.lastAnnounced
	l.noteHeard()
	l.noteWarmup(time.Duration(r.WarmupLeftMs)*time.Millisecond, l.announcedAt)
	if l.clockAt.IsZero() {
		d.noteClock(l, r.TargetClockMs)
	}
	if target.Leaving && !l.leaving {
		event.TargetLeaves.Emit(event.F("target", target.Id))
	}
	l.leaving = l.leaving || target.Leaving
	if !l.leaving {
		// The last message was that of a former incarnation.
		l.deregisteredAt = time.Time{}
	}
	if target.Leaving && r.StaysMs > 0 {
		l.leavesAt = l.lastAnnounced.Add(time.Duration(r.StaysMs) * time.Millisecond)
	}
	return d.targetChanged(target)
}

// endedIncarnation is what is remembered of an incarnation that was taken to have ended.
type endedIncarnation struct {
	at time.Time
	// sequence is the number of its last announcement before its end.
	sequence uint64
	// seen is set once a later announcement of it was logged.
	seen bool
}

// noteEndedSeen logs the first announcement that an incarnation sent after the one that was
// the last before its end.
func (d *Driver) noteEndedSeen(ended *endedIncarnation, target *pb.Target, sequence uint64) {
	if ended.seen || sequence <= ended.sequence {
		return
	}
	ended.seen = true
	event.EndedIncarnationSeen.Emit(event.F("target", target.Id), event.F("born", target.BornUnixMs),
		event.F("ended_ms_ago", ageMS(ended.at, d.cfg.Now())), event.F("leaving", target.Leaving), event.F("sequence", sequence), event.F("last_sequence", ended.sequence))
}

// formerWithLaterStart returns the registered incarnation of a target if it has ended although it states a later
// start than the announced one, or nil. It must be removed first: a later start replaces an earlier one.
func (d *Driver) formerWithLaterStart(target *pb.Target) (former *pb.Target) {
	l := d.links[target.Id]
	if l == nil || !l.clockSetBack || l.target.BornUnixMs != target.BornUnixMs {
		return nil
	}
	d.cfg.Machine.View(func(v *workflow.View) {
		if known := v.Target(target.Id); known != nil && known.BornUnixMs > target.BornUnixMs {
			former = known
		}
	})
	return former
}

// targetChanged reports whether the committed target differs from the announced one.
func (d *Driver) targetChanged(target *pb.Target) bool {
	changed := false
	d.cfg.Machine.View(func(v *workflow.View) {
		known := v.Target(target.Id)
		changed = known == nil || known.BornUnixMs != target.BornUnixMs || known.Address != target.Address ||
			known.Pool != target.Pool || known.Leaving != target.Leaving && target.Leaving
	})
	return changed
}

// Deregister handles the last message of a target. Born identifies the incarnation that sent
// it, 0 if the message names none. It may be late, and a target whose message gets no answer
// may go on for some seconds, so that its runs are over only once its host closes connections.
func (d *Driver) Deregister(id string, born int64) *pb.Response {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.links[id]; l != nil && (born == 0 || born >= l.target.BornUnixMs) {
		event.TargetDeregistered.Emit(event.F("target", id), event.F("born", l.target.BornUnixMs),
			event.F("runs", d.runs.count(id)), event.F("leaving", l.leaving), event.F("closed_ms_ago", ageMS(l.closedAt, d.cfg.Now())))
		l.deregisteredAt = d.cfg.Now()
		l.requestListing()
		d.endIfDeregistered(l)
	}
	return &pb.Response{Answer: pb.Answer_ANSWER_OK}
}

// endIfDeregistered ends an incarnation that has deregistered if its host has closed a
// connection since or just before, or if it has announced that it leaves and nothing runs on it.
func (d *Driver) endIfDeregistered(l *link) {
	if !l.mayHaveEnded(d.cfg.Now()) {
		return
	}
	closed := l.closedAt.After(l.deregisteredAt.Add(-endingTime))
	if closed || l.leaving && d.runs.count(l.target.Id) == 0 {
		d.endIncarnation(l, endedAsPlanned)
	}
}

func (d *Driver) commitWithContext(ctx context.Context, command *pb.Command) (*workflow.Outcome, error) {
	command.TimeUnixMs = d.cfg.NowMS()
	began := d.cfg.Now()
	out, err := d.cfg.Log.Commit(ctx, command)
	observeCommit(began, d.cfg.Now(), err)
	return out, err
}

func notReady(reason string) *pb.Response {
	return &pb.Response{Answer: pb.Answer_ANSWER_NOT_READY, Reason: reason}
}
