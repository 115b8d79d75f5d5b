package replica

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNoLeaseWithoutClock fails the clock that a lease is counted by: a leader that may have been
// suspended meanwhile must not act.
func TestNoLeaseWithoutClock(t *testing.T) {
	is := is.New(t)
	n := &Node{sinceBoot: timeSinceBoot}
	n.leaseUntil.Store(math.MaxInt64)
	is.True(n.HoldsLease())
	n.sinceBoot = func() (time.Duration, error) { return 0, errors.New("no clock") }
	is.True(!n.HoldsLease())
}
