// Package confirm decides when a target may forget the end of a run. Load pattern: answers to starts are late, so that
// starts are sent again and take effect seconds after their runs have ended, while targets crash and start anew under
// their ids.
//
// A target refuses every start of a run that it has ended. Its next incarnation knows nothing of that run, and takes a
// copy of the start if no newer call has reached it before. Such a copy cannot be recalled, so an end is confirmed only
// once no copy can take effect any more: the end of an incarnation that is lost before counts as not taken note of.
package confirm

import (
	"slices"
	"time"
)

// Starts is what a leader knows of the start calls of one run.
type Starts struct {
	// Sent counts the calls that left this leader, Answered those among them that were answered.
	Sent, Answered int
	// Former is set if a former leader may have sent one call that is not known to be settled.
	Former bool
	// Listed is set once the target has listed the run or its end, so that one call has taken effect.
	Listed bool
	// Until is when none of them can take effect any more.
	Until time.Time
}

// SettledAt returns when no start call can take effect any more; the zero time if that is so already.
func (s Starts) SettledAt() time.Time {
	sent, settled := s.Sent, s.Answered
	if s.Former {
		sent++
	}
	if s.Listed {
		settled = max(settled, 1)
	}
	if sent <= settled {
		return time.Time{}
	}
	return s.Until
}

// recordedLoss is the share of lost calls from which on each start counts as one that will be sent again.
const recordedLoss = 0.01

// RecordsAhead reports whether the next leader is to be told of a second call together with the start itself, since many calls
// are lost: a command of its own before the second call would hold up all starts on the target. If few are lost, a record for
// each start would hold the ends of each target after every change of leader.
func RecordsAhead(loss float64) bool { return loss >= recordedLoss }

// Ends holds the ends of one incarnation of a target that are committed and not known to be confirmed. Confirming an
// end confirms all with lower numbers.
type Ends struct{ ends []end }

type end struct {
	number    uint64
	settledAt time.Time
}

// Add adds a committed end with a higher number than those before, and when the starts of its task are settled.
func (e *Ends) Add(number uint64, settledAt time.Time) {
	e.ends = append(e.ends, end{number, settledAt})
}

// Confirmable returns the highest number that may be confirmed; 0 if there is none.
func (e *Ends) Confirmable(now time.Time) uint64 {
	number := uint64(0)
	for _, end := range e.ends {
		if now.Before(end.settledAt) {
			break
		}
		number = end.number
	}
	return number
}

// Holds reports whether an end may not be confirmed yet.
func (e *Ends) Holds(now time.Time) bool {
	return slices.ContainsFunc(e.ends, func(end end) bool { return now.Before(end.settledAt) })
}

// Confirmed removes the ends up to a number.
func (e *Ends) Confirmed(number uint64) {
	e.ends = slices.DeleteFunc(e.ends, func(end end) bool { return end.number <= number })
}

// Len returns the number of ends.
func (e *Ends) Len() int { return len(e.ends) }
