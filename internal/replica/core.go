// Package replica keeps a replicated log, by a variant of Raft. Core is the
// protocol without input or output: it takes messages and ticks, and returns
// what to persist, send and apply. Node drives it with storage and a network.
package replica

import (
	"errors"
	"fmt"
	"math/rand"

	"sapphirering/internal/wire/wirepb"
)

// ErrNotLeader is returned for requests that only the leader can serve.
var ErrNotLeader = errors.New("not the leader")

// ErrMembershipBusy is returned while an earlier membership change or the first
// entry of the leader's term is not yet committed.
var ErrMembershipBusy = errors.New("an earlier membership change is not yet committed")

const (
	maxAppendBytes = 256 << 10
	// maxInflightAppend bounds the unanswered appends to a member. With 16, a stream of 800 commands per
	// second waited for answers: one append goes out per command, and answers come once per sync.
	maxInflightAppend = 64
	// snapshotRetryTicks is how long a snapshot may be in flight before it is sent again.
	snapshotRetryTicks = 80
	// maxStalledRounds is the number of heartbeat answers without progress
	// after which appends in flight are considered lost.
	maxStalledRounds = 2
)

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Config holds the fixed parameters of a Core.
type Config struct {
	// ID is the member's identity, which is bound to its data folder.
	ID string
	// Incarnation differs for each process that runs under the same ID.
	Incarnation uint64
	// Durable members sync to disk before they answer, and may vote.
	Durable bool
	// ElectionTicks is the shortest election timeout, in ticks.
	ElectionTicks int
	// HeartbeatTicks is the heartbeat interval, in ticks.
	HeartbeatTicks int
	// LeaderLease is set when leaders serve reads under a lease.
	LeaderLease bool
	// ApplyUnsynced is set when committed entries may be applied before this member has synced
	// them and the commit index. Its state may then be older after a restart.
	ApplyUnsynced bool
	// Rand randomizes election timeouts.
	Rand *rand.Rand
}

// Core is one member's state of the consensus protocol. It does no input or output.
type Core struct {
	cfg          Config
	log          *raftLog
	term         uint64
	vote         string
	leaderID     string
	role         role
	votes        map[string]bool
	progressByID map[string]*progress
	memberships  []membershipRecord

	// noVoteTicks is how long this member neither campaigns nor grants a vote that is not forced:
	// it, or its process before a restart, may have answered a heartbeat that a leader's lease relies
	// on. It does not depend on leaderID, which a late message with a newer term clears.
	noVoteTicks int

	electionElapsed      int
	electionTimeoutTicks int
	heartbeatElapsed     int
	// campaigns counts the requests for pre-votes since a leader was last known.
	campaigns int
	round     uint64

	messages         []*wirepb.ReplicaMessage
	receivedSnapshot *wirepb.ReplicaSnapshot
	needSnapshot     map[string]bool
	syncedState      *wirepb.HardState
	// saving is set from a Ready with Save until Saved; restoring, if it has a Snapshot.
	saving    bool
	restoring bool
	fault     error
	// formerTerm is the term of the last entry before this leader's first, whose index is firstOwn.
	formerTerm uint64
	firstOwn   uint64
}

// Persisted is the state that storage held at start.
type Persisted struct {
	HardState *wirepb.HardState
	Snapshot  *wirepb.SnapshotMeta
	Entries   []*wirepb.Entry
}

// NewCore restores a member from its synced state.
func NewCore(cfg Config, p Persisted) (*Core, error) {
	c := &Core{cfg: cfg, needSnapshot: make(map[string]bool)}
	c.term = p.HardState.GetTerm()
	c.vote = p.HardState.GetVote()
	var err error
	if c.log, err = newLog(p.Snapshot, p.Entries, p.HardState.GetCommit()); err != nil {
		return nil, fmt.Errorf("restore log of %s: %w", cfg.ID, err)
	}
	c.syncedState = c.hardState()
	c.memberships = []membershipRecord{{c.log.snapshot.Index, c.log.snapshot.Membership}}
	for _, entry := range p.Entries {
		if entry.Index <= c.log.snapshot.Index {
			continue
		}
		if err := c.recordMembership(entry); err != nil {
			return nil, err
		}
	}
	c.becomeFollower(c.term, "")
	c.protectLease()
	return c, nil
}

// Leader returns the identity of the known leader, or "".
func (c *Core) Leader() string { return c.leaderID }

