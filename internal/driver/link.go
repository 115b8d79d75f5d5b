package driver

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/clock"
	"sapphirering/internal/event"
	"sapphirering/internal/policy/confirm"
	"sapphirering/internal/policy/silence"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

const (
	// listingWait is how long a target may delay a listing while no run ends.
	listingWait = 1500 * time.Millisecond
	// waveListingWait replaces listingWait during a wave, whose decisions need fresh listings.
	waveListingWait = 500 * time.Millisecond
	// listingMargin is how long a listing may take beyond its wait.
	listingMargin = 700 * time.Millisecond
	// listingPause is the least time between listings, so that runs that end together share one.
	// It grows to the time of listingCommits commits, at most maxListingPause: ends that are
	// listed while a command is committed wait for the next one anyway.
	listingPause    = 25 * time.Millisecond
	maxListingPause = 150 * time.Millisecond
	listingCommits  = 2
	// heldListingPause replaces listingPause while ends may not be confirmed.
	heldListingPause = 100 * time.Millisecond
	// retryPause is the time between calls to a target that does not answer.
	retryPause = 250 * time.Millisecond
	// maxEndsListed is the largest number of ends in one listing.
	maxEndsListed = 500
	// endingTime is the longest time between a target's last message and the end of its process
	// without a disturbance.
	endingTime = 500 * time.Millisecond
	// deregisterBound is how long a target that has deregistered may still be up.
	deregisterBound = 10 * time.Second
	// maxMissedAnnouncements is the number of announcements that a target may miss.
	maxMissedAnnouncements = 3
)

// link is what the leader knows of one incarnation of a target, guarded by the driver's
// mutex.
type link struct {
	target *pb.Target
	// fence is the number that calls over the link carry.
	fence  uint64
	wake   chan struct{}
	cancel context.CancelFunc

	// clockMS is the target's clock at clockAt.
	clockMS int64
	clockAt time.Time
	// lapseAt is when every lease granted so far by calls that took effect at once has certainly
	// lapsed, grantedAt when the last one was granted to this incarnation.
	lapseAt, grantedAt time.Time
	// grants holds the calls in progress that grant a lease.
	grants map[*callInProgress]struct{}
	// lateLapseAt is when leases of calls without an answer, which may take effect late, have
	// certainly lapsed. lateShort is how long those of them with short leases last together, lateShortAt is when
	// the last of these was sent.
	lateLapseAt, lateShortAt time.Time
	lateShort                time.Duration
	// waitReported is the reason that reportWait logged last.
	waitReported lapseReason
	// formerLapseAt is when leases of late calls of the former leader, and of calls to a former
	// incarnation, have certainly lapsed; they are refused once the target has listed its runs
	// over this link.
	formerLapseAt time.Time
	// warmAt is when the target is no longer slow, as it has announced; zero if it is not slow. warmup is the
	// longest time that it has stated since it became slow.
	warmAt time.Time
	warmup time.Duration
	// grantOpen is set while the committed record allows whole leases, suspended while it allows none.
	grantOpen, suspended bool
	// wantsGrantAt is when such a record was last asked for.
	wantsGrantAt time.Time
	// phase spreads targets over the groups that are renewed together.
	phase uint32
	// renewedAt is when a call was sent that has renewed the lease, renewedUntilMS the end of
	// that lease on the target's clock.
	renewedAt      time.Time
	renewedUntilMS int64

	// announcedAt is when the target last announced itself to this leader, lastAnnounced the same or
	// when the link was added.
	announcedAt, lastAnnounced time.Time
	sequence                   uint64
	// missingInLists counts the consecutive lists of the platform without the target's VM that
	// were asked for after its last message.
	missingInLists int
	// missingAsked is when the last of them was asked for.
	missingAsked time.Time
	// unlisted targets were heard of after a list without their VM, which proves nothing for them.
	unlisted bool
	// unannounced incarnations were found by a listing. They are not registered and get no
	// starts until they announce themselves, since they may be of another kind.
	unannounced bool
	// contradictedAt is when an incarnation with an earlier start last announced itself while this one was silent: a
	// call tells which of them is up.
	contradictedAt time.Time
	// clockSetBack incarnations state an earlier start than some former one, which has ended.
	clockSetBack bool
	// deregisteredAt is when the target said that it ends, closedAt when its host closed the
	// connection of a listing call; zero if it has answered since.
	deregisteredAt, closedAt time.Time
	// leaving targets get no starts; leavesAt is when it may be gone, zero if it has not said.
	leaving  bool
	leavesAt time.Time

	// open counts the calls in progress.
	open int
	// unanswered counts the calls without an answer in time since the last answer; the first
	// of them was noticed at unansweredSince. unansweredAt is when any call last had none.
	unanswered                    int
	unansweredSince, unansweredAt time.Time
	// failures is unanswered while the target is suspected to be gone, and 0 otherwise.
	failures int
	answers  callTimes
	resends  silence.Budget
	// queuedStarts holds runs whose start is to be sent, senders counts the goroutines that
	// send them.
	queuedStarts []*run
	senders      int
	// noStartsUntil is when the target may get starts again after it refused one.
	noStartsUntil time.Time

	listing Listing
	// listedAt is when the last listing was asked for.
	listedAt time.Time
	// answeredAt is when it was received.
	answeredAt time.Time
	everListed bool
	// unplaced is what unplacedRoom returned last.
	unplaced listedRoom
	// Numbers of the last end that was read from a listing, that is committed, and whose
	// commit was confirmed to the target.
	lastReadEnd, lastCommittedEnd, lastConfirmedEnd uint64
	// unconfirmed holds the committed ends above lastConfirmedEnd.
	unconfirmed confirm.Ends
	// unansweredConfirmation is the highest number that calls without an answer confirm, the last of
	// which was sent at confirmedAt.
	unansweredConfirmation uint64
	confirmedAt            time.Time

	health health
}

