package driver

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/clock"
	"sapphirering/internal/event"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

const (
	// lookWait is how long a target may hold a listing back while nothing ends.
	lookWait = 1500 * time.Millisecond
	// waveLookWait keeps listings fresh while a wave decides by them.
	waveLookWait = 500 * time.Millisecond
	// lookMargin is what a listing may take beyond its wait.
	lookMargin = 700 * time.Millisecond
	// lookPause spaces listings, so that ends that come together share one.
	lookPause = 25 * time.Millisecond
	// answerTime is how long a sound target takes for an answer, some hundred
	// times the way there and back: later it gets no starts until it answers.
	answerTime = 250 * time.Millisecond
	// retryPause spaces calls to a target that does not answer.
	retryPause = 250 * time.Millisecond
	// maxEndsListed is the number of ends that a target lists at once.
	maxEndsListed = 500
	// silentIntervals is the number of announcements that a target may miss.
	silentIntervals = 3
)

// link is what the leader knows of one target. The driver's mutex guards it.
type link struct {
	target *pb.Target
	kick   chan struct{}
	cancel context.CancelFunc

	// clockMS is the target's clock at clockAt.
	clockMS int64
	clockAt time.Time
	// lapseAt is when every lease granted so far has surely lapsed.
	lapseAt time.Time

	lastAnnounced time.Time
	sequence      uint64
	// leaving targets get no starts; leavesAt is when it may be gone, if it says so.
	leaving  bool
	leavesAt time.Time

	// failures counts calls without an answer since the last one with.
	failures int
	// silentSince is when the first of them was noticed.
	silentSince time.Time
	// starts holds runs whose start is to be sent, lanes counts the senders.
	starts []*run
	lanes  int
	// open holds calls under way, by when each should be answered.
	open map[*openCall]struct{}
	// unhealthy is until when the target gets no starts after a refusal.
	unhealthy time.Time

	listing Listing
	// listedAt is when the last listing was asked for.
	listedAt time.Time
	// answeredAt is when it came.
	answeredAt time.Time
	looked     bool
	// taken is the number of the last end that was read, seen the last one
	// that is committed, told the last one that the target was told of.
	taken, seen, told uint64

	health health
}

// openCall is a call to a target that is under way.
type openCall struct {
	link *link
	due  time.Time
}

// openCall notes a call that a sound target answers within the given time.
func (d *Driver) openCall(l *link, within time.Duration) *openCall {
	call := &openCall{link: l, due: d.cfg.Now().Add(within)}
	l.open[call] = struct{}{}
	return call
}

// close notes that the call is over.
func (c *openCall) close() { delete(c.link.open, c) }

// owesFor returns how long the target has owed an answer: since a call waits longer than
// a sound target takes, or since one got none; 0 if it owes none.
func (l *link) owesFor(now time.Time) time.Duration {
	owed := time.Duration(0)
	for call := range l.open {
		owed = max(owed, now.Sub(call.due))
	}
	if l.failures > 0 {
		owed = max(owed, now.Sub(l.silentSince))
	}
	return owed
}

func (l *link) address() Address { return Address{ID: l.target.Id, HostPort: l.target.Address} }

func (l *link) incarnation() incarnation { return incarnation{l.target.Id, l.target.BornUnixMs} }

// addLink begins to look after a target.
func (d *Driver) addLink(target *pb.Target) *link {
	ctx, cancel := context.WithCancel(d.ctx)
	l := &link{target: target, kick: make(chan struct{}, 1), cancel: cancel, open: make(map[*openCall]struct{}), lastAnnounced: d.cfg.Now(), leaving: target.Leaving}
	d.links[target.Id] = l
	d.call(func() { d.look(ctx, l) })
	return l
}

func (d *Driver) dropLink(l *link) {
	l.cancel()
	if d.links[l.target.Id] == l {
		delete(d.links, l.target.Id)
	}
}

// wakeLook ends the pause of the link's look loop.
func (l *link) wakeLook() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// confirmEnd lets the target forget ends up to the number: they are committed.
// Ends that were read since then wait for their own commit.
func (l *link) confirmEnd(number uint64) {
	if number <= l.seen {
		return
	}
	l.seen = number
	if l.seen == l.taken {
		l.wakeLook()
	}
}

// grant returns the end of a lease that begins now, on the target's clock; 0
// while that clock is not known.
func (d *Driver) grant(l *link) int64 {
	if l.clockAt.IsZero() {
		return 0
	}
	now := d.cfg.Now()
	l.lapseAt = now.Add(d.leaseBound())
	return l.clockMS + now.Sub(l.clockAt).Milliseconds() + d.cfg.Limits.LeaseTTL.Milliseconds()
}

