package replica

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/wire/wirepb"
)

// rejectStaleLeader answers a leader of an older term with the current term.
func (c *Core) rejectStaleLeader(m *wirepb.ReplicaMessage) {
	switch m.Type {
	case wirepb.MessageType_MESSAGE_TYPE_APPEND, wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT,
		wirepb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		c.send(&wirepb.ReplicaMessage{
			Type: wirepb.MessageType_MESSAGE_TYPE_APPEND_ANSWER, To: m.From,
			Reject: true, Hint: c.log.lastIndex(), Index: m.Index,
		})
	}
}

// acceptLeader accepts the sender as leader of the current term.
func (c *Core) acceptLeader(m *wirepb.ReplicaMessage) {
	if c.role != follower || c.leaderID != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.electionElapsed = 0
	c.campaigns = 0
}

func (c *Core) handleAppend(m *wirepb.ReplicaMessage) {
	if !validAppend(m) {
		return
	}
	c.acceptLeader(m)
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
		c.fault = fmt.Errorf("append from leader %s in term %d: %w", m.From, m.Term, err)
		return
	}
	last := m.Index + uint64(len(m.Entries))
	c.log.commit = max(c.log.commit, min(m.Commit, last))
	answer.Index = last
	c.send(answer)
}

// rejectHint returns where the leader should probe next: it skips the entries
// whose term is above the append's.
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

// validAppend reports whether the entries of an append are contiguous, of terms up
// to the sender's, and decodable. Nothing of an invalid append is used.
func validAppend(m *wirepb.ReplicaMessage) bool {
	if checkContiguous(m.Index, m.LogTerm, m.Entries) != nil || m.LogTerm > m.Term {
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

// acceptEntries appends the entries that are new and truncates the log at the
// first conflict. A conflict with a committed entry is an error.
func (c *Core) acceptEntries(entries []*wirepb.Entry) error {
	for i, entry := range entries {
		if term, ok := c.log.term(entry.Index); ok && term == entry.Term {
			continue
		}
		if entry.Index <= c.log.commit {
			return fmt.Errorf("log entry %d of term %d conflicts with a committed entry", entry.Index, entry.Term)
		}
		if entry.Index <= c.log.lastIndex() {
			c.log.truncateFrom(entry.Index)
			c.truncateMemberships(entry.Index)
		}
		return c.appendEntries(entries[i:])
	}
	return nil
}

func (c *Core) appendEntries(entries []*wirepb.Entry) error {
	for _, entry := range entries {
		c.log.append(entry)
		if err := c.recordMembership(entry); err != nil {
			return err
		}
	}
	return nil
}

func (c *Core) handleHeartbeat(m *wirepb.ReplicaMessage) {
	c.acceptLeader(m)
	c.protectLease()
	c.log.commit = max(c.log.commit, min(m.Commit, c.log.lastIndex()))
	c.send(&wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT_ANSWER, To: m.From, Round: m.Round, Index: c.log.lastIndex(),
	})
}

// handleSnapshot restores a snapshot that is ahead of the commit index. When
// the log already holds the snapshot's last entry, only the commit index
// advances: later entries were acknowledged and may be committed by now.
func (c *Core) handleSnapshot(m *wirepb.ReplicaMessage) {
	meta := m.Snapshot.GetMeta()
	if meta.GetMembership() == nil || meta.Term > m.Term {
		return
	}
	c.acceptLeader(m)
	term, hasEntry := c.log.term(meta.Index)
	switch {
	case meta.Index <= c.log.commit:
	case hasEntry && term == meta.Term:
		c.log.commit = meta.Index
	default:
		c.log.restore(meta)
		c.memberships = []membershipRecord{{meta.Index, meta.Membership}}
		c.receivedSnapshot = m.Snapshot
	}
	c.send(&wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_APPEND_ANSWER, To: m.From, Index: c.log.commit,
	})
}
