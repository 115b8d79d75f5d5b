package replica

import (
	"slices"

	"sapphirering/internal/wire/wirepb"
)

// Ready is the work that the caller has to do. It sends Early, applies Committed,
// calls Applied and serves NeedSnapshot before the next Ready. With Save set, it
// also persists HardState, Entries and Snapshot with one sync, then sends Messages,
// restores Snapshot and calls Saved. This may take longer: until Saved is called,
// the core keeps processing and Ready returns nothing more to save.
type Ready struct {
	// Save is set when Saved is expected, also if there is nothing to persist.
	Save      bool
	HardState *wirepb.HardState
	// VoteChanged is set when the term or vote differs from the synced state.
	VoteChanged bool
	Entries     []*wirepb.Entry
	Snapshot    *wirepb.ReplicaSnapshot
	// Messages rely on state up to the one that is persisted with them, and on nothing later.
	Messages []*wirepb.ReplicaMessage
	// Early messages may be sent before the sync.
	Early     []*wirepb.ReplicaMessage
	Committed []*wirepb.Entry
	// Members that need a snapshot, to be sent by SendSnapshot.
	NeedSnapshot []string
}

func (c *Core) hardState() *wirepb.HardState {
	return &wirepb.HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit}
}

// HasReady reports whether Ready would return work.
func (c *Core) HasReady() bool {
	return c.mayApply() && (len(c.needSnapshot) > 0 || c.log.applied < c.applicable()) ||
		!c.saving && c.hasUnsaved() || c.hasEarly()
}

// hasUnsaved reports whether there is state to save, or a message that relies on saved state.
func (c *Core) hasUnsaved() bool {
	return len(c.messages) > 0 || c.receivedSnapshot != nil || c.log.stable < c.log.lastIndex() || c.hardStateChanged()
}

// mayApply reports whether the state machine is at the applied index. It is not while a received
// snapshot has not been saved and restored.
func (c *Core) mayApply() bool { return c.receivedSnapshot == nil && !c.restoring }

// applicable returns the index up to which entries may be applied.
func (c *Core) applicable() uint64 {
	if c.cfg.ApplyUnsynced {
		return c.log.commit
	}
	return min(c.log.commit, c.syncedState.Commit)
}

func (c *Core) hardStateChanged() bool {
	return c.voteChanged() || c.syncedState.Commit != c.log.commit
}

// voteChanged reports whether the term or vote differs from the synced state.
func (c *Core) voteChanged() bool {
	return c.syncedState.Term != c.term || c.syncedState.Vote != c.vote
}

// isEarly reports whether a message may be sent before the sync: a leader's in a
// term whose vote is synced. This is safe because the leader does not count its
// own copy of an entry before the sync, and cannot lead the same term again after
// a crash.
func (c *Core) isEarly(m *wirepb.ReplicaMessage) bool {
	return c.role == leader && !c.voteChanged() && m.Term == c.term && fromLeader(m.Type)
}

func (c *Core) hasEarly() bool { return slices.ContainsFunc(c.messages, c.isEarly) }

func fromLeader(t wirepb.MessageType) bool {
	return t == wirepb.MessageType_MESSAGE_TYPE_APPEND || t == wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT ||
		t == wirepb.MessageType_MESSAGE_TYPE_SNAPSHOT || t == wirepb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW
}

// Ready returns the work that is due.
func (c *Core) Ready() Ready {
	var r Ready
	var rest []*wirepb.ReplicaMessage
	for _, m := range c.messages {
		if c.isEarly(m) {
			r.Early = append(r.Early, m)
			continue
		}
		rest = append(rest, m)
	}
	c.messages = rest
	if c.mayApply() {
		r.Committed = c.log.slice(c.log.applied+1, c.applicable(), 1<<62)
		for id := range c.needSnapshot {
			r.NeedSnapshot = append(r.NeedSnapshot, id)
		}
		clear(c.needSnapshot)
	}
	if !c.saving && c.hasUnsaved() {
		c.takeUnsaved(&r)
	}
	return r
}

// takeUnsaved moves all unsaved state and the messages that rely on it to r.
func (c *Core) takeUnsaved(r *Ready) {
	r.Save, c.saving = true, true
	r.Messages, c.messages = c.messages, nil
	r.Snapshot, c.receivedSnapshot = c.receivedSnapshot, nil
	c.restoring = r.Snapshot != nil
	if c.hardStateChanged() {
		r.HardState = c.hardState()
		r.VoteChanged = c.voteChanged()
	}
	r.Entries = c.log.slice(c.log.stable+1, c.log.lastIndex(), 1<<62)
}

// Applied records that r.Committed was applied.
func (c *Core) Applied(r Ready) {
	if n := len(r.Committed); n > 0 {
		c.log.applied = max(c.log.applied, r.Committed[n-1].Index)
		c.stepDownIfRemoved()
	}
}

// Saved records that the state in r is synced and restored, and its messages sent.
func (c *Core) Saved(r Ready) {
	c.saving, c.restoring = false, false
	if r.HardState != nil {
		c.syncedState = r.HardState
	}
	if c.receivedSnapshot == nil {
		// Saving a snapshot that arrived during this save will drop the entries saved here.
		c.log.stableTo(r.Entries)
	}
	if c.role == leader {
		c.maybeCommit()
	}
}

// HoldSaves makes Ready return nothing to save while the storage is busy with something
// else. Call it only while no save is in progress, and end it before the next.
func (c *Core) HoldSaves(hold bool) { c.saving = hold }

// Restoring reports whether a received snapshot has not yet been saved and restored.
func (c *Core) Restoring() bool { return !c.mayApply() }
