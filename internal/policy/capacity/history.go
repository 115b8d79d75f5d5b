package capacity

import (
	"math"
	"time"
)

const (
	// fastWindow is the window of the fast average, which decides when a pool
	// borrows. Bursts of seconds, five times the mean and then a twentieth, average
	// out within it.
	fastWindow = time.Minute
	// slowWindow is the window of the slow average. A pool borrows only if that is
	// high as well, and returns VMs only if both averages are low.
	slowWindow = 5 * time.Minute
)

// History holds the smoothed demand of each pool. A new leader starts with an empty
// history and moves no VM because of demand until fastWindow has passed.
type History struct {
	pools map[string]*average
}

// average holds the exponentially weighted averages of one pool's demand.
type average struct {
	began time.Time
	last  time.Time
	// level is the demand since last, in units.
	level float64
	fast  weightedMean
	slow  weightedMean
}

// weightedMean is an exponentially weighted mean. It divides by the weight collected
// so far, so that the first samples do not count more than later ones.
type weightedMean struct{ sum, weight float64 }

func (w *weightedMean) add(value float64, elapsed, window time.Duration) {
	keep := math.Exp(-elapsed.Seconds() / window.Seconds())
	w.sum = w.sum*keep + value*(1-keep)
	w.weight = w.weight*keep + 1 - keep
}

func (w weightedMean) value() float64 {
	if w.weight == 0 {
		return 0
	}
	return w.sum / w.weight
}

// demand is the smoothed demand of one pool, in units. It is settled once samples
// cover fastWindow.
type demand struct {
	fast, slow float64
	settled    bool
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{pools: make(map[string]*average)} }

// Observe records the demand for units of a pool from now on.
func (h *History) Observe(pool string, now time.Time, units float64) {
	a := h.pools[pool]
	if a == nil {
		h.pools[pool] = &average{began: now, last: now, level: units}
		return
	}
	a.advance(now)
	a.level = units
}

// advance adds the current level up to now to both averages.
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
