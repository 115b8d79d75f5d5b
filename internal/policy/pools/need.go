package pools

const (
	// lateWithinMS is the time within which work that is already late should end.
	lateWithinMS = 12_000
	// finishShare is the part of the time that is left within which the work should end.
	finishShare = 0.6
)

// Work is the remaining work of one job.
type Work struct {
	// MillisMS is the processor time of the work, in thousandths of a core times
	// milliseconds, ChainMS the time of its longest chain of steps; both count
	// running tasks in full.
	MillisMS, ChainMS int64
	// RunMS is how long the first step of the chain has run already.
	RunMS int64
	// LeftMS is the time until the objective ends; negative afterwards.
	LeftMS int64
	// Waits means that tasks that may start wait for room.
	Waits bool
}

// Need returns the room with which the work ends in the time that is left, or as
// fast as its chain allows, and the part of that room that the work no longer
// needs after aheadMS, since it makes progress until then.
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
		// It ends late anyway: its remaining worth does not justify VMs that jobs
		// in time could use.
		return w.MillisMS / max(lateWithinMS, w.ChainMS)
	}
	return w.MillisMS / max(int64(finishShare*float64(w.LeftMS)), w.ChainMS, 1)
}
