package warmup

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestShareGrows replays a warm-up of 4 s: the share of the room begins small, never shrinks and ends whole.
func TestShareGrows(t *testing.T) {
	is := is.New(t)
	const total = 4 * time.Second
	last := 0.0
	for left := total; left >= 0; left -= 100 * time.Millisecond {
		share := Share(left, total)
		is.True(share >= last && share <= 1)
		last = share
	}
	is.Equal(Share(total, total), leastShare)
	is.Equal(Share(2*total, total), leastShare) // the time was stated anew, and longer
	is.Equal(last, 1.0)
	is.Equal(Share(0, 0), 1.0)
}

// TestDelayOfWork compares the delay with the run of a task that works at 1/Slowness of its speed until the
// target is warm.
func TestDelayOfWork(t *testing.T) {
	const tick = time.Millisecond
	for _, test := range []struct{ work, left time.Duration }{
		{time.Second, 0}, {time.Second, 500 * time.Millisecond}, {time.Second, 2 * time.Second}, {time.Second, 10 * time.Second}, {0, time.Second},
	} {
		took := time.Duration(0)
		for done := time.Duration(0); done < test.work; took += tick {
			if took < test.left {
				done += time.Duration(float64(tick) / Slowness)
				continue
			}
			done += tick
		}
		if got := Delay(test.work, test.left); (got - (took - test.work)).Abs() > 2*tick {
			t.Errorf("work %s, cold for %s: got %s, want %s", test.work, test.left, got, took-test.work)
		}
	}
}
