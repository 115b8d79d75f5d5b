package silence

import "time"

// Budget limits the calls that are sent again: a token bucket that starts full.
type Budget struct {
	// Rate is the number of calls a second, Burst the largest number at once.
	Rate, Burst float64

	spent  float64
	tookAt time.Time
}

// Take takes one call from the budget, unless it is spent.
func (b *Budget) Take(now time.Time) bool {
	if !b.tookAt.IsZero() {
		b.spent = max(b.spent-b.Rate*max(now.Sub(b.tookAt), 0).Seconds(), 0)
	}
	b.tookAt = now
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}
