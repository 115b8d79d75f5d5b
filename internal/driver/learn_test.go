package driver

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// TestSlownessIsReportedOnce follows a target through slow runs and back: one
// report each way, none in between, and none for a single long task.
func TestSlownessIsReportedOnce(t *testing.T) {
	is := is.New(t)
	h := health{steady: 1}
	var reports []bool
	follow := func(against ...float64) {
		for _, a := range against {
			h.steady += reportRate * (a - h.steady)
			if h.crossed() {
				reports = append(reports, h.reported)
			}
		}
	}
	follow(1, 1, 6, 1, 1, 1.6, 0.7)
	is.Equal(len(reports), 0)
	follow(slices.Repeat([]float64{6}, 8)...)
	follow(slices.Repeat([]float64{1}, 40)...)
	is.Equal(reports, []bool{true, false})
}
