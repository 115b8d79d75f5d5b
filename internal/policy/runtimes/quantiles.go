package runtimes

import "math"

const (
	// calibrated is the quantile whose predictions are compared with run times.
	calibrated = 0.9
	// priorVariance is the variance of the logarithm of run times around estimates that is assumed before any
	// run: estimates of short work are wrong with a spread of 0.9.
	priorVariance = 0.81
	// siblingSpread is the spread of the logarithm of run times within a step.
	siblingSpread = 0.25
	// minInformation is the probability that a run has ended by a bound from which on the bound is learned from.
	// Shorter ones would only dilute the runs that tell something.
	minInformation = 0.05
)

// Quantile returns the time that a task's run does not exceed with probability p, in milliseconds; 0 without an
// estimate. Run times are taken as log-normal around the prediction.
func (m *Model) Quantile(estimateMS, p float64) float64 { return m.LongestQuantile(estimateMS, 1, p) }

// LongestQuantile returns the same for the longest of the tasks of a step. The error of the estimate is common to
// them; only siblingSpread makes the longest one longer than the others.
func (m *Model) LongestQuantile(estimateMS float64, tasks int, p float64) float64 {
	if estimateMS <= 0 || tasks < 1 {
		return 0
	}
	longest := siblingSpread * normalQuantile(math.Pow(0.5, 1/float64(tasks)))
	return math.Exp(m.logMedian(math.Log(estimateMS)) + longest + m.spread()*normalQuantile(p))
}

// QuantileIn returns the time that the run of a task of a step does not exceed with probability p; s holds the
// finished runs of the step and is nil before any has finished.
func (m *Model) QuantileIn(estimateMS float64, s *Step, p float64) float64 {
	if s == nil || s.runs == 0 {
		return m.Quantile(estimateMS, p)
	}
	return m.ExpectedIn(estimateMS, s) * math.Exp(siblingSpread*math.Sqrt(1+1/float64(s.runs))*normalQuantile(p))
}

// NoteAtLeast learns from a run that was cut off after ranMS, so that its run time would have been longer. In place
// of the unknown logarithm it takes the expected one of those above the bound.
func (m *Model) NoteAtLeast(estimateMS, ranMS float64) { m.noteBound(estimateMS, ranMS, 1) }

// NoteAtMost learns from a run that took tookMS under conditions that make runs longer, such as a slow target or
// data on another rack.
func (m *Model) NoteAtMost(estimateMS, tookMS float64) { m.noteBound(estimateMS, tookMS, -1) }

// noteBound learns from a lower bound (sign 1) or an upper one (sign -1).
func (m *Model) noteBound(estimateMS, boundMS, sign float64) {
	if estimateMS <= 0 || boundMS <= 0 {
		return
	}
	x, spread := math.Log(estimateMS), m.spread()
	// The bound in units of the spread, mirrored for an upper one.
	bound := sign * (math.Log(boundMS) - m.logMedian(x)) / spread
	beyond := math.Erfc(bound/math.Sqrt2) / 2
	if 1-beyond < minInformation {
		return
	}
	// Mean and mean square of a standard normal variable above the bound. Far out both are those of the bound.
	mean, square := bound, bound*bound
	if beyond > 1e-9 {
		mean = math.Exp(-bound*bound/2) / math.Sqrt(2*math.Pi) / beyond
		square = 1 + bound*mean
	}
	deviation := min(max(sign*spread*mean, -maxDeviation), maxDeviation)
	m.add(x, deviation, min(spread*spread*square, maxDeviation*maxDeviation))
}

// spread returns the standard deviation of the logarithm of run times around the prediction.
func (m *Model) spread() float64 {
	return math.Sqrt((m.residual + priorRuns*priorVariance) / (m.runs + priorRuns))
}

func (m *Model) noteWithin(within bool) {
	m.predicted *= decay
	m.within *= decay
	m.predicted++
	if within {
		m.within++
	}
}

// Within returns the share of runs that took no longer than the 0.9 quantile predicted for them; false before any
// run.
func (m *Model) Within() (share float64, known bool) {
	if m.predicted == 0 {
		return 0, false
	}
	return m.within / m.predicted, true
}

// normalQuantile returns the quantile of the standard normal distribution.
func normalQuantile(p float64) float64 { return math.Sqrt2 * math.Erfinv(2*p-1) }