// overdueFor returns how long a suspected target has not answered; 0 for any other.
func (l *link) overdueFor(now time.Time) time.Duration {
	if l.failures == 0 {
		return 0
	}
	return now.Sub(l.unansweredSince)
}

func (l *link) address() Address { return Address{ID: l.target.Id, HostPort: l.target.Address} }

func (l *link) incarnation() incarnation { return incarnation{l.target.Id, l.target.BornUnixMs} }

// addLink starts to track a target and to list its runs.
func (d *Driver) addLink(target *pb.Target) *link {
	ctx, cancel := context.WithCancel(d.ctx)
	l := &link{target: target, fence: d.nextFence(), wake: make(chan struct{}, 1), cancel: cancel, lastAnnounced: d.cfg.Now(), leaving: target.Leaving,
		phase: phaseOf(target.Id), resends: silence.Budget{Rate: targetResendRate, Burst: targetResendBurst}}
	d.links[target.Id] = l
	d.background(func() { d.listRuns(ctx, l) })
	return l
}

func (d *Driver) dropLink(l *link) {
	l.cancel()
	for _, r := range l.queuedStarts {
		if r.phase == runCalling {
			r.phase = runUnanswered
		}
	}
	l.queuedStarts = nil
	if d.links[l.target.Id] == l {
		delete(d.links, l.target.Id)
	}
}

