package driver

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/confirm"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

const (
	// runCallTimeout limits one call that starts, stops or paces a run.
	runCallTimeout = time.Second
	// startRetryPeriod is how long an unanswered start is retried before the run is
	// stopped and the task placed elsewhere.
	startRetryPeriod = 1500 * time.Millisecond
)

type runPhase int

// Phases of a run, kept by the leader in memory only.
const (
	// runCalling: a start call is queued or in progress.
	runCalling runPhase = iota
	// runUnanswered: the last start call was not answered or could not be sent; it may
	// still take effect.
	runUnanswered
	// runConfirmed: the target has accepted the start.
	runConfirmed
	// runStopping: stop calls are sent until the target answers one.
	runStopping
	// runStopped: the target has accepted the stop, so the run can no longer start.
	runStopped
	// runEnded: the run is over; its end is not committed yet.
	runEnded
)

// runID identifies one run of a task.
type runID struct {
	task    workflow.TaskID
	attempt uint32
}

// run is one run of a placed task, guarded by the driver's mutex.
type run struct {
	task    workflow.TaskID
	attempt uint32
	target  string
	// born identifies the incarnation of the target: its start in Unix milliseconds.
	born  int64
	phase runPhase
	// unanswered is set if some start call may still take effect.
	unanswered bool
	// listed is set once the target's incarnation that the run was placed on has listed
	// it. The answer to a start does not tell which incarnation gave it.
	listed bool
	// adopted runs were found as placed in the committed state: a former leader placed
	// them, or a command whose outcome was not known.
	adopted bool
	// plannedAt is when the start was decided on; zero for runs that were adopted.
	plannedAt time.Time
	// placedAt is when the run was placed, phaseAnsweredAt when its phase last changed by
	// an answer, runningSince when it was first known to run.
	placedAt, phaseAnsweredAt, runningSince time.Time
	// elsewhereFrom is when the task of a run on a lost target may start elsewhere.
	elsewhereFrom time.Time
	// begun is set once the target is known to have begun the run.
	begun bool
	// starts is what is known of the start calls of this leader and of former ones.
	starts confirm.Starts
	// repeatUntil is until when its start may be sent again, by what is committed.
	repeatUntil time.Time
	// awaitsRepeat is set while the start is to be sent again at once, whether or not other answers are late.
	awaitsRepeat bool
	// startCalls counts the start calls, startsInProgress those that have not ended.
	startCalls, startsInProgress int
	// evacuated is set if the start has no answer and the zone of the target was evacuated when it was last checked.
	evacuated bool
	// coldFor is how much longer the target was slow when the start was last sent.
	coldFor time.Duration
	// refusedLate is set once the lease in a start was over when it arrived.
	refusedLate bool
	// formerLapseAt is when leases of a former leader's start calls for an adopted run have certainly lapsed; zero if
	// these are settled.
	formerLapseAt time.Time
	// lastCallAt is when the last call about the run was sent, startSentAt the last start.
	lastCallAt, startSentAt time.Time
	// percent is the progress listed last, progressAt when it last changed.
	percent    float64
	progressAt time.Time
	// pace is the percentage of its full speed at which the run was told to work; pacing is
	// set while a call that changes it is in progress.
	pace   int
	pacing bool
	// latePaceUntil is when every call on its pace without an answer has taken effect or never will.
	latePaceUntil time.Time
	gauge         float64
}

func (r *run) id() runID { return runID{r.task, r.attempt} }

// addRun adds a run to those that the driver tracks.
func (d *Driver) addRun(r *run) { d.runs.add(r) }

// runOn returns the run of a task on a target, or nil.
func (d *Driver) runOn(task *workflow.Task, target string) *run {
	return d.runs.find(task.ID, task.AttemptOn(target))
}

// tracks reports whether the driver still tracks the run.
func (d *Driver) tracks(r *run) bool { return d.runs.find(r.task, r.attempt) == r }

// beginRuns sends the committed starts, planned at the given time, to their targets. What is committed allows to
// send them again until repeatUntil.
func (d *Driver) beginRuns(starts []*pb.Start, refused map[workflow.TaskID]bool, planned, repeatUntil time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	for _, start := range starts {
		id := workflow.TaskIDOf(start.Task)
		if refused[id] {
			continue
		}
		r := &run{
			task: id, attempt: start.Task.Attempt, target: start.Target, born: start.TargetBornUnixMs,
			phase: runCalling, plannedAt: planned, placedAt: now, pace: fullPace, repeatUntil: repeatUntil,
		}
		d.addRun(r)
		d.queueStart(r)
	}
}

