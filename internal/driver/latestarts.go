package driver

import (
	"slices"
	"time"

	"sapphirering/internal/clock"
	"sapphirering/internal/event"
)

// lateCallBound is how long an unanswered call may be carried out late; the platform
// says seconds.
const lateCallBound = 10 * time.Second

// lateStart is a start without an answer of a run that is over. Its own incarnation
// refuses it, since it knows the run's end; the next one under the same id knows nothing.
type lateStart struct {
	run   runID
	until time.Time
}

// noteLateStart keeps in mind that a start of the run may still be carried out.
func (d *Driver) noteLateStart(r *run) {
	if !r.unanswered {
		return
	}
	late := lateStart{r.id(), d.cfg.Now().Add(lateCallBound)}
	d.lateStarts[r.target] = append(d.lateStarts[r.target], late)
}

// pruneLateStarts forgets starts that are not carried out any more.
func (d *Driver) pruneLateStarts(now time.Time) {
	for target, starts := range d.lateStarts {
		starts = slices.DeleteFunc(starts, func(late lateStart) bool { return now.After(late.until) })
		d.lateStarts[target] = starts
		if len(starts) == 0 {
			delete(d.lateStarts, target)
		}
	}
}

// refuseLateStarts has the new incarnation of a target refuse late starts that were
// meant for the former one.
func (d *Driver) refuseLateStarts(l *link) {
	late := d.lateStarts[l.target.Id]
	delete(d.lateStarts, l.target.Id)
	for _, start := range late {
		d.call(func() { d.refuseLateStart(l, start) })
	}
}

// refuseLateStart sends the stop of one run until it is answered. Any answer is the last
// word: the target has taken it, is another one by now, or hears a newer leader.
func (d *Driver) refuseLateStart(l *link, late lateStart) {
	for d.cfg.Now().Before(late.until) && d.ctx.Err() == nil && d.cfg.Log.HoldsLease() {
		answer, err := d.sendStop(l.address(), late.run)
		if err == nil {
			event.LateStartRefused.Emit(event.F("task", late.run.task.String()), event.F("attempt", late.run.attempt),
				event.F("target", l.target.Id), event.F("answer", answer.Refusal.String()))
			return
		}
		clock.Sleep(d.ctx, retryPause)
	}
}
