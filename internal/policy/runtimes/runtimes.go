// Package runtimes predicts how long a task runs, from the caller's estimate and
// from the run times of its queue. It is made for estimates that are wrong by a
// random factor, above or below 1, so that long estimates are mostly too long and
// short ones too short. The mean ratio of run time to estimate is then no good
// correction, since a few short estimates dominate it.
package runtimes

import "math"

const (
	// decay is the factor on a run's weight with each newer run: about 300 runs count.
	decay = 0.997
	// priorRuns is the number of runs that weigh as much as the estimates themselves.
	priorRuns = 10
	// priorSpread is the assumed variance of the logarithm of estimates.
	priorSpread = 0.25
	// siblingWeight is the weight of the model's prediction relative to one run of the
	// same step: in the logarithm of their time, tasks of a step differ by 0.15 to 0.3
	// and predictions are off by 0.45.
	siblingWeight = 0.25
	// maxDeviation limits the effect of one run: it bounds the difference of the logarithm
	// of its time from the prediction.
	maxDeviation = 1.4
)

// Model is learned from the runs of one queue: a linear regression of the logarithms of
// run times on those of estimates. The zero value predicts the estimate itself.
type Model struct {
	// runs is the decayed number of runs; the others are decayed sums over the
	// logarithms of estimates (x), of run times (y), and their products.
	runs, x, y, xx, xy float64
	// residual is the decayed sum of squared differences from the predictions.
	residual float64
	// predicted and within are the decayed numbers of runs whose 0.9 quantile was predicted, and of those that
	// took no longer.
	predicted, within float64
}

// Sums are the decayed sums of a model, as they are stored.
type Sums struct{ Runs, X, Y, XX, XY, Residual, Predicted, Within float64 }

// Sums returns the sums of the model with another weight, between 0 and 1.
func (m *Model) Sums(weight float64) Sums {
	return Sums{weight * m.runs, weight * m.x, weight * m.y, weight * m.xx, weight * m.xy, weight * m.residual, weight * m.predicted, weight * m.within}
}

// FromSums returns the model with the sums, each with the weight.
func FromSums(s Sums, weight float64) *Model {
	return &Model{
		runs: weight * s.Runs, x: weight * s.X, y: weight * s.Y, xx: weight * s.XX, xy: weight * s.XY,
		residual: weight * s.Residual, predicted: weight * s.Predicted, within: weight * s.Within,
	}
}

// Runs returns the decayed number of runs.
func (m *Model) Runs() float64 { return m.runs }

// Step sums up the finished runs of one step.
type Step struct {
	runs             int
	sumMS, longestMS float64
}

// Note adds a finished run.
func (s *Step) Note(tookMS float64) {
	s.runs++
	s.sumMS += tookMS
	s.longestMS = max(s.longestMS, tookMS)
}

// ExpectedIn returns the expected mean run time of a step's tasks, in milliseconds; s is
// nil before any has finished.
func (m *Model) ExpectedIn(estimateMS float64, s *Step) float64 {
	expected := m.Expected(estimateMS)
	if s == nil {
		return expected
	}
	return (siblingWeight*expected + s.sumMS) / (siblingWeight + float64(s.runs))
}

// Longest returns the expected run time of a step with the given number of tasks, in
// milliseconds: that of the longest one once all have finished.
func (m *Model) Longest(estimateMS float64, tasks int, s *Step) float64 {
	switch {
	case s == nil:
		return m.Expected(estimateMS)
	case s.runs >= tasks:
		return s.longestMS
	}
	return max(m.ExpectedIn(estimateMS, s), s.longestMS)
}

// Note learns from a run that took tookMS, with an estimate of estimateMS.
func (m *Model) Note(estimateMS, tookMS float64) {
	if estimateMS <= 0 || tookMS <= 0 {
		return
	}
	m.noteWithin(tookMS <= m.Quantile(estimateMS, calibrated))
	x := math.Log(estimateMS)
	deviation := min(max(math.Log(tookMS)-m.logMedian(x), -maxDeviation), maxDeviation)
	m.add(x, deviation, deviation*deviation)
}

// add adds a run by the logarithm of its estimate, the difference of that of its time from the prediction, and the
// square of that difference.
func (m *Model) add(x, deviation, squared float64) {
	y := m.logMedian(x) + deviation
	for _, sum := range []*float64{&m.runs, &m.x, &m.y, &m.xx, &m.xy, &m.residual} {
		*sum *= decay
	}
	m.runs++
	m.x += x
	m.y += y
	m.xx += x * x
	m.xy += x * y
	m.residual += squared
}

// Expected returns the expected mean run time, in milliseconds; 0 without an estimate.
func (m *Model) Expected(estimateMS float64) float64 {
	if estimateMS <= 0 {
		return 0
	}
	// For log-normal times the logarithm of the mean exceeds that of the median by half of
	// the variance of the logarithm.
	return math.Exp(m.logMedian(math.Log(estimateMS)) + m.residual/(m.runs+priorRuns)/2)
}

// logMedian returns the logarithm of the expected median run time for that of an estimate.
// With few runs it is close to the estimate itself.
func (m *Model) logMedian(x float64) float64 {
	if m.runs == 0 {
		return x
	}
	meanX, meanY := m.x/m.runs, m.y/m.runs
	sumXX := m.xx - m.runs*meanX*meanX
	sumXY := m.xy - m.runs*meanX*meanY
	slope := min(max((sumXY+priorRuns*priorSpread)/(sumXX+priorRuns*priorSpread), 0), 1)
	offset := (meanY - meanX) * m.runs / (m.runs + priorRuns)
	return meanX + offset + slope*(x-meanX)
}
