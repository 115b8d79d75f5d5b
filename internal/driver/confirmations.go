package driver

import (
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/confirm"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// repeatWindow is how long after its commit a RepeatedStart allows to send the start again.
const repeatWindow = 2 * time.Second

// mayRepeat reports whether the start of a run may be sent, and asks for the record that it needs if an earlier
// call may still take effect: the next leader must know that there are two of them.
func (d *Driver) mayRepeat(r *run) bool {
	if r.starts.SettledAt().IsZero() || d.cfg.Now().Before(r.repeatUntil) {
		return true
	}
	needed := false
	d.cfg.Machine.View(func(v *workflow.View) {
		task := v.Task(r.task)
		needed = task != nil && endsForGood(task.Spec())
	})
	if needed {
		d.repeatsDue[r] = struct{}{}
		if !d.recordsRepeats {
			d.recordsRepeats = true
			d.background(d.recordRepeats)
		}
	}
	return !needed
}

// recordRepeats commits that starts are sent again until none is left to be sent. It does not wait for the commands
// of the loop, as each start occupies its target meanwhile.
func (d *Driver) recordRepeats() {
	for {
		repeats := d.takeRepeats()
		if len(repeats) == 0 {
			return
		}
		change := new(pb.ChangeTasks)
		for _, r := range repeats {
			change.RepeatedStarts = append(change.RepeatedStarts, d.repeatedStart(r.task.Ref(r.attempt)))
		}
		began := d.cfg.Now()
		if _, err := d.commit(&pb.Command{Body: &pb.Command_ChangeTasks{ChangeTasks: change}}); err != nil {
			event.RepeatsUncommitted.Emit(event.F("starts", len(repeats)), event.Err(err))
			d.giveUpRepeats(repeats)
			continue
		}
		d.allowRepeats(repeats, began)
	}
}

// recordsAhead returns the records that go with the starts of a command, if there are to be any.
func (d *Driver) recordsAhead(starts []*pb.Start) []*pb.RepeatedStart {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !confirm.RecordsAhead(d.loss.Rate()) {
		return nil
	}
	records := make([]*pb.RepeatedStart, len(starts))
	for i, start := range starts {
		records[i] = d.repeatedStart(start.Task)
	}
	return records
}

// repeatedStart returns the record that a start will be sent again within repeatWindow.
func (d *Driver) repeatedStart(task *pb.TaskRef) *pb.RepeatedStart {
	return &pb.RepeatedStart{Task: task, SettlesMs: (d.lateBound() + repeatWindow).Milliseconds()}
}

// endsForGood reports whether a task of a step must not start again once a run has done its work, or its attempts are
// used up, however late the start.
func endsForGood(step *pb.Step) bool { return !step.Lasting && !step.Copies }

// takeRepeats returns the runs whose starts are to be sent again; recording ends with none.
func (d *Driver) takeRepeats() []*run {
	d.mu.Lock()
	defer d.mu.Unlock()
	var repeats []*run
	for r := range d.repeatsDue {
		if d.tracks(r) && r.phase == runCalling {
			repeats = append(repeats, r)
		}
	}
	clear(d.repeatsDue)
	d.recordsRepeats = len(repeats) > 0
	return repeats
}

// giveUpRepeats leaves the runs to checkRuns, which sends their starts again after a pause.
func (d *Driver) giveUpRepeats(repeats []*run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range repeats {
		r.awaitsRepeat = false
		if d.tracks(r) && r.phase == runCalling {
			r.phase = runUnanswered
		}
	}
}

// allowRepeats sends starts again. The commit of their records began at a time.
func (d *Driver) allowRepeats(repeats []*run, began time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range repeats {
		r.repeatUntil = began.Add(repeatWindow)
		again := r.awaitsRepeat
		r.awaitsRepeat = false
		l := d.links[r.target]
		switch {
		case l != nil && l.target.BornUnixMs == r.born && again:
			d.startAgain(r, l)
		case l != nil && l.target.BornUnixMs == r.born:
			d.sendQueued(l)
		case d.tracks(r) && r.phase == runCalling:
			// Its target's incarnation was lost meanwhile.
			r.phase = runUnanswered
		}
	}
}

// endLost ends a run whose target's incarnation is gone. A start that may still reach the next incarnation would make the
// task run there as well, or again: the task starts elsewhere once the next one has taken a stop, or no start can take effect any more.
// Lasting tasks do not wait: nobody serves for them meanwhile.
func (d *Driver) endLost(r *run, reason endReason) {
	if r.phase == runEnded {
		return
	}
	d.cfg.Machine.View(func(v *workflow.View) { r.elsewhereFrom = d.lostRunSettledAt(v, r) })
	if wait := r.elsewhereFrom.Sub(d.cfg.Now()); reason.idMayReturn() && wait > 0 {
		r.phase = runUnanswered
		event.LostRunWaits.Emit(event.F("task", r.task.String()), event.F("attempt", r.attempt), event.F("target", r.target), event.F("born", r.born), event.F("wait_ms", wait.Milliseconds()))
		return
	}
	r.elsewhereFrom = time.Time{}
	d.endRun(r, pb.EndKind_END_KIND_LOST, "its target is gone")
}

// lostRunSettledAt returns when no start of a run that is known to be out can take effect any more. One that a former
// leader may have sent without a record is not waited for: each leader would wait for it anew.
func (d *Driver) lostRunSettledAt(v *workflow.View, r *run) time.Time {
	task := v.Task(r.task)
	if task == nil || !endsForGood(task.Spec()) {
		return time.Time{}
	}
	known := r.starts
	known.Former = false
	settledAt := known.SettledAt()
	if repeated := task.RepeatedStart; r.adopted && repeated.Index > 0 && repeated.Index <= d.adoptedIndex {
		settledAt = later(settledAt, d.repeatSettledAt(repeated))
	}
	return settledAt
}

// repeatSettledAt returns when the starts of which a former leader has committed a record can no longer take effect.
func (d *Driver) repeatSettledAt(r workflow.RepeatedStart) time.Time {
	return d.appliedAt(r.Index).Add(time.Duration(r.SettlesMS) * time.Millisecond)
}

// hasWaitingRuns reports whether runs of an incarnation that is gone have not ended yet.
func (d *Driver) hasWaitingRuns(target *pb.Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for r := range d.runs.on(target.Id) {
		if r.born == target.BornUnixMs && r.phase != runEnded && d.ctx.Err() == nil {
			return true
		}
	}
	return false
}

// noteUnsettled remembers until when the starts of a run that is over may take effect.
func (d *Driver) noteUnsettled(r *run) {
	if at := r.starts.SettledAt(); at.After(d.unsettled[r.task]) {
		d.unsettled[r.task] = at
	}
}

// confirmEnd confirms a committed end to its target once no start of its task can take effect any more.
func (d *Driver) confirmEnd(v *workflow.View, e pendingEnd) {
	settledAt := d.startsSettledAt(v, e.end)
	if now := d.cfg.Now(); now.Before(settledAt) && e.number > e.link.lastCommittedEnd {
		countHeldEnd()
		event.ConfirmationHeld.Emit(event.F("target", e.end.Target), event.F("number", e.number), event.F("task", workflow.TaskIDOf(e.end.Task).String()),
			event.F("attempt", e.end.Task.Attempt), event.F("held_ms", settledAt.Sub(now).Milliseconds()))
	}
	e.link.noteCommittedEnd(e.number, settledAt)
}

// startsSettledAt returns when no start can take effect any more that the end of a run forbids: one of a task that is
// done, or has failed as often as it may. One end as done counts for all members of a gang.
func (d *Driver) startsSettledAt(v *workflow.View, end *pb.End) time.Time {
	task := v.Task(workflow.TaskIDOf(end.Task))
	if end.Kind != pb.EndKind_END_KIND_DONE && end.Kind != pb.EndKind_END_KIND_FAILED || task == nil || !endsForGood(task.Spec()) {
		return time.Time{}
	}
	members := []*workflow.Task{task}
	if task.Spec().Gang {
		members = task.Job.Tasks[task.ID.Occurrence][task.ID.Step]
	}
	var settledAt time.Time
	for _, member := range members {
		settledAt = later(settledAt, d.unsettled[member.ID])
		if repeated := member.RepeatedStart; repeated.Index > 0 && repeated.Index <= d.adoptedIndex {
			settledAt = later(settledAt, d.repeatSettledAt(repeated))
		}
		if r := d.runs.find(member.ID, member.Attempt); r != nil {
			settledAt = later(settledAt, r.starts.SettledAt())
		}
	}
	return settledAt
}

// listsAllItCan reports whether a target can list few more ends while those that it lists may not be confirmed.
func (d *Driver) listsAllItCan(l *link) bool {
	return l.unconfirmed.Len()+d.runs.count(l.target.Id) >= maxEndsListed && l.unconfirmed.Holds(d.cfg.Now())
}
