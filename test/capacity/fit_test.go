package main

import (
	"math"
	"os"
	"testing"

	"github.com/matryer/is"
)

func TestFitFindsTheSlopes(t *testing.T) {
	is := is.New(t)
	want := slopes{fixed: 3, perTarget: 0.5, perTeam: -0.25, perPool: 2}
	var values []float64
	for _, z := range fullSizes {
		values = append(values, want.valueAt(z))
	}
	got, ok := fit(fullSizes, values)
	is.True(ok)
	for _, z := range []size{{1, 1, 1}, {1000, 10, 0}, {0, 0, 0}} {
		is.True(math.Abs(got.valueAt(z)-want.valueAt(z)) < 1e-6)
	}
}

func TestFitRefusesSizesThatDoNotDiffer(t *testing.T) {
	_, ok := fit([]size{{1, 1, 1}, {2, 2, 2}}, []float64{1, 2})
	is.New(t).True(!ok)
}

func TestCountersOfThisProcess(t *testing.T) {
	is := is.New(t)
	c, err := readCounters(os.Getpid())
	is.NoErr(err)
	is.True(c.memoryKB > 0)
	is.True(c.read > 0)
}

func TestSizesAreParsed(t *testing.T) {
	is := is.New(t)
	var sizes []size
	is.NoErr(parseSizes("50/5/5,530/340/83", &sizes))
	is.Equal(sizes[1], size{530, 340, 83})
	for _, text := range []string{"50/5", "x", "50/5/5,40/5/5", "0/1/1"} {
		is.True(parseSizes(text, &sizes) != nil)
	}
}
