// Package clock estimates the cluster's time of day. The leader stamps
// commands with it. One VM whose wall clock is wrong must not move that time:
// ids carry their date, and a stamp hours ahead would make every new id look
// too old. The estimate is the median over the daemons' clocks, and each
// daemon's own clock is read once and then counted on monotonically.
package clock

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSampleAge is how long a peer's reading counts.
	maxSampleAge = 30 * time.Second
	// SkewLimit is the offset of the own clock from which on it counts as wrong.
	SkewLimit = 2 * time.Second
)

// sample is the offset of a peer's clock from the own one.
type sample struct {
	offset time.Duration
	taken  time.Duration
}

// Estimator estimates the cluster's time of day. It is safe for concurrent use.
type Estimator struct {
	started time.Time
	now     func() time.Time

	mu      sync.Mutex
	samples map[string]sample
	// offset of the cluster's time from the own clock.
	offset time.Duration
}

// New returns an estimator that knows the own clock only. now must be
// monotonic, as time.Now is.
func New(now func() time.Time) *Estimator {
	return &Estimator{started: now(), now: now, samples: make(map[string]sample)}
}

// elapsed is the monotonic time since the start.
func (e *Estimator) elapsed() time.Duration { return e.now().Sub(e.started) }

// OwnMS returns the own clock, in Unix milliseconds: the wall clock at the
// start, counted on monotonically.
func (e *Estimator) OwnMS() int64 {
	return e.started.Add(e.elapsed()).UnixMilli()
}

// NowMS returns the estimate, in Unix milliseconds.
func (e *Estimator) NowMS() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.OwnMS() + e.offset.Milliseconds()
}

// Offset returns how far the cluster's time is ahead of the own clock.
func (e *Estimator) Offset() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.offset
}

// Observe takes a peer's own clock, as it sent it with a renewal. The leader
// calls it; the delay of the link counts as error.
func (e *Estimator) Observe(peer string, ownMS int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := e.elapsed()
	e.samples[peer] = sample{offset: time.Duration(ownMS-e.OwnMS()) * time.Millisecond, taken: at}
	for name, s := range e.samples {
		if at-s.taken > maxSampleAge {
			delete(e.samples, name)
		}
	}
	e.offset = e.median()
}

// median returns the middle offset over the own clock and all samples. Of two
// middle values it takes the one nearer to the present estimate.
func (e *Estimator) median() time.Duration {
	offsets := []time.Duration{0}
	for _, s := range e.samples {
		offsets = append(offsets, s.offset)
	}
	slices.Sort(offsets)
	high := offsets[len(offsets)/2]
	if len(offsets)%2 == 1 {
		return high
	}
	low := offsets[len(offsets)/2-1]
	if (e.offset - low).Abs() <= (high - e.offset).Abs() {
		return low
	}
	return high
}

// Adopt takes the cluster's time from the leader. A follower calls it, so that
// it goes on from the same time when it becomes the leader.
func (e *Estimator) Adopt(clusterMS int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.samples)
	e.offset = time.Duration(clusterMS-e.OwnMS()) * time.Millisecond
}
