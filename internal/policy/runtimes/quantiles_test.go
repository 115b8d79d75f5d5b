package runtimes

import (
	"bytes"
	"encoding/csv"
	"flag"
	"fmt"
	"math"
	"math/rand"
	"os"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

var writePairs = flag.Bool("write-pairs", false, "write testdata/pairs.csv from the seeded model")

const pairsFile = "testdata/pairs.csv"

// pair is one run: the number of its queue and step, its estimate and its time.
type pair struct {
	queue, step      int
	estimateMS, took float64
}

// modelPairs draws runs of 24 queues with 100 to 200 runs each. Queues differ by the factor and the spread (0.3 to
// 1.1) of their estimates, steps have 1 to 12 tasks.
func modelPairs(seed int64) []pair {
	rng := rand.New(rand.NewSource(seed))
	var pairs []pair
	for q := range 24 {
		bias, off, typical := 0.4*rng.NormFloat64(), 0.3+0.8*rng.Float64(), math.Exp(5.5+2*rng.Float64())
		for s, runs := 0, 0; runs < 100; s++ {
			step := typical * math.Exp(0.5*rng.NormFloat64())
			estimate := max(math.Round(step*math.Exp(bias+off*rng.NormFloat64())), 1)
			for range 1 + rng.Intn(12) {
				pairs = append(pairs, pair{q, s, estimate, max(math.Round(step*math.Exp(0.25*rng.NormFloat64())), 1)})
				runs++
			}
		}
	}
	return pairs
}

func readPairs(t *testing.T) []pair {
	t.Helper()
	if *writePairs {
		var out bytes.Buffer
		for _, p := range modelPairs(1) {
			fmt.Fprintf(&out, "%d,%d,%.0f,%.0f\n", p.queue, p.step, p.estimateMS, p.took)
		}
		if err := os.WriteFile(pairsFile, out.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(pairsFile)
	if err != nil {
		t.Fatal(err)
	}
	rows, err := csv.NewReader(bytes.NewReader(data)).ReadAll()
	if err != nil {
		t.Fatal(err)
	}
	pairs := make([]pair, len(rows))
	for i, row := range rows {
		var n [4]float64
		for k, cell := range row {
			if n[k], err = strconv.ParseFloat(cell, 64); err != nil {
				t.Fatal(err)
			}
		}
		pairs[i] = pair{int(n[0]), int(n[1]), n[2], n[3]}
	}
	return pairs
}

// TestCalibration replays the recorded runs and counts how often the predicted quantiles held, in total and in the
// first 20 runs of each queue. It guards against quantiles that promise more, or less, than they say.
func TestCalibration(t *testing.T) {
	pairs := readPairs(t)
	type count struct{ all, early, allHeld, earlyHeld float64 }
	for _, test := range []struct{ p, least, most, earlyLeast float64 }{{0.5, 0.4, 0.6, 0.35}, {0.9, 0.87, 0.95, 0.85}, {0.99, 0.97, 1, 0.95}} {
		var c count
		models, runs := make(map[int]*Model), make(map[int]int)
		for i := 0; i < len(pairs); {
			// A step's tasks start together: all of them are predicted before any has ended.
			end := i
			for end < len(pairs) && pairs[end].queue == pairs[i].queue && pairs[end].step == pairs[i].step {
				end++
			}
			queue := pairs[i].queue
			if models[queue] == nil {
				models[queue] = new(Model)
			}
			bound := models[queue].Quantile(pairs[i].estimateMS, test.p)
			for _, run := range pairs[i:end] {
				held := 0.0
				if run.took <= bound {
					held = 1
				}
				c.all++
				c.allHeld += held
				if runs[queue]++; runs[queue] <= 20 {
					c.early++
					c.earlyHeld += held
				}
			}
			for _, run := range pairs[i:end] {
				models[queue].Note(run.estimateMS, run.took)
			}
			i = end
		}
		share, early := c.allHeld/c.all, c.earlyHeld/c.early
		t.Logf("quantile %.2f: held in %.3f of %.0f runs, in %.3f of the first 20 of each queue (%.0f)", test.p, share, c.all, early, c.early)
		if share < test.least || share > test.most || early < test.earlyLeast {
			t.Errorf("quantile %.2f: want %.2f to %.2f, at first %.2f", test.p, test.least, test.most, test.earlyLeast)
		}
	}
}

// TestLongestOfStep guards against a quantile for the longest of many tasks that is that of one task.
func TestLongestOfStep(t *testing.T) {
	is := is.New(t)
	for _, tasks := range []int{1, 8, 32} {
		rng := rand.New(rand.NewSource(int64(tasks)))
		var m Model
		held, single, steps := 0.0, 0.0, 0.0
		for s := range 1200 {
			step := 1000 * math.Exp(0.5*rng.NormFloat64())
			estimate := step * math.Exp(0.5*rng.NormFloat64())
			longest := 0.0
			var took []float64
			for range tasks {
				took = append(took, step*math.Exp(siblingSpread*rng.NormFloat64()))
				longest = max(longest, took[len(took)-1])
			}
			if s >= 300 {
				steps++
				if longest <= m.LongestQuantile(estimate, tasks, 0.9) {
					held++
				}
				if longest <= m.Quantile(estimate, 0.9) {
					single++
				}
			}
			for _, ms := range took {
				m.Note(estimate, ms)
			}
		}
		t.Logf("%d tasks: 0.9 quantile held in %.3f of steps, that of one task in %.3f", tasks, held/steps, single/steps)
		is.True(held/steps > 0.84 && held/steps < 0.96)
		is.True(tasks == 1 || single < held)
	}
	var m Model
	is.Equal(m.Quantile(0, 0.9), 0.0)
	is.Equal(m.QuantileIn(1000, nil, 0.9), m.Quantile(1000, 0.9))
	s := new(Step)
	s.Note(500)
	is.True(m.QuantileIn(1000, s, 0.9) > 500 && m.QuantileIn(1000, s, 0.9) < m.Quantile(1000, 0.9))
}

// TestCutOffRuns lets every run be cut off at a limit, as by a restart or a lapsed lease. It guards against a model that
// takes cut off runs for short ones, or learns only from the runs that were short enough to end.
func TestCutOffRuns(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewSource(1))
	var bounded, endedOnly, taken Model
	for range 2000 {
		took, limit := 1500*math.Exp(0.4*rng.NormFloat64()), 1500*math.Exp(0.3*rng.NormFloat64())
		if took <= limit {
			bounded.Note(1000, took)
			endedOnly.Note(1000, took)
			taken.Note(1000, took)
			continue
		}
		bounded.NoteAtLeast(1000, limit)
		taken.Note(1000, limit)
	}
	t.Logf("median %.0f ms with bounds, %.0f ms from ended runs only, %.0f ms if cut off runs count as short; 1500 ms are true", bounded.Quantile(1000, 0.5), endedOnly.Quantile(1000, 0.5), taken.Quantile(1000, 0.5))
	is.True(math.Abs(bounded.Quantile(1000, 0.5)-1500) < 150)
	is.True(math.Abs(endedOnly.Quantile(1000, 0.5)-1500) > 150)
	is.True(math.Abs(taken.Quantile(1000, 0.5)-1500) > 150)
}

// TestUpperBounds guards against a queue that seems slow because a third of its runs were on slow targets, and against
// bounds that change what is known although they tell nothing.
func TestUpperBounds(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewSource(1))
	var bounded, taken Model
	for i := range 2000 {
		took := 1000 * math.Exp(0.4*rng.NormFloat64())
		if i%3 == 0 {
			bounded.NoteAtMost(1000, 3*took)
			taken.Note(1000, 3*took)
			continue
		}
		bounded.Note(1000, took)
		taken.Note(1000, took)
	}
	t.Logf("median %.0f ms with bounds, %.0f ms without; 1000 ms are true", bounded.Quantile(1000, 0.5), taken.Quantile(1000, 0.5))
	is.True(math.Abs(bounded.Quantile(1000, 0.5)-1000) < 100)
	is.True(taken.Quantile(1000, 0.5) > 1200)
	before := bounded
	bounded.NoteAtLeast(1000, 1)
	bounded.NoteAtMost(1000, 1e9)
	bounded.NoteAtLeast(0, 10)
	is.Equal(bounded, before)
	bounded.NoteAtLeast(1000, 1e300) // a run far beyond all others
	is.True(bounded.Quantile(1000, 0.9) < 1e5)
}
