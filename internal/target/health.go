package target

import (
	"math"
	"time"

	"sapphirering/internal/event"
)

const (
	// healthHalfLife is when an old result counts half.
	healthHalfLife = 10 * time.Second
	// minResults is the weight of results below which a target is not judged.
	minResults = 8
	// ejectFailureRate is the failure rate above which a target may be ejected.
	ejectFailureRate = 0.5
	// peerFactor is how many times worse than its peers an ejected target is.
	peerFactor = 2
	// maxEjectedPart bounds the ejected targets of a pool to one in maxEjectedPart.
	maxEjectedPart = 3
	firstEjection  = 5 * time.Second
	longestEject   = 5 * time.Minute
	// probesToReturn is how many probes in a row re-admit a target.
	probesToReturn = 3
)

// health counts what became of the work that a target started.
type health struct {
	good, failed float64
	updated      time.Time
	// Ejections in a row; each doubles the time out.
	ejections int
	ejected   bool
	// While ejected, one probe at a time is sent after probeAfter.
	probeAfter time.Time
	probesGood int
}

// add counts one result; older ones fade.
func (h *health) add(now time.Time, failed bool) {
	fade := math.Exp2(-now.Sub(h.updated).Seconds() / healthHalfLife.Seconds())
	h.good *= fade
	h.failed *= fade
	h.updated = now
	if failed {
		h.failed++
	} else {
		h.good++
	}
}

func (h *health) results() float64 { return h.good + h.failed }

func (h *health) failureRate() float64 {
	if h.results() == 0 {
		return 0
	}
	return h.failed / h.results()
}

func (h *health) eject(now time.Time) {
	out := firstEjection << min(h.ejections, 10)
	h.ejections++
	h.ejected, h.probesGood = true, 0
	h.probeAfter = now.Add(min(out, longestEject))
}

// probe counts the result of a probe; it reports whether the target is back.
func (h *health) probe(now time.Time, failed bool) bool {
	if failed {
		h.eject(now)
		return false
	}
	h.probesGood++
	if h.probesGood < probesToReturn {
		return false
	}
	*h = health{updated: now}
	return true
}

// Observe records what became of work that a VM started: failed is true when
// it broke or answered with a server error.
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
		if t.health.probe(now, failed) {
			event.TargetReadmitted.Emit(event.F("vm", name))
		}
		return
	}
	t.health.add(now, failed)
	if failed && r.isOutlier(t) {
		t.health.eject(now)
		event.TargetEjected.Emit(event.F("vm", name), event.F("until", t.health.probeAfter))
	}
}

// isOutlier compares a target with the others of its pool. A pool that fails
// as a whole has no outlier, and only a bounded part of a pool is ejected.
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
			peers.good += other.health.good
			peers.failed += other.health.failed
		}
	}
	if (ejected+1)*maxEjectedPart > members || peers.results() < minResults {
		return false
	}
	return t.health.failureRate() >= peerFactor*peers.failureRate()
}

func (r *Registry) poolOf(t *Target) string {
	if vm := r.machine.VM(t.Announcement.VM); vm != nil {
		return vm.Pool
	}
	return ""
}