// noteClock takes the target's clock from an answer that was just received.
func (d *Driver) noteClock(l *link, clockMS int64) {
	if clockMS > 0 {
		l.clockMS, l.clockAt = clockMS, d.cfg.Now()
	}
}

// look renews the target's lease and lists its runs while it has any.
func (d *Driver) look(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		call, open, due := d.nextLook(l)
		if !due {
			select {
			case <-ctx.Done():
			case <-l.kick:
			case <-time.After(retryPause):
			}
			continue
		}
		step, cancel := context.WithTimeout(ctx, call.Wait+lookMargin)
		asked := d.cfg.Now()
		listing, err := d.cfg.Targets.Renew(step, l.address(), call)
		cancel()
		if ctx.Err() != nil {
			return
		}
		d.takeLook(l, asked, call, open, listing, err)
		pause := lookPause
		if err != nil || listing.Refusal != Accepted {
			pause = retryPause
		}
		clock.Sleep(ctx, pause)
	}
}

// nextLook returns the call that is due, if any: nothing is asked of a target
// that runs nothing, and ends are confirmed before more are asked for.
func (d *Driver) nextLook(l *link) (RenewCall, *openCall, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.links[l.target.Id] != l || l.taken != l.seen || !d.cfg.Log.HoldsLease() {
		return RenewCall{}, nil, false
	}
	if l.told == l.seen && !d.hasRuns(l.target.Id) && !d.owesAnswer(l) {
		return RenewCall{}, nil, false
	}
	call := RenewCall{Fence: d.cfg.Epoch, SeenEnd: l.seen, Wait: lookWait}
	if l.failures == 0 {
		// A target that gave no answer gets no new lease before it does: else the
		// end of its leases would never come.
		call.LeaseUntilMS = d.grant(l)
	} else {
		call.Wait = 0
	}
	if d.waves.active {
		call.Wait = waveLookWait
	}
	if l.clockAt.IsZero() || !l.looked {
		call.Wait = 0
	}
	return call, d.openCall(l, call.Wait+answerTime), true
}

// owesAnswer reports whether an announced target without runs is to be asked: one that
// was never heard, or whose last call got no answer and that gets no starts until one does.
func (d *Driver) owesAnswer(l *link) bool {
	announced := d.cfg.Now().Sub(l.lastAnnounced) <= 2*d.cfg.Limits.AnnounceInterval
	return announced && (!l.looked || l.failures > 0)
}

func (d *Driver) hasRuns(target string) bool {
	any := false
	d.cfg.Machine.View(func(v *workflow.View) { any = len(v.PlacedOn(target)) > 0 })
	return any
}

// takeLook takes in the answer to one look.
func (d *Driver) takeLook(l *link, asked time.Time, call RenewCall, open *openCall, listing Listing, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	open.close()
	if d.links[l.target.Id] != l {
		return
	}
	if err != nil {
		d.noteSilence(l, "list", err)
		return
	}
	switch listing.Refusal {
	case Accepted:
	case OtherIncarnation:
		d.endIncarnation(l, "another target answers at its address")
		return
	default:
		d.noteClock(l, listing.ClockMS)
		event.LookRefused.Emit(event.F("target", l.target.Id), event.F("reason", listing.Refusal.String()))
		return
	}
	if listing.BornUnixMS != 0 && listing.BornUnixMS != l.target.BornUnixMs {
		// The new incarnation announces itself; until then nothing is started there.
		d.noteRestart(l, listing.BornUnixMS)
		return
	}
	d.noteClock(l, listing.ClockMS)
	d.noteAnswer(l)
	l.listing, l.listedAt, l.answeredAt, l.looked = listing, asked, d.cfg.Now(), true
	l.told = max(l.told, call.SeenEnd)
	d.takeEnds(l, listing.Ended)
	d.takeRunning(l)
	d.kick()
}

// takeEnds queues the ends that were not read before.
func (d *Driver) takeEnds(l *link, ended []Ended) {
	for _, end := range ended {
		if end.Number <= l.taken {
			continue
		}
		l.taken = end.Number
		d.noteEnd(l, end.Task, end.Attempt, end.Kind)
		d.pending = append(d.pending, pendingEnd{link: l, number: end.Number, listed: l.answeredAt, end: &pb.End{
			Task: end.Task.Ref(end.Attempt), Target: l.target.Id, Kind: end.Kind, Checkpoint: end.Checkpoint,
		}})
	}
}

// noteSilence counts a call without an answer. The target gets no starts until
// it answers again.
func (d *Driver) noteSilence(l *link, step string, err error) {
	if l.failures == 0 && d.pools.moving[l.target.Vm] == nil && !d.orderedDown(l.target.Vm) {
		event.TargetSilent.Emit(event.F("target", l.target.Id), event.F("step", step), event.Err(err))
	}
	if l.failures == 0 {
		l.silentSince = d.cfg.Now()
	}
	l.failures++
	d.dropStarts(l)
}