// maxStartSenders limits the concurrent start calls to one target: starts come by the dozen,
// and each concurrent call would open a connection.
const maxStartSenders = 2

// queueStart queues a start call to the run's target.
func (d *Driver) queueStart(r *run) {
	l := d.links[r.target]
	if l == nil || l.target.BornUnixMs != r.born {
		r.phase = runUnanswered
		return
	}
	if l.failures > 0 && r.unanswered {
		return
	}
	r.phase = runCalling
	l.queuedStarts = append(l.queuedStarts, r)
	d.sendQueued(l)
}

// sendQueued sends the queued starts of a target, unless an answer is late: if the target is
// gone, a run whose start was never sent may start elsewhere at once.
func (d *Driver) sendQueued(l *link) {
	senders := d.share().Senders(maxStartSenders)
	if len(l.queuedStarts) == 0 || l.senders >= senders || l.holdsBack(d.cfg.Now()) {
		return
	}
	for n := min(len(l.queuedStarts), senders); l.senders < n; {
		l.senders++
		d.background(func() { d.sendStarts(l) })
	}
}

// holdsBack reports whether queued starts wait for an answer to another call.
func (l *link) holdsBack(now time.Time) bool {
	return l.unanswered > 0 && now.Sub(l.unansweredSince) < retryPause
}

// sendStarts sends the queued starts of a target one after the other until none is left or
// an answer is late, when startAgain takes over.
func (d *Driver) sendStarts(l *link) {
	for {
		r, call, open := d.nextStart(l)
		if r == nil || d.sendStart(r, l, call, open) {
			return
		}
	}
}

// sendStart sends one start and reports whether its answer was late.
func (d *Driver) sendStart(r *run, l *link, call StartCall, open *callInProgress) (late bool) {
	if !d.cfg.Log.HoldsLease() {
		return d.handleStartAnswer(r, open, Answer{}, ErrNoLease, false)
	}
	ctx, cancel := context.WithTimeout(d.ctx, runCallTimeout)
	defer cancel()
	began := d.cfg.Now()
	answer, err := d.cfg.Targets.Start(ctx, l.address(), call)
	observeCall("start", began, d.cfg.Now(), err)
	return d.handleStartAnswer(r, open, answer, err, true)
}

// startAgain sends a start whose answer is late on another connection. The earlier call may
// still take effect.
func (d *Driver) startAgain(r *run, l *link) {
	if !d.tracks(r) {
		return
	}
	r.unanswered = true
	if r.phase != runCalling {
		return
	}
	if l.leaving || d.cfg.Now().Sub(r.placedAt) > startRetryPeriod || !d.mayResend(l) {
		r.phase = runUnanswered
		return
	}
	if !d.mayRepeat(r) {
		r.awaitsRepeat = true
		return
	}
	if !d.mayStart(r, l) {
		l.queuedStarts = append(l.queuedStarts, r)
		return
	}
	call, ok := d.startCall(r, l)
	if !ok {
		r.phase = runUnanswered
		return
	}
	open := d.beginStart(r, l, call, func() { d.startAgain(r, l) })
	d.background(func() { d.sendStart(r, l, call, open) })
}

func (d *Driver) beginStart(r *run, l *link, call StartCall, onLate func()) *callInProgress {
	r.lastCallAt = d.cfg.Now()
	r.startSentAt = r.lastCallAt
	r.coldFor = l.warmupLeft(r.lastCallAt)
	r.startCalls++
	r.startsInProgress++
	r.starts.Sent++
	r.starts.Until = r.startSentAt.Add(d.lateBound())
	open := d.beginCall(l, r, "start", 0, onLate)
	open.grants(call.Lease)
	if call.Lease > startLease {
		l.wantsGrantAt = time.Time{}
	}
	return open
}

