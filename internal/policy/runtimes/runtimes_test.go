package runtimes

import (
	"math"
	"math/rand"
	"testing"

	"github.com/matryer/is"
)

// TestFirstPredictions checks that the estimates are taken unchanged before any run, and
// that the first runs move the predictions.
func TestFirstPredictions(t *testing.T) {
	is := is.New(t)
	var m Model
	is.Equal(m.Expected(0), 0.0)
	is.True(math.Abs(m.Expected(800)-800) < 1e-6)
	for range 5 {
		m.Note(800, 1600)
	}
	is.True(m.Expected(800) > 1000 && m.Expected(800) < 1500) // five runs weigh a third
	for range 200 {
		m.Note(800, 1600)
	}
	is.True(math.Abs(m.Expected(800)-1600) < 100)
	m.Note(0, 500)
	m.Note(500, 0) // runs without an estimate or a time are ignored
	is.True(math.Abs(m.Expected(800)-1600) < 100)
}

// TestOneRunCountsLittle bounds the effect of one run on a target that hangs.
func TestOneRunCountsLittle(t *testing.T) {
	is := is.New(t)
	var m Model
	for range 50 {
		m.Note(1000, 1000)
	}
	m.Note(1000, 1e9)
	is.True(m.Expected(1000) < 1100)
}

// TestCommonFactor learns estimates that are all too short by the same factor.
func TestCommonFactor(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewSource(1))
	var m Model
	for range 400 {
		took := 1000 * math.Exp(0.5*rng.NormFloat64())
		m.Note(took/3, took)
	}
	for _, took := range []float64{500, 1000, 2000} {
		is.True(math.Abs(math.Log(m.Expected(took/3)/took)) < 0.15)
	}
}

// scatter simulates run times around a second, and estimates per step that are wrong by
// a random factor with spread off. It returns the mean squared errors of the model, of
// the mean ratio times the estimate, and of the estimate itself.
func scatter(seed int64, off float64) (model, ratio, estimate float64) {
	rng := rand.New(rand.NewSource(seed))
	var m Model
	mean, runs := 1.0, 0
	for range 300 {
		step := 1000 * math.Exp(0.4*rng.NormFloat64())
		estimated := step * math.Exp(off*rng.NormFloat64())
		for range 6 {
			took := step * math.Exp(0.3*rng.NormFloat64())
			if runs++; runs > 300 {
				model += math.Pow(m.Expected(estimated)-took, 2) / 1500
				ratio += math.Pow(mean*estimated-took, 2) / 1500
				estimate += math.Pow(estimated-took, 2) / 1500
			}
			m.Note(estimated, took)
			mean += 0.05 * (min(max(took/estimated, 0.1), 10) - mean)
		}
	}
	return model, ratio, estimate
}

// TestReplayScatter compares the model with the mean ratio, a simpler correction, and
// with uncorrected estimates: the more the estimates are off, the more it gains.
func TestReplayScatter(t *testing.T) {
	for _, test := range []struct {
		off, ofRatio, ofEstimate float64
	}{{0.2, 1, 1}, {0.7, 0.25, 0.5}, {1.2, 0.1, 0.2}} {
		for seed := range int64(5) {
			model, ratio, estimate := scatter(seed, test.off)
			t.Logf("off by %.1f, seed %d: error %.0f ms, mean ratio %.0f, estimate %.0f", test.off, seed, math.Sqrt(model), math.Sqrt(ratio), math.Sqrt(estimate))
			if model > test.ofRatio*ratio || model > test.ofEstimate*estimate {
				t.Errorf("off by %.1f, seed %d: squared error %.0f, mean ratio %.0f, estimate %.0f", test.off, seed, model, ratio, estimate)
			}
		}
	}
}

// TestSiblings predicts the tasks of a step from those that have finished.
func TestSiblings(t *testing.T) {
	is := is.New(t)
	var m Model
	is.Equal(m.ExpectedIn(1000, nil), m.Expected(1000))
	is.Equal(m.Longest(1000, 3, nil), m.Expected(1000))
	s := new(Step)
	s.Note(400)
	is.True(m.ExpectedIn(1000, s) > 400 && m.ExpectedIn(1000, s) < 600) // one run counts more than the estimate
	s.Note(500)
	is.True(m.Longest(1000, 3, s) >= 500) // a step takes at least as long as its longest task
	s.Note(700)
	is.Equal(m.Longest(1000, 3, s), 700.0) // all have finished
}
