package runtimes

const (
	// priorLagMS is expected before any lag was noted.
	priorLagMS = 50
	// lagRate is the weight of the newest lag.
	lagRate = 0.02
	// maxLagMS bounds one lag's part: a target that was silent tells nothing of the others.
	maxLagMS = 1000
)

// Lag learns how much time passes that is no run time: between the decision to start a task
// and its work, or between its end and the decision that follows. The load it answers: a queue
// asks for more than its pool holds, so that jobs begin with little slack. Where a chain is
// expected to take no more than its run times, each of them begins in time and ends late.
type Lag struct {
	noted  bool
	meanMS float64
}

// Note adds a lag.
func (l *Lag) Note(ms float64) {
	ms = min(max(ms, 0), maxLagMS)
	if !l.noted {
		l.noted, l.meanMS = true, ms
		return
	}
	l.meanMS += lagRate * (ms - l.meanMS)
}

// Expected returns the lag to reckon with, in milliseconds.
func (l *Lag) Expected() float64 {
	if !l.noted {
		return priorLagMS
	}
	return l.meanMS
}
