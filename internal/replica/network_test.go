package replica

import (
	"fmt"
	"math/rand"
	"testing"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/replica/store"
	"sapphirering/internal/wire/wirepb"
	"sapphirering/test/emulator/disk"
)

const (
	testElectionTicks  = 5
	testHeartbeatTicks = 1
	testSnapshotTail   = 3
	firstIndex         = 1
	maxQueued          = 400
)

// fakeDisk holds the log of one member on an emulated disk.
type fakeDisk struct {
	disk *disk.Disk
	log  *store.AppendLog
	// rng decides what a crash leaves. It is not the network's, so that schedules do not depend on it.
	rng *rand.Rand
}

const diskFolder = "/data"

// open begins the next process on the disk and returns what it reads.
func (d *fakeDisk) open(t *testing.T) Persisted {
	t.Helper()
	if d.disk == nil {
		d.disk, d.rng = disk.New(), rand.New(rand.NewSource(1))
	}
	var err error
	if d.log, err = store.OpenAppendOn(d.disk, diskFolder); err != nil {
		t.Fatalf("open log: %v", err)
	}
	loaded, err := d.log.Load()
	if err != nil {
		t.Fatalf("load log: %v", err)
	}
	return Persisted{HardState: loaded.HardState, Snapshot: loaded.Snapshot.GetMeta(), Entries: loaded.Entries}
}

func (d *fakeDisk) save(t *testing.T, r Ready) {
	t.Helper()
	d.write(t, store.Batch{HardState: r.HardState, Entries: r.Entries, Snapshot: r.Snapshot, Reset: r.Snapshot != nil})
}

func (d *fakeDisk) write(t *testing.T, b store.Batch) {
	t.Helper()
	if err := d.log.Save(b); err != nil {
		t.Fatalf("save: %v", err)
	}
}

// compact stores a snapshot and drops the entries before index.
func (d *fakeDisk) compact(t *testing.T, meta *wirepb.SnapshotMeta, index uint64) {
	t.Helper()
	d.write(t, store.Batch{Snapshot: &wirepb.ReplicaSnapshot{Meta: meta}, KeepFrom: index})
}

// crash ends the process, half of the times by a loss of power, and a save in progress, if any,
// after some operations.
func (d *fakeDisk) crash(unsaved *Ready) {
	if unsaved != nil && d.rng.Intn(2) == 0 {
		d.disk.StopAfter(d.rng.Intn(4))
		// Its outcome is unknown, as nobody is told of it.
		_ = d.log.Save(store.Batch{HardState: unsaved.HardState, Entries: unsaved.Entries, Snapshot: unsaved.Snapshot, Reset: unsaved.Snapshot != nil})
	}
	if d.rng.Intn(2) == 0 {
		d.disk.LosePower(d.rng.Intn)
	} else {
		d.disk.Restart()
	}
}

type fakeMember struct {
	id          string
	disk        *fakeDisk
	core        *Core
	incarnation uint64
	commit      uint64
	applied     uint64
	// checked is the last index compared with the other members' committed entries.
	checked uint64
	// machine is the index that the state machine has reached by snapshots and applied entries.
	machine uint64
	// saving is the save in progress, nil for none.
	saving *Ready
}

// fakeNetwork drives cores over links that may drop, delay, reorder and
// duplicate messages, and checks the invariants of the protocol after each step.
type fakeNetwork struct {
	t       *testing.T
	rng     *rand.Rand
	ids     []string
	members map[string]*fakeMember
	queue   []*wirepb.ReplicaMessage
	// blocked drops messages from one member to another.
	blocked map[[2]string]bool
	// Observed leaders, votes and committed entries, to check the invariants.
	leaders       map[uint64]string
	votes         map[string]string
	committed     map[uint64]string
	lastCommitted uint64
	commands      int
	// leaderLease is Config.LeaderLease of the members started after it is set; applyUnsynced is
	// Config.ApplyUnsynced.
	leaderLease   bool
	applyUnsynced bool
	// slowSaves makes saves last until finishSave.
	slowSaves bool
}

func member(id string, voter bool) *wirepb.Member {
	m := &wirepb.Member{Id: id, Name: id, Address: id, Durable: true}
	if voter {
		m.Role = wirepb.Role_ROLE_VOTER
	}
	return m
}

