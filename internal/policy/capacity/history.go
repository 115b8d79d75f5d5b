package capacity

import (
	"math"
	"time"
)

const (
	// fastWindow decides when a pool borrows. Bursts of seconds, five times the
	// mean and then a twentieth, even out within it.
	fastWindow = time.Minute
	// slowWindow decides when a pool gives back.
	slowWindow = 5 * time.Minute
)

// History holds the smoothed demand of each pool. A new leader starts with an
// empty one and moves nothing for demand until fastWindow has passed.
type History struct {
	pools map[string]*average
}

// average is the exponentially weighted demand of one pool.
type average struct {
	began time.Time
	last  time.Time
	level float64
	fast  weighted
	slow  weighted
}

// weighted divides by the weight collected so far, so that the first samples
// do not count more than later ones.
type weighted struct{ sum, weight float64 }

func (w *weighted) add(value float64, elapsed, window time.Duration) {
	keep := math.Exp(-elapsed.Seconds() / window.Seconds())
	w.sum = w.sum*keep + value*(1-keep)
	w.weight = w.weight*keep + 1 - keep
}

func (w weighted) value() float64 {
	if w.weight == 0 {
		return 0
	}
	return w.sum / w.weight
}

// demand is what the planner reads.
type demand struct {
	fast, slow float64
	settled    bool
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{pools: make(map[string]*average)} }

// Observe records the units that a pool is asked for from now on.
func (h *History) Observe(pool string, now time.Time, units float64) {
	a := h.pools[pool]
	if a == nil {
		h.pools[pool] = &average{began: now, last: now, level: units}
		return
	}
	a.advance(now)
	a.level = units
}

// advance counts the present level up to now.
func (a *average) advance(now time.Time) {
	elapsed := now.Sub(a.last)
	if elapsed <= 0 {
		return
	}
	a.fast.add(a.level, elapsed, fastWindow)
	a.slow.add(a.level, elapsed, slowWindow)
	a.last = now
}

func (h *History) demand(pool string, now time.Time) demand {
	a := h.pools[pool]
	if a == nil {
		return demand{}
	}
	a.advance(now)
	return demand{fast: a.fast.value(), slow: a.slow.value(), settled: now.Sub(a.began) >= fastWindow}
}
