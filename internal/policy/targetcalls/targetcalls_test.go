package targetcalls

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEnoughConnectionsLimitNothing guards against a change for deployments of up to 540 targets.
func TestEnoughConnectionsLimitNothing(t *testing.T) {
	is := is.New(t)
	for _, targets := range []int{1, 350, 540, 974} {
		s := Share{Connections: ConnectionsFor(4096), Targets: targets}
		is.True(!s.Short())
		is.Equal(s.Senders(2), 2)
		is.True(s.MayWait(10 * targets))
		is.Equal(s.Pause(targets, 25*time.Millisecond), 25*time.Millisecond)
	}
	unbounded := Share{Targets: 100_000}
	is.True(!unbounded.Short())
	is.Equal(ConnectionsFor(100), 37)
	is.Equal(ConnectionsFor(0), 1)
	is.Equal(ConnectionsFor(1<<63), (maxDescriptors-reservedDescriptors)*targetShare/targetShareOf)
}

// TestReplayManyTargets replays 3,000 targets that all have runs which end at random, with 4,096
// descriptors: the connections in use stay within their share, and the listings a second within their bound.
func TestReplayManyTargets(t *testing.T) {
	is := is.New(t)
	const (
		targets = 3000
		step    = 5 * time.Millisecond
		played  = 30 * time.Second
		wait    = 1500 * time.Millisecond
		usual   = 25 * time.Millisecond
	)
	s := Share{Connections: ConnectionsFor(4096), Targets: targets}
	is.True(s.Short())
	is.Equal(s.Senders(2), 1)
	r := rand.New(rand.NewSource(1))
	type target struct {
		next  time.Duration // when its pause or its wait ends
		waits bool
		ended bool
	}
	all := make([]target, targets)
	waiting, most, listings := 0, 0, 0
	for now := time.Duration(0); now < played; now += step {
		for i := range all {
			x := &all[i]
			x.ended = x.ended || r.Float64() < step.Seconds() // about one end a second
			switch {
			case x.waits && (x.ended || now >= x.next):
				x.waits, x.next = false, now+s.Pause(targets, usual)
				waiting--
			case !x.waits && now >= x.next:
				listings++
				if x.ended || !s.MayWait(waiting) {
					x.ended, x.next = false, now+s.Pause(targets, usual)
					continue
				}
				x.waits, x.next = true, now+wait
				waiting++
			}
		}
		most = max(most, waiting)
	}
	is.True(most <= s.Connections/waitingShare)
	is.True(float64(listings)/played.Seconds() <= listingsPerSecond)
	is.True(float64(listings)/played.Seconds() >= targets/2) // each is still listed at least every 2 s
}
