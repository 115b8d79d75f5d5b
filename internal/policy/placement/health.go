package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// failuresToExclude is how many different jobs must fail on a worker, with no
	// success in between, before it may be excluded.
	failuresToExclude = 3
	// maxExcludedDivisor limits the excluded workers of a pool to one in four.
	maxExcludedDivisor = 4
	// initialProbeDelay is the time from an exclusion to the first probe. The
	// delay doubles with each failure, up to maxProbeDelay.
	initialProbeDelay = 30 * time.Second
	maxProbeDelay     = 10 * time.Minute
)

// Health distinguishes workers on which every job fails from jobs that fail on
// every worker: a worker is excluded only while other workers of its pool succeed.
type Health struct {
	workers map[string]*workerHealth
}

// workerHealth holds the recent results and the exclusion of one worker.
type workerHealth struct {
	pool string
	// failed holds the distinct jobs that failed since the last success, at most
	// failuresToExclude of them.
	failed     []string
	successes  uint32
	excluded   bool
	probeDelay time.Duration
	nextProbe  time.Time
}

// NewHealth returns a Health without results.
func NewHealth() *Health { return &Health{workers: make(map[string]*workerHealth)} }

// Observe records the result of one attempt of a job on a worker.
func (h *Health) Observe(worker, pool, job string, ok bool, now time.Time) {
	r := h.workers[worker]
	if r == nil {
		r = &workerHealth{}
		h.workers[worker] = r
	}
	r.pool = pool
	if ok {
		*r = workerHealth{pool: pool, successes: r.successes + 1}
		return
	}
	if !slices.Contains(r.failed, job) && len(r.failed) < failuresToExclude {
		r.failed = append(r.failed, job)
	}
	if r.excluded {
		r.probeDelay = min(2*r.probeDelay, maxProbeDelay)
		r.nextProbe = now.Add(r.probeDelay)
	}
}

// Exclude excludes the workers of a pool on which different jobs keep failing and
// returns those that were not excluded before. peers are all workers of the pool.
func (h *Health) Exclude(pool string, peers []string, now time.Time) []string {
	suspects, excluded, healthy := h.classify(peers)
	if healthy == 0 {
		// No worker succeeds: the jobs may be at fault, and no worker is better.
		return nil
	}
	limit := max(1, len(peers)/maxExcludedDivisor)
	var newlyExcluded []string
	for _, name := range suspects {
		if excluded+len(newlyExcluded) >= limit || len(peers) < 2 {
			break
		}
		r := h.workers[name]
		r.excluded, r.probeDelay = true, initialProbeDelay
		r.nextProbe = now.Add(initialProbeDelay)
		newlyExcluded = append(newlyExcluded, name)
	}
	return newlyExcluded
}

// classify returns the workers that are candidates for exclusion, the number of
// excluded workers and the number whose last result was a success.
func (h *Health) classify(peers []string) (suspects []string, excluded, healthy int) {
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

// State returns whether a worker is excluded and whether its next probe is due.
func (h *Health) State(worker string, now time.Time) (excluded, probe bool) {
	r := h.workers[worker]
	if r == nil || !r.excluded {
		return false, false
	}
	return true, !now.Before(r.nextProbe)
}

// ProbeStarted postpones the next probe by the worker's probe delay, so that no
// second one starts while the first is running.
func (h *Health) ProbeStarted(worker string, now time.Time) {
	if r := h.workers[worker]; r != nil && r.excluded {
		r.nextProbe = now.Add(r.probeDelay)
	}
}

// Forget removes the workers that are no longer known.
func (h *Health) Forget(known func(worker string) bool) {
	for name := range h.workers {
		if !known(name) {
			delete(h.workers, name)
		}
	}
}
