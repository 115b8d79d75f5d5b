package driver

import "testing"

// TestNextPace checks the pace of fillers by the tail latency of a lasting task.
func TestNextPace(t *testing.T) {
	for _, test := range []struct {
		pace int
		tail float64
		want int
	}{
		{100, 0, 100}, {100, 0.9, 50}, {20, 0.9, 0}, {60, 1.2, 0}, {0, 0.4, 20}, {90, 0.4, 100}, {50, 0.7, 50},
	} {
		if got := nextPace(test.pace, test.tail); got != test.want {
			t.Errorf("pace %d beside a tail of %.1f: got %d, want %d", test.pace, test.tail, got, test.want)
		}
	}
}
