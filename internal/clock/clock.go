// Package clock estimates the cluster's time of day, with which the leader
// stamps commands. One VM with a wrong wall clock must not shift that time:
// ids contain their date, and a stamp hours ahead would make every new id look
// too old. The estimate is therefore the median of the daemons' clocks. Each
// daemon reads its wall clock once at the start and adds monotonic time to it.
package clock

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSampleAge is how long a sample of a peer's clock is used.
	maxSampleAge = 30 * time.Second
	// SkewLimit is the offset from the cluster's time above which the own clock
	// is reported as wrong.
	SkewLimit = 2 * time.Second
)

// sample is the offset of a peer's clock from the own clock, and the elapsed
// time at which it was taken.
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
	// offset is the cluster's time minus the own clock.
	offset time.Duration
}

// New returns an estimator that knows only its own clock. The times that now
// returns must have a monotonic reading, as those of time.Now have.
func New(now func() time.Time) *Estimator {
	return &Estimator{started: now(), now: now, samples: make(map[string]sample)}
}

// elapsed returns the monotonic time since the start.
func (e *Estimator) elapsed() time.Duration { return e.now().Sub(e.started) }

// OwnMS returns the own clock, in Unix milliseconds: the wall clock at the
// start plus the monotonic time since.
func (e *Estimator) OwnMS() int64 {
	return e.started.Add(e.elapsed()).UnixMilli()
}

// NowMS returns the estimate of the cluster's time, in Unix milliseconds.
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

// Observe records the clock that a peer sent with a renewal of its session. The
// leader calls it. The delay of the link makes the sample too low.
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

// median returns the median offset of the own clock and all samples. Of two
// middle values it returns the one closer to the current estimate.
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

// Adopt sets the estimate to the cluster's time as the leader sent it. A follower
// calls it, so that it continues from the same time when it becomes the leader.
func (e *Estimator) Adopt(clusterMS int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.samples)
	e.offset = time.Duration(clusterMS-e.OwnMS()) * time.Millisecond
}
