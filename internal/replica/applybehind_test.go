package replica

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/wire/wirepb"
)

// cutSender drops what one member sends once cut is set.
type cutSender struct {
	Sender
	cut atomic.Bool
}

func (c *cutSender) Send(m []*wirepb.ReplicaMessage) {
	if !c.cut.Load() {
		c.Sender.Send(m)
	}
}

// TestNoReadBehindPredecessor loses a leader after it has acknowledged a command whose commit index
// no other member knows. It guards against a successor that holds a lease or confirms reads between
// the commit and the application of its first entry: a read would then miss the command.
func TestNoReadBehindPredecessor(t *testing.T) {
	const slowSync = 120 * time.Millisecond
	for _, confirmedReads := range []bool{false, true} {
		for _, lease := range []bool{false, true} {
			for _, syncTime := range []time.Duration{simulatedSync, slowSync} {
				t.Run(fmt.Sprintf("confirmedReads=%v/lease=%v/sync=%v", confirmedReads, lease, syncTime), func(t *testing.T) {
					for seed := range int64(8) {
						synctest.Test(t, func(t *testing.T) { readAfterLoss(t, confirmedReads, lease, syncTime, seed+1) })
					}
				})
			}
		}
	}
}

// readAfterLoss compares what the successors of a lost leader have applied, while they answer reads,
// with what it acknowledged. One of them syncs in syncTime.
func readAfterLoss(t *testing.T, confirmedReads, lease bool, syncTime time.Duration, seed int64) {
	senders := make(map[string]*cutSender)
	s := startSimulated(t, 3, 3, seed, func(c *NodeConfig) {
		c.ConfirmedReads = confirmedReads
		senders[c.Core.ID] = &cutSender{Sender: c.Sender}
		c.Sender = senders[c.Core.ID]
	})
	defer s.stop()
	old := s.leader(t)
	oldID := old.cfg.Core.ID
	time.Sleep(300 * time.Millisecond)
	ctx := t.Context()
	// The leader's append arrives, but none of its later messages with the new commit index.
	time.AfterFunc(5*time.Millisecond, func() { senders[oldID].cut.Store(true) })
	if _, err := old.Propose(ctx, []byte("command")); err != nil {
		t.Fatal(err)
	}
	acknowledged := old.Applied()
	s.mu.Lock()
	s.down[oldID] = true
	s.mu.Unlock()
	go old.Stop()
	var survivors []*Node
	for _, id := range []string{"n1", "n2", "n3"} {
		if id != oldID {
			survivors = append(survivors, s.nodes[id])
		}
	}
	s.disks[survivors[0].cfg.Core.ID].syncTime.Store(int64(syncTime))
	answersReads := func(n *Node) bool {
		if lease {
			return n.HoldsLease()
		}
		status, err := n.Status(ctx)
		return err == nil && status.IsLeader && n.ConfirmLeadership(ctx) == nil
	}
	var first time.Time
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && (first.IsZero() || time.Since(first) < 50*time.Millisecond); {
		for _, n := range survivors {
			if !answersReads(n) {
				continue
			}
			if first.IsZero() {
				first = time.Now()
			}
			if applied := n.Applied(); applied < acknowledged {
				t.Errorf("seed %d: %s answers reads at index %d, %d was acknowledged", seed, n.cfg.Core.ID, applied, acknowledged)
			}
		}
		time.Sleep(time.Millisecond)
	}
	if first.IsZero() {
		t.Error("no leader within 5 s")
	}
}

// TestReadsUnderStream confirms reads while the leader always has committed entries that it has not
// applied yet. It guards against confirmations and leases that wait for all of them.
func TestReadsUnderStream(t *testing.T) {
	// A heartbeat interval, a round trip, and two syncs for the commit index at the beginning.
	const within = 250 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startSimulated(t, 3, 3, 1, func(c *NodeConfig) { c.ConfirmedReads = false })
		leader := s.leader(t)
		ctx, cancel := context.WithCancel(t.Context())
		var stream sync.WaitGroup
		stream.Go(func() {
			for ctx.Err() == nil {
				stream.Go(func() { leader.Propose(ctx, []byte("small")) })
				time.Sleep(time.Millisecond)
			}
		})
		behind := 0
		var longest time.Duration
		for range 50 {
			status, err := leader.Status(ctx)
			is.NoErr(err)
			if status.Applied < status.Commit {
				behind++
			}
			began := time.Now()
			is.NoErr(leader.ConfirmLeadership(ctx))
			longest = max(longest, time.Since(began))
			is.True(leader.Applied() >= status.Commit)
			is.True(leader.HoldsLease())
			time.Sleep(7 * time.Millisecond)
		}
		t.Logf("confirmed after %v at most, entries to apply at %d of 50 times", longest, behind)
		is.True(longest <= within)
		is.True(behind > 25)
		cancel()
		stream.Wait()
		s.stop()
	})
}

// TestConfirmedReadCoversCommit confirms reads at a leader whose disk is slower than those of the
// others. It guards against a read that misses an entry which the others have applied before: they
// sync its commit index earlier than the leader does.
func TestConfirmedReadCoversCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startSimulated(t, 3, 3, 1, func(c *NodeConfig) { c.ConfirmedReads = false })
		leader := s.leader(t)
		s.disks[leader.cfg.Core.ID].syncTime.Store(int64(120 * time.Millisecond))
		ctx, cancel := context.WithCancel(t.Context())
		var stream sync.WaitGroup
		stream.Go(func() {
			for ctx.Err() == nil {
				stream.Go(func() { leader.Propose(ctx, []byte("small")) })
				time.Sleep(time.Millisecond)
			}
		})
		for range 50 {
			var shown uint64
			for _, node := range s.nodes {
				shown = max(shown, node.Applied())
			}
			is.NoErr(leader.ConfirmLeadership(ctx))
			is.True(leader.Applied() >= shown)
			time.Sleep(7 * time.Millisecond)
		}
		cancel()
		stream.Wait()
		s.stop()
	})
}
