package replica

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/wire/wirepb"
)

// maxRemoved bounds the removed identities that a member list remembers.
const maxRemoved = 64

// membershipAt is a member list together with the log index that wrote it.
type membershipAt struct {
	index      uint64
	membership *wirepb.Membership
}

// FindMember returns the member with the identity, or nil.
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

// WithMember returns a copy in which the member is added or replaced by identity.
func WithMember(m *wirepb.Membership, member *wirepb.Member) *wirepb.Membership {
	next := WithoutMember(m, member.Id)
	next.Members = append(next.Members, proto.CloneOf(member))
	return next
}

// WithoutMember returns a copy without the identity.
func WithoutMember(m *wirepb.Membership, id string) *wirepb.Membership {
	next := &wirepb.Membership{Removed: append([]string(nil), m.GetRemoved()...)}
	for _, member := range m.GetMembers() {
		if member.Id != id {
			next.Members = append(next.Members, proto.CloneOf(member))
		}
	}
	return next
}

// WithRemoved returns a copy without the identity that also remembers it as
// removed for good. The oldest remembered ones are forgotten.
func WithRemoved(m *wirepb.Membership, id string) *wirepb.Membership {
	next := WithoutMember(m, id)
	next.Removed = append(next.Removed, id)
	if extra := len(next.Removed) - maxRemoved; extra > 0 {
		next.Removed = next.Removed[extra:]
	}
	return next
}

// WasRemoved reports whether an operator removed the identity.
func WasRemoved(m *wirepb.Membership, id string) bool {
	return slices.Contains(m.GetRemoved(), id)
}

// checkMembershipChange refuses a change of more than one voter: only then do
// all quorums of the old and the new list intersect.
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
