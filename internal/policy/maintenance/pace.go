package maintenance

import "time"

// finishWithin is the part of the time left in which a wave should be done; the
// rest is for a platform that is slow or away.
const finishWithin = 0.7

// Pace returns how many VMs of a wave may be down at once, at most limit, so
// that those left are done in time when each takes perVM. The load it answers:
// a wave begins while a queue has its turn; a wave as wide as its limit takes
// the room that the turn asks for, and is done long before its end.
func Pace(left int, timeLeft, perVM time.Duration, limit int) int {
	rounds := int(finishWithin * float64(timeLeft) / float64(perVM))
	if rounds < 1 {
		return limit
	}
	return min(limit, (left+rounds-1)/rounds)
}
