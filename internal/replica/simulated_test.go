package replica

import (
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sapphirering/internal/replica/store"
	"sapphirering/internal/wire/wirepb"
)

// Times of the deployments that docs/design/hard-load.md describes.
const (
	simulatedLink = 1400 * time.Microsecond
	// simulatedZoneLink is the delay within an availability zone.
	simulatedZoneLink = 200 * time.Microsecond
	simulatedSync     = 9 * time.Millisecond
)

// simulatedDisk is a storage whose saves take syncTime. It counts them.
type simulatedDisk struct {
	syncTime atomic.Int64
	saves    atomic.Int64
}

func (d *simulatedDisk) Save(store.Batch) error {
	d.saves.Add(1)
	time.Sleep(time.Duration(d.syncTime.Load()))
	return nil
}

// delayedMessage arrives at the other end of its link at a time.
type delayedMessage struct {
	message *wirepb.ReplicaMessage
	due     time.Time
}

// simulatedCluster runs nodes with the settings of core daemons in the fake time of a
// synctest bubble. Each link delays messages and keeps their order.
type simulatedCluster struct {
	mu    sync.Mutex
	nodes map[string]*Node
	disks map[string]*simulatedDisk
	links map[[2]string]chan delayedMessage
	zones map[string]int
	done  chan struct{}
	// down members send and receive nothing.
	down map[string]bool
	// firstCandidate is the time of the first request for a pre-vote since the last reset.
	firstCandidate time.Time
}

// startSimulated starts one node per voter, spread over zones. Call it inside a synctest bubble, and
// stop at its end.
func startSimulated(t *testing.T, voters, zones int, seed int64, change func(*NodeConfig)) *simulatedCluster {
	t.Helper()
	s := &simulatedCluster{
		nodes: make(map[string]*Node), disks: make(map[string]*simulatedDisk), down: make(map[string]bool),
		links: make(map[[2]string]chan delayedMessage), zones: make(map[string]int), done: make(chan struct{}),
	}
	rng := rand.New(rand.NewSource(seed))
	began := time.Now()
	membership := &wirepb.Membership{}
	for i := range voters {
		id := fmt.Sprintf("n%d", i+1)
		s.zones[id] = i % zones
		membership.Members = append(membership.Members, member(id, true))
	}
	snapshot := &wirepb.ReplicaSnapshot{Meta: &wirepb.SnapshotMeta{Index: 1, Term: 1, Membership: membership}, State: []byte("0")}
	for i, m := range membership.Members {
		disk := &simulatedDisk{}
		disk.syncTime.Store(int64(simulatedSync))
		config := NodeConfig{
			Core: Config{
				ID: m.Id, Incarnation: 1, Durable: true, ElectionTicks: 10, HeartbeatTicks: 3, LeaderLease: true,
				Rand: rand.New(rand.NewSource(seed*100 + int64(i))),
			},
			Machine: &countingMachine{}, Storage: disk, Sender: s, TickInterval: 50 * time.Millisecond,
			SnapshotEntries: 1000, SnapshotTail: 100, ConfirmedReads: true,
			OnFatal: func(err error) { t.Errorf("node %s: %v", m.Id, err) },
		}
		change(&config)
		node, err := NewNode(config, store.Loaded{HardState: &wirepb.HardState{Term: 1, Commit: 1}, Snapshot: snapshot})
		if err != nil {
			t.Fatal(err)
		}
		node.sinceBoot = func() (time.Duration, error) { return time.Since(began) + time.Hour, nil }
		s.nodes[m.Id], s.disks[m.Id] = node, disk
		for _, other := range membership.Members {
			if other.Id != m.Id {
				link := make(chan delayedMessage, 10_000)
				s.links[[2]string{m.Id, other.Id}] = link
				go s.serveLink(link)
			}
		}
	}
	for _, m := range membership.Members {
		node, phase := s.nodes[m.Id], time.Duration(rng.Int63n(int64(50*time.Millisecond)))
		go func() {
			time.Sleep(phase) // the members' ticks have different phases
			node.Run()
		}()
	}
	return s
}

func (s *simulatedCluster) stop() {
	for id, node := range s.nodes {
		if !s.down[id] {
			node.Stop()
		}
	}
	close(s.done)
	time.Sleep(2 * simulatedLink) // links with a message in flight end
	synctest.Wait()
}

func (s *simulatedCluster) serveLink(link chan delayedMessage) {
	for {
		select {
		case <-s.done:
			return
		case m := <-link:
			time.Sleep(time.Until(m.due))
			s.mu.Lock()
			dropped := s.down[m.message.From] || s.down[m.message.To]
			s.mu.Unlock()
			if !dropped {
				s.nodes[m.message.To].Deliver(m.message)
			}
		}
	}
}

func (s *simulatedCluster) Send(messages []*wirepb.ReplicaMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range messages {
		if m.Type == wirepb.MessageType_MESSAGE_TYPE_PRE_VOTE && s.firstCandidate.IsZero() {
			s.firstCandidate = time.Now()
		}
		if link := s.links[[2]string{m.From, m.To}]; link != nil && !s.down[m.From] {
			delay := simulatedLink
			if s.zones[m.From] == s.zones[m.To] {
				delay = simulatedZoneLink
			}
			link <- delayedMessage{m, time.Now().Add(delay)}
		}
	}
}

func (s *simulatedCluster) SetMembership(*wirepb.Membership) {}

// leader waits until a member that is not down holds the lease.
func (s *simulatedCluster) leader(t *testing.T) *Node {
	t.Helper()
	for range 10_000 {
		s.mu.Lock()
		for id, node := range s.nodes {
			if !s.down[id] && node.HoldsLease() {
				s.mu.Unlock()
				return node
			}
		}
		s.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	t.Fatal("no leader within 10 s")
	return nil
}
