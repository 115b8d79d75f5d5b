package replica

import (
	"sapphirering/internal/wire/wirepb"
)

// Ready is the work that the caller has to do, in this order: send Early,
// persist Snapshot, HardState and Entries with one sync, send Messages, apply
// Committed, then call Advance.
type Ready struct {
	HardState *wirepb.HardState
	// VoteChanged is set when the term or vote differs from the synced state.
	VoteChanged bool
	Entries     []*wirepb.Entry
	Snapshot    *wirepb.ReplicaSnapshot
	// Early messages may be sent before the sync.
	Early     []*wirepb.ReplicaMessage
	Messages  []*wirepb.ReplicaMessage
	Committed []*wirepb.Entry
	// Members that need a snapshot, to be sent by SendSnapshot.
	NeedSnapshot []string
}

func (c *Core) hardState() *wirepb.HardState {
	return &wirepb.HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit}
}

// HasReady reports whether Ready would return work.
func (c *Core) HasReady() bool {
	return len(c.messages) > 0 || len(c.needSnapshot) > 0 || c.receivedSnapshot != nil ||
		c.log.stable < c.log.lastIndex() || c.log.applied < c.log.commit ||
		c.hardStateChanged()
}

func (c *Core) hardStateChanged() bool {
	return c.voteChanged() || c.syncedState.Commit != c.log.commit
}

// voteChanged reports whether the term or vote differs from the synced state.
func (c *Core) voteChanged() bool {
	return c.syncedState.Term != c.term || c.syncedState.Vote != c.vote
}

// splitEarly separates the messages that may be sent before the sync: those
// that a leader sends in a term whose vote is synced. This is safe because the
// leader does not count its own copy of an entry before the sync, and cannot
// lead the same term again after a crash.
func (c *Core) splitEarly() (early, rest []*wirepb.ReplicaMessage) {
	if c.role != leader || c.voteChanged() {
		return nil, c.messages
	}
	for _, m := range c.messages {
		if m.Term == c.term && fromLeader(m.Type) {
			early = append(early, m)
			continue
		}
		rest = append(rest, m)
	}
	return early, rest
}

func fromLeader(t wirepb.MessageType) bool {
	return t == wirepb.MessageType_MESSAGE_TYPE_APPEND || t == wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT ||
		t == wirepb.MessageType_MESSAGE_TYPE_SNAPSHOT
}

// Ready returns the work that is due.
func (c *Core) Ready() Ready {
	r := Ready{Snapshot: c.receivedSnapshot}
	r.Early, r.Messages = c.splitEarly()
	c.messages = nil
	c.receivedSnapshot = nil
	if c.hardStateChanged() {
		r.HardState = c.hardState()
		r.VoteChanged = c.voteChanged()
	}
	r.Entries = c.log.slice(c.log.stable+1, c.log.lastIndex(), 1<<62)
	r.Committed = c.log.slice(c.log.applied+1, c.log.commit, 1<<62)
	for id := range c.needSnapshot {
		r.NeedSnapshot = append(r.NeedSnapshot, id)
	}
	clear(c.needSnapshot)
	return r
}

// Advance records that the work of r was done.
func (c *Core) Advance(r Ready) {
	if r.HardState != nil {
		c.syncedState = r.HardState
	}
	if n := len(r.Entries); n > 0 {
		c.log.stable = max(c.log.stable, r.Entries[n-1].Index)
	}
	if n := len(r.Committed); n > 0 {
		c.log.applied = max(c.log.applied, r.Committed[n-1].Index)
		c.stepDownIfRemoved()
	}
	if c.role == leader {
		c.maybeCommit()
	}
}
