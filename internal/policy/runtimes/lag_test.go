package runtimes

import (
	"math/rand"
	"testing"
)

// TestLag learns lags at low load, then those of a leader under load, with single outliers
// among them.
func TestLag(t *testing.T) {
	var l Lag
	if got := l.Expected(); got != priorLagMS {
		t.Errorf("%.0f ms expected before any lag was noted", got)
	}
	rng := rand.New(rand.NewSource(1))
	for _, part := range []struct{ lags, least, most, from, to float64 }{
		{200, 20, 60, 30, 80},
		{200, 100, 300, 180, 250},
	} {
		for i := range int(part.lags) {
			l.Note(part.least + rng.Float64()*(part.most-part.least))
			if i%50 == 0 {
				l.Note(60_000)
			}
		}
		if got := l.Expected(); got < part.from || got > part.to {
			t.Errorf("lags of %.0f to %.0f ms: %.0f ms expected", part.least, part.most, got)
		}
	}
}