// ageMS returns the time since an event in milliseconds; -1 if it has not happened.
func ageMS(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// requestListing ends the pause of listRuns while no listing is due.
func (l *link) requestListing() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// noteCommittedEnd lets the target forget the ends up to the number, which are committed, once the starts of their tasks are
// settled. Ends read since then must be committed before the target is told.
func (l *link) noteCommittedEnd(number uint64, settledAt time.Time) {
	if number <= l.lastCommittedEnd {
		return
	}
	l.lastCommittedEnd = number
	l.unconfirmed.Add(number, settledAt)
	if l.lastCommittedEnd == l.lastReadEnd {
		l.requestListing()
	}
}

// grantLease returns the end of a lease of a length that begins now, on the target's clock; 0
// if that clock is not known. The clock may have run slow since it was read, so that the
// lease never ends after lapseAt unless the call takes effect late.
func (d *Driver) grantLease(l *link, length time.Duration) int64 {
	if l.clockAt.IsZero() {
		return 0
	}
	now := d.cfg.Now()
	l.lapseAt, l.grantedAt = later(l.lapseAt, now.Add(boundOf(length))), now
	elapsed := time.Duration(float64(now.Sub(l.clockAt)) * (1 - clockDrift))
	return l.clockMS + (elapsed + length).Milliseconds()
}

const (
	// renewalsPerLease is how often a lease is renewed within its length, and listingsPerLease
	// into how many waits of a listing it is divided: a listing renews nothing.
	renewalsPerLease, listingsPerLease = 6, 4
	// heardWithin is how long after an answer a target counts as reached: a lease is renewed
	// then, so that a cut leaves hardly any renewal without an answer.
	heardWithin = 250 * time.Millisecond
	// startLease is the lease that a start grants to a target whose lease was renewed lately and
	// lasts for startLeaseLeft: the start needs one but is not to extend it. Starts that arrive slowly need
	// slowStartLease.
	startLease, slowStartLease, startLeaseLeft = 300 * time.Millisecond, time.Second, 2 * time.Second
)

// renewalDue reports whether the lease is to be renewed by the next call. A target that does not
// answer gets no new lease until it does: otherwise its leases would never lapse.
func (d *Driver) renewalDue(l *link) bool {
	now, ttl := d.cfg.Now(), d.cfg.Limits.LeaseTTL
	if l.failures > 0 || l.suspended || l.unannounced || l.clockAt.IsZero() || !l.everListed {
		return false
	}
	age, heard := now.Sub(l.renewedAt), l.unanswered == 0 && now.Sub(l.answeredAt) < heardWithin+time.Duration(d.commitTook.Load())
	together := now.Sub(d.lastRenewalTime(l, now)) < d.renewalCycle()/renewalWindow
	return heard && (age >= ttl/renewalsPerLease && together || age >= ttl/2) || age >= ttl*3/4
}

// leaseLeft returns how long the lease that was renewed last still lasts.
func (d *Driver) leaseLeft(l *link) time.Duration {
	return d.cfg.Limits.LeaseTTL - d.cfg.Now().Sub(l.renewedAt)
}

// leaseForStart returns how long a lease a start call grants.
func (d *Driver) leaseForStart(r *run, l *link) time.Duration {
	switch {
	case d.leaseLeft(l) < startLeaseLeft || l.clockAt.Before(l.renewedAt):
		return d.cfg.Limits.LeaseTTL
	case r.refusedLate || l.answers[orderCall].Slow(startLease/2):
		return min(slowStartLease, d.cfg.Limits.LeaseTTL)
	}
	return min(startLease, d.cfg.Limits.LeaseTTL)
}

// lengthOf is how long a lease of a length lasts at most on a slow clock.
func lengthOf(length time.Duration) time.Duration {
	return time.Duration(float64(length) / (1 - clockDrift))
}

// lapse is when every lease of a target has certainly lapsed, and what decides that.
type lapse struct {
	at     time.Time
	reason lapseReason
}

type lapseReason string

// What decides when the leases of a target have certainly lapsed.
const (
	lapseOfLease      lapseReason = "lease"
	lapseOfLateCall   lapseReason = "late call"
	lapseOfFormerCall lapseReason = "late call of a former leader or to a former incarnation"
)

// or returns the later of two times of a lapse.
func (p lapse) or(at time.Time, reason lapseReason) lapse {
	if at.After(p.at) {
		return lapse{at, reason}
	}
	return p
}

// lapseOf returns when every lease of a target has certainly lapsed, also if calls without an
// answer take effect late and the target counts their leases from then.
func (d *Driver) lapseOf(l *link) lapse {
	p := lapse{l.lapseAt, lapseOfLease}.or(l.lateLapseAt, lapseOfLateCall)
	short, shortAt := l.lateShort, l.lateShortAt
	if !l.everListed {
		p = p.or(l.formerLapseAt, lapseOfFormerCall)
	}
	for c := range l.grants {
		if c.lease < d.cfg.Limits.LeaseTTL {
			short, shortAt = short+lengthOf(c.lease), later(shortAt, c.sentAt)
			continue
		}
		p = p.or(c.sentAt.Add(d.lateBound()+boundOf(c.lease)), lapseOfLateCall)
	}
	if short == 0 {
		return p
	}
	// A short lease takes effect on running tasks only while another one lasts.
	extended := p.at.Add(short)
	if last := shortAt.Add(d.lateBound() + boundOf(slowStartLease)); last.Before(extended) {
		return p.or(last, lapseOfLateCall)
	}
	return lapse{extended, lapseOfLateCall}
}

// noteGrantEnded records the outcome of a call that granted a lease.
func (d *Driver) noteGrantEnded(c *callInProgress, err error) {
	l := c.link
	delete(l.grants, c)
	d.leaseChanged(l)
	if c.lease >= d.cfg.Limits.LeaseTTL {
		d.wakeLoop()
	}
	switch {
	case err == nil:
		// It took effect before the answer, but maybe on the next incarnation: its clock began anew, so
		// that the end of any lease lies beyond the longest one.
		l.lapseAt = later(l.lapseAt, d.cfg.Now().Add(d.leaseBound()))
	case errors.Is(err, ErrNotSent):
	case c.lease < d.cfg.Limits.LeaseTTL:
		l.lateShort += lengthOf(c.lease)
		l.lateShortAt = later(l.lateShortAt, c.sentAt)
	default:
		l.lateLapseAt = later(l.lateLapseAt, c.sentAt.Add(d.lateBound()+boundOf(c.lease)))
	}
}

// noteClock records the target's clock from an answer that was just received.
func (d *Driver) noteClock(l *link, clockMS int64) {
	if clockMS > 0 {
		l.clockMS, l.clockAt = clockMS, d.cfg.Now()
	}
}

// listRuns renews the target's lease and lists its runs, until ctx ends or an answer is late,
// when another listRuns takes over.
func (d *Driver) listRuns(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		call, open, pause := d.nextListing(ctx, l)
		if pause > 0 {
			select {
			case <-ctx.Done():
			case <-l.wake:
			case <-time.After(pause):
			}
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, call.Wait+listingMargin)
		asked := d.cfg.Now()
		listing, err := d.cfg.Targets.Renew(callCtx, l.address(), call)
		cancel()
		if call.Wait > 0 {
			d.noteWaitOver()
		}
		if ctx.Err() != nil {
			return
		}
		if d.handleListing(l, asked, call, open, listing, err) {
			return
		}
		if err != nil || listing.Refusal != Accepted {
			clock.Sleep(ctx, d.pauseAfterFailure(l))
		} else if !d.renewsNext(l) {
			clock.Sleep(ctx, d.pauseBetweenListings(l))
		}
	}
}

