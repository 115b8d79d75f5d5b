package target

import (
	"math"
	"time"

	"sapphirering/internal/event"
)

const (
	// healthHalfLife is the age at which a result counts half.
	healthHalfLife = 10 * time.Second
	// minResults is the sum of the decayed results below which a target is not
	// ejected, and below which its peers are no basis for comparison.
	minResults = 8
	// ejectFailureRate is the failure rate from which a target may be ejected.
	ejectFailureRate = 0.5
	// outlierFactor is how many times the failure rate of its peers a target must
	// reach to be ejected.
	outlierFactor = 2
	// minTargetsPerEjected bounds ejection: of a pool's targets, at most one in
	// minTargetsPerEjected is ejected.
	minTargetsPerEjected = 3
	firstEjectionTime    = 5 * time.Second
	maxEjectionTime      = 5 * time.Minute
	// probesToReadmit is how many successful probes in a row re-admit a target.
	probesToReadmit = 3
)

// health counts the results of work on a target and holds its ejection state.
type health struct {
	succeeded, failed float64
	updated           time.Time
	// Ejections in a row; each one doubles the time until the first probe.
	ejections int
	ejected   bool
	// While the target is ejected, one probe at a time is sent after probeAfter.
	probeAfter      time.Time
	probesSucceeded int
}

// record counts one result. Older results decay exponentially.
func (h *health) record(now time.Time, failed bool) {
	decay := math.Exp2(-now.Sub(h.updated).Seconds() / healthHalfLife.Seconds())
	h.succeeded *= decay
	h.failed *= decay
	h.updated = now
	if failed {
		h.failed++
	} else {
		h.succeeded++
	}
}

func (h *health) results() float64 { return h.succeeded + h.failed }

func (h *health) failureRate() float64 {
	if h.results() == 0 {
		return 0
	}
	return h.failed / h.results()
}

func (h *health) eject(now time.Time) {
	duration := firstEjectionTime << min(h.ejections, 10)
	h.ejections++
	h.ejected, h.probesSucceeded = true, 0
	h.probeAfter = now.Add(min(duration, maxEjectionTime))
}

// recordProbe counts the result of a probe and reports whether the target is
// re-admitted.
func (h *health) recordProbe(now time.Time, failed bool) bool {
	if failed {
		h.eject(now)
		return false
	}
	h.probesSucceeded++
	if h.probesSucceeded < probesToReadmit {
		return false
	}
	*h = health{updated: now}
	return true
}

// Observe records the result of work on a VM. failed is true when the connection
// failed or the answer was a server error.
func (r *Registry) Observe(vm string, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.targets[vm]; t != nil {
		r.observe(t, failed)
	}
}

func (r *Registry) observe(t *Target, failed bool) {
	now := r.now()
	name := t.Announcement.VM
	if t.health.ejected {
		if t.health.recordProbe(now, failed) {
			event.TargetReadmitted.Emit(event.F("vm", name))
		}
		return
	}
	t.health.record(now, failed)
	if failed && r.isOutlier(t) {
		t.health.eject(now)
		event.TargetEjected.Emit(event.F("vm", name), event.F("until", t.health.probeAfter))
	}
}

// isOutlier reports whether the target fails so much more often than the others
// of its pool that it is to be ejected. A pool that fails as a whole has no
// outlier, and at most one target in minTargetsPerEjected is ejected.
func (r *Registry) isOutlier(t *Target) bool {
	if t.health.results() < minResults || t.health.failureRate() < ejectFailureRate {
		return false
	}
	pool := r.poolOf(t)
	var peers health
	members, ejected := 0, 0
	for _, other := range r.targets {
		if r.poolOf(other) != pool || r.now().Sub(other.Seen) > MaxAnnouncementAge {
			continue
		}
		members++
		if other.health.ejected {
			ejected++
		} else if other != t {
			peers.succeeded += other.health.succeeded
			peers.failed += other.health.failed
		}
	}
	if (ejected+1)*minTargetsPerEjected > members || peers.results() < minResults {
		return false
	}
	return t.health.failureRate() >= outlierFactor*peers.failureRate()
}

func (r *Registry) poolOf(t *Target) string {
	if vm := r.machine.VM(t.Announcement.VM); vm != nil {
		return vm.Pool
	}
	return ""
}
