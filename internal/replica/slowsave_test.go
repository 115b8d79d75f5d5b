package replica

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/replica/store"
	"sapphirering/internal/wire/wirepb"
	"sapphirering/test/emulator/disk"
)

// followerWithSave returns a follower with the entries 2 to 4 of term 2 in a save in progress.
func followerWithSave(t *testing.T) (*Core, Ready) {
	t.Helper()
	n := newNetwork(t, 1, "n1", "n2", "n3")
	n.applyUnsynced = true
	c := n.start(n.members["n1"])
	c.Step(appendFrom("n2", 2, 1, 1, 1, entryOf(2, 2), entryOf(3, 2), entryOf(4, 2)))
	r := c.Ready()
	if !r.Save || len(r.Entries) != 3 {
		t.Fatalf("%d entries to save, want 3", len(r.Entries))
	}
	return c, r
}

func entryOf(index, term uint64) *wirepb.Entry {
	return &wirepb.Entry{Index: index, Term: term, Kind: wirepb.EntryKind_ENTRY_KIND_COMMAND, Data: []byte("x")}
}

func appendFrom(leader string, term, index, logTerm, commit uint64, entries ...*wirepb.Entry) *wirepb.ReplicaMessage {
	return &wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_APPEND, From: leader, To: "n1", Term: term,
		Index: index, LogTerm: logTerm, Commit: commit, Entries: entries,
	}
}

// TestEntriesReplacedDuringSave replaces entries while they are being saved. It guards against
// counting the new ones as synced when the save of the old ones returns.
func TestEntriesReplacedDuringSave(t *testing.T) {
	is := is.New(t)
	c, r := followerWithSave(t)
	c.Step(appendFrom("n3", 3, 2, 2, 1, entryOf(3, 3), entryOf(4, 3)))
	is.True(!c.Ready().Save) // one save at a time, and no answer before its save
	c.Saved(r)
	is.Equal(c.log.stable, uint64(2))
	next := c.Ready()
	is.Equal(len(next.Entries), 2)
	is.Equal(next.Entries[0].Term, uint64(3))
	is.Equal(next.HardState.Term, uint64(3))
	is.Equal(len(next.Messages), 1)
	c.Saved(next)
	is.Equal(c.log.stable, uint64(4))
}

// TestSnapshotDuringSave sends a snapshot and then one of the entries in the save again. It guards
// against counting that entry as synced: saving the snapshot drops it from the disk.
func TestSnapshotDuringSave(t *testing.T) {
	is := is.New(t)
	c, r := followerWithSave(t)
	c.Step(appendFrom("n3", 3, 2, 2, 1, entryOf(3, 3)))
	c.Step(&wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_SNAPSHOT, From: "n2", To: "n1", Term: 4,
		Snapshot: &wirepb.ReplicaSnapshot{Meta: &wirepb.SnapshotMeta{Index: 3, Term: 2, Membership: c.Membership()}},
	})
	c.Step(appendFrom("n2", 4, 3, 2, 4, entryOf(4, 2)))
	c.Saved(r)
	is.Equal(c.log.stable, uint64(3))
	next := c.Ready()
	is.True(next.Snapshot != nil)
	is.Equal(len(next.Entries), 1)
}

// TestNothingAppliedDuringRestore commits an entry while a received snapshot waits for the save in
// progress, and while it is saved. It guards against applying the entry to the state before it.
func TestNothingAppliedDuringRestore(t *testing.T) {
	is := is.New(t)
	c, r := followerWithSave(t)
	c.Step(&wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_SNAPSHOT, From: "n2", To: "n1", Term: 2,
		Snapshot: &wirepb.ReplicaSnapshot{Meta: &wirepb.SnapshotMeta{Index: 10, Term: 2, Membership: c.Membership()}},
	})
	c.Step(appendFrom("n2", 2, 10, 2, 11, entryOf(11, 2)))
	is.Equal(c.Commit(), uint64(11))
	is.Equal(len(c.Ready().Committed), 0)
	c.Saved(r)
	next := c.Ready()
	is.True(next.Snapshot != nil)
	is.Equal(len(next.Committed), 0)
	is.Equal(len(c.Ready().Committed), 0)
	is.True(c.Restoring())
	c.Saved(next)
	is.Equal(len(c.Ready().Committed), 1)
}

// TestSnapshotsUnderStream saves snapshots while proposals never leave the storage idle. It guards
// against snapshots that wait for ever, and against those whose state, index or kept entries do not
// fit what is on the disk.
func TestSnapshotsUnderStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const interval, tail = 20, 5
		var logs []*store.AppendLog
		s := startSimulated(t, 3, 3, 1, func(c *NodeConfig) {
			d := disk.New()
			log, err := store.OpenAppendOn(d, diskFolder)
			is.NoErr(err)
			is.NoErr(BootstrapWithMembers(log, threeVoters(), []byte("0")))
			d.Fault = func(op disk.Op, _ string) error {
				if op == disk.Sync {
					time.Sleep(simulatedSync)
				}
				return nil
			}
			logs = append(logs, log)
			c.Storage, c.SnapshotEntries, c.SnapshotTail = log, interval, tail
		})
		leader := s.leader(t)
		ctx := context.Background()
		var stream sync.WaitGroup
		for range 400 {
			stream.Go(func() {
				_, err := leader.Propose(ctx, []byte("command"))
				is.NoErr(err)
			})
			time.Sleep(2 * time.Millisecond)
		}
		stream.Wait()
		time.Sleep(time.Second)
		s.stop()
		for _, log := range logs {
			loaded, err := log.Load()
			is.NoErr(err)
			index := loaded.Snapshot.Meta.Index
			is.True(index > 400-3*interval)
			// The founding snapshot and the leader's first entry are no commands.
			is.Equal(string(loaded.Snapshot.State), fmt.Sprint(index-2))
			is.True(loaded.Entries[0].Index+tail >= index)
			machine := &countingMachine{}
			_, err = NewNode(NodeConfig{
				Core:    Config{ID: "n1", Durable: true, ElectionTicks: 10, HeartbeatTicks: 3, Rand: rand.New(rand.NewSource(1))},
				Machine: machine,
			}, loaded)
			is.NoErr(err)
		}
	})
}

func threeVoters() *wirepb.Membership {
	return &wirepb.Membership{Members: []*wirepb.Member{member("n1", true), member("n2", true), member("n3", true)}}
}

// TestSlowDiskTransferUnderStream makes the disk of a leader slow while many proposals arrive. It guards
// against a transfer that never begins because no other voter holds the last entry for long.
func TestSlowDiskTransferUnderStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSimulated(t, 5, 5, 1, func(c *NodeConfig) { c.SlowSaveThreshold = 90 * time.Millisecond })
		leader := s.leader(t)
		ctx, cancel := context.WithCancel(context.Background())
		var stream sync.WaitGroup
		rng := rand.New(rand.NewSource(1))
		s.disks[leader.cfg.Core.ID].syncTime.Store(int64(100 * time.Millisecond))
		began := time.Now()
		for leader.HoldsLease() && time.Since(began) < 5*time.Second {
			stream.Go(func() { leader.Propose(ctx, []byte("small")) })
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / 800))
		}
		t.Logf("transfer after %v", time.Since(began))
		if time.Since(began) > 2*time.Second {
			t.Error("no transfer within 2 s")
		}
		cancel()
		stream.Wait()
		s.stop()
	})
}
