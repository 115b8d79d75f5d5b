package maintenance

import "time"

// finishFraction is the fraction of the time left in which a wave should finish. The
// rest is a reserve for a platform that is slow or unavailable.
const finishFraction = 0.7

// Pace returns how many VMs of a wave may be down at once, at most limit, so
// that those left are done in time when each takes perVM. A wave may begin during a
// load peak of a queue: with limit VMs down all the time it would take capacity that
// the peak needs, and finish long before its end time.
func Pace(left int, timeLeft, perVM time.Duration, limit int) int {
	rounds := int(finishFraction * float64(timeLeft) / float64(perVM))
	if rounds < 1 {
		return limit
	}
	return min(limit, (left+rounds-1)/rounds)
}
