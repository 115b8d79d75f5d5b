// Package runtimes predicts how long a task runs, from the caller's estimate and
// from the run times of its queue. It is pure. The load it answers: estimates that
// are wrong by a factor either way, by chance and not by a common one, so that long
// estimates are mostly too long and short ones too short. The mean of run time
// against estimate is then no correction: a few short estimates make up most of it.
package runtimes

import "math"

const (
	// decay is the weight that a run keeps with each newer one: some 300 runs count.
	decay = 0.997
	// priorRuns is how many runs it takes to weigh as much as the estimates themselves.
	priorRuns = 10
	// priorSpread is the variance of the logarithm of estimates that the prior assumes.
	priorSpread = 0.25
	// siblingWeight is what the model's prediction counts against one run of the same
	// step: the tasks of a step differ by 0.15 to 0.3 in the logarithm of their time,
	// predictions by 0.45.
	siblingWeight = 0.25
	// maxSurprise bounds one run's part: the logarithm of its time against the prediction.
	maxSurprise = 1.4
)

// Model is what the runs of one queue have told: a line through the logarithms of
// estimates and run times. The zero value predicts the estimate itself.
type Model struct {
	// runs is the decayed number of runs; the others are decayed sums over the
	// logarithms of estimates (x), of run times (y), and their products.
	runs, x, y, xx, xy float64
	// residual is the decayed sum of squared differences from the predictions.
	residual float64
}

// Step is what the runs of one step have told.
type Step struct {
	runs             int
	sumMS, longestMS float64
}

// Note adds a run that was done.
func (s *Step) Note(tookMS float64) {
	s.runs++
	s.sumMS += tookMS
	s.longestMS = max(s.longestMS, tookMS)
}

// ExpectedIn returns the mean run time to expect of a step's tasks, in milliseconds;
// s is nil before any was done.
func (m *Model) ExpectedIn(estimateMS float64, s *Step) float64 {
	expected := m.Expected(estimateMS)
	if s == nil {
		return expected
	}
	return (siblingWeight*expected + s.sumMS) / (siblingWeight + float64(s.runs))
}

// Longest returns the run time to expect of a step of so many tasks: that of the
// longest one once all are done.
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
	x := math.Log(estimateMS)
	predicted := m.middle(x)
	surprise := min(max(math.Log(tookMS)-predicted, -maxSurprise), maxSurprise)
	y := predicted + surprise
	for _, sum := range []*float64{&m.runs, &m.x, &m.y, &m.xx, &m.xy, &m.residual} {
		*sum *= decay
	}
	m.runs++
	m.x += x
	m.y += y
	m.xx += x * x
	m.xy += x * y
	m.residual += surprise * surprise
}

// Expected returns the mean run time to expect, in milliseconds; 0 without an estimate.
func (m *Model) Expected(estimateMS float64) float64 {
	if estimateMS <= 0 {
		return 0
	}
	// The mean of a time lies above its middle by half of the variance of its logarithm.
	return math.Exp(m.middle(math.Log(estimateMS)) + m.residual/(m.runs+priorRuns)/2)
}

// middle returns the logarithm of the run time to expect for that of an estimate. With
// few runs the line is close to the estimates themselves.
func (m *Model) middle(x float64) float64 {
	if m.runs == 0 {
		return x
	}
	meanX, meanY := m.x/m.runs, m.y/m.runs
	spread := m.xx - m.runs*meanX*meanX
	together := m.xy - m.runs*meanX*meanY
	slope := min(max((together+priorRuns*priorSpread)/(spread+priorRuns*priorSpread), 0), 1)
	offset := (meanY - meanX) * m.runs / (m.runs + priorRuns)
	return meanX + offset + slope*(x-meanX)
}
