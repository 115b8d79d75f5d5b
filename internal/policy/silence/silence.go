// Package silence decides what a call without an answer means. It is made for a leader whose
// calls to some fifty to several hundred targets are each answered within milliseconds, of
// which a share, from none to nine tenths, gets no answer at all: the call may have been
// carried out, or is carried out seconds later. Calls may be sent again, since a target
// carries each out once. A lost call is to cost one more call; a target that is gone is to be
// noticed within a few calls.
//
// Bound says when a call is sent again, Suspected when a target counts as gone, Loss how many
// calls are lost on the way, ListingWait how long a listing may wait, and Budget how many calls
// may be sent again. Suspicion follows phi accrual detectors: it grows with the improbability
// that a sound target leaves so many calls unanswered, at the loss that the leader sees on
// all targets. A leader that loses many calls itself thereby trusts each loss less, as
// Lifeguard's members do.
package silence

import (
	"math"
	"time"
)

const (
	// suspicionPhi is the negative decimal logarithm of the probability, at which a target is
	// suspected, that a sound one leaves as many calls unanswered.
	suspicionPhi = 3
	// minLoss is the loss that is assumed at least: calls are also lost while a target pauses.
	minLoss = 0.1
	// maxUnanswered is the number of unanswered calls from which on a target is suspected at
	// any loss.
	maxUnanswered = 64
	// suspicionTime is how long a target must have been silent: calls sent together may all
	// meet the same pause.
	suspicionTime = 200 * time.Millisecond
	// missedPhi is the weight of a missed announcement in the same measure.
	missedPhi = 1
)

// Silence is what is known of a target since its last answer.
type Silence struct {
	// Unanswered counts the calls whose answers are late, or that failed.
	Unanswered int
	// For is the time since the first of them was late.
	For time.Duration
	// Missed counts the announcements that the target has missed.
	Missed int
}

// Suspected reports whether the target is more likely gone than unlucky, at a rate of lost
// calls.
func (s Silence) Suspected(loss float64) bool {
	if s.Unanswered == 0 || s.For < suspicionTime {
		return false
	}
	if s.Unanswered >= maxUnanswered {
		return true
	}
	phi := -math.Log10(min(max(loss, minLoss), 0.99))
	return float64(s.Unanswered)*phi+float64(s.Missed)*missedPhi >= suspicionPhi-1e-9
}

const (
	// lossMemory is the number of calls over which the loss is averaged, priorCalls the number
	// of answered calls assumed before the first.
	lossMemory = 500
	priorCalls = 50
	// knownCalls is the number of calls, with the assumed ones, from which on the loss is known.
	knownCalls = 150
)

// Loss is the share of calls that sound targets leave unanswered.
type Loss struct{ calls, lost float64 }

// Note adds a call that was answered, or that was lost although its target answered another
// call later.
func (l *Loss) Note(lost bool) {
	if l.calls == 0 {
		l.calls = priorCalls
	}
	keep := 1 - 1.0/lossMemory
	l.calls, l.lost = l.calls*keep+1, l.lost*keep
	if lost {
		l.lost++
	}
}

// LongestWait returns the longest wait of a listing while the loss is not known, and longest
// afterwards: a lost listing is noticed only after its wait.
func (l *Loss) LongestWait(longest time.Duration) time.Duration {
	if l.calls >= knownCalls {
		return longest
	}
	return min(longest, unknownLossWait)
}

// Rate returns the share of lost calls.
func (l *Loss) Rate() float64 {
	if l.calls == 0 {
		return 0
	}
	return l.lost / l.calls
}

const (
	// listingDelay is the mean delay by lost listings that ListingWait allows.
	listingDelay = 20 * time.Millisecond
	// minListingWait is the shortest wait of a listing, unknownLossWait the longest one while
	// the loss is not known.
	minListingWait  = 100 * time.Millisecond
	unknownLossWait = 500 * time.Millisecond
)

// ListingWait returns how long a target may wait for an end before it answers a listing. The
// loss of a listing that waits is noticed when the wait is over, so that it grows shorter the
// more calls are lost.
func ListingWait(loss float64, longest time.Duration) time.Duration {
	if loss <= 0 {
		return longest
	}
	wait := time.Duration(min(float64(listingDelay)/loss, float64(longest)))
	return min(max(wait, minListingWait), longest)
}
