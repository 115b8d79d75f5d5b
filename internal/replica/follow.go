package replica

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/wire/wirepb"
)

// answerStale tells a deposed leader the newer term.
func (c *Core) answerStale(m *wirepb.ReplicaMessage) {
	switch m.Type {
	case wirepb.MessageType_MESSAGE_TYPE_APPEND, wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT,
		wirepb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		c.send(&wirepb.ReplicaMessage{
			Type: wirepb.MessageType_MESSAGE_TYPE_APPEND_ANSWER, To: m.From,
			Reject: true, Hint: c.log.lastIndex(), Index: m.Index,
		})
	}
}

// followLeader accepts the sender as leader of the current term.
func (c *Core) followLeader(m *wirepb.ReplicaMessage) {
	if c.role != follower || c.lead != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.elapsed = 0
}

func (c *Core) handleAppend(m *wirepb.ReplicaMessage) {
	if !wellFormed(m) {
		return
	}
	c.followLeader(m)
	answer := &wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_APPEND_ANSWER, To: m.From, Index: m.Index,
	}
	if m.Index < c.log.commit {
		answer.Index = c.log.commit
		c.send(answer)
		return
	}
	if term, ok := c.log.term(m.Index); !ok || term != m.LogTerm {
		answer.Reject = true
		answer.Hint = c.rejectHint(m)
		c.send(answer)
		return
	}
	if err := c.acceptEntries(m.Entries); err != nil {
		c.fault = fmt.Errorf("append of %s in term %d: %w", m.From, m.Term, err)
		return
	}
	last := m.Index + uint64(len(m.Entries))
	c.log.commit = max(c.log.commit, min(m.Commit, last))
	answer.Index = last
	c.send(answer)
}

// rejectHint skips back over the whole conflicting term.
func (c *Core) rejectHint(m *wirepb.ReplicaMessage) uint64 {
	hint := min(m.Index-1, c.log.lastIndex())
	for hint > c.log.commit {
		if term, ok := c.log.term(hint); ok && term <= m.LogTerm {
			break
		}
		hint--
	}
	return hint
}

// wellFormed checks what an append claims about its own entries, before any
// of it is taken.
func wellFormed(m *wirepb.ReplicaMessage) bool {
	if checkContinuous(m.Index, m.LogTerm, m.Entries) != nil || m.LogTerm > m.Term {
		return false
	}
	for _, entry := range m.Entries {
		if entry.Term > m.Term {
			return false
		}
		if entry.Kind == wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP && proto.Unmarshal(entry.Data, new(wirepb.Membership)) != nil {
			return false
		}
	}
	return true
}

// acceptEntries appends the entries that are new, truncating at the first
// conflict. A conflict with a committed entry is an error.
func (c *Core) acceptEntries(entries []*wirepb.Entry) error {
	for i, entry := range entries {
		if term, ok := c.log.term(entry.Index); ok && term == entry.Term {
			continue
		}
		if entry.Index <= c.log.commit {
			return fmt.Errorf("entry %d of term %d conflicts with a committed one", entry.Index, entry.Term)
		}
		if entry.Index <= c.log.lastIndex() {
			c.log.truncateFrom(entry.Index)
			c.dropMembershipFrom(entry.Index)
		}
		return c.appendAll(entries[i:])
	}
	return nil
}

func (c *Core) appendAll(entries []*wirepb.Entry) error {
	for _, entry := range entries {
		c.log.append(entry)
		if err := c.noteMembership(entry); err != nil {
			return err
		}
	}
	return nil
}

func (c *Core) handleHeartbeat(m *wirepb.ReplicaMessage) {
	c.followLeader(m)
	c.log.commit = max(c.log.commit, min(m.Commit, c.log.lastIndex()))
	c.send(&wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT_ANSWER, To: m.From, Round: m.Round, Index: c.log.lastIndex(),
	})
}

// handleSnapshot takes a snapshot that goes beyond the commit index. When the
// log holds the snapshot's last entry already, only the commit index moves:
// entries behind it were acknowledged and may be committed by now.
func (c *Core) handleSnapshot(m *wirepb.ReplicaMessage) {
	meta := m.Snapshot.GetMeta()
	if meta.GetMembership() == nil || meta.Term > m.Term {
		return
	}
	c.followLeader(m)
	term, held := c.log.term(meta.Index)
	switch {
	case meta.Index <= c.log.commit:
	case held && term == meta.Term:
		c.log.commit = meta.Index
	default:
		c.log.restore(meta)
		c.config = []membershipAt{{meta.Index, meta.Membership}}
		c.received = m.Snapshot
	}
	c.send(&wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_APPEND_ANSWER, To: m.From, Index: c.log.commit,
	})
}
