package server

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/event"
	"sapphirering/internal/replica"
	"sapphirering/internal/wire/wirepb"
)

const (
	// maxVoters is the size at which automatic promotion stops.
	maxVoters = 5
	// maxVotersPerZone keeps a quorum when any availability zone is lost.
	maxVotersPerZone = 2
	// promoteLag is how far a learner may be behind to be promoted.
	promoteLag      = 16
	promoteInterval = 500 * time.Millisecond
)

// addLearner adds a joining daemon. A learner without a disk replaces the
// earlier process of the same name.
func addLearner(ctx context.Context, node *replica.Node, joining *wirepb.Member, wantsVote bool) (*wirepb.Membership, error) {
	status, err := node.Status(ctx)
	if err != nil {
		return nil, err
	}
	if replica.FindMember(status.Membership, joining.Id) != nil {
		return status.Membership, nil
	}
	next := proto.CloneOf(status.Membership)
	for _, member := range status.Membership.GetMembers() {
		if member.Name == joining.Name && member.Role == wirepb.Role_ROLE_LEARNER {
			next = replica.WithoutMember(next, member.Id)
		}
	}
	added := proto.CloneOf(joining)
	added.Role = wirepb.Role_ROLE_LEARNER
	added.Durable = joining.Durable && wantsVote
	next = replica.WithMember(next, added)
	if _, err := node.ProposeMembership(ctx, next); err != nil {
		return nil, fmt.Errorf("add member %s: %w", joining.Id, err)
	}
	event.MemberAdded.Emit(event.F("member", joining.Id), event.F("zone", joining.Zone))
	return next, nil
}

// promoteLoop promotes caught-up learners that want to vote while there are
// fewer than maxVoters. A learner whose name has a voter already is left to an
// operator: the voter may only be slow, and replacing it is a decision.
func promoteLoop(ctx context.Context, node *replica.Node) {
	ticker := time.NewTicker(promoteInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			promoteNext(ctx, node)
		}
	}
}

func promoteNext(ctx context.Context, node *replica.Node) {
	status, err := node.Status(ctx)
	if err != nil || !status.LeaderReady || replica.Voters(status.Membership) >= maxVoters {
		return
	}
	for _, candidate := range status.Members {
		if !mayPromote(status, candidate) {
			continue
		}
		if _, err := promote(ctx, node, candidate.Member.Id); err == nil {
			return
		}
	}
}

func mayPromote(status replica.Status, candidate *wirepb.MemberStatus) bool {
	member := candidate.Member
	if member.Role == wirepb.Role_ROLE_VOTER || !member.Durable || !candidate.Active {
		return false
	}
	if candidate.MatchIndex+promoteLag < status.Commit {
		return false
	}
	inZone := 0
	for _, other := range status.Membership.GetMembers() {
		if other.Role != wirepb.Role_ROLE_VOTER {
			continue
		}
		if other.Name == member.Name {
			return false
		}
		if other.Zone == member.Zone {
			inZone++
		}
	}
	return inZone < maxVotersPerZone
}

// promote makes a learner a voter and returns the log index of the change.
func promote(ctx context.Context, node *replica.Node, id string) (uint64, error) {
	status, err := node.Status(ctx)
	if err != nil {
		return 0, err
	}
	member := replica.FindMember(status.Membership, id)
	if member == nil {
		return 0, fmt.Errorf("member %q does not exist", id)
	}
	if !member.Durable {
		return 0, fmt.Errorf("member %q has no data folder or did not ask to vote", id)
	}
	promoted := proto.CloneOf(member)
	promoted.Role = wirepb.Role_ROLE_VOTER
	index, err := node.ProposeMembership(ctx, replica.WithMember(status.Membership, promoted))
	if err != nil {
		return 0, fmt.Errorf("promote member %s: %w", id, err)
	}
	event.VoterPromoted.Emit(event.F("member", id), event.F("index", index))
	return index, nil
}

// removeMember takes a member out and returns the log index of the change.
func removeMember(ctx context.Context, node *replica.Node, id string) (uint64, error) {
	status, err := node.Status(ctx)
	if err != nil {
		return 0, err
	}
	if replica.FindMember(status.Membership, id) == nil {
		return 0, fmt.Errorf("member %q does not exist", id)
	}
	index, err := node.ProposeMembership(ctx, replica.WithoutMember(status.Membership, id))
	if err != nil {
		return 0, fmt.Errorf("remove member %s: %w", id, err)
	}
	event.MemberRemoved.Emit(event.F("member", id), event.F("index", index))
	return index, nil
}
