package driver

import (
	"testing"

	"github.com/matryer/is"
)

// TestSlownessIsReportedOnce follows a target through slow runs and back: one
// report each way, none in between.
func TestSlownessIsReportedOnce(t *testing.T) {
	is := is.New(t)
	h := health{slow: 1, runs: 1}
	var reports []bool
	for _, against := range []float64{1, 1, 6, 6, 6, 6, 1.8, 1.8, 1, 1, 1, 1, 1, 1} {
		h.runs++
		h.slow += slownessRate * (against - h.slow)
		if h.crossed() {
			reports = append(reports, h.reported)
		}
	}
	is.Equal(reports, []bool{true, false})
}