// nextStart takes the next start off a target's queue; a nil run ends the sender.
func (d *Driver) nextStart(l *link) (*run, StartCall, *callInProgress) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for next := 0; next < len(l.queuedStarts) && !l.holdsBack(d.cfg.Now()); {
		r := l.queuedStarts[next]
		needed := d.tracks(r) && r.phase == runCalling
		if needed && d.links[r.target] == l {
			if !d.mayRepeat(r) {
				next++
				continue
			}
			if !d.mayStart(r, l) {
				// Sent once the target's record allows it.
				break
			}
		}
		l.queuedStarts = slices.Delete(l.queuedStarts, next, next+1)
		if !needed {
			continue
		}
		if d.links[r.target] != l {
			r.phase = runUnanswered
			continue
		}
		call, ok := d.startCall(r, l)
		if !ok {
			r.phase = runUnanswered
			d.endUnsent(r, l)
			continue
		}
		return r, call, d.beginStart(r, l, call, func() {
			l.senders--
			d.startAgain(r, l)
		})
	}
	l.senders--
	return nil, StartCall{}, nil
}

// dropQueuedStarts ends the runs whose starts are queued behind a call that got no answer.
// Unless an earlier start was sent for it, the task may start elsewhere at once.
func (d *Driver) dropQueuedStarts(l *link) {
	for _, r := range l.queuedStarts {
		switch {
		case !d.tracks(r) || r.phase != runCalling:
		case r.unanswered:
			r.phase = runUnanswered
		default:
			d.endRun(r, pb.EndKind_END_KIND_NOT_RUN, "its target is silent, no start was sent")
		}
	}
	l.queuedStarts = nil
}

// startCall returns the start call for a run; false if the run is no longer needed, its target's zone
// is evacuated, or the target's clock is unknown, so that no lease can be granted.
func (d *Driver) startCall(r *run, l *link) (StartCall, bool) {
	call := StartCall{Task: r.task, Attempt: r.attempt, Fence: l.fence, Lease: d.leaseForStart(r, l), Ticket: d.ticketFor(r.task, l)}
	if call.Lease > startLease && !l.grantOpen {
		// The lease that was renewed has become too short since mayStart looked at it.
		return call, false
	}
	call.LeaseUntilMS = d.grantLease(l, call.Lease)
	found := false
	d.cfg.Machine.View(func(v *workflow.View) {
		task := v.Task(r.task)
		if task == nil || task.TargetOf(r.attempt) == "" || !runNeeded(task) || v.Evacuated(zoneOf(v, l)) {
			return
		}
		call.Payload, call.Checkpoint, found = task.Job.Spec.Payload, task.Checkpoint, true
	})
	return call, found && call.LeaseUntilMS != 0
}

// handleStartAnswer updates a run by the answer to its start call, and reports whether the
// answer was late; sent is false if the call was never made. What the answer tells of the
// target concerns the incarnation that was called.
func (d *Driver) handleStartAnswer(r *run, open *callInProgress, answer Answer, err error, sent bool) (late bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.startsInProgress--
	switch {
	case err == nil:
		r.starts.Answered++
	case !sent || errors.Is(err, ErrNotSent):
		r.starts.Sent--
	}
	d.endCall(open, err)
	d.leaseChanged(open.link)
	if err == nil && d.links[r.target] == open.link {
		d.noteAnswer(open.link)
	}
	if err == nil || !open.late {
		d.noteStartAnswer(r, open.link, answer, err, sent)
	}
	return open.late
}

// noteStartAnswer updates a run by the answer to its start call over a link. A call that failed
// late was followed by another.
func (d *Driver) noteStartAnswer(r *run, l *link, answer Answer, err error, sent bool) {
	if !d.tracks(r) || r.phase != runCalling {
		if err != nil && sent {
			r.unanswered = true
		}
		return
	}
	now := d.cfg.Now()
	if d.links[r.target] != l {
		l = nil
	}
	if err != nil {
		first := !r.unanswered
		r.phase = runUnanswered
		r.unanswered = r.unanswered || sent
		if sent && l != nil {
			d.noteNoAnswer(l, "start", err)
			if first && errors.Is(err, ErrClosedByTarget) {
				// The target may have closed an idle connection.
				r.phase = runCalling
				d.startAgain(r, l)
			}
		}
		return
	}
	if l != nil {
		d.noteClock(l, answer.ClockMS)
	}
	countStart(answer.Refusal)
	switch answer.Refusal {
	case Accepted:
		r.phase, r.phaseAnsweredAt, r.runningSince, r.progressAt = runConfirmed, now, now, now
		if !r.plannedAt.IsZero() && !r.unanswered {
			d.learned.startLag.Note(float64(now.Sub(r.plannedAt).Milliseconds()))
		}
		d.noteBegun(r)
		if l != nil {
			l.requestListing()
		}
		return
	case OtherIncarnation:
		if l != nil {
			d.endIncarnation(l, "another target answers at its address")
		}
		return
	case RefusedStaleFence:
		r.phase = runUnanswered
		return
	case RefusedOutdated:
		// If it ran, the target's listing contains its end.
		r.phase, r.phaseAnsweredAt = runStopped, now
		return
	case RefusedLeaseOver:
		r.phase, r.refusedLate = runUnanswered, true
		return
	}
	event.StartRefusedByTarget.Emit(event.F("task", r.task.String()), event.F("attempt", r.attempt),
		event.F("target", r.target), event.F("reason", answer.Refusal.String()))
	switch {
	case l == nil:
	case answer.Refusal == RefusedNoRoom:
		l.noStartsUntil = now.Add(noRoomPause)
	case answer.Refusal == RefusedTicket:
		d.dropTicket(r.task, l)
	default:
		l.noStartsUntil = now.Add(unhealthyPause)
	}
	if r.unanswered {
		// An earlier start call for the same run may still take effect.
		d.callStop(r)
		return
	}
	d.endRun(r, pb.EndKind_END_KIND_NOT_RUN, "refused: "+answer.Refusal.String())
}

