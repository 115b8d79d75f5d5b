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

// slowDisk is a storage whose saves take saveTime.
type slowDisk struct{ saveTime atomic.Int64 }

func (d *slowDisk) Save(store.Batch) error {
	time.Sleep(time.Duration(d.saveTime.Load()))
	return nil
}

// slowDiskConfig makes the election timeout several slow saves long, so that no
// voter campaigns because of a slow save.
func slowDiskConfig(slowSave time.Duration) func(*NodeConfig) {
	return func(c *NodeConfig) {
		c.SlowSaveThreshold, c.Core.LeaderLease, c.TickInterval = slowSave, true, 4*testTick
	}
}

// TestSlowDiskTransfersLeadership makes the leader's saves slow while proposals keep
// coming. Another voter leads in the very next term, by transfer and not after
// an election timeout, and commits are fast again.
func TestSlowDiskTransfersLeadership(t *testing.T) {
	for range 5 {
		is := is.New(t)
		const slow = 40 * time.Millisecond
		disks := []*slowDisk{{}, {}, {}}
		g := startClusterWith(t, slowDiskConfig(slow/2), disks[0], disks[1], disks[2])
		first := g.leader(t)
		for i, id := range []string{"n1", "n2", "n3"} {
			if g.nodes[id] == first {
				disks[i].saveTime.Store(int64(slow))
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), testWait)
		term, successor := uint64(0), first
		is.NoErr(first.runOnLoop(ctx, func() { term = first.core.Term() }))
		var proposers sync.WaitGroup
		for range 4 {
			proposers.Go(func() {
				for ctx.Err() == nil {
					// Fails once this leader has transferred leadership.
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
		is.NoErr(successor.runOnLoop(context.Background(), func() { is.Equal(successor.core.Term(), term+1) }))
		for range 5 {
			began := time.Now()
			_, err := successor.Propose(context.Background(), []byte("y"))
			is.NoErr(err)
			is.True(time.Since(began) < slow)
		}
	}
}

// TestLostTransferRequestEndsLeadership sets a leader to the state after a transfer
// request that reached nobody: it holds no lease again in its term, which ends.
func TestLostTransferRequestEndsLeadership(t *testing.T) {
	is := is.New(t)
	disks := []*slowDisk{{}, {}, {}}
	g := startClusterWith(t, slowDiskConfig(20*time.Millisecond), disks[0], disks[1], disks[2])
	leader := g.leader(t)
	term := uint64(0)
	is.NoErr(leader.runOnLoop(context.Background(), func() {
		term = leader.core.Term()
		leader.transferStarted, leader.transferring = time.Now(), true
		leader.leaseUntil.Store(0)
	}))
	for end := time.Now().Add(testWait); time.Now().Before(end); time.Sleep(testTick) {
		over := false
		is.NoErr(leader.runOnLoop(context.Background(), func() { over = leader.core.Term() > term }))
		if over {
			return
		}
		is.True(!leader.HoldsLease())
	}
	t.Fatal("the leadership did not end")
}

// TestAllDisksSlow makes every disk slow: each voter transfers leadership at most
// once in minTransferInterval, and proposals still commit.
func TestAllDisksSlow(t *testing.T) {
	is := is.New(t)
	const slow = 25 * time.Millisecond
	disks := []*slowDisk{{}, {}, {}}
	g := startClusterWith(t, slowDiskConfig(slow/2), disks[0], disks[1], disks[2])
	first := g.leader(t)
	term := uint64(0)
	is.NoErr(first.runOnLoop(context.Background(), func() { term = first.core.Term() }))
	for _, disk := range disks {
		disk.saveTime.Store(int64(slow))
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
	is.NoErr(last.runOnLoop(context.Background(), func() { term = last.core.Term() - term }))
	t.Logf("%d commits, %d terms", committed, term)
	is.True(term <= uint64(2*len(disks))) // a failed transfer costs two terms
}
