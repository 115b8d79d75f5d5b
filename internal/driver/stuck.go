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
	// slowFactor times its expected time is where a run counts as slow, if what
	// is left of it would take longer than a whole run elsewhere.
	slowFactor = 2.5
	slowGain   = 1.3
	// slowMargin keeps short runs out: their start takes as long as their work.
	slowMargin = 1500 * time.Millisecond
	// restartCost is what a stop and a new start take.
	restartCost = 700 * time.Millisecond
	// maxRescues bounds how often a task is started anew for want of progress:
	// work that is slow everywhere has to end somewhere.
	maxRescues = 2
)

// rescueReason returns why a run should be stopped and started elsewhere, or "".
func rescueReason(r *run, expected time.Duration, now time.Time) string {
	if r.working.IsZero() || r.movedAt.IsZero() {
		return ""
	}
	if now.Sub(r.movedAt) > standsStill+time.Duration(standsStillShare*float64(expected)) {
		return "it stands still"
	}
	elapsed := now.Sub(r.working)
	if r.percent <= 0 || elapsed < time.Duration(slowFactor*float64(expected))+slowMargin {
		return ""
	}
	left := time.Duration(float64(elapsed) * (fullPace - r.percent) / r.percent)
	if left > time.Duration(slowGain*float64(expected))+restartCost {
		return "it is slow"
	}
	return ""
}

// rescue stops a run without progress; its task starts elsewhere.
func (d *Driver) rescue(task *workflow.Task, r *run, now time.Time) {
	spec := task.Spec()
	if spec.Lasting || spec.Fills || spec.Gang || task.Attempt > maxRescues || spec.EstimateMs <= 0 {
		return
	}
	expected := time.Duration(d.learned.expected(task.Job.Spec.Queue, spec)) * time.Millisecond
	reason := rescueReason(r, expected, now)
	if reason == "" {
		return
	}
	event.RunRescued.Emit(event.F("task", r.task.String()), event.F("attempt", r.attempt), event.F("target", r.target),
		event.F("reason", reason), event.F("percent", r.percent), event.F("expected", expected.String()), event.F("elapsed", now.Sub(r.working).String()))
	d.learned.failed[r.task] = r.target
	if l := d.links[r.target]; l != nil {
		l.health.noteFailure(now)
	}
	d.callStop(r)
}