// renewsNext reports whether the next call renews the lease, and follows at once.
func (d *Driver) renewsNext(l *link) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.renewalDue(l)
}

// pauseBetweenListings returns the time between listings of a target that answers: it follows the
// time that commands take to commit, so that a leader short of processor time makes fewer calls, and
// grows with the number of targets with runs once connections are short.
func (d *Driver) pauseBetweenListings(l *link) time.Duration {
	usual := min(max(listingCommits*time.Duration(d.commitTook.Load()), listingPause), maxListingPause)
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.unconfirmed.Len() > 0 && l.unconfirmed.Holds(d.cfg.Now()) {
		// A target does not wait for another end while it lists one.
		usual = max(usual, heldListingPause)
	}
	pause := d.share().Pause(d.runs.targets(), usual)
	if pause == usual {
		return usual
	}
	if d.waves.active {
		pause = min(pause, max(usual, maxListingAge/2))
	}
	// A listing must come just before the common renewal of the target's lease, which follows its answer.
	return max(min(pause, d.waitForRenewal(l)-renewalLead), usual)
}

// pauseAfterFailure returns the time before the next listing call after one that failed.
func (d *Driver) pauseAfterFailure(l *link) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.mayHaveEnded(d.cfg.Now()) {
		return listingPause
	}
	return retryPause
}

// mayHaveEnded reports whether the target has said not long ago that it ends.
func (l *link) mayHaveEnded(now time.Time) bool {
	return !l.deregisteredAt.IsZero() && now.Sub(l.deregisteredAt) < deregisterBound
}

// nextListing returns the call that is due, or how long to pause: a target without runs need not be
// called, the ends read so far must be committed before the next call, and so must the record that a
// renewal needs.
func (d *Driver) nextListing(ctx context.Context, l *link) (RenewCall, *callInProgress, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.links[l.target.Id] != l || l.lastReadEnd != l.lastCommittedEnd {
		return RenewCall{}, nil, retryPause
	}
	confirmable := l.unconfirmed.Confirmable(d.cfg.Now())
	if confirmable == 0 && !d.hasRuns(l.target.Id) && !d.needsCall(l) {
		return RenewCall{}, nil, retryPause
	}
	due := d.renewalDue(l)
	if due && !l.grantOpen {
		d.wantGrant(l)
		if waited := d.cfg.Now().Sub(l.wantsGrantAt); waited < grantWait {
			return RenewCall{}, nil, grantWait - waited
		}
	}
	call := RenewCall{Fence: l.fence, Wait: min(listingWait, d.cfg.Limits.LeaseTTL/listingsPerLease)}
	if confirmable > 0 && l.unanswered == 0 {
		// The next incarnation numbers its ends anew and must not forget them, so that as few
		// confirmations as possible are without an answer when this one ends.
		call.SeenEnd, call.BornUnixMS = confirmable, l.target.BornUnixMs
	}
	if d.waves.active {
		call.Wait = min(waveListingWait, call.Wait)
	}
	call.Wait = silence.ListingWait(d.loss.Rate(), d.loss.LongestWait(call.Wait))
	if l.clockAt.IsZero() || !l.everListed || l.unanswered > 0 {
		call.Wait = 0
	}
	call.Wait = min(call.Wait, d.waitForRenewal(l))
	if call.Wait > 0 && !d.share().MayWait(d.waiting) {
		call.Wait = 0
	}
	renews := due && l.grantOpen
	if renews {
		call.LeaseUntilMS, call.Wait = d.grantLease(l, d.cfg.Limits.LeaseTTL), 0
	}
	// Checked after the grant: a process that stood still before it must not grant a lease that
	// begins after its own has ended.
	if !d.cfg.Log.HoldsLease() {
		return RenewCall{}, nil, retryPause
	}
	if call.Wait > 0 {
		d.waiting++
	}
	open := d.beginCall(l, nil, "list", call.Wait, func() { d.listAgain(ctx, l) })
	if renews {
		open.grants(d.cfg.Limits.LeaseTTL)
		l.wantsGrantAt = time.Time{}
	}
	return call, open, 0
}