// IsLeader reports whether this member leads.
func (c *Core) IsLeader() bool { return c.role == leader }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Commit returns the last committed index.
func (c *Core) Commit() uint64 { return c.log.commit }

// LastIndex returns the index of the last log entry.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// Fault returns the violated invariant after which this member must not take
// part any more, or nil. The caller must stop: the log is not safe to extend.
func (c *Core) Fault() error { return c.fault }

func (c *Core) send(m *wirepb.ReplicaMessage) {
	m.From = c.cfg.ID
	m.Incarnation = c.cfg.Incarnation
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messages = append(c.messages, m)
}

// Tick advances the logical clock by one.
func (c *Core) Tick() {
	c.electionElapsed++
	c.noVoteTicks = max(c.noVoteTicks-1, 0)
	if c.role == leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed >= c.electionTimeoutTicks && c.noVoteTicks == 0 && c.selfIsVoter() {
		c.startPreVote()
	}
}

func (c *Core) tickLeader() {
	c.expirePendingSnapshots()
	c.heartbeatElapsed++
	if c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.Heartbeat()
	}
	if c.electionElapsed >= c.cfg.ElectionTicks {
		c.electionElapsed = 0
		c.checkQuorum()
	}
}

// Step processes one message from another member.
func (c *Core) Step(m *wirepb.ReplicaMessage) {
	if m.To != c.cfg.ID {
		return
	}
	switch m.Type {
	case wirepb.MessageType_MESSAGE_TYPE_PRE_VOTE, wirepb.MessageType_MESSAGE_TYPE_VOTE:
		c.handleVoteRequest(m)
		return
	case wirepb.MessageType_MESSAGE_TYPE_PRE_VOTE_ANSWER:
		c.handlePreVoteAnswer(m)
		return
	}
	if m.Term < c.term {
		c.rejectStaleLeader(m)
		return
	}
	if m.Term > c.term {
		c.becomeFollower(m.Term, "")
	}
	switch m.Type {
	case wirepb.MessageType_MESSAGE_TYPE_VOTE_ANSWER:
		c.handleVoteAnswer(m)
	case wirepb.MessageType_MESSAGE_TYPE_APPEND:
		c.handleAppend(m)
	case wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT:
		c.handleHeartbeat(m)
	case wirepb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		c.handleSnapshot(m)
	case wirepb.MessageType_MESSAGE_TYPE_APPEND_ANSWER:
		c.handleAppendAnswer(m)
	case wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT_ANSWER:
		c.handleHeartbeatAnswer(m)
	case wirepb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW:
		if c.selfIsVoter() {
			c.noVoteTicks = 0 // the leader has given up its lease
			c.startVote(true)
		}
	}
}

func (c *Core) appendAsLeader(entry *wirepb.Entry) uint64 {
	entry.Term = c.term
	entry.Index = c.log.lastIndex() + 1
	c.log.append(entry)
	return entry.Index
}

// Propose appends commands on the leader and returns the index of the first.
func (c *Core) Propose(commands ...[]byte) (uint64, error) {
	if c.role != leader {
		return 0, ErrNotLeader
	}
	first := c.log.lastIndex() + 1
	for _, data := range commands {
		c.appendAsLeader(&wirepb.Entry{Kind: wirepb.EntryKind_ENTRY_KIND_COMMAND, Data: data})
	}
	c.broadcastAppend()
	return first, nil
}

// Compact records a snapshot at an applied index and drops the entries up to
// it, except the last tail ones. The entries up to the index must be synced.
func (c *Core) Compact(index, tail uint64) *wirepb.SnapshotMeta {
	term, ok := c.log.term(index)
	if !ok || index > min(c.log.applied, c.log.stable) || index <= c.log.snapshot.Index {
		return nil
	}
	meta := &wirepb.SnapshotMeta{Index: index, Term: term, Membership: c.membershipAtIndex(index)}
	c.log.compact(meta, index-min(tail, index))
	kept := []membershipRecord{{index, meta.Membership}}
	for _, record := range c.memberships {
		if record.index > index {
			kept = append(kept, record)
		}
	}
	c.memberships = kept
	return meta
}

// SnapshotMeta describes a snapshot at the applied index.
func (c *Core) SnapshotMeta() *wirepb.SnapshotMeta {
	term, _ := c.log.term(c.log.applied)
	return &wirepb.SnapshotMeta{
		Index: c.log.applied, Term: term, Membership: c.membershipAtIndex(c.log.applied),
	}
}
