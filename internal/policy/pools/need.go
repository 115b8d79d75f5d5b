package pools

const (
	// lateWithinMS is the time within which work that is late should end.
	lateWithinMS = 12_000
	// finishMargin is the part of the time left in which the work should end.
	finishMargin = 0.6
)

// Work is what is left of one job.
type Work struct {
	// MillisMS is processor room times run time, ChainMS the longest chain of it,
	// tasks that run now counted in full in both.
	MillisMS, ChainMS int64
	// RunMS is how long the first link of the chain has run already.
	RunMS int64
	// LeftMS is the time until its objective ends; negative once it is over.
	LeftMS int64
	// Waits tells that tasks that could run have no room.
	Waits bool
}

// Need returns the room with which the work ends in the time that is left, or as
// fast as its chain allows; and the part of that room which the work no longer
// asks for after aheadMS, since it runs on until then.
func (w Work) Need(aheadMS int64) (now, passing int64) {
	now = w.need()
	if w.Waits || w.ChainMS <= 0 {
		return now, 0
	}
	chain := w.ChainMS - w.RunMS - aheadMS
	if chain <= 0 {
		return now, now
	}
	rest := Work{MillisMS: w.MillisMS * chain / w.ChainMS, ChainMS: chain, LeftMS: w.LeftMS - aheadMS}
	return now, max(now-rest.need(), 0)
}

func (w Work) need() int64 {
	if w.ChainMS > w.LeftMS {
		// Late already: what is left of its worth does not justify VMs that jobs
		// in time could use.
		return w.MillisMS / max(lateWithinMS, w.ChainMS)
	}
	return w.MillisMS / max(int64(finishMargin*float64(w.LeftMS)), w.ChainMS, 1)
}
