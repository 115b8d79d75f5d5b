package driver

import (
	"time"

	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// noteHeardTargets handles a list of targets whose repeated announcements another core daemon has
// acknowledged. It answers which of them have to announce themselves to the leader: those of which it does
// not know that this repeats what it knows.
func (d *Driver) noteHeardTargets(heard []*pb.Heard) *pb.Response {
	d.mu.Lock()
	defer d.mu.Unlock()
	response := &pb.Response{Answer: pb.Answer_ANSWER_OK, CollectRepeats: d.share().Short()}
	now := d.cfg.Now()
	d.cfg.Machine.View(func(v *workflow.View) {
		for _, h := range heard {
			if !d.repeats(v, h) {
				response.UnknownTargets = append(response.UnknownTargets, h.Target)
				continue
			}
			l := d.links[h.Target]
			if h.Sequence < l.sequence {
				continue
			}
			l.sequence = h.Sequence
			l.announcedAt = later(l.announcedAt, now.Add(-time.Duration(h.AgeMs)*time.Millisecond))
			l.lastAnnounced = later(l.lastAnnounced, l.announcedAt)
			if l.announcedAt.After(l.missingAsked) {
				// A message from before a list that lacks the VM says nothing against that list.
				l.noteHeard()
			}
			if l.clockAt.IsZero() {
				// The target's clock is later by now, so that leases end early.
				d.noteClock(l, h.ClockMs)
			}
		}
	})
	return response
}

// repeats reports whether an announcement tells nothing but that the target is up. One that may contradict
// what is known is decided on with its whole content.
func (d *Driver) repeats(v *workflow.View, h *pb.Heard) bool {
	l, registered := d.links[h.Target], v.Target(h.Target)
	return l != nil && registered != nil && registered.BornUnixMs == h.BornUnixMs && l.target.BornUnixMs == h.BornUnixMs &&
		!l.unannounced && !l.leaving && !l.clockSetBack && l.deregisteredAt.IsZero() &&
		d.endedIncarnations[incarnation{h.Target, h.BornUnixMs}] == nil
}
