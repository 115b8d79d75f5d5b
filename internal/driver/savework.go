package driver

import (
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/preempt"
	"sapphirering/internal/workflow"
)

// mustSaveNow reports whether a run with checkpoints must be stopped now, so that its work is
// saved before its target is gone.
func (d *Driver) mustSaveNow(task *workflow.Task, r *run, now time.Time) bool {
	if !task.Spec().Checkpoints || !isRelocatable(task) || r.runningSince.IsZero() {
		return false
	}
	goesIn, willGo := d.timeUntilGone(d.links[r.target], now)
	if !willGo {
		return false
	}
	endsIn := time.Duration(d.remainingMS(task, r.target, now)) * time.Millisecond
	if !preempt.MustSave(endsIn, goesIn) || now.Sub(r.lastCallAt) < retryPause {
		return false
	}
	event.TaskSaved.Emit(event.F("task", r.task.String()), event.F("attempt", r.attempt), event.F("target", r.target),
		event.F("target_goes_in", goesIn.String()), event.F("ends_in", endsIn.String()), event.F("worked", now.Sub(r.runningSince).String()))
	return true
}

// timeUntilGone returns the time until a target is gone; false if it is not known to go.
func (d *Driver) timeUntilGone(l *link, now time.Time) (time.Duration, bool) {
	if l == nil {
		return 0, false
	}
	if l.leaving && !l.leavesAt.IsZero() {
		return l.leavesAt.Sub(now), true
	}
	cordonedAt, cordoned := d.waves.cordonedAt(l.target.Vm)
	return cordonedAt.Add(drainTimeout).Sub(now), cordoned
}
