package replica

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestCommitTimeUnderStream measures how long a commit of one proposer takes while small commands
// arrive at random, on disks with a sync of 9 ms and links of 1.4 ms. It guards against commits
// that wait for more than the save in progress and their own save: with 20 or more rounds of the
// driver per second, each further sync costs a fifth of its throughput.
func TestCommitTimeUnderStream(t *testing.T) {
	const (
		proposals = 300
		roundTrip = 2 * simulatedLink
	)
	for _, voters := range []int{3, 4, 5} {
		for _, perSecond := range []int{0, 50, 200, 800} {
			t.Run(fmt.Sprintf("voters=%d/stream=%d", voters, perSecond), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := startSimulated(t, voters, voters, 1, func(c *NodeConfig) { c.SnapshotEntries = 0 })
					leader := s.leader(t)
					ctx, cancel := context.WithCancel(context.Background())
					var stream sync.WaitGroup
					if perSecond > 0 {
						stream.Go(func() {
							rng := rand.New(rand.NewSource(2))
							for ctx.Err() == nil {
								stream.Go(func() { leader.Propose(ctx, []byte("small")) })
								time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(perSecond)))
							}
						})
					}
					var times []time.Duration
					var sum time.Duration
					for range proposals {
						began := time.Now()
						if _, err := leader.Propose(ctx, []byte("round")); err != nil {
							t.Fatal(err)
						}
						times = append(times, time.Since(began))
						sum += time.Since(began)
						time.Sleep(3 * time.Millisecond) // the driver decides its next round
					}
					cancel()
					stream.Wait()
					s.stop()
					slices.Sort(times)
					mean := sum / proposals
					syncs := float64(mean-roundTrip) / float64(simulatedSync)
					t.Logf("commit: mean %v, median %v, maximum %v: %.2f syncs and a round trip", mean.Round(10*time.Microsecond),
						times[proposals/2].Round(10*time.Microsecond), times[proposals-1].Round(10*time.Microsecond), syncs)
					// At worst a commit waits for a save that began just before it, and its own.
					if syncs > 1.6 || times[proposals-1] > 2*simulatedSync+roundTrip+time.Millisecond {
						t.Errorf("a commit waits for %.2f syncs on average and %v at most", syncs, times[proposals-1])
					}
				})
			})
		}
	}
}