// waitForRenewal returns how long a listing may wait, so that its answer makes the next renewal due.
func (d *Driver) waitForRenewal(l *link) time.Duration {
	now, ttl := d.cfg.Now(), d.cfg.Limits.LeaseTTL
	if now.Sub(l.renewedAt) >= ttl/2 {
		return 0
	}
	next := d.lastRenewalTime(l, now).Add(d.renewalCycle())
	if next.Sub(l.renewedAt) < ttl/renewalsPerLease {
		next = next.Add(d.renewalCycle())
	}
	return next.Sub(now).Truncate(time.Millisecond)
}

// listAgain lists the target's runs on another connection, since the answer to a listing is
// late.
func (d *Driver) listAgain(ctx context.Context, l *link) {
	atOnce := d.mayResend(l)
	d.background(func() {
		if !atOnce {
			clock.Sleep(ctx, retryPause)
		}
		d.listRuns(ctx, l)
	})
}

// needsCall reports whether an announced target must be called even without runs: it has
// never listed its runs, or its last call failed and it gets no starts until it answers. So
// must one that may have ended.
func (d *Driver) needsCall(l *link) bool {
	if l.mayHaveEnded(d.cfg.Now()) || d.cfg.Now().Sub(l.contradictedAt) <= 2*d.cfg.Limits.AnnounceInterval {
		return true
	}
	announced := d.cfg.Now().Sub(l.lastAnnounced) <= 2*d.cfg.Limits.AnnounceInterval
	return announced && (!l.everListed || l.unanswered > 0)
}

func (d *Driver) hasRuns(target string) bool {
	any := false
	d.cfg.Machine.View(func(v *workflow.View) { any = len(v.PlacedOn(target)) > 0 })
	return any
}

// handleListing updates the link and its runs by the answer to one listing call, and reports
// whether the answer was late.
func (d *Driver) handleListing(l *link, asked time.Time, call RenewCall, open *callInProgress, listing Listing, err error) (late bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endCall(open, err)
	l.noteConfirmation(call, asked, err)
	misdirected := err == nil && listing.Refusal == Accepted && listing.BornUnixMS != 0 && listing.BornUnixMS != l.target.BornUnixMs
	if misdirected {
		d.reportMisdirected(l, asked, call, listing)
	}
	if d.links[l.target.Id] != l {
		return open.late
	}
	if err != nil {
		if !open.late {
			d.noteNoAnswer(l, "list", err)
		}
		if errors.Is(err, ErrClosedByTarget) && !asked.Before(l.listedAt) {
			l.closedAt = d.cfg.Now()
			d.endIfDeregistered(l)
		}
		return open.late
	}
	switch listing.Refusal {
	case Accepted:
	case OtherIncarnation:
		d.endIncarnation(l, "another target answers at its address")
		return open.late
	default:
		d.noteClock(l, listing.ClockMS)
		event.ListingRefused.Emit(event.F("target", l.target.Id), event.F("reason", listing.Refusal.String()))
		return open.late
	}
	if misdirected {
		// A new incarnation answered before it announced itself.
		d.noteRestart(l, listing.BornUnixMS)
		return open.late
	}
	d.noteClock(l, listing.ClockMS)
	d.noteAnswer(l)
	if call.LeaseUntilMS > l.renewedUntilMS {
		l.renewedAt, l.renewedUntilMS = asked, call.LeaseUntilMS
	}
	if asked.Before(l.listedAt) {
		// One that was asked for later has been read.
		return open.late
	}
	if !l.everListed {
		// Late calls with lower fences are refused from now on, but one may have taken effect before.
		l.lapseAt = later(l.lapseAt, earlier(l.formerLapseAt, d.cfg.Now().Add(d.leaseBound())))
	}
	l.listing, l.listedAt, l.answeredAt, l.everListed = listing, asked, d.cfg.Now(), true
	l.lastConfirmedEnd = max(l.lastConfirmedEnd, listing.SeenEnd)
	l.unconfirmed.Confirmed(l.lastConfirmedEnd)
	d.queueEnds(l, listing.Ended)
	d.reconcileRuns(l)
	d.wakeLoop()
	return open.late
}