func (d *Driver) noteAnswer(l *link) {
	if l.failures > 0 {
		event.TargetAnswers.Emit(event.F("target", l.target.Id), event.F("failures", l.failures))
		l.failures = 0
	}
}

// silent reports whether a target has stopped announcing itself.
func (d *Driver) silent(l *link) bool {
	return d.cfg.Now().Sub(l.lastAnnounced) > silentIntervals*d.cfg.Limits.AnnounceInterval
}

// startable reports whether the target may get starts.
func (d *Driver) startable(l *link) bool {
	now := d.cfg.Now()
	return !l.leaving && l.failures == 0 && l.owesFor(now) == 0 && !d.silent(l) && now.After(l.unhealthy) && !l.clockAt.IsZero()
}

// noteRestart handles a new incarnation under the same id before it has announced itself.
func (d *Driver) noteRestart(l *link, born int64) {
	if born < l.target.BornUnixMs {
		return
	}
	target := proto.CloneOf(l.target)
	target.BornUnixMs, target.Leaving = born, false
	d.beginIncarnation(l, target)
}

// beginIncarnation replaces the link by one of a new incarnation. Runs of the former incarnation
// are over; a start that is still under way is kept out by a stop there.
func (d *Driver) beginIncarnation(old *link, target *pb.Target) *link {
	event.TargetRestarted.Emit(event.F("target", target.Id), event.F("born", target.BornUnixMs), event.F("former", old.target.BornUnixMs))
	d.ended[old.incarnation()] = true
	d.dropLink(old)
	l := d.addLink(target)
	l.lastAnnounced = d.cfg.Now()
	for r := range d.runs.on(target.Id) {
		if r.born != target.BornUnixMs {
			d.loseToRestart(l, r)
		}
	}
	d.refuseLateStarts(l)
	d.call(func() { d.register(target) })
	return l
}

// register commits a target; the next announcement tries again after a failure.
func (d *Driver) register(target *pb.Target) {
	if _, err := d.commit(&pb.Command{Body: &pb.Command_PutTargets{PutTargets: &pb.PutTargets{Targets: []*pb.Target{target}}}}); err != nil {
		event.RegisterUncommitted.Emit(event.F("target", target.Id), event.Err(err))
	}
	d.kick()
}

// endIncarnation handles an incarnation that is surely over: nothing runs there any more.
func (d *Driver) endIncarnation(l *link, reason string) {
	event.TargetGone.Emit(event.F("target", l.target.Id), event.F("born", l.target.BornUnixMs), event.F("reason", reason))
	d.ended[l.incarnation()] = true
	d.dropLink(l)
	for r := range d.runs.on(l.target.Id) {
		if r.born == l.target.BornUnixMs {
			d.endRun(r, pb.EndKind_END_KIND_LOST, "its target is gone")
		}
	}
	target := l.target
	d.call(func() {
		// The runs' ends go first; what still stands keeps the target.
		clock.Sleep(d.ctx, time.Second)
		_, err := d.commit(&pb.Command{Body: &pb.Command_RemoveTargets{RemoveTargets: &pb.RemoveTargets{Targets: []*pb.Target{target}}}})
		if err != nil {
			event.RegisterUncommitted.Emit(event.F("target", target.Id), event.Err(err))
		}
	})
	d.kick()
}

// lapsedAnywhere reports whether the lease that a run began with has lapsed on
// whichever incarnation took its start: no start of it is under way any more.
func (d *Driver) lapsedAnywhere(r *run, now time.Time) bool {
	return !r.unanswered && !r.settled.IsZero() && now.Sub(r.settled) > d.leaseBound()
}

// checkLinks gives back starts that no target takes, and ends the runs of targets whose
// leases have surely lapsed while they gave no answer.
func (d *Driver) checkLinks() {
	now := d.cfg.Now()
	for _, l := range d.links {
		if len(l.starts) > 0 && l.owesFor(now) > 0 {
			d.dropStarts(l)
		}
		if now.Before(l.lapseAt) || l.failures == 0 && !d.silent(l) {
			continue
		}
		lost := 0
		for r := range d.runs.on(l.target.Id) {
			if r.phase != runEnded && (r.born == l.target.BornUnixMs || d.lapsedAnywhere(r, now)) {
				d.endRun(r, pb.EndKind_END_KIND_LOST, "the lease has lapsed without an answer")
				lost++
			}
		}
		if lost > 0 {
			event.LeaseLapsed.Emit(event.F("target", l.target.Id), event.F("runs", lost), event.F("failures", l.failures))
		}
	}
}
