package silence

import "time"

const (
	// meanRate and deviationRate are the weights of the newest answer time in the mean and in
	// the mean deviation, deviations the number of deviations in the bound: those of the
	// retransmission timer of TCP (RFC 6298).
	meanRate, deviationRate = 1.0 / 8, 1.0 / 4
	deviations              = 4
	// minBound and maxBound limit the bound, firstBound holds before the first answer.
	minBound   = 40 * time.Millisecond
	maxBound   = 500 * time.Millisecond
	firstBound = 250 * time.Millisecond
)

// Answers learns how long a target takes to answer one kind of call. Answers that came after
// the call was sent again count too: each belongs to its own connection.
type Answers struct {
	noted           bool
	mean, deviation time.Duration
}

// Note adds the time of an answer.
func (a *Answers) Note(took time.Duration) {
	took = max(took, 0)
	if !a.noted {
		a.noted, a.mean, a.deviation = true, took, took/2
		return
	}
	off := took - a.mean
	if off < 0 {
		off = -off
	}
	a.deviation += time.Duration(deviationRate * float64(off-a.deviation))
	a.mean += time.Duration(meanRate * float64(took-a.mean))
}

// Bound returns how long to wait for an answer before the call is sent again; of a target
// without answers, the bound is that of all targets.
func (a *Answers) Bound(all *Answers) time.Duration {
	if !a.noted {
		if all == nil || !all.noted {
			return firstBound
		}
		a = all
	}
	return min(max(a.mean+deviations*a.deviation, minBound), maxBound)
}

// Slow reports whether the target is known to take longer than a time to answer.
func (a *Answers) Slow(than time.Duration) bool { return a.noted && a.Bound(nil) > than }