// noteConfirmation records the outcome of a call that may confirm ends.
func (l *link) noteConfirmation(call RenewCall, asked time.Time, err error) {
	if call.SeenEnd == 0 || err == nil || errors.Is(err, ErrNotSent) {
		return
	}
	l.unansweredConfirmation = max(l.unansweredConfirmation, call.SeenEnd)
	l.confirmedAt = later(l.confirmedAt, asked)
}

// reportMisdirected logs a listing call that another incarnation answered than the one it was meant for.
func (d *Driver) reportMisdirected(l *link, asked time.Time, call RenewCall, listing Listing) {
	countMisdirected(call, listing)
	event.CallMisdirected.Emit(event.F("target", l.target.Id), event.F("born", l.target.BornUnixMs), event.F("answered_by", listing.BornUnixMS),
		event.F("confirms", call.SeenEnd), event.F("confirmed", listing.SeenEnd), event.F("lease_until_ms", call.LeaseUntilMS), event.F("clock_ms", listing.ClockMS), event.F("asked_ms_ago", ageMS(asked, d.cfg.Now())))
}

// queueEnds queues the ends that were not read before for commit.
func (d *Driver) queueEnds(l *link, ended []Ended) {
	for _, end := range ended {
		if end.Number <= l.lastReadEnd {
			continue
		}
		l.lastReadEnd = end.Number
		d.noteEnd(l, end.Task, end.Attempt, end.Kind)
		d.pendingEnds = append(d.pendingEnds, pendingEnd{link: l, number: end.Number, listed: l.answeredAt, end: &pb.End{
			Task: end.Task.Ref(end.Attempt), Target: l.target.Id, Kind: end.Kind, Checkpoint: end.Checkpoint,
		}})
	}
}

// noteNoAnswer records a call without an answer. A suspected target gets no starts and no
// leases until it answers.
func (d *Driver) noteNoAnswer(l *link, step string, err error) {
	now := d.cfg.Now()
	if l.unanswered == 0 {
		l.unansweredSince = now
	}
	l.unanswered++
	l.unansweredAt = now
	if l.failures == 0 {
		s := silence.Silence{Unanswered: l.unanswered, For: now.Sub(l.unansweredSince)}
		if missed := now.Sub(l.lastAnnounced) - d.cfg.Limits.AnnounceInterval; missed > 0 && d.cfg.Limits.AnnounceInterval > 0 {
			s.Missed = int(missed / d.cfg.Limits.AnnounceInterval)
		}
		loss := d.loss.Rate()
		if !s.Suspected(loss) {
			return
		}
		if d.pools.moving[l.target.Vm] == nil && !d.maintenanceOrdered(l.target.Vm) {
			event.TargetSilent.Emit(event.F("target", l.target.Id), event.F("step", step), event.F("unanswered", l.unanswered),
				event.F("loss", loss), event.Err(err))
		}
	}
	l.failures = l.unanswered
	d.dropQueuedStarts(l)
	d.leaseChanged(l)
	d.wakeLoop()
}

func (d *Driver) noteAnswer(l *link) {
	d.noteLoss(l)
	if l.failures > 0 {
		event.TargetAnswers.Emit(event.F("target", l.target.Id), event.F("failures", l.failures))
	}
	l.unanswered, l.failures, l.closedAt = 0, 0, time.Time{}
	l.noteHeard()
	if l.suspended {
		d.leaseChanged(l)
		d.wakeLoop()
	}
	d.sendQueued(l)
}

// missedAnnouncements reports whether a target has stopped announcing itself.
func (d *Driver) missedAnnouncements(l *link) bool {
	return d.cfg.Now().Sub(l.lastAnnounced) > maxMissedAnnouncements*d.cfg.Limits.AnnounceInterval
}

// acceptsStarts reports whether the target may get starts now.
func (d *Driver) acceptsStarts(l *link) bool {
	now := d.cfg.Now()
	return !l.leaving && !l.unannounced && !l.suspended && !l.mayHaveEnded(now) && l.failures == 0 && l.overdueFor(now) == 0 && !d.missedAnnouncements(l) && now.After(l.noStartsUntil) && !l.clockAt.IsZero() &&
		!d.listsAllItCan(l)
}