// newNetwork starts members whose disks hold an initial snapshot in which all of them are voters.
func newNetwork(t *testing.T, seed int64, ids ...string) *fakeNetwork {
	n := &fakeNetwork{
		t: t, rng: rand.New(rand.NewSource(seed)), members: make(map[string]*fakeMember),
		blocked: make(map[[2]string]bool), leaders: make(map[uint64]string),
		votes: make(map[string]string), committed: make(map[uint64]string), lastCommitted: firstIndex,
	}
	first := &wirepb.Membership{}
	for _, id := range ids {
		first.Members = append(first.Members, member(id, true))
	}
	for _, id := range ids {
		founded := &fakeDisk{disk: disk.New(), rng: rand.New(rand.NewSource(seed + int64(len(n.ids))))}
		founded.open(t)
		founded.write(t, store.Batch{
			HardState: &wirepb.HardState{Term: 1, Commit: firstIndex}, Reset: true,
			Snapshot: &wirepb.ReplicaSnapshot{Meta: &wirepb.SnapshotMeta{Index: firstIndex, Term: 1, Membership: first}},
		})
		founded.disk.Restart()
		n.add(id, founded)
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

// start starts a new process of the member from the state on its disk and returns its core.
func (n *fakeNetwork) start(m *fakeMember) *Core {
	m.incarnation++
	core, err := NewCore(Config{
		ID: m.id, Incarnation: m.incarnation, Durable: true, ElectionTicks: testElectionTicks,
		HeartbeatTicks: testHeartbeatTicks, LeaderLease: n.leaderLease, ApplyUnsynced: n.applyUnsynced,
		Rand: rand.New(rand.NewSource(n.rng.Int63())),
	}, m.disk.open(n.t))
	if err != nil {
		n.t.Fatalf("restart %s: %v", m.id, err)
	}
	m.core, m.commit, m.applied, m.checked, m.machine = core, core.Commit(), core.log.applied, 0, core.log.applied
	return core
}

// crash ends the member's process, perhaps in the middle of the save in progress.
func (n *fakeNetwork) crash(m *fakeMember) { n.crashInSave(m, m.saving) }

// crashInSave crashes a member that has a Ready to save.
func (n *fakeNetwork) crashInSave(m *fakeMember, unsaved *Ready) {
	if m.core != nil {
		m.disk.crash(unsaved)
	}
	m.core, m.saving = nil, nil
}

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

// crashPoint is the step of handling a Ready after which the process crashes.
type crashPoint int

const (
	noCrash crashPoint = iota
	crashAfterEarly
	crashAfterSave
	crashAfterSend
	crashPoints
)

// process does the work that the member has ready, up to the crash point.
func (n *fakeNetwork) process(m *fakeMember, at crashPoint) {
	for m.core != nil && m.core.HasReady() {
		r := m.core.Ready()
		n.enqueue(r.Early)
		if r.Save {
			m.saving = &r
		}
		if at == crashAfterEarly {
			n.crash(m)
			return
		}
		if r.Save && !n.slowSaves && !n.finishSave(m, at) {
			return
		}
		for _, entry := range r.Committed {
			if entry.Index != m.machine+1 {
				n.t.Fatalf("%s applies entry %d after %d", m.id, entry.Index, m.machine)
			}
			m.machine = entry.Index
		}
		m.core.Applied(r)
		for _, id := range r.NeedSnapshot {
			if m.machine != m.core.log.applied {
				n.t.Fatalf("%s: snapshot of the state at %d sent as that at %d", m.id, m.machine, m.core.log.applied)
			}
			m.core.SendSnapshot(id, &wirepb.ReplicaSnapshot{Meta: m.core.SnapshotMeta()})
		}
		n.checkMember(m)
	}
	if m.core != nil {
		n.checkMember(m)
	}
}

// finishSave ends the member's save in progress; it returns false if the member crashed.
func (n *fakeNetwork) finishSave(m *fakeMember, at crashPoint) bool {
	r := m.saving
	m.saving = nil
	m.disk.save(n.t, *r)
	if at == crashAfterSave {
		n.crash(m)
		return false
	}
	n.enqueue(r.Messages)
	if at == crashAfterSend {
		n.crash(m)
		return false
	}
	if r.Snapshot != nil {
		m.machine = r.Snapshot.Meta.Index
	}
	m.core.Saved(*r)
	n.checkStable(m)
	return true
}

// checkStable checks that the disk holds what the member counts as synced.
func (n *fakeNetwork) checkStable(m *fakeMember) {
	n.t.Helper()
	if m.core.receivedSnapshot != nil {
		return // the log in memory follows a snapshot that is saved next
	}
	loaded, err := m.disk.log.Load()
	if err != nil {
		n.t.Fatalf("load log of %s: %v", m.id, err)
	}
	terms := map[uint64]uint64{loaded.Snapshot.GetMeta().GetIndex(): loaded.Snapshot.GetMeta().GetTerm()}
	for _, entry := range loaded.Entries {
		terms[entry.Index] = entry.Term
	}
	for index := max(m.core.log.firstIndex(), m.core.log.snapshot.Index); index <= m.core.log.stable; index++ {
		if term, _ := m.core.log.term(index); terms[index] != term {
			n.t.Fatalf("%s counts entry %d of term %d as synced, its disk holds term %d", m.id, index, term, terms[index])
		}
	}
}

func (n *fakeNetwork) enqueue(messages []*wirepb.ReplicaMessage) {
	for _, m := range messages {
		n.recordVote(m)
		if !n.blocked[[2]string{m.From, m.To}] {
			n.queue = append(n.queue, proto.CloneOf(m))
		}
	}
}

// recordVote checks that a voter votes for one candidate per term, also across restarts.
func (n *fakeNetwork) recordVote(m *wirepb.ReplicaMessage) {
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

// checkMember checks the invariants that concern one member.
func (n *fakeNetwork) checkMember(m *fakeMember) {
	c := m.core
	if c.IsLeader() {
		if before, ok := n.leaders[c.Term()]; ok && before != m.id {
			n.t.Fatalf("term %d has two leaders: %s and %s", c.Term(), before, m.id)
		} else if !ok {
			n.leaders[c.Term()] = m.id
			n.checkLeaderCompleteness(m)
		}
	}
	if c.Commit() < m.commit || c.log.applied < m.applied {
		n.t.Fatalf("%s: commit index went from %d to %d and applied index from %d to %d", m.id, m.commit, c.Commit(), m.applied, c.log.applied)
	}
	for index := max(c.log.firstIndex(), m.checked+1); index <= c.Commit(); index++ {
		n.recordCommitted(m.id, c.log.slice(index, index, 0)[0])
	}
	m.commit, m.applied, m.checked = c.Commit(), c.log.applied, c.Commit()
}

func (n *fakeNetwork) recordCommitted(id string, entry *wirepb.Entry) {
	text := fmt.Sprintf("%d/%d/%s", entry.Term, entry.Kind, entry.Data)
	if before, ok := n.committed[entry.Index]; ok && before != text {
		n.t.Fatalf("%s committed %q at index %d, where %q was committed before", id, text, entry.Index, before)
	}
	n.committed[entry.Index] = text
	n.lastCommitted = max(n.lastCommitted, entry.Index)
}

// checkLeaderCompleteness checks that a new leader holds every committed entry.
func (n *fakeNetwork) checkLeaderCompleteness(m *fakeMember) {
	if m.core.LastIndex() < n.lastCommitted {
		n.t.Fatalf("log of leader %s of term %d ends at index %d, committed is %d", m.id, m.core.Term(), m.core.LastIndex(), n.lastCommitted)
	}
	for index := m.core.log.firstIndex(); index <= n.lastCommitted; index++ {
		entry := m.core.log.slice(index, index, 0)[0]
		text := fmt.Sprintf("%d/%d/%s", entry.Term, entry.Kind, entry.Data)
		if want, ok := n.committed[index]; ok && want != text {
			n.t.Fatalf("leader %s of term %d lacks committed entry %d", m.id, m.core.Term(), index)
		}
	}
}

// checkLogMatching checks that logs that agree on one entry agree on all entries before it.
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
			n.t.Fatalf("logs of %s and %s differ at index %d but agree on a later entry", a.cfg.ID, b.cfg.ID, index)
		}
	}
}

