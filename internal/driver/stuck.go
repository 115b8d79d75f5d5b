package driver

import (
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/workflow"
)

const (
	// standsStill is how long a run may show no progress, beyond a part of its
	// expected time, before it is stopped and started elsewhere. Two listings
	// fit into it.
	standsStill      = 2200 * time.Millisecond
	standsStillShare = 0.3
	// maxStalls bounds how often a task is started anew for want of progress:
	// work that stands still everywhere has to end somewhere.
	maxStalls = 2
)

// stallReason returns why a run should be stopped and started elsewhere, or "", by what
// its target listed last.
func stallReason(r *run, expected time.Duration, listed time.Time) string {
	if r.working.IsZero() || r.movedAt.IsZero() {
		return ""
	}
	if listed.Sub(r.movedAt) > standsStill+time.Duration(standsStillShare*float64(expected)) {
		return "it stands still"
	}
	return ""
}

// stalled reports whether a run without progress is to stop; its task starts
// elsewhere.
func (d *Driver) stalled(task *workflow.Task, r *run, now time.Time) bool {
	spec := task.Spec()
	if !standsAlone(task) || spec.Fills || task.Attempt > maxStalls || spec.EstimateMs <= 0 {
		return false
	}
	l := d.links[r.target]
	if l == nil || l.failures > 0 {
		// Whether a run on a silent target gets on is not known.
		return false
	}
	expected := time.Duration(d.learned.expectedOf(task)) * time.Millisecond
	reason := stallReason(r, expected, l.answeredAt)
	if reason == "" || now.Sub(r.lastCall) < retryPause {
		return false
	}
	event.RunStalled.Emit(event.F("task", r.task.String()), event.F("attempt", r.attempt), event.F("target", r.target),
		event.F("reason", reason), event.F("percent", r.percent), event.F("expected", expected.String()), event.F("elapsed", now.Sub(r.working).String()))
	d.learned.failed[r.task] = r.target
	return true
}