const (
	// unhealthyPause is how long a target gets no starts after it refused one as unhealthy.
	unhealthyPause = 500 * time.Millisecond
	// noRoomPause is how long a target gets no starts after it had less room for a task than
	// the committed state says.
	noRoomPause = 150 * time.Millisecond
)

// callStop tells the target to stop the run, or never to start it.
func (d *Driver) callStop(r *run) {
	l := d.links[r.target]
	if l == nil {
		return
	}
	r.phase, r.lastCallAt = runStopping, d.cfg.Now()
	to, fence, born := l.address(), l.fence, l.target.BornUnixMs
	open := d.beginCall(l, r, "stop", 0, func() {
		if d.tracks(r) && r.phase == runStopping && d.mayResend(l) {
			d.callStop(r)
		}
	})
	d.background(func() {
		if !d.cfg.Log.HoldsLease() {
			d.finishCall(open, ErrNoLease)
			return
		}
		began := d.cfg.Now()
		answer, err := d.sendStop(to, fence, r.id())
		observeCall("stop", began, d.cfg.Now(), err)
		if late := d.finishCall(open, err); late && err != nil {
			return
		}
		d.handleStopAnswer(r, born, answer, err)
	})
}

// sendStop sends one stop call.
func (d *Driver) sendStop(to Address, fence uint64, id runID) (Answer, error) {
	ctx, cancel := context.WithTimeout(d.ctx, runCallTimeout)
	defer cancel()
	return d.cfg.Targets.Stop(ctx, to, StopCall{Task: id.task, Attempt: id.attempt, Fence: fence})
}

// handleStopAnswer updates a run by the answer to its stop call.
func (d *Driver) handleStopAnswer(r *run, born int64, answer Answer, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.links[r.target]
	if !d.tracks(r) || r.phase != runStopping || l == nil || l.target.BornUnixMs != born {
		return
	}
	if err != nil {
		d.noteNoAnswer(l, "stop", err)
		return
	}
	d.noteClock(l, answer.ClockMS)
	d.noteAnswer(l)
	switch answer.Refusal {
	case Accepted, RefusedOutdated:
		// If this is not the incarnation that the run was placed on, it may have taken the start,
		// and a stopped run goes on for some time: its next listing tells.
		r.listed = r.listed && r.born == born
		r.phase, r.phaseAnsweredAt, r.born = runStopped, d.cfg.Now(), born
		l.requestListing()
	case OtherIncarnation:
		d.endIncarnation(l, "another target answers at its address")
	}
}

// endAfterRestart ends a run whose target was restarted as a new incarnation. A start call
// still in progress could reach the new incarnation, and one that was answered may have
// been accepted by it, so unless the old incarnation listed the run, a stop is sent first.
func (d *Driver) endAfterRestart(l *link, r *run) {
	if r.phase == runEnded {
		return
	}
	if r.phase == runConfirmed && r.listed && !r.unanswered {
		d.endRun(r, pb.EndKind_END_KIND_LOST, "its target was restarted")
		return
	}
	d.callStop(r)
}

// endRun queues the end of a run that no listing will contain.
func (d *Driver) endRun(r *run, kind pb.EndKind, reason string) {
	if r.phase == runEnded {
		return
	}
	r.phase = runEnded
	event.RunEndedUnlisted.Emit(event.F("task", r.task.String()), event.F("attempt", r.attempt),
		event.F("target", r.target), event.F("end", kind.String()), event.F("reason", reason))
	d.pendingEnds = append(d.pendingEnds, pendingEnd{end: &pb.End{Task: r.task.Ref(r.attempt), Target: r.target, Kind: kind}})
	d.wakeLoop()
}