// noteRestart handles a new incarnation under the same id before it has announced itself. It has answered a call that
// was made after the link's incarnation was known: if it states an earlier start, its clock was set back.
func (d *Driver) noteRestart(l *link, born int64) {
	target := proto.CloneOf(l.target)
	target.BornUnixMs, target.Leaving = born, false
	next := d.beginIncarnation(l, target)
	next.unannounced, next.clockSetBack = true, next.clockSetBack || born < l.target.BornUnixMs
}

// beginIncarnation replaces the link by that of a new incarnation. Runs of the former one
// are over; a stop keeps the new one from accepting starts that are still in progress.
func (d *Driver) beginIncarnation(old *link, target *pb.Target) *link {
	now := d.cfg.Now()
	event.TargetRestarted.Emit(event.F("target", target.Id), event.F("born", target.BornUnixMs), event.F("former", old.target.BornUnixMs),
		event.F("runs", d.runs.count(target.Id)), event.F("open_calls", old.open), event.F("open_grants", len(old.grants)), event.F("unanswered_ms_ago", ageMS(old.unansweredAt, now)),
		event.F("read_end", old.lastReadEnd), event.F("committed_end", old.lastCommittedEnd), event.F("confirmed_end", old.lastConfirmedEnd),
		event.F("unanswered_confirmation", old.unansweredConfirmation), event.F("confirmation_ms_ago", ageMS(old.confirmedAt, now)))
	d.noteEnded(old)
	d.dropLink(old)
	l := d.addLink(target)
	l.formerLapseAt, l.clockSetBack = d.inheritedLapse(old), old.clockSetBack
	l.lastAnnounced = d.cfg.Now()
	for r := range d.runs.on(target.Id) {
		if r.born != target.BornUnixMs {
			d.endAfterRestart(l, r)
		}
	}
	d.refuseLateStarts(l)
	return l
}

