package driver

import (
	"context"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/workflow"
)

const (
	// fullPace is the pace at which every run starts, in percent.
	fullPace = 100
	// paceInterval is the time between changes of a filler's pace, so that a listing shows
	// the effect of a change before the next one.
	paceInterval = 700 * time.Millisecond
	// slowDownAt and speedUpAt are fractions of a lasting task's goal for its tail latency:
	// above the one fillers on the same target slow down, below the other they speed up.
	slowDownAt = 0.8
	speedUpAt  = 0.55
	// unknownPace is the pace of a run that a former leader may have slowed.
	unknownPace = -1
	// paceStep is the increase of a filler's pace, in percent.
	paceStep = 20
	// minPace is the pace below which a filler is paused, in percent.
	minPace = 15
)

// paceFillers adapts the pace of fillers to the tail latency of the lasting tasks on
// their target.
func (d *Driver) paceFillers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cfg.Machine.View(func(v *workflow.View) {
		for id, l := range d.links {
			d.paceTarget(v, id, l)
		}
	})
}

func (d *Driver) paceTarget(v *workflow.View, id string, l *link) {
	var fillers []*run
	worst := 0.0
	for _, task := range v.PlacedOn(id) {
		r := d.runOn(task, id)
		if r == nil || r.phase != runConfirmed {
			continue
		}
		spec := task.Spec()
		switch {
		case spec.Fills:
			fillers = append(fillers, r)
		case spec.TailGoalMs > 0:
			worst = max(worst, r.gauge/float64(spec.TailGoalMs))
		}
	}
	now := d.cfg.Now()
	for _, r := range fillers {
		if r.pacing || now.Sub(r.lastCallAt) < paceInterval {
			continue
		}
		pace := nextPace(r.pace, worst)
		if pace != r.pace || pace != unknownPace && r.mayHaveOtherPace(now) {
			d.callPace(l, r, pace, worst)
		}
	}
}

// mayHaveOtherPace reports whether a call without an answer may still change the run's pace, or
// has changed it since the last answer.
func (r *run) mayHaveOtherPace(now time.Time) bool {
	return now.Before(r.latePaceUntil.Add(paceInterval))
}

// nextPace returns a filler's next pace; tail is the tail latency as a fraction of its goal.
func nextPace(pace int, tail float64) int {
	if pace == unknownPace {
		return firstPace(tail)
	}
	switch {
	case tail >= 1:
		return 0
	case tail > slowDownAt:
		pace /= 2
		if pace < minPace {
			pace = 0
		}
	case tail < speedUpAt:
		pace = min(pace+paceStep, fullPace)
	}
	return pace
}

// firstPace returns the pace of a filler whose pace is not known, or unknownPace to leave it.
func firstPace(tail float64) int {
	switch {
	case tail >= 1:
		return 0
	case tail > slowDownAt:
		return fullPace / 2
	case tail < speedUpAt:
		return paceStep
	}
	return unknownPace
}

func (d *Driver) callPace(l *link, r *run, pace int, tail float64) {
	r.pacing, r.lastCallAt = true, d.cfg.Now()
	call := PaceCall{Task: r.task, Attempt: r.attempt, Fence: l.fence, Percent: pace}
	to := l.address()
	d.background(func() {
		if !d.cfg.Log.HoldsLease() {
			return
		}
		ctx, cancel := context.WithTimeout(d.ctx, runCallTimeout)
		defer cancel()
		answer, err := d.cfg.Targets.Pace(ctx, to, call)
		d.mu.Lock()
		defer d.mu.Unlock()
		r.pacing = false
		if err != nil {
			r.latePaceUntil = d.cfg.Now().Add(d.lateBound())
			d.noteNoAnswer(l, "pace", err)
			return
		}
		d.noteClock(l, answer.ClockMS)
		if answer.Refusal == Accepted {
			event.FillerPaceChanged.Emit(event.F("task", r.task.String()), event.F("target", to.ID),
				event.F("from", r.pace), event.F("to", pace), event.F("tail", tail))
			r.pace = pace
		}
	})
}
