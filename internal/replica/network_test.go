package replica

import (
	"fmt"
	"math/rand"
	"testing"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/wire/wirepb"
)

const (
	testElectionTicks  = 5
	testHeartbeatTicks = 1
	testTail           = 3
	firstIndex         = 1
	maxQueued          = 400
)

// fakeDisk holds what one member has synced.
type fakeDisk struct {
	hard     *wirepb.HardState
	snapshot *wirepb.SnapshotMeta
	entries  []*wirepb.Entry
}

func (d *fakeDisk) save(r Ready) {
	if r.HardState != nil {
		d.hard = r.HardState
	}
	if r.Snapshot != nil {
		d.snapshot, d.entries = r.Snapshot.Meta, nil
	}
	if len(r.Entries) > 0 {
		kept := d.entries[:0:0]
		for _, entry := range d.entries {
			if entry.Index < r.Entries[0].Index {
				kept = append(kept, entry)
			}
		}
		d.entries = append(kept, r.Entries...)
	}
}

// keepFrom drops entries before index, as the store does with a snapshot.
func (d *fakeDisk) keepFrom(meta *wirepb.SnapshotMeta, index uint64) {
	d.snapshot = meta
	for len(d.entries) > 0 && d.entries[0].Index < index {
		d.entries = d.entries[1:]
	}
}

type fakeMember struct {
	id          string
	disk        *fakeDisk
	core        *Core
	incarnation uint64
	commit      uint64
	applied     uint64
	// checked is the last index compared with what others committed.
	checked uint64
}

// fakeNetwork drives cores over links that drop, delay, reorder and duplicate,
// and checks the invariants of the agreement after each step.
type fakeNetwork struct {
	t       *testing.T
	rng     *rand.Rand
	ids     []string
	members map[string]*fakeMember
	queue   []*wirepb.ReplicaMessage
	// blocked drops messages from one member to another.
	blocked map[[2]string]bool
	// What was seen, for the invariants.
	leaders   map[uint64]string
	votes     map[string]string
	committed map[uint64]string
	last      uint64
	commands  int
	// leaderLease is the setting of members that start from here on.
	leaderLease bool
}

func member(id string, voter bool) *wirepb.Member {
	m := &wirepb.Member{Id: id, Name: id, Address: id, Durable: true}
	if voter {
		m.Role = wirepb.Role_ROLE_VOTER
	}
	return m
}

// newNetwork starts members whose disks hold a first snapshot that lists them all as voters.
func newNetwork(t *testing.T, seed int64, ids ...string) *fakeNetwork {
	n := &fakeNetwork{
		t: t, rng: rand.New(rand.NewSource(seed)), members: make(map[string]*fakeMember),
		blocked: make(map[[2]string]bool), leaders: make(map[uint64]string),
		votes: make(map[string]string), committed: make(map[uint64]string), last: firstIndex,
	}
	first := &wirepb.Membership{}
	for _, id := range ids {
		first.Members = append(first.Members, member(id, true))
	}
	for _, id := range ids {
		n.add(id, &fakeDisk{
			hard:     &wirepb.HardState{Term: 1, Commit: firstIndex},
			snapshot: &wirepb.SnapshotMeta{Index: firstIndex, Term: 1, Membership: first},
		})
	}
	return n
}

func (n *fakeNetwork) add(id string, disk *fakeDisk) *fakeMember {
	m := &fakeMember{id: id, disk: disk}
	n.ids = append(n.ids, id)
	n.members[id] = m
	n.start(m)
	return m
}

// start runs a new process of the member from what its disk holds.
func (n *fakeNetwork) start(m *fakeMember) {
	m.incarnation++
	core, err := NewCore(Config{
		ID: m.id, Incarnation: m.incarnation, Durable: true, ElectionTicks: testElectionTicks,
		HeartbeatTicks: testHeartbeatTicks, LeaderLease: n.leaderLease, Rand: rand.New(rand.NewSource(n.rng.Int63())),
	}, Persisted{HardState: m.disk.hard, Snapshot: m.disk.snapshot, Entries: m.disk.entries})
	if err != nil {
		n.t.Fatalf("restart %s: %v", m.id, err)
	}
	m.core, m.commit, m.applied, m.checked = core, core.Commit(), core.log.applied, 0
}

