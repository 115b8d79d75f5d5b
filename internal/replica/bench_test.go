package replica

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"sapphirering/internal/replica/store"
)

const (
	// concurrentProposers is the number of proposers in the grouped runs.
	concurrentProposers = 64
	// minSyncReduction is the least factor by which concurrent proposers reduce syncs per commit.
	minSyncReduction = 4
	// maxCommitAllocs bounds the allocations of one commit over three members.
	maxCommitAllocs = 150
)

// countingStore counts saves, each of which is one sync.
type countingStore struct {
	*store.Store
	saves atomic.Int64
}

func (s *countingStore) Save(b store.Batch) error {
	s.saves.Add(1)
	return s.Store.Save(b)
}

func startStoredCluster(t testing.TB) (*testCluster, []*countingStore) {
	t.Helper()
	var stores []*countingStore
	var storages []Storage
	for range 3 {
		opened, err := store.Open(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { opened.Close() })
		counting := &countingStore{Store: opened}
		stores = append(stores, counting)
		storages = append(storages, counting)
	}
	return startCluster(t, storages...), stores
}

func proposeMany(t testing.TB, node *Node, proposers, each int) {
	t.Helper()
	var running sync.WaitGroup
	for range proposers {
		running.Go(func() {
			for range each {
				if _, err := node.Propose(context.Background(), make([]byte, 200)); err != nil {
					t.Error(err)
				}
			}
		})
	}
	running.Wait()
}

func totalSaves(stores []*countingStore) int64 {
	sum := int64(0)
	for _, s := range stores {
		sum += s.saves.Load()
	}
	return sum
}

// TestGroupCommit counts syncs: proposals that wait at the same time share them.
func TestGroupCommit(t *testing.T) {
	is := is.New(t)
	g, stores := startStoredCluster(t)
	leader := g.leader(t)
	before := totalSaves(stores)
	proposeMany(t, leader, 1, 100)
	alone := float64(totalSaves(stores)-before) / 100
	before = totalSaves(stores)
	proposeMany(t, leader, concurrentProposers, 10)
	grouped := float64(totalSaves(stores)-before) / (10 * concurrentProposers)
	t.Logf("syncs per commit over three members: alone %.2f, grouped %.2f", alone, grouped)
	is.True(alone >= 2) // a quorum syncs each commit
	is.True(grouped*minSyncReduction <= alone)
}

// TestCommitAllocations bounds the allocations of one commit.
func TestCommitAllocations(t *testing.T) {
	g := startCluster(t, nil, nil, nil)
	leader := g.leader(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	proposeMany(t, leader, 1, 500)
	runtime.ReadMemStats(&after)
	allocs := float64(after.Mallocs-before.Mallocs) / 500
	t.Logf("%.0f allocations per commit", allocs)
	if allocs > maxCommitAllocs {
		t.Fatalf("%.0f allocations per commit, at most %d are allowed", allocs, maxCommitAllocs)
	}
}

// brokenStore fails every save after the first savesLeft ones.
type brokenStore struct{ savesLeft atomic.Int64 }

var errBroken = errors.New("disk failed")

func (s *brokenStore) Save(store.Batch) error {
	if s.savesLeft.Add(-1) < 0 {
		return errBroken
	}
	return nil
}

// TestStorageFailure checks that a failed save stops the node: it must not
// acknowledge what it has not synced.
func TestStorageFailure(t *testing.T) {
	is := is.New(t)
	broken := new(brokenStore)
	broken.savesLeft.Store(1 << 30)
	g := startCluster(t, broken)
	node := g.leader(t)
	fatal := make(chan error, 1)
	is.NoErr(node.runOnLoop(context.Background(), func() { node.cfg.OnFatal = func(err error) { fatal <- err } }))
	broken.savesLeft.Store(0)
	_, err := node.Propose(context.Background(), []byte("command"))
	is.True(errors.Is(err, ErrOutcomeUnknown)) // a part of it may have been written
	is.True(errors.Is(<-fatal, errBroken))
	_, err = node.Propose(context.Background(), []byte("command"))
	is.True(err != nil)
}

// BenchmarkCommit commits through three members that sync to files.
func BenchmarkCommit(b *testing.B) {
	for _, run := range []struct {
		name      string
		proposers int
	}{{"alone", 1}, {"grouped", concurrentProposers}} {
		b.Run(run.name, func(b *testing.B) {
			g, stores := startStoredCluster(b)
			leader := g.leader(b)
			before := totalSaves(stores)
			each := max(1, b.N/run.proposers)
			b.ReportAllocs()
			b.ResetTimer()
			proposeMany(b, leader, run.proposers, each)
			commits := float64(each * run.proposers)
			b.ReportMetric(commits/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(totalSaves(stores)-before)/commits, "syncs/commit")
		})
	}
}
