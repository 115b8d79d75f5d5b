package confirm

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSettledAt guards against a start call that may still take effect and is not counted.
func TestSettledAt(t *testing.T) {
	until := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		starts Starts
		open   bool
	}{
		"none sent":                        {Starts{}, false},
		"no answer":                        {Starts{Sent: 1}, true},
		"answered":                         {Starts{Sent: 1, Answered: 1}, false},
		"listed":                           {Starts{Sent: 1, Listed: true}, false},
		"sent again, one answered":         {Starts{Sent: 2, Answered: 1, Listed: true}, true},
		"sent again, both answered":        {Starts{Sent: 2, Answered: 2, Listed: true}, false},
		"sent again, listed":               {Starts{Sent: 2, Listed: true}, true},
		"former leader's":                  {Starts{Former: true}, true},
		"former leader's, listed":          {Starts{Former: true, Listed: true}, false},
		"former leader's, again, answered": {Starts{Former: true, Sent: 1, Answered: 1, Listed: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			test.starts.Until = until
			want := time.Time{}
			if test.open {
				want = until
			}
			is.New(t).Equal(test.starts.SettledAt(), want)
		})
	}
}

// TestReplayEndsOfLateStarts replays ends of which one in ten is held for 15 s: numbers are confirmed in order, none early,
// and all in the end.
func TestReplayEndsOfLateStarts(t *testing.T) {
	is := is.New(t)
	const bound = 15 * time.Second
	start := time.Unix(1000, 0)
	var ends Ends
	heldUntil := make(map[uint64]time.Time)
	added, confirmed := uint64(0), uint64(0)
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(50 * time.Millisecond) {
		if now.Before(start.Add(30 * time.Second)) {
			added++
			if added%10 == 1 {
				heldUntil[added] = now.Add(bound)
			}
			ends.Add(added, heldUntil[added])
		}
		next := ends.Confirmable(now)
		for n := confirmed + 1; n <= next; n++ {
			is.True(!now.Before(heldUntil[n]))
		}
		if next > 0 {
			is.True(next > confirmed)
			confirmed = next
			ends.Confirmed(next)
		}
		is.Equal(ends.Len(), int(added-confirmed))
	}
	is.Equal(confirmed, added)
	is.True(!ends.Holds(start.Add(time.Minute)))
}
