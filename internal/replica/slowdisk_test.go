package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/replica/store"
)

// slowDisk is a storage whose saves take a while when told so.
type slowDisk struct{ takes atomic.Int64 }

func (d *slowDisk) Save(store.Batch) error {
	time.Sleep(time.Duration(d.takes.Load()))
	return nil
}

// slowDiskConfig has election timeouts of several slow saves, so that no voter
// campaigns because of one.
func slowDiskConfig(slowSave time.Duration) func(*NodeConfig) {
	return func(c *NodeConfig) {
		c.SlowSaveThreshold, c.Core.LeaderLease, c.TickInterval = slowSave, true, 4*testTick
	}
}

// TestLeaderLeavesSlowDisk makes the saves of the leader slow while proposals
// keep coming: another voter leads in the next term, not after an election of its
// own, and commits are fast again.
func TestLeaderLeavesSlowDisk(t *testing.T) {
	for range 5 {
		is := is.New(t)
		const slow = 40 * time.Millisecond
		disks := []*slowDisk{{}, {}, {}}
		g := startGroupWith(t, slowDiskConfig(slow/2), disks[0], disks[1], disks[2])
		first := g.leader(t)
		for i, id := range []string{"n1", "n2", "n3"} {
			if g.nodes[id] == first {
				disks[i].takes.Store(int64(slow))
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), testWait)
		term, successor := uint64(0), first
		is.NoErr(first.do(ctx, func() { term = first.core.Term() }))
		var proposers sync.WaitGroup
		for range 4 {
			proposers.Go(func() {
				for ctx.Err() == nil {
					// Fails at the former leader once it has handed over.
					if _, err := first.Propose(ctx, []byte("x")); err != nil {
						time.Sleep(testTick)
					}
				}
			})
		}
		for successor == first {
			is.NoErr(ctx.Err())
			successor = g.leader(t)
		}
		cancel()
		proposers.Wait()
		is.NoErr(successor.do(context.Background(), func() { is.Equal(successor.core.Term(), term+1) }))
		for range 5 {
			began := time.Now()
			_, err := successor.Propose(context.Background(), []byte("y"))
			is.NoErr(err)
			is.True(time.Since(began) < slow)
		}
	}
}

// TestHandOverThatNobodyTakesUp cuts the successor off while a leader with a slow
// disk hands over: the leader holds no lease again in its term.
func TestHandOverThatNobodyTakesUp(t *testing.T) {
	is := is.New(t)
	disks := []*slowDisk{{}, {}, {}}
	g := startGroupWith(t, slowDiskConfig(20*time.Millisecond), disks[0], disks[1], disks[2])
	leader := g.leader(t)
	term := uint64(0)
	is.NoErr(leader.do(context.Background(), func() {
		term = leader.core.Term()
		leader.handedOver, leader.transferring = time.Now(), true
		leader.leaseUntil.Store(0)
	}))
	for end := time.Now().Add(testWait); time.Now().Before(end); time.Sleep(testTick) {
		over := false
		is.NoErr(leader.do(context.Background(), func() { over = leader.core.Term() > term }))
		if over {
			return
		}
		is.True(!leader.HoldsLease())
	}
	t.Fatal("the leadership did not end")
}

// TestAllDisksSlow makes every disk slow: each voter hands over at most once in
// handOverPause, and proposals still commit.
func TestAllDisksSlow(t *testing.T) {
	is := is.New(t)
	const slow = 25 * time.Millisecond
	disks := []*slowDisk{{}, {}, {}}
	g := startGroupWith(t, slowDiskConfig(slow/2), disks[0], disks[1], disks[2])
	first := g.leader(t)
	term := uint64(0)
	is.NoErr(first.do(context.Background(), func() { term = first.core.Term() }))
	for _, disk := range disks {
		disk.takes.Store(int64(slow))
	}
	committed := 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if _, err := g.leader(t).Propose(ctx, []byte("x")); err == nil {
			committed++
		}
		cancel()
	}
	is.True(committed > 10)
	last := g.leader(t)
	is.NoErr(last.do(context.Background(), func() { term = last.core.Term() - term }))
	t.Logf("%d commits, %d terms", committed, term)
	is.True(term <= uint64(2*len(disks))) // a hand-over that fails costs two terms
}
