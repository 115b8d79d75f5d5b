package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/replica/store"
	"sapphirering/internal/wire/wirepb"
)

const (
	testTick = 5 * time.Millisecond
	testWait = 10 * time.Second
)

// countingMachine counts the commands that it applied.
type countingMachine struct {
	mu    sync.Mutex
	count uint64
}

func (m *countingMachine) Apply(uint64, []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count++
	return m.count
}

func (m *countingMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Appendf(nil, "%d", m.count), nil
}

func (m *countingMachine) Restore(state []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, err := fmt.Sscan(string(state), &m.count)
	return err
}

// testCluster is a group of nodes in one process that can be isolated from each other.
type testCluster struct {
	mu            sync.Mutex
	isolated      map[string]bool
	nodes         map[string]*Node
	leaderChanges chan string
}

func (g *testCluster) Send(messages []*wirepb.ReplicaMessage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range messages {
		if to := g.nodes[m.To]; to != nil && !g.isolated[m.To] && !g.isolated[m.From] {
			to.Deliver(m)
		}
	}
}

func (g *testCluster) SetMembership(*wirepb.Membership) {}

// startCluster runs one node for each storage; a node with a nil storage persists nothing.
func startCluster(t testing.TB, storages ...Storage) *testCluster {
	t.Helper()
	return startClusterWith(t, func(*NodeConfig) {}, storages...)
}

// startClusterWith is startCluster with a change to the settings of each node.
func startClusterWith(t testing.TB, change func(*NodeConfig), storages ...Storage) *testCluster {
	t.Helper()
	g := &testCluster{isolated: make(map[string]bool), nodes: make(map[string]*Node), leaderChanges: make(chan string, 100)}
	first := &wirepb.Membership{}
	for i := range storages {
		first.Members = append(first.Members, member(fmt.Sprintf("n%d", i+1), true))
	}
	snapshot := &wirepb.ReplicaSnapshot{
		Meta: &wirepb.SnapshotMeta{Index: 1, Term: 1, Membership: first}, State: []byte("0"),
	}
	for i, storage := range storages {
		id := first.Members[i].Id
		config := NodeConfig{
			Core: Config{
				ID: id, Incarnation: 1, Durable: true, ElectionTicks: 10, HeartbeatTicks: 3,
				Rand: rand.New(rand.NewSource(int64(i))),
			},
			Machine: &countingMachine{}, Storage: storage, Sender: g, TickInterval: testTick,
			SnapshotEntries: 1000, SnapshotTail: 100,
			OnLeaderChange: func(leader string, _ uint64) {
				if leader == id || leader == "" {
					g.leaderChanges <- id + ":" + leader
				}
			},
			OnFatal: func(err error) { t.Errorf("node %s: %v", id, err) },
		}
		change(&config)
		node, err := NewNode(config, store.Loaded{HardState: &wirepb.HardState{Term: 1, Commit: 1}, Snapshot: snapshot})
		if err != nil {
			t.Fatal(err)
		}
		g.mu.Lock()
		g.nodes[id] = node
		g.mu.Unlock()
	}
	for _, node := range g.nodes {
		go node.Run()
		t.Cleanup(node.Stop)
	}
	return g
}

// leader returns the leader once it is ready.
func (g *testCluster) leader(t testing.TB) *Node {
	t.Helper()
	deadline := time.Now().Add(testWait)
	for time.Now().Before(deadline) {
		for _, node := range g.nodes {
			status, err := node.Status(context.Background())
			if err == nil && status.LeaderReady {
				return node
			}
		}
		time.Sleep(testTick)
	}
	t.Fatal("no leader")
	return nil
}

func (g *testCluster) setIsolated(id string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isolated[id] = cut
}

// TestIsolatedLeaderReportsStepDown isolates a leader with a proposal and a
// confirmation outstanding. The proposal may still take effect, so its error is
// ErrOutcomeUnknown and not ErrNotLeader. The end of leadership is reported
// although no further message arrives.
func TestIsolatedLeaderReportsStepDown(t *testing.T) {
	is := is.New(t)
	g := startCluster(t, nil, nil, nil)
	leader := g.leader(t)
	id := leader.cfg.Core.ID
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	_, err := leader.Propose(ctx, []byte("first"))
	is.NoErr(err)
	g.setIsolated(id, true)
	confirmed := make(chan error, 1)
	go func() { confirmed <- leader.ConfirmLeadership(ctx) }()
	_, err = leader.Propose(ctx, []byte("second"))
	is.True(errors.Is(err, ErrOutcomeUnknown)) // it is in this member's log
	is.True(<-confirmed != nil)
	for {
		select {
		case change := <-g.leaderChanges:
			if change == id+":" {
				return
			}
		case <-ctx.Done():
			t.Fatal("the end of leadership was not reported")
		}
	}
}

// TestProposalsThroughLeaderChanges isolates one leader after the other: in the
// end every acknowledged command has been applied exactly once on all nodes.
func TestProposalsThroughLeaderChanges(t *testing.T) {
	is := is.New(t)
	g := startCluster(t, nil, nil, nil)
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	acknowledged := uint64(0)
	for range 5 {
		leader := g.leader(t)
		for range 20 {
			outcome, err := leader.Propose(ctx, []byte("command"))
			is.NoErr(err)
			acknowledged++
			is.True(outcome.(uint64) >= acknowledged)
		}
		g.setIsolated(leader.cfg.Core.ID, true)
		time.Sleep(30 * testTick)
		g.setIsolated(leader.cfg.Core.ID, false)
	}
	last := g.leader(t)
	index := last.Applied()
	for _, node := range g.nodes {
		is.NoErr(node.WaitApplied(ctx, index))
		count, err := node.cfg.Machine.Snapshot()
		is.NoErr(err)
		is.Equal(string(count), fmt.Sprint(acknowledged))
	}
}