// noteEnd marks a run as ended, by its target's listing, and learns from it.
func (d *Driver) noteEnd(l *link, task workflow.TaskID, attempt uint32, kind pb.EndKind) {
	r := d.runs.find(task, attempt)
	if r == nil || r.target != l.target.Id || r.phase == runEnded {
		return
	}
	r.phase = runEnded
	r.starts.Listed = true
	d.noteBegun(r)
	d.learnEnd(l, r, kind)
}

// forgetRun stops tracking a run whose end is committed.
func (d *Driver) forgetRun(end *pb.End) {
	if r := d.runs.find(workflow.TaskIDOf(end.Task), end.Task.Attempt); r != nil {
		d.noteLateStart(r)
		d.noteUnsettled(r)
		d.runs.remove(r.id())
	}
}

// reconcileRuns compares the last listing of a target with the runs placed there.
func (d *Driver) reconcileRuns(l *link) {
	now := d.cfg.Now()
	listed := make(map[runID]bool, len(l.listing.Running))
	for i := range l.listing.Running {
		running := &l.listing.Running[i]
		id := runID{running.Task, running.Attempt}
		listed[id] = true
		r := d.runs.find(running.Task, running.Attempt)
		if r == nil || r.target != l.target.Id || r.born != l.target.BornUnixMs {
			d.stopUnplaced(l, running)
			continue
		}
		r.listed, r.starts.Listed = true, true
		d.noteBegun(r)
		if r.phase == runCalling || r.phase == runUnanswered {
			r.phase, r.phaseAnsweredAt = runConfirmed, now
			if r.runningSince.IsZero() {
				r.runningSince = now
			}
		}
		if running.Percent != r.percent || r.progressAt.IsZero() {
			r.percent, r.progressAt = running.Percent, now
		}
		r.gauge = running.Gauge
	}
	if len(l.listing.Ended) >= maxEndsListed {
		return
	}
	for r := range d.runs.on(l.target.Id) {
		if r.born != l.target.BornUnixMs || listed[r.id()] {
			continue
		}
		if (r.phase == runConfirmed || r.phase == runStopped) && r.phaseAnsweredAt.Before(l.listedAt) {
			if r.listed {
				d.reportEndMissing(l, r)
			}
			d.endRun(r, pb.EndKind_END_KIND_NOT_RUN, "the target knows neither the run nor its end")
		}
	}
}

// reportEndMissing logs a run that its target has listed as running and now lists in no way: the
// target has forgotten its end before this leader read it.
func (d *Driver) reportEndMissing(l *link, r *run) {
	countEndMissing()
	now := d.cfg.Now()
	event.EndMissing.Emit(event.F("task", r.task.String()), event.F("attempt", r.attempt), event.F("target", r.target), event.F("born", r.born),
		event.F("stopped", r.phase == runStopped), event.F("percent", r.percent), event.F("progress_ms_ago", ageMS(r.progressAt, now)), event.F("running_ms", ageMS(r.runningSince, now)),
		event.F("read_end", l.lastReadEnd), event.F("confirmed_end", l.lastConfirmedEnd), event.F("leads_ms", ageMS(d.startedAt, now)))
}

// stopUnplaced stops a run that the state does not place on the target: its start took
// effect late, when the task was already placed elsewhere.
func (d *Driver) stopUnplaced(l *link, running *Running) {
	var placedOn []string
	newest := uint32(0)
	d.cfg.Machine.View(func(v *workflow.View) {
		if task := v.Task(running.Task); task != nil {
			placedOn, newest = task.Targets(), task.Attempt
		}
	})
	event.UnplacedStopped.Emit(event.F("task", running.Task.String()), event.F("attempt", running.Attempt), event.F("target", l.target.Id),
		event.F("born", l.target.BornUnixMs), event.F("percent", running.Percent), event.F("newest_attempt", newest), event.F("placed_on", strings.Join(placedOn, " ")))
	to, fence, id := l.address(), l.fence, runID{running.Task, running.Attempt}
	d.background(func() {
		if !d.cfg.Log.HoldsLease() {
			return
		}
		// A failed stop is sent again after the next listing.
		if _, err := d.sendStop(to, fence, id); err != nil {
			event.TargetSilent.Emit(event.F("target", to.ID), event.F("step", "stop unplaced run"), event.Err(err))
		}
	})
}

