package driver

import (
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/preempt"
	"sapphirering/internal/workflow"
)

// savesNow reports whether a run is to stop so that its work is saved before its target
// goes.
func (d *Driver) savesNow(task *workflow.Task, r *run, now time.Time) bool {
	if !task.Spec().Checkpoints || !standsAlone(task) || r.working.IsZero() {
		return false
	}
	goesIn, goes := d.goesIn(d.links[r.target], now)
	if !goes {
		return false
	}
	endsIn := time.Duration(d.remainingMS(task, r.target, now)) * time.Millisecond
	if !preempt.MustSave(endsIn, goesIn) || now.Sub(r.lastCall) < retryPause {
		return false
	}
	event.TaskSaved.Emit(event.F("task", r.task.String()), event.F("attempt", r.attempt), event.F("target", r.target),
		event.F("target_goes_in", goesIn.String()), event.F("ends_in", endsIn.String()), event.F("worked", now.Sub(r.working).String()))
	return true
}

// goesIn returns in what time a target is known to go, and whether it goes at all.
func (d *Driver) goesIn(l *link, now time.Time) (time.Duration, bool) {
	switch {
	case l == nil:
		return 0, false
	case l.leaving && !l.leavesAt.IsZero():
		return l.leavesAt.Sub(now), true
	case d.waves.cordoned[l.target.Vm]:
		return d.waves.since[l.target.Vm].Add(drainPatience).Sub(now), true
	}
	return 0, false
}