// deliver delivers the queued message at position i.
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

// deliverAll delivers messages in order until none is queued.
func (n *fakeNetwork) deliverAll() {
	for rounds := 0; len(n.queue) > 0; rounds++ {
		if rounds > 100_000 {
			n.t.Fatal("messages are still queued after 100000 deliveries")
		}
		n.deliver(0, noCrash)
	}
}

// run ticks every member and delivers all messages after each tick.
func (n *fakeNetwork) run(ticks int) {
	for range ticks {
		for _, id := range n.ids {
			if m := n.members[id]; m.core != nil {
				m.core.Tick()
				n.process(m, noCrash)
			}
		}
		n.deliverAll()
	}
}

// elect makes one member the leader: only it is ticked, and all members forget
// their leader so that they grant it votes.
func (n *fakeNetwork) elect(id string) *fakeMember {
	n.t.Helper()
	m := n.members[id]
	for range 4 * testElectionTicks {
		if m.core.IsLeader() {
			return m
		}
		for _, other := range n.ids {
			if c := n.members[other].core; c != nil {
				c.leaderID = ""
			}
		}
		m.core.Tick()
		n.process(m, noCrash)
		n.deliverAll()
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
	if m.saving != nil {
		return
	}
	if meta := m.core.Compact(min(m.core.log.applied, m.core.log.stable), testSnapshotTail); meta != nil {
		m.disk.compact(n.t, meta, m.core.log.base)
	}
}