func (n *fakeNetwork) crash(m *fakeMember) { m.core = nil }

func (n *fakeNetwork) leader() *fakeMember {
	var found *fakeMember
	for _, id := range n.ids {
		m := n.members[id]
		if m.core != nil && m.core.IsLeader() && (found == nil || m.core.Term() > found.core.Term()) {
			found = m
		}
	}
	return found
}

// crashPoint is the step of a Ready after which the process ends.
type crashPoint int

const (
	noCrash crashPoint = iota
	crashAfterEarly
	crashAfterSave
	crashAfterSend
	crashPoints
)

// process carries out what the member has ready, up to a crash.
func (n *fakeNetwork) process(m *fakeMember, at crashPoint) {
	for m.core != nil && m.core.HasReady() {
		r := m.core.Ready()
		n.post(r.Early)
		if at == crashAfterEarly {
			n.crash(m)
			return
		}
		m.disk.save(r)
		if at == crashAfterSave {
			n.crash(m)
			return
		}
		n.post(r.Messages)
		if at == crashAfterSend {
			n.crash(m)
			return
		}
		m.core.Advance(r)
		for _, id := range r.NeedSnapshot {
			m.core.SendSnapshot(id, &wirepb.ReplicaSnapshot{Meta: m.core.SnapshotMeta()})
		}
		n.check(m)
	}
	if m.core != nil {
		n.check(m)
	}
}

func (n *fakeNetwork) post(messages []*wirepb.ReplicaMessage) {
	for _, m := range messages {
		n.noteVote(m)
		if !n.blocked[[2]string{m.From, m.To}] {
			n.queue = append(n.queue, proto.CloneOf(m))
		}
	}
}

// noteVote checks that a voter gives one vote a term, also across restarts.
func (n *fakeNetwork) noteVote(m *wirepb.ReplicaMessage) {
	candidate := ""
	switch {
	case m.Type == wirepb.MessageType_MESSAGE_TYPE_VOTE:
		candidate = m.From
	case m.Type == wirepb.MessageType_MESSAGE_TYPE_VOTE_ANSWER && !m.Reject:
		candidate = m.To
	default:
		return
	}
	key := fmt.Sprintf("%s/%d", m.From, m.Term)
	if before, ok := n.votes[key]; ok && before != candidate {
		n.t.Fatalf("%s voted for %s and %s in term %d", m.From, before, candidate, m.Term)
	}
	n.votes[key] = candidate
}

// check tests the invariants that concern one member.
func (n *fakeNetwork) check(m *fakeMember) {
	c := m.core
	if c.IsLeader() {
		if before, ok := n.leaders[c.Term()]; ok && before != m.id {
			n.t.Fatalf("term %d has two leaders: %s and %s", c.Term(), before, m.id)
		} else if !ok {
			n.leaders[c.Term()] = m.id
			n.checkComplete(m)
		}
	}
	if c.Commit() < m.commit || c.log.applied < m.applied {
		n.t.Fatalf("%s: commit fell from %d to %d or applied from %d to %d", m.id, m.commit, c.Commit(), m.applied, c.log.applied)
	}
	for index := max(c.log.firstIndex(), m.checked+1); index <= c.Commit(); index++ {
		n.noteCommitted(m.id, c.log.slice(index, index, 0)[0])
	}
	m.commit, m.applied, m.checked = c.Commit(), c.log.applied, c.Commit()
}

