package driver

import (
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/policy/warmup"
	"sapphirering/internal/workflow"
)

// noteWarmup records how much longer the target is slow, as it has announced now.
func (l *link) noteWarmup(left time.Duration, now time.Time) {
	if left <= 0 {
		l.warmAt, l.warmup = time.Time{}, 0
		return
	}
	if l.warmupLeft(now) == 0 {
		l.warmup = 0
		event.TargetCold.Emit(event.F("target", l.target.Id), event.F("zone", l.target.Zone), event.F("for", left.String()))
	}
	l.warmAt, l.warmup = now.Add(left), max(l.warmup, left)
}

// warmupLeft returns how much longer the target is slow, 0 if it is not.
func (l *link) warmupLeft(now time.Time) time.Duration { return max(l.warmAt.Sub(now), 0) }

// offered returns the free room that a target offers: one that is slow offers a growing share of its processors.
func (l *link) offered(now time.Time, capacity, free workflow.Resources) workflow.Resources {
	left := l.warmupLeft(now)
	if left == 0 {
		return free
	}
	held := capacity.CPUMillis - int64(warmup.Share(left, l.warmup)*float64(capacity.CPUMillis))
	free.CPUMillis -= held
	return free
}

// expectedOn returns the expected run time of a run of a task in milliseconds: longer if the run began while its
// target was slow.
func (d *Driver) expectedOn(task *workflow.Task, r *run) int64 {
	expected := d.learned.expectedOf(task)
	if r == nil || r.coldFor == 0 {
		return expected
	}
	return expected + warmup.Delay(time.Duration(expected)*time.Millisecond, r.coldFor).Milliseconds()
}
