package runtimes

const (
	// priorLagMS is the lag to expect before any was noted.
	priorLagMS = 50
	// lagRate is the weight of the newest lag.
	lagRate = 0.02
	// maxLagMS limits the effect of one lag: that of a silent target says nothing about the
	// others.
	maxLagMS = 1000
)

// Lag learns the mean delay between the decision to start a task and the start of its work, or
// between the end of a task and the decision that follows. It is made for queues that need more
// than their pool holds, whose jobs start with little slack: if the expected time of a chain
// of steps were only its run times, each job would start in time and end late.
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

// Expected returns the lag to expect, in milliseconds.
func (l *Lag) Expected() float64 {
	if !l.noted {
		return priorLagMS
	}
	return l.meanMS
}
