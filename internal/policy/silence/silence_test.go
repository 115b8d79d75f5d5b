package silence

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// TestSuspected gives the number of unanswered calls at which a target is suspected.
func TestSuspected(t *testing.T) {
	for _, test := range []struct {
		name   string
		loss   float64
		missed int
		want   int
	}{
		{"no loss", 0, 0, 3},
		{"a tenth lost", 0.1, 0, 3},
		{"a tenth lost, one announcement missed", 0.1, 1, 2},
		{"a third lost", 0.3, 0, 6},
		{"half lost", 0.5, 0, 10},
		{"nearly all lost", 0.9, 0, maxUnanswered},
		{"all lost", 1, 0, maxUnanswered},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.True(!Silence{Unanswered: test.want - 1, For: time.Minute, Missed: test.missed}.Suspected(test.loss))
			is.True(Silence{Unanswered: test.want, For: suspicionTime, Missed: test.missed}.Suspected(test.loss))
			is.True(!Silence{Unanswered: test.want, For: suspicionTime - 1, Missed: test.missed}.Suspected(test.loss)) // one pause
		})
	}
	is.New(t).True(!Silence{For: time.Minute, Missed: 9}.Suspected(0)) // it has answered every call
}

// TestBound follows the answer times of a target.
func TestBound(t *testing.T) {
	is := is.New(t)
	var all, own Answers
	is.Equal(own.Bound(&all), firstBound) // nothing is known
	all.Note(2 * ms)
	is.Equal(own.Bound(&all), minBound) // what is known of all targets
	for range 50 {
		own.Note(90 * ms)
	}
	is.True(own.Bound(&all) >= 90*ms && own.Bound(&all) < 95*ms)
	own.Note(-ms) // a clock that was set back
	is.True(own.Bound(&all) > 95*ms)
	for range 50 {
		own.Note(time.Hour)
	}
	is.Equal(own.Bound(&all), maxBound)
}

// TestLongestWait keeps listings short until enough calls were made to tell the loss.
func TestLongestWait(t *testing.T) {
	is := is.New(t)
	const longest = 1500 * ms
	var loss Loss
	is.Equal(loss.LongestWait(longest), unknownLossWait)
	is.Equal(loss.LongestWait(50*ms), 50*ms)
	for range 2 * knownCalls {
		loss.Note(false)
	}
	is.Equal(loss.LongestWait(longest), longest)
}

// TestLossAndListingWait shortens listings as calls are lost, and lengthens them afterwards.
func TestLossAndListingWait(t *testing.T) {
	is := is.New(t)
	const longest = 1500 * ms
	var loss Loss
	wait := func() time.Duration { return ListingWait(loss.Rate(), longest) }
	is.Equal(wait(), longest)
	loss.Note(true)
	is.True(loss.Rate() < 0.02) // one loss of few calls says little
	is.True(wait() >= 1000*ms)
	for range 2000 {
		loss.Note(true)
	}
	is.True(loss.Rate() > 0.95)
	is.Equal(wait(), minListingWait)
	for i := range 2000 {
		loss.Note(i%10 == 0)
	}
	is.True(loss.Rate() > 0.08 && loss.Rate() < 0.13)
	is.True(wait() > 150*ms && wait() < 250*ms)
	for range 5000 {
		loss.Note(false)
	}
	is.Equal(wait(), longest)
	is.Equal(ListingWait(1, 50*ms), 50*ms) // never longer than the longest wait
}

// TestBudget takes calls until none is left.
func TestBudget(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := Budget{Rate: 10, Burst: 3}
	take := func() (taken int) {
		for range 10 {
			if b.Take(now) {
				taken++
			}
		}
		return taken
	}
	is.Equal(take(), 3)
	is.Equal(take(), 0)
	now = now.Add(200 * ms)
	is.Equal(take(), 2)
	now = now.Add(-time.Minute) // a clock that was set back
	is.Equal(take(), 0)
	now = now.Add(time.Hour)
	is.Equal(take(), 3) // no more than the burst
}