// checkRuns retries unanswered calls and stops runs that are no longer needed.
func (d *Driver) checkRuns() {
	now := d.cfg.Now()
	// Calls are made outside of the view: they read the state themselves, and a nested
	// read lock would deadlock with a writer that waits for the outer one.
	var start, stop []*run
	d.cfg.Machine.View(func(v *workflow.View) {
		d.adoptPlaced(v, now)
		for r := range d.runs.all() {
			task := v.Task(r.task)
			if task == nil || task.TargetOf(r.attempt) == "" {
				if r.phase == runEnded || now.Sub(r.placedAt) > time.Second {
					d.noteLateStart(r)
					d.noteUnsettled(r)
					d.runs.remove(r.id())
				}
				continue
			}
			mustStop := !runNeeded(task)
			r.evacuated = r.phase == runUnanswered && d.inEvacuatedZone(v, r)
			if r.phase == runConfirmed && (d.stalled(task, r, now) || d.mustSaveNow(task, r, now)) {
				mustStop = true
			}
			switch d.checkRun(r, mustStop, task.Spec().Lasting, now) {
			case actionStart:
				start = append(start, r)
			case actionStop:
				stop = append(stop, r)
			}
		}
	})
	for _, r := range start {
		d.queueStart(r)
	}
	for _, r := range stop {
		d.callStop(r)
	}
}

// runNeeded reports whether the runs of a task are still needed.
func runNeeded(task *workflow.Task) bool {
	return !task.Superseded && task.State != pb.TaskState_TASK_STATE_DONE && !workflow.Ended(task.Job.State)
}

// isRelocatable reports whether a task can be stopped and started elsewhere without regard
// to other runs: it is not lasting, not in a gang, and has only one run.
func isRelocatable(task *workflow.Task) bool {
	return !task.Spec().Lasting && !task.Spec().Gang && task.Copy.Target == ""
}

// runAction is the call to make for a run.
type runAction int

const (
	actionNone runAction = iota
	actionStart
	actionStop
)

// adoptPlaced tracks runs that were placed by a command whose outcome was not known. Their
// target may have ended meanwhile.
func (d *Driver) adoptPlaced(v *workflow.View, now time.Time) {
	for id, target := range v.Targets() {
		born := target.BornUnixMs
		if l := d.links[id]; l != nil {
			born = l.target.BornUnixMs
		}
		for _, task := range v.PlacedOn(id) {
			attempt := task.AttemptOn(id)
			if d.runs.find(task.ID, attempt) != nil {
				continue
			}
			d.addRun(&run{
				task: task.ID, attempt: attempt, target: id, born: born,
				phase: runUnanswered, placedAt: now, adopted: true, unanswered: true, pace: unknownPace,
				formerLapseAt: now.Add(d.lateBound() + d.leaseBound()),
			})
		}
	}
}

// checkRun returns the call to make for a run, and ends it if its target is gone. A lasting run
// may be at work although its start has no answer: its start is sent until it is answered or
// listed, or the lease has lapsed. In an evacuated zone no start is sent again: the run is stopped.
func (d *Driver) checkRun(r *run, mustStop, lasting bool, now time.Time) runAction {
	if now.Sub(r.lastCallAt) < retryPause {
		return actionNone
	}
	l := d.links[r.target]
	if l == nil {
		if d.endedIncarnations[incarnation{r.target, r.born}] != nil && !now.Before(r.elsewhereFrom) {
			// The start was committed while the target's incarnation was ending, or another one might have taken it.
			d.endRun(r, pb.EndKind_END_KIND_LOST, "its target is gone")
		}
		return actionNone
	}
	switch r.phase {
	case runConfirmed:
		if mustStop {
			return actionStop
		}
	case runStopping:
		return actionStop
	case runUnanswered:
		switch {
		case l.target.BornUnixMs != r.born:
			d.endAfterRestart(l, r)
		case mustStop, l.leaving:
			return actionStop
		case r.adopted && !l.everListed:
			// The first listing shows whether it already runs.
		case r.evacuated:
			return actionStop
		case !lasting && (now.Sub(r.placedAt) > startRetryPeriod && !r.adopted || now.Sub(r.placedAt) > 3*startRetryPeriod):
			return actionStop
		default:
			return actionStart
		}
	}
	return actionNone
}
