package driver

import (
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/workflow"
)

const (
	// A run without progress for stallTime plus stallShare of its expected run time is
	// stopped and started elsewhere. Two listings fit into stallTime.
	stallTime  = 2200 * time.Millisecond
	stallShare = 0.3
	// maxStalls limits how often a task is restarted for lack of progress: a task that
	// stalls on every target must still end at some point.
	maxStalls = 2
)

// stallReason returns why a run should be stopped and started elsewhere, or "", by the
// last listing of its target, received at listed.
func stallReason(r *run, expected time.Duration, listed time.Time) string {
	if r.runningSince.IsZero() || r.progressAt.IsZero() {
		return ""
	}
	if listed.Sub(r.progressAt) > stallTime+time.Duration(stallShare*float64(expected)) {
		return "no progress"
	}
	return ""
}

// stalled reports whether a run is to be stopped for lack of progress; its task then
// starts elsewhere.
func (d *Driver) stalled(task *workflow.Task, r *run, now time.Time) bool {
	spec := task.Spec()
	if !isRelocatable(task) || spec.Fills || task.Attempt > maxStalls || spec.EstimateMs <= 0 {
		return false
	}
	l := d.links[r.target]
	if l == nil || l.failures > 0 {
		// The progress of a run on a silent target is not known.
		return false
	}
	expected := time.Duration(d.expectedOn(task, r)) * time.Millisecond
	if d.cfg.Learning.Quantiles {
		// While little is known of a queue, a run that takes longer than expected is no stalled one.
		expected = max(time.Duration(d.learned.pessimisticOf(task))*time.Millisecond, expected)
	}
	reason := stallReason(r, expected, l.answeredAt)
	if reason == "" || now.Sub(r.lastCallAt) < retryPause {
		return false
	}
	event.RunStalled.Emit(event.F("task", r.task.String()), event.F("attempt", r.attempt), event.F("target", r.target),
		event.F("reason", reason), event.F("percent", r.percent), event.F("expected", expected.String()), event.F("elapsed", now.Sub(r.runningSince).String()))
	d.learned.lastFailedOn[r.task] = r.target
	return true
}
