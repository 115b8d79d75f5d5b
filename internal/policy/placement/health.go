package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// failuresToExclude is how many different jobs must fail in a row on a worker.
	failuresToExclude = 3
	// maxExcludedFraction is the part of a pool that may be excluded: one in four.
	maxExcludedFraction = 4
	// firstProbeAfter is when the first probe follows an exclusion; it doubles.
	firstProbeAfter = 30 * time.Second
	maxProbeAfter   = 10 * time.Minute
)

// Health tells workers that fail everything they start from jobs that fail
// everywhere: a failure counts against a worker only while its peers succeed.
type Health struct {
	workers map[string]*record
}

type record struct {
	pool string
	// failed holds the different jobs that failed since the last success.
	failed     []string
	successes  uint32
	excluded   bool
	probeAfter time.Duration
	nextProbe  time.Time
}

// NewHealth returns a record without results.
func NewHealth() *Health { return &Health{workers: make(map[string]*record)} }

// Observe records the end of one attempt.
func (h *Health) Observe(worker, pool, job string, ok bool, now time.Time) {
	r := h.workers[worker]
	if r == nil {
		r = &record{}
		h.workers[worker] = r
	}
	r.pool = pool
	if ok {
		*r = record{pool: pool, successes: r.successes + 1}
		return
	}
	if !slices.Contains(r.failed, job) && len(r.failed) < failuresToExclude {
		r.failed = append(r.failed, job)
	}
	if r.excluded {
		r.probeAfter = min(2*r.probeAfter, maxProbeAfter)
		r.nextProbe = now.Add(r.probeAfter)
	}
}

// Exclude decides anew which workers of a pool are excluded and returns those
// that were not before. peers are all workers of the pool.
func (h *Health) Exclude(pool string, peers []string, now time.Time) []string {
	suspects, excluded, healthy := h.split(peers)
	if healthy == 0 {
		// Everything fails: the jobs are at fault, or nothing is left to prefer.
		return nil
	}
	limit := max(1, len(peers)/maxExcludedFraction)
	var fresh []string
	for _, name := range suspects {
		if excluded+len(fresh) >= limit || len(peers) < 2 {
			break
		}
		r := h.workers[name]
		r.excluded, r.probeAfter = true, firstProbeAfter
		r.nextProbe = now.Add(firstProbeAfter)
		fresh = append(fresh, name)
	}
	return fresh
}

// split returns the workers that look like failing everything, how many are
// excluded and how many have succeeded since their last failure.
func (h *Health) split(peers []string) (suspects []string, excluded, healthy int) {
	for _, name := range peers {
		r := h.workers[name]
		switch {
		case r == nil:
		case r.excluded:
			excluded++
		case len(r.failed) >= failuresToExclude:
			suspects = append(suspects, name)
		case r.successes > 0 && len(r.failed) == 0:
			healthy++
		}
	}
	slices.SortFunc(suspects, func(a, b string) int {
		return cmp.Or(cmp.Compare(h.workers[a].successes, h.workers[b].successes), cmp.Compare(a, b))
	})
	return suspects, excluded, healthy
}

// State returns whether a worker is excluded and whether it is due for a probe.
func (h *Health) State(worker string, now time.Time) (excluded, probe bool) {
	r := h.workers[worker]
	if r == nil || !r.excluded {
		return false, false
	}
	return true, !now.Before(r.nextProbe)
}

// ProbeStarted holds the next probe back while one is running.
func (h *Health) ProbeStarted(worker string, now time.Time) {
	if r := h.workers[worker]; r != nil && r.excluded {
		r.nextProbe = now.Add(r.probeAfter)
	}
}

// Forget drops workers that left the fleet.
func (h *Health) Forget(known func(worker string) bool) {
	for name := range h.workers {
		if !known(name) {
			delete(h.workers, name)
		}
	}
}
