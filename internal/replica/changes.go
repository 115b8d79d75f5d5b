package replica

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/wire/wirepb"
)

// Membership returns the membership in effect: the last one in the log,
// committed or not.
func (c *Core) Membership() *wirepb.Membership { return c.memberships[len(c.memberships)-1].membership }

// recordMembership records the membership of an entry that was added to the log, if it holds one.
func (c *Core) recordMembership(entry *wirepb.Entry) error {
	if entry.Kind != wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return nil
	}
	m := new(wirepb.Membership)
	if err := proto.Unmarshal(entry.Data, m); err != nil {
		return fmt.Errorf("membership entry %d: %w", entry.Index, err)
	}
	c.memberships = append(c.memberships, membershipRecord{entry.Index, m})
	return nil
}

// truncateMemberships drops the memberships of truncated entries, from index on.
func (c *Core) truncateMemberships(index uint64) {
	for len(c.memberships) > 1 && c.memberships[len(c.memberships)-1].index >= index {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

// membershipAtIndex returns the membership in effect at a log index.
func (c *Core) membershipAtIndex(index uint64) *wirepb.Membership {
	found := c.memberships[0].membership
	for _, record := range c.memberships {
		if record.index <= index {
			found = record.membership
		}
	}
	return found
}

// membershipCommitted reports whether the membership in effect is committed,
// so that it can no longer be truncated.
func (c *Core) membershipCommitted() bool {
	return c.memberships[len(c.memberships)-1].index <= c.log.commit
}

// ProposeMembership appends a new membership. It takes effect at once, and
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
	index := c.appendAsLeader(entry)
	if err := c.recordMembership(entry); err != nil {
		return 0, err
	}
	c.updatePeers()
	c.broadcastAppend()
	return index, nil
}