func (n *fakeNetwork) noteCommitted(id string, entry *wirepb.Entry) {
	text := fmt.Sprintf("%d/%d/%s", entry.Term, entry.Kind, entry.Data)
	if before, ok := n.committed[entry.Index]; ok && before != text {
		n.t.Fatalf("%s committed %q at %d, %q was committed before", id, text, entry.Index, before)
	}
	n.committed[entry.Index] = text
	n.last = max(n.last, entry.Index)
}

// checkComplete tests that a new leader holds every committed entry.
func (n *fakeNetwork) checkComplete(m *fakeMember) {
	if m.core.LastIndex() < n.last {
		n.t.Fatalf("leader %s of term %d ends at %d, committed is %d", m.id, m.core.Term(), m.core.LastIndex(), n.last)
	}
	for index := m.core.log.firstIndex(); index <= n.last; index++ {
		entry := m.core.log.slice(index, index, 0)[0]
		text := fmt.Sprintf("%d/%d/%s", entry.Term, entry.Kind, entry.Data)
		if want, ok := n.committed[index]; ok && want != text {
			n.t.Fatalf("leader %s of term %d lacks committed entry %d", m.id, m.core.Term(), index)
		}
	}
}

// checkLogMatching tests that logs that agree on one entry agree on all before it.
func (n *fakeNetwork) checkLogMatching() {
	for i, a := range n.ids {
		for _, b := range n.ids[i+1:] {
			if n.members[a].core != nil && n.members[b].core != nil {
				n.checkPair(n.members[a].core, n.members[b].core)
			}
		}
	}
}

func (n *fakeNetwork) checkPair(a, b *Core) {
	agreed := false
	for index := min(a.LastIndex(), b.LastIndex()); index >= max(a.log.firstIndex(), b.log.firstIndex()); index-- {
		x, y := a.log.slice(index, index, 0)[0], b.log.slice(index, index, 0)[0]
		if x.Term == y.Term {
			agreed = true
		}
		if agreed && !proto.Equal(x, y) {
			n.t.Fatalf("logs of %s and %s agree later but differ at %d", a.cfg.ID, b.cfg.ID, index)
		}
	}
}

// deliver hands over the queued message at position i.
func (n *fakeNetwork) deliver(i int, at crashPoint) {
	m := n.queue[i]
	n.queue = append(n.queue[:i], n.queue[i+1:]...)
	to := n.members[m.To]
	if to == nil || to.core == nil || n.blocked[[2]string{m.From, m.To}] {
		return
	}
	to.core.Step(m)
	n.process(to, at)
}

// settle delivers in order until nothing is queued.
func (n *fakeNetwork) settle() {
	for rounds := 0; len(n.queue) > 0; rounds++ {
		if rounds > 100_000 {
			n.t.Fatal("messages do not end")
		}
		n.deliver(0, noCrash)
	}
}

// run ticks every member and delivers everything in between.
func (n *fakeNetwork) run(ticks int) {
	for range ticks {
		for _, id := range n.ids {
			if m := n.members[id]; m.core != nil {
				m.core.Tick()
				n.process(m, noCrash)
			}
		}
		n.settle()
	}
}

// elect makes one member the leader by ticking only it.
func (n *fakeNetwork) elect(id string) *fakeMember {
	n.t.Helper()
	m := n.members[id]
	for range 4 * testElectionTicks {
		if m.core.IsLeader() {
			return m
		}
		for _, other := range n.ids {
			if c := n.members[other].core; c != nil {
				c.lead = ""
			}
		}
		m.core.Tick()
		n.process(m, noCrash)
		n.settle()
	}
	n.t.Fatalf("%s was not elected", id)
	return nil
}

func (n *fakeNetwork) propose(m *fakeMember) error {
	n.commands++
	_, err := m.core.Propose(fmt.Appendf(nil, "command %d", n.commands))
	n.process(m, noCrash)
	return err
}

func (n *fakeNetwork) compact(m *fakeMember) {
	if meta := m.core.Compact(m.core.log.applied, testTail); meta != nil {
		m.disk.keepFrom(meta, m.core.log.base)
	}
}
