package driver

import (
	"maps"
	"slices"
	"time"

	"sapphirering/internal/clock"
	"sapphirering/internal/event"
	"sapphirering/internal/workflow"
)

// lateCallBound is the default of Limits.LateCalls: an unanswered call may take effect up to 12 s
// after it was sent, and the time on its way.
const lateCallBound = 15 * time.Second

// lateStart is an unanswered start of a run that is over. The incarnation that it was sent
// to knows the run's end and refuses it; the next one with the same id would accept it.
type lateStart struct {
	run   runID
	until time.Time
}

// noteLateStart records that a start of the run, which is over, may still take effect. If the
// next incarnation of its target is known, that is told to refuse it, as are later ones.
func (d *Driver) noteLateStart(r *run) {
	if !r.unanswered && r.startsInProgress == 0 {
		return
	}
	late := lateStart{r.id(), d.cfg.Now().Add(d.lateBound())}
	if l := d.links[r.target]; l != nil && l.target.BornUnixMs != r.born {
		d.background(func() { d.refuseLateStart(l, late) })
	}
	d.lateStarts[r.target] = append(d.lateStarts[r.target], late)
}

// pruneLateStarts removes starts that can no longer take effect.
func (d *Driver) pruneLateStarts(now time.Time) {
	maps.DeleteFunc(d.unsettled, func(_ workflow.TaskID, until time.Time) bool { return !now.Before(until) })
	for target, starts := range d.lateStarts {
		starts = slices.DeleteFunc(starts, func(late lateStart) bool { return now.After(late.until) })
		d.lateStarts[target] = starts
		if len(starts) == 0 {
			delete(d.lateStarts, target)
		}
	}
}

// refuseLateStarts makes the new incarnation of a target refuse late starts that were
// sent to the former one.
func (d *Driver) refuseLateStarts(l *link) {
	for _, start := range d.lateStarts[l.target.Id] {
		d.background(func() { d.refuseLateStart(l, start) })
	}
}

// refuseLateStart sends the stop of one run until the target has taken it, is another one by
// now, or has a newer leader.
func (d *Driver) refuseLateStart(l *link, late lateStart) {
	for d.cfg.Now().Before(late.until) && d.ctx.Err() == nil && d.cfg.Log.HoldsLease() {
		answer, err := d.sendStop(l.address(), l.fence, late.run)
		if err == nil && answer.Refusal != RefusedUnhealthy && answer.Refusal != RefusedInvalid {
			event.LateStartRefused.Emit(event.F("task", late.run.task.String()), event.F("attempt", late.run.attempt),
				event.F("target", l.target.Id), event.F("answer", answer.Refusal.String()))
			return
		}
		clock.Sleep(d.ctx, retryPause)
	}
}
