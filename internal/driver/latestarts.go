package driver

import (
	"context"
	"time"

	"sapphirering/internal/clock"
	"sapphirering/internal/event"
	"sapphirering/internal/workflow"
)

// lateCallBound is how long an unanswered call may be carried out late; the platform
// says seconds.
const lateCallBound = 10 * time.Second

// lateStart is a start without an answer of a run that is over. Its own incarnation
// refuses it, since it knows the run's end; the next one under the same id knows nothing.
type lateStart struct {
	task    workflow.TaskID
	attempt uint32
	until   time.Time
}

// noteLateStart keeps in mind that a start of the run may still be carried out.
func (d *Driver) noteLateStart(r *run) {
	if !r.unanswered {
		return
	}
	now := d.cfg.Now()
	kept := d.lateStarts[r.target][:0]
	for _, late := range d.lateStarts[r.target] {
		if now.Before(late.until) {
			kept = append(kept, late)
		}
	}
	d.lateStarts[r.target] = append(kept, lateStart{r.task, r.attempt, now.Add(lateCallBound)})
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

// refuseLateStart sends the stop of one run until it is answered.
func (d *Driver) refuseLateStart(l *link, late lateStart) {
	call := StopCall{Task: late.task, Attempt: late.attempt, Fence: d.cfg.Epoch}
	for d.cfg.Now().Before(late.until) && d.ctx.Err() == nil && d.cfg.Log.HoldsLease() {
		ctx, cancel := context.WithTimeout(d.ctx, startTimeout)
		_, err := d.cfg.Targets.Stop(ctx, l.address(), call)
		cancel()
		if err == nil {
			event.LateStartRefused.Emit(event.F("task", late.task.String()), event.F("attempt", late.attempt), event.F("target", l.target.Id))
			return
		}
		clock.Sleep(d.ctx, retryPause)
	}
}
