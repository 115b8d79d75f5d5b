package replica

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/wire/wirepb"
)

// maxRemovedMembers is the number of removed member IDs that a membership keeps.
const maxRemovedMembers = 64

// membershipRecord is a membership and the index of the log entry that holds it.
type membershipRecord struct {
	index      uint64
	membership *wirepb.Membership
}

// FindMember returns the member with the ID, or nil.
func FindMember(m *wirepb.Membership, id string) *wirepb.Member {
	for _, member := range m.GetMembers() {
		if member.Id == id {
			return member
		}
	}
	return nil
}

// VoterCount counts the voting members.
func VoterCount(m *wirepb.Membership) int {
	count := 0
	for _, member := range m.GetMembers() {
		if member.Role == wirepb.Role_ROLE_VOTER {
			count++
		}
	}
	return count
}

// WithMember returns a copy in which the member is added, or replaces the one with the same ID.
func WithMember(m *wirepb.Membership, member *wirepb.Member) *wirepb.Membership {
	next := WithoutMember(m, member.Id)
	next.Members = append(next.Members, proto.CloneOf(member))
	return next
}

// WithoutMember returns a copy without the member of that ID.
func WithoutMember(m *wirepb.Membership, id string) *wirepb.Membership {
	next := &wirepb.Membership{Removed: append([]string(nil), m.GetRemoved()...)}
	for _, member := range m.GetMembers() {
		if member.Id != id {
			next.Members = append(next.Members, proto.CloneOf(member))
		}
	}
	return next
}

// WithRemoved returns a copy without the member that also records its ID as
// permanently removed. Beyond maxRemovedMembers the oldest records are dropped.
func WithRemoved(m *wirepb.Membership, id string) *wirepb.Membership {
	next := WithoutMember(m, id)
	next.Removed = append(next.Removed, id)
	if extra := len(next.Removed) - maxRemovedMembers; extra > 0 {
		next.Removed = next.Removed[extra:]
	}
	return next
}

// WasRemoved reports whether the member ID is recorded as removed by an operator.
func WasRemoved(m *wirepb.Membership, id string) bool {
	return slices.Contains(m.GetRemoved(), id)
}

// checkMembershipChange refuses a change of more than one voter: with at most
// one, every quorum of the old membership intersects every quorum of the new one.
func checkMembershipChange(from, to *wirepb.Membership) error {
	changed := 0
	for _, member := range from.GetMembers() {
		other := FindMember(to, member.Id)
		if isVoter(member) != isVoter(other) {
			changed++
		}
	}
	for _, member := range to.GetMembers() {
		if FindMember(from, member.Id) == nil && isVoter(member) {
			changed++
		}
		if isVoter(member) && !member.Durable {
			return fmt.Errorf("member %s cannot vote: it has no data folder", member.Id)
		}
	}
	if changed > 1 {
		return fmt.Errorf("membership change alters %d voters, at most 1 is allowed", changed)
	}
	if VoterCount(to) == 0 {
		return fmt.Errorf("membership change leaves no voter")
	}
	return nil
}

func isVoter(member *wirepb.Member) bool {
	return member != nil && member.Role == wirepb.Role_ROLE_VOTER
}
