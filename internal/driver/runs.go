package driver

import (
	"context"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

const (
	// startTimeout bounds one call that starts, stops or paces a run.
	startTimeout = time.Second
	// startPatience is how long an unanswered start is sent again before the
	// run is stopped and the task placed elsewhere.
	startPatience = 1500 * time.Millisecond
)

type runPhase int

// Phases of a run in the leader's memory.
const (
	// runCalling: a start call is under way.
	runCalling runPhase = iota
	// runUnanswered: the last start call got no answer; it may be carried out yet.
	runUnanswered
	// runConfirmed: the target has accepted the start.
	runConfirmed
	// runStopping: stop calls are sent until one is answered.
	runStopping
	// runStopped: the target has taken the stop; the run never starts from here on.
	runStopped
	// runEnded: the end waits to be committed.
	runEnded
)

// runID names one run of a task.
type runID struct {
	task    workflow.TaskID
	attempt uint32
}

// run is one run of a placed task. The driver's mutex guards it.
type run struct {
	task    workflow.TaskID
	attempt uint32
	target  string
	born    int64
	phase   runPhase
	// unanswered tells that some start call may still be carried out.
	unanswered bool
	// listed tells that its own incarnation has listed it. The answer to a start does
	// not tell which incarnation gave it.
	listed bool
	// adopted runs were placed under a former leader.
	adopted bool
	// planned is when the start was decided on; zero for runs that were adopted.
	planned time.Time
	// begun is when the run was placed, settled when its phase last changed by
	// an answer, working when it was first known to run.
	begun, settled, working time.Time
	lastCall                time.Time
	// percent and movedAt tell whether the run gets on.
	percent float64
	movedAt time.Time
	// pace is the share of its speed that the run was told to work at.
	pace   int
	pacing bool
	gauge  float64
}

func (r *run) id() runID { return runID{r.task, r.attempt} }

// addRun begins to look after a run.
func (d *Driver) addRun(r *run) { d.runs.add(r) }

// runOn returns the run of a task on a target, or nil.
func (d *Driver) runOn(task *workflow.Task, target string) *run {
	return d.runs.of(task.ID, task.AttemptOn(target))
}

// knows reports whether the run is still looked after.
func (d *Driver) knows(r *run) bool { return d.runs.of(r.task, r.attempt) == r }

// beginRuns calls the targets for committed starts that were planned at a time.
func (d *Driver) beginRuns(starts []*pb.Start, refused map[workflow.TaskID]bool, planned time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	for _, start := range starts {
		id := workflow.RefID(start.Task)
		if refused[id] {
			continue
		}
		r := &run{
			task: id, attempt: start.Task.Attempt, target: start.Target, born: start.TargetBornUnixMs,
			phase: runCalling, planned: planned, begun: now, pace: fullPace,
		}
		d.addRun(r)
		d.callStart(r)
	}
}

// startLanes bounds the start calls to one target at a time: starts come by the dozen, and
// each call of its own would open a connection.
const startLanes = 2

// callStart queues a start call to the run's target.
func (d *Driver) callStart(r *run) {
	l := d.links[r.target]
	if l == nil || l.target.BornUnixMs != r.born {
		r.phase = runUnanswered
		return
	}
	if l.failures > 0 && r.unanswered {
		return
	}
	r.phase = runCalling
	l.starts = append(l.starts, r)
	if l.lanes < startLanes {
		l.lanes++
		d.call(func() { d.sendStarts(l) })
	}
}

// sendStarts sends the queued starts of a target, one after the other.
func (d *Driver) sendStarts(l *link) {
	for {
		r, call, open := d.nextStart(l)
		if r == nil {
			return
		}
		if !d.cfg.Log.HoldsLease() {
			d.takeStart(r, open, Answer{}, ErrNoLease, false)
			continue
		}
		ctx, cancel := context.WithTimeout(d.ctx, startTimeout)
		began := d.cfg.Now()
		answer, err := d.cfg.Targets.Start(ctx, l.address(), call)
		cancel()
		observeCall("start", began, d.cfg.Now(), err)
		d.takeStart(r, open, answer, err, true)
	}
}

// nextStart takes the next start off a target's queue; nil ends the lane.
func (d *Driver) nextStart(l *link) (*run, StartCall, *openCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(l.starts) > 0 {
		r := l.starts[0]
		l.starts = l.starts[1:]
		if !d.knows(r) || r.phase != runCalling {
			continue
		}
		if d.links[r.target] != l {
			r.phase = runUnanswered
			continue
		}
		call, ok := d.startCall(r, l)
		if !ok {
			r.phase = runUnanswered
			continue
		}
		r.lastCall = d.cfg.Now()
		return r, call, d.openCall(l, answerTime)
	}
	l.lanes--
	return nil, StartCall{}, nil
}

// dropStarts gives back the tasks whose starts are queued behind a call that got no
// answer: nothing was sent for them, and they may start elsewhere at once.
func (d *Driver) dropStarts(l *link) {
	for _, r := range l.starts {
		switch {
		case !d.knows(r) || r.phase != runCalling:
		case r.unanswered:
			r.phase = runUnanswered
		default:
			d.endRun(r, pb.EndKind_END_KIND_NOT_RUN, "its target is silent, no start was sent")
		}
	}
	l.starts = nil
}

// startCall returns the call for a run that is still wanted.
func (d *Driver) startCall(r *run, l *link) (StartCall, bool) {
	call := StartCall{Task: r.task, Attempt: r.attempt, Fence: d.cfg.Epoch, LeaseUntilMS: d.grant(l), Ticket: d.ticketFor(r.task, l)}
	found := false
	d.cfg.Machine.View(func(v *workflow.View) {
		task := v.Task(r.task)
		if task == nil || task.TargetOf(r.attempt) == "" || !wanted(task) {
			return
		}
		call.Payload, call.Checkpoint, found = task.Job.Spec.Payload, task.Checkpoint, true
	})
	return call, found && call.LeaseUntilMS != 0
}

// takeStart takes in the answer to a start call.
func (d *Driver) takeStart(r *run, open *openCall, answer Answer, err error, sent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	open.close()
	if !d.knows(r) || r.phase != runCalling {
		if err != nil && sent {
			r.unanswered = true
		}
		return
	}
	now := d.cfg.Now()
	l := d.links[r.target]
	if err != nil {
		r.phase = runUnanswered
		r.unanswered = r.unanswered || sent
		if sent && l != nil {
			d.noteSilence(l, "start", err)
		}
		return
	}
	if l != nil && l.target.BornUnixMs == r.born {
		d.noteClock(l, answer.ClockMS)
		d.noteAnswer(l)
	}
	countStart(answer.Refusal)
	switch answer.Refusal {
	case Accepted:
		r.phase, r.settled, r.working, r.movedAt = runConfirmed, now, now, now
		if !r.planned.IsZero() && !r.unanswered {
			d.learned.startLag.Note(float64(now.Sub(r.planned).Milliseconds()))
		}
		d.cfg.Machine.View(func(v *workflow.View) { d.observeFirstStart(v, r) })
		if l != nil {
			l.wakeLook()
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
		// The listing holds its end, if it ran.
		r.phase, r.settled = runStopped, now
		return
	case RefusedLeaseOver:
		r.phase = runUnanswered
		return
	}
	event.StartRefusedByTarget.Emit(event.F("task", r.task.String()), event.F("attempt", r.attempt),
		event.F("target", r.target), event.F("reason", answer.Refusal.String()))
	switch {
	case l == nil:
	case answer.Refusal == RefusedNoRoom:
		l.unhealthy = now.Add(roomPause)
	case answer.Refusal == RefusedTicket:
		d.dropTicket(r.task, l)
	default:
		l.unhealthy = now.Add(unhealthyPause)
	}
	if r.unanswered {
		// An earlier call for the same run may still be carried out.
		d.callStop(r)
		return
	}
	d.endRun(r, pb.EndKind_END_KIND_NOT_RUN, "refused: "+answer.Refusal.String())
}

const (
	// unhealthyPause is how long a target that refuses as unhealthy gets no starts.
	unhealthyPause = 500 * time.Millisecond
	// roomPause is how long a target whose room differs from the books gets none.
	roomPause = 150 * time.Millisecond
)

// callStop tells the target to end the run, or never to begin it.
func (d *Driver) callStop(r *run) {
	l := d.links[r.target]
	if l == nil {
		return
	}
	r.phase, r.lastCall = runStopping, d.cfg.Now()
	to, born := l.address(), l.target.BornUnixMs
	d.call(func() {
		if !d.cfg.Log.HoldsLease() {
			return
		}
		began := d.cfg.Now()
		answer, err := d.sendStop(to, r.id())
		observeCall("stop", began, d.cfg.Now(), err)
		d.takeStop(r, born, answer, err)
	})
}

// sendStop sends one stop call.
func (d *Driver) sendStop(to Address, id runID) (Answer, error) {
	ctx, cancel := context.WithTimeout(d.ctx, startTimeout)
	defer cancel()
	return d.cfg.Targets.Stop(ctx, to, StopCall{Task: id.task, Attempt: id.attempt, Fence: d.cfg.Epoch})
}

// takeStop takes in the answer to a stop call.
func (d *Driver) takeStop(r *run, born int64, answer Answer, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.links[r.target]
	if !d.knows(r) || r.phase != runStopping || l == nil || l.target.BornUnixMs != born {
		return
	}
	if err != nil {
		d.noteSilence(l, "stop", err)
		return
	}
	d.noteClock(l, answer.ClockMS)
	d.noteAnswer(l)
	switch answer.Refusal {
	case Accepted, RefusedOutdated:
		r.phase, r.settled = runStopped, d.cfg.Now()
		if born != r.born {
			// The run's own incarnation is over, and the new one will not begin it.
			d.endRun(r, pb.EndKind_END_KIND_LOST, "its target was restarted")
			return
		}
		l.wakeLook()
	case OtherIncarnation:
		d.endIncarnation(l, "another target answers at its address")
	}
}

// loseToRestart ends a run whose target has begun a new incarnation. A start that is
// still under way could reach the new incarnation, and one that was answered may have
// been taken by it, so that a stop goes there first.
func (d *Driver) loseToRestart(l *link, r *run) {
	if r.phase == runEnded {
		return
	}
	if r.phase == runConfirmed && r.listed && !r.unanswered {
		d.endRun(r, pb.EndKind_END_KIND_LOST, "its target was restarted")
		return
	}
	d.callStop(r)
}

// endRun queues the end of a run that no listing will tell.
func (d *Driver) endRun(r *run, kind pb.EndKind, reason string) {
	if r.phase == runEnded {
		return
	}
	r.phase = runEnded
	event.RunEndedUnlisted.Emit(event.F("task", r.task.String()), event.F("attempt", r.attempt),
		event.F("target", r.target), event.F("end", kind.String()), event.F("reason", reason))
	d.pending = append(d.pending, pendingEnd{end: &pb.End{Task: r.task.Ref(r.attempt), Target: r.target, Kind: kind}})
	d.kick()
}

// noteEnd marks a run as ended by its target's listing.
func (d *Driver) noteEnd(l *link, task workflow.TaskID, attempt uint32, kind pb.EndKind) {
	r := d.runs.of(task, attempt)
	if r == nil || r.target != l.target.Id || r.phase == runEnded {
		return
	}
	r.phase = runEnded
	d.learnEnd(l, r, kind)
}

// forgetRun drops a run whose end is committed.
func (d *Driver) forgetRun(end *pb.End) {
	if r := d.runs.of(workflow.RefID(end.Task), end.Task.Attempt); r != nil {
		d.noteLateStart(r)
		d.runs.remove(r.id())
	}
}

// takeRunning compares a listing with the runs that should be there.
func (d *Driver) takeRunning(l *link) {
	now := d.cfg.Now()
	listed := make(map[runID]bool, len(l.listing.Running))
	for i := range l.listing.Running {
		running := &l.listing.Running[i]
		id := runID{running.Task, running.Attempt}
		listed[id] = true
		r := d.runs.of(running.Task, running.Attempt)
		if r == nil || r.target != l.target.Id || r.born != l.target.BornUnixMs {
			d.stopUnplaced(l, running)
			continue
		}
		r.listed = true
		if r.phase == runCalling || r.phase == runUnanswered {
			r.phase, r.settled = runConfirmed, now
			if r.working.IsZero() {
				r.working = now
			}
		}
		if running.Percent != r.percent || r.movedAt.IsZero() {
			r.percent, r.movedAt = running.Percent, now
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
		if (r.phase == runConfirmed || r.phase == runStopped) && r.settled.Before(l.listedAt) {
			d.endRun(r, pb.EndKind_END_KIND_NOT_RUN, "the target knows neither the run nor its end")
		}
	}
}

// stopUnplaced ends a run that the state does not hold: one that began late,
// of a task that is placed elsewhere by now.
func (d *Driver) stopUnplaced(l *link, running *Running) {
	event.UnplacedStopped.Emit(event.F("task", running.Task.String()), event.F("attempt", running.Attempt), event.F("target", l.target.Id))
	to, id := l.address(), runID{running.Task, running.Attempt}
	d.call(func() {
		// A stop that fails is sent again after the next listing.
		if _, err := d.sendStop(to, id); err != nil {
			event.TargetSilent.Emit(event.F("target", to.ID), event.F("step", "stop unplaced run"), event.Err(err))
		}
	})
}

// checkRuns sends again what got no answer, and stops what is not wanted any more.
func (d *Driver) checkRuns() {
	now := d.cfg.Now()
	// Calls are made outside of the view: they look at the state themselves, and
	// a second read lock would wait for a writer that waits for the first.
	var start, stop []*run
	d.cfg.Machine.View(func(v *workflow.View) {
		d.adoptPlaced(v, now)
		for r := range d.runs.all() {
			task := v.Task(r.task)
			if task == nil || task.TargetOf(r.attempt) == "" {
				if r.phase == runEnded || now.Sub(r.begun) > time.Second {
					d.noteLateStart(r)
					d.runs.remove(r.id())
				}
				continue
			}
			unwanted := !wanted(task) || v.Queue(task.Job.Spec.Queue) == nil
			if r.phase == runConfirmed && (d.stalled(task, r, now) || d.savesNow(task, r, now)) {
				unwanted = true
			}
			switch d.checkRun(r, unwanted, now) {
			case actionStart:
				start = append(start, r)
			case actionStop:
				stop = append(stop, r)
			}
		}
	})
	for _, r := range start {
		d.callStart(r)
	}
	for _, r := range stop {
		d.callStop(r)
	}
}

// wanted reports whether runs of a task are still needed.
func wanted(task *workflow.Task) bool {
	return !task.Superseded && task.State != pb.TaskState_TASK_STATE_DONE && !workflow.Ended(task.Job.State)
}

// standsAlone reports whether a run of the task can be stopped and started elsewhere
// without a look at others: it is not lasting, no member of a gang, and the only run.
func standsAlone(task *workflow.Task) bool {
	return !task.Spec().Lasting && !task.Spec().Gang && task.Copy.Target == ""
}

// runAction is what is due for a run.
type runAction int

const (
	actionNone runAction = iota
	actionStart
	actionStop
)

// adoptPlaced finds tasks that were placed by a command whose outcome was not known.
func (d *Driver) adoptPlaced(v *workflow.View, now time.Time) {
	for id, l := range d.links {
		placed := v.Placed(id)
		for _, task := range placed {
			attempt := task.AttemptOn(id)
			if d.runs.of(task.ID, attempt) != nil {
				continue
			}
			d.addRun(&run{
				task: task.ID, attempt: attempt, target: id, born: l.target.BornUnixMs,
				phase: runUnanswered, begun: now, adopted: true, unanswered: true, pace: fullPace,
			})
		}
	}
}

// checkRun returns what is due for a run.
func (d *Driver) checkRun(r *run, unwanted bool, now time.Time) runAction {
	if now.Sub(r.lastCall) < retryPause {
		return actionNone
	}
	l := d.links[r.target]
	if l == nil {
		if d.ended[incarnation{r.target, r.born}] {
			// The start was committed while the target's incarnation ended.
			d.endRun(r, pb.EndKind_END_KIND_LOST, "its target is gone")
		}
		return actionNone
	}
	switch r.phase {
	case runConfirmed:
		if unwanted {
			return actionStop
		}
	case runStopping:
		return actionStop
	case runUnanswered:
		switch {
		case l.target.BornUnixMs != r.born:
			d.loseToRestart(l, r)
		case unwanted, l.leaving, now.Sub(r.begun) > startPatience && !r.adopted, now.Sub(r.begun) > 3*startPatience:
			return actionStop
		case r.adopted && !l.looked:
			// The first listing tells whether it runs already.
		default:
			return actionStart
		}
	}
	return actionNone
}
