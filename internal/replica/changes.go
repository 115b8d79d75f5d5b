package replica

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/wire/wirepb"
)

// Membership returns the member list in effect: the last one in the log,
// committed or not.
func (c *Core) Membership() *wirepb.Membership { return c.config[len(c.config)-1].membership }

// noteMembership records a membership entry when it enters the log.
func (c *Core) noteMembership(entry *wirepb.Entry) error {
	if entry.Kind != wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return nil
	}
	m := new(wirepb.Membership)
	if err := proto.Unmarshal(entry.Data, m); err != nil {
		return fmt.Errorf("membership entry %d: %w", entry.Index, err)
	}
	c.config = append(c.config, membershipAt{entry.Index, m})
	return nil
}

// dropMembershipFrom forgets member lists of truncated entries.
func (c *Core) dropMembershipFrom(index uint64) {
	for len(c.config) > 1 && c.config[len(c.config)-1].index >= index {
		c.config = c.config[:len(c.config)-1]
	}
}

// membershipAtIndex returns the member list in effect at a log index.
func (c *Core) membershipAtIndex(index uint64) *wirepb.Membership {
	found := c.config[0].membership
	for _, at := range c.config {
		if at.index <= index {
			found = at.membership
		}
	}
	return found
}

// membershipCommitted reports whether the list in effect can no longer be undone.
func (c *Core) membershipCommitted() bool {
	return c.config[len(c.config)-1].index <= c.log.commit
}

// ProposeMembership appends a new member list. It is in effect at once, and
// the next change is refused until this one is committed.
func (c *Core) ProposeMembership(m *wirepb.Membership) (uint64, error) {
	if c.role != leader {
		return 0, ErrNotLeader
	}
	if !c.membershipCommitted() || !c.LeaderReady() {
		return 0, ErrMembershipBusy
	}
	if err := checkMembershipChange(c.Membership(), m); err != nil {
		return 0, err
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return 0, fmt.Errorf("marshal membership: %w", err)
	}
	entry := &wirepb.Entry{Kind: wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data}
	index := c.appendOwn(entry)
	if err := c.noteMembership(entry); err != nil {
		return 0, err
	}
	c.syncPeers()
	c.broadcastAppend()
	return index, nil
}
