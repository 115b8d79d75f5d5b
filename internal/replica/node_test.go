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

// countingMachine counts the commands that it took.
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

// group is a few nodes in one process whose links can be cut.
type group struct {
	mu    sync.Mutex
	cut   map[string]bool
	nodes map[string]*Node
	leads chan string
}

func (g *group) Send(messages []*wirepb.ReplicaMessage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range messages {
		if to := g.nodes[m.To]; to != nil && !g.cut[m.To] && !g.cut[m.From] {
			to.Deliver(m)
		}
	}
}

func (g *group) SetMembership(*wirepb.Membership) {}

// startGroup runs one node for each storage; a nil storage keeps nothing.
func startGroup(t testing.TB, storages ...Storage) *group {
	t.Helper()
	return startGroupWith(t, func(*NodeConfig) {}, storages...)
}

// startGroupWith changes the settings of each node.
func startGroupWith(t testing.TB, change func(*NodeConfig), storages ...Storage) *group {
	t.Helper()
	g := &group{cut: make(map[string]bool), nodes: make(map[string]*Node), leads: make(chan string, 100)}
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
					g.leads <- id + ":" + leader
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

// leader waits for a leader that is ready.
func (g *group) leader(t testing.TB) *Node {
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

func (g *group) setCut(id string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[id] = cut
}

// TestCutLeaderReportsItself cuts a leader off with a proposal and a
// confirmation outstanding: the proposal may still take effect later, so it
// must not be told that this member never led; and the end of leadership is
// reported without another message.
func TestCutLeaderReportsItself(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, nil, nil, nil)
	leader := g.leader(t)
	id := leader.cfg.Core.ID
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	_, err := leader.Propose(ctx, []byte("first"))
	is.NoErr(err)
	g.setCut(id, true)
	confirmed := make(chan error, 1)
	go func() { confirmed <- leader.ConfirmLeadership(ctx) }()
	_, err = leader.Propose(ctx, []byte("second"))
	is.True(errors.Is(err, ErrOutcomeUnknown)) // it is in this member's log
	is.True(<-confirmed != nil)
	for {
		select {
		case change := <-g.leads:
			if change == id+":" {
				return
			}
		case <-ctx.Done():
			t.Fatal("the end of leadership was not reported")
		}
	}
}

// TestProposalsThroughLeaderChanges cuts leaders off in turn: every
// acknowledged command is applied on all nodes in the end, once.
func TestProposalsThroughLeaderChanges(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, nil, nil, nil)
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
		g.setCut(leader.cfg.Core.ID, true)
		time.Sleep(30 * testTick)
		g.setCut(leader.cfg.Core.ID, false)
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