// inheritedLapse returns when the leases that calls to a former incarnation may still bring to
// the next one have certainly lapsed. The next one counts them from their arrival, since they
// are for another clock.
func (d *Driver) inheritedLapse(old *link) time.Time {
	unanswered := old.unansweredAt
	if old.open > 0 {
		unanswered = d.cfg.Now()
	}
	return later(d.lapseOf(old).at, unanswered.Add(d.lateBound()+d.leaseBound()))
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// noteEnded remembers that the incarnation of a link has ended.
func (d *Driver) noteEnded(l *link) {
	d.endedIncarnations[l.incarnation()] = &endedIncarnation{at: d.cfg.Now(), sequence: l.sequence}
}

// endReason is why an incarnation of a target is certainly over.
type endReason string

// Reasons after which a target may start again under its id. After the others its VM has or gets a target with another id.
const (
	vmListedAsDown endReason = "the platform lists its VM as down"
	vmNotListed    endReason = "the platform's lists lack its VM"
	endedAsPlanned endReason = "it has ended as planned"
)

func (r endReason) idMayReturn() bool {
	return r == vmListedAsDown || r == vmNotListed || r == endedAsPlanned
}

// endIncarnation handles an incarnation that is certainly over, with all its runs.
func (d *Driver) endIncarnation(l *link, reason endReason) {
	now := d.cfg.Now()
	event.IncarnationEnded.Emit(event.F("target", l.target.Id), event.F("born", l.target.BornUnixMs), event.F("reason", string(reason)),
		event.F("runs", d.runs.count(l.target.Id)), event.F("announced_age_ms", ageMS(l.lastAnnounced, now)), event.F("listed_age_ms", ageMS(l.answeredAt, now)))
	d.noteEnded(l)
	d.formerLapse[l.target.Id] = d.inheritedLapse(l)
	d.dropLink(l)
	for r := range d.runs.on(l.target.Id) {
		if r.born == l.target.BornUnixMs {
			d.endLost(r, reason)
		}
	}
	target := l.target
	d.background(func() {
		for d.hasWaitingRuns(target) {
			clock.Sleep(d.ctx, time.Second)
		}
		// The ends of its runs are committed first: a target with placed tasks is not removed.
		clock.Sleep(d.ctx, time.Second)
		_, err := d.commit(&pb.Command{Body: &pb.Command_RemoveTargets{RemoveTargets: &pb.RemoveTargets{Targets: []*pb.Target{target}}}})
		if err != nil {
			event.RegisterUncommitted.Emit(event.F("target", target.Id), event.Err(err))
		}
	})
	d.requestRound()
}

// startLeaseLapsed reports whether the lease granted with a run's start has lapsed on
// whichever incarnation accepted it, also if the start took effect late.
func (d *Driver) startLeaseLapsed(r *run, now time.Time) bool {
	if r.adopted && r.startSentAt.IsZero() {
		return !now.Before(r.formerLapseAt)
	}
	if r.unanswered {
		return now.Sub(later(r.placedAt, r.startSentAt)) > d.lateBound()+d.leaseBound()
	}
	return !r.phaseAnsweredAt.IsZero() && now.Sub(r.phaseAnsweredAt) > d.leaseBound()
}

// unansweredLapse returns when every lease has certainly lapsed that calls without an answer may bring to an
// incarnation which has not listed its runs over the link. It grants whole leases also for short ones, whose
// ends are times of another clock.
func (d *Driver) unansweredLapse(l *link) time.Time {
	if len(l.grants) == 0 && l.lateShortAt.IsZero() {
		return time.Time{}
	}
	sentAt := l.lateShortAt
	for c := range l.grants {
		sentAt = later(sentAt, c.sentAt)
	}
	return sentAt.Add(d.lateBound() + d.leaseBound())
}

// checkLinks sends starts that wait behind a late answer, and ends the runs of targets whose
// leases have certainly lapsed without an answer.
func (d *Driver) checkLinks() {
	now := d.cfg.Now()
	for _, l := range d.links {
		d.sendQueued(l)
		if l.vmIsGone() {
			d.endIncarnation(l, vmNotListed)
			continue
		}
		d.readFleetFor(l)
		if l.failures == 0 && !d.missedAnnouncements(l) {
			l.waitReported = ""
			continue
		}
		waits := d.lapseOf(l)
		if now.Before(waits.at) {
			d.reportWait(l, waits, now)
			continue
		}
		lost, unanswered := 0, 0
		for r := range d.runs.on(l.target.Id) {
			listed := r.born == l.target.BornUnixMs && r.listed
			if r.phase != runEnded && (listed || d.startLeaseLapsed(r, now) && !now.Before(d.unansweredLapse(l))) {
				d.endRun(r, pb.EndKind_END_KIND_LOST, "the lease has lapsed without an answer")
				lost++
				if r.unanswered {
					unanswered++
				}
			}
		}
		if lost > 0 {
			event.LeaseLapsed.Emit(event.F("target", l.target.Id), event.F("born", l.target.BornUnixMs), event.F("runs", lost), event.F("failures", l.failures),
				event.F("unanswered", unanswered), event.F("grant_age_ms", ageMS(l.grantedAt, now)), event.F("late_ms", max(l.lateLapseAt.Sub(l.lapseAt), 0).Milliseconds()), event.F("clock_age_ms", ageMS(l.clockAt, now)),
				event.F("silent_ms", ageMS(d.silentSince(l), now)), event.F("waited_for", string(waits.reason)), event.F("leads_ms", ageMS(d.startedAt, now)))
		}
	}
}

// readFleetFor reads the platform's list if it may tell whether a silent target has ended.
func (d *Driver) readFleetFor(l *link) {
	switch {
	case l.failures == 0 || d.runs.count(l.target.Id) == 0:
	case l.missingInLists > 0:
		d.readFleetAfter(missingReadPause)
	case d.fleet.readAt.Before(l.unansweredSince):
		d.readFleet()
	}
}

// silentSince returns since when a silent target has not been heard of by this leader.
func (d *Driver) silentSince(l *link) time.Time {
	if l.unanswered > 0 {
		return l.unansweredSince
	}
	return l.lastAnnounced
}

// reportWait logs once for each reason until when the runs of a silent target count as running,
// and what the platform's list says of its VM.
func (d *Driver) reportWait(l *link, waits lapse, now time.Time) {
	runs := d.runs.count(l.target.Id)
	if runs == 0 || l.waitReported == waits.reason {
		return
	}
	l.waitReported = waits.reason
	event.SilentTargetWaits.Emit(event.F("target", l.target.Id), event.F("born", l.target.BornUnixMs), event.F("runs", runs),
		event.F("silent_ms", ageMS(d.silentSince(l), now)), event.F("wait_ms", waits.at.Sub(now).Milliseconds()), event.F("waits_for", string(waits.reason)),
		event.F("leads_ms", ageMS(d.startedAt, now)), event.F("vm", l.target.Vm), event.F("vm_listed", d.listedState(l.target.Vm)), event.F("list_age_ms", ageMS(d.fleet.readAt, now)))
}
