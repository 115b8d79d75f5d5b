package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeTime is a clock that only the test advances.
type fakeTime struct{ at time.Time }

func (f *fakeTime) now() time.Time { return f.at }

func newFake(offset time.Duration) (*fakeTime, *Estimator) {
	f := &fakeTime{at: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(offset)}
	return f, New(f.now)
}

func TestMedianIgnoresOneWrongClock(t *testing.T) {
	cases := []struct {
		name  string
		own   time.Duration
		peers []time.Duration
		want  time.Duration
	}{
		{"alone", 0, nil, 0},
		{"one peer far ahead of two", 0, []time.Duration{0, 2 * time.Hour}, 0},
		{"own clock two hours ahead", 2 * time.Hour, []time.Duration{0, 0}, -2 * time.Hour},
		{"own clock behind", -time.Hour, []time.Duration{0, time.Second, 0, 0}, time.Hour},
		{"two clocks that disagree keep the current estimate", 0, []time.Duration{time.Hour}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, e := newFake(c.own)
			_, right := newFake(0)
			for i, peer := range c.peers {
				e.Observe(string(rune('a'+i)), right.OwnMS()+peer.Milliseconds())
			}
			is.Equal(e.Offset(), c.want)
		})
	}
}

func TestAdoptedTimeGoesOnAfterElection(t *testing.T) {
	is := is.New(t)
	f, e := newFake(3 * time.Hour)
	_, right := newFake(0)
	e.Adopt(right.OwnMS())
	f.at = f.at.Add(time.Minute)
	is.Equal(e.NowMS(), right.OwnMS()+time.Minute.Milliseconds())
}

func TestOldSamplesAreForgotten(t *testing.T) {
	is := is.New(t)
	f, e := newFake(0)
	base := e.OwnMS()
	e.Observe("gone-1", base+time.Hour.Milliseconds())
	e.Observe("gone-2", base+time.Hour.Milliseconds())
	f.at = f.at.Add(maxSampleAge + time.Second)
	e.Observe("here", e.OwnMS())
	is.Equal(e.Offset(), time.Duration(0))
}
