package metrics

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

const (
	// histogramSamples bounds the memory of a histogram; with histogramAlpha the
	// newest minutes weigh most (the values of the go-metrics documentation).
	histogramSamples = 1028
	histogramAlpha   = 0.015
)

func newHistogram() gometrics.Histogram {
	return gometrics.NewHistogram(gometrics.NewExpDecaySample(histogramSamples, histogramAlpha))
}

// Observe adds a duration, in microseconds, to the histogram of a name with labels.
func Observe(name string, took time.Duration) {
	gometrics.GetOrRegister(name, newHistogram).(gometrics.Histogram).Update(took.Microseconds())
}
