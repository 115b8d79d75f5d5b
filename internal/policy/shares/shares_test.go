package shares

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestTake checks how many of the jobs that arrive at a steady rate are within the rate: a bucket
// that fills too fast or holds too much would let a burst of one workspace through.
func TestTake(t *testing.T) {
	for _, test := range []struct {
		name             string
		weight           float64
		everyMS, lastsMS int64
		within           int
	}{
		{"at half the rate", 10, 200, 10_000, 50},
		{"at the rate", 10, 100, 10_000, 100},
		{"at five times the rate", 10, 20, 6000, 10 + 59},
		{"all at once", 10, 0, 1000, 10},
		{"less than one job a second", 0.5, 1000, 10_000, 5},
		{"no rate stated", 0, 1, 1000, 1000},
		{"a negative weight in an earlier catalogue", -3, 1, 1000, 1000},
		{"a weight that is no number", math.NaN(), 1, 1000, 1000},
		{"an infinite weight", math.Inf(1), 1, 1000, 1000},
		{"a weight that rounds to nothing", 1e-300, 1, 1000, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b, within := Full(test.weight, 5000), 0
			for i, n := int64(0), test.lastsMS/max(test.everyMS, 1); i < n; i++ {
				if b.Take(test.weight, 5000+i*test.everyMS) {
					within++
				}
			}
			is.Equal(within, test.within)
		})
	}
}

// TestTakeKeepsBounds draws weights and times, also extreme ones and clocks that go back: the tokens
// never leave their bounds by an overflow, which would make all or no jobs of a workspace count.
func TestTakeKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bucket{Tokens: rapid.Int64().Draw(t, "tokens"), AtMS: rapid.Int64Range(0, math.MaxInt64).Draw(t, "at")}
		for range 10 {
			weight, now := rapid.Float64().Draw(t, "weight"), rapid.Int64Range(0, math.MaxInt64).Draw(t, "now")
			before := b
			within := b.Take(weight, now)
			if !(weight > 0) {
				if !within || b != before {
					t.Fatalf("weight %g: within %v, bucket %+v after %+v", weight, within, b, before)
				}
				continue
			}
			if full := Full(weight, now); b.Tokens < 0 || b.Tokens > full.Tokens || b.AtMS < before.AtMS {
				t.Fatalf("weight %g: bucket %+v after %+v", weight, b, before)
			}
		}
	})
}
