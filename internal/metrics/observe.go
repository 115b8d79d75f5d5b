package metrics

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

const (
	// histogramSamples limits the memory of a histogram. histogramAlpha gives the
	// last minutes the most weight. Both values are those of the go-metrics
	// documentation.
	histogramSamples = 1028
	histogramAlpha   = 0.015
)

func newHistogram() gometrics.Histogram {
	return gometrics.NewHistogram(gometrics.NewExpDecaySample(histogramSamples, histogramAlpha))
}

// Observe adds a duration, in microseconds, to the histogram registered under
// name, which may include labels.
func Observe(name string, took time.Duration) {
	gometrics.GetOrRegister(name, newHistogram).(gometrics.Histogram).Update(took.Microseconds())
}
