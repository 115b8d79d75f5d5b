package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/event"
	"sapphirering/internal/replica"
	"sapphirering/internal/wire/wirepb"
)

const (
	// maxVoters is the number of voters at which automatic promotion stops.
	maxVoters = 5
	// promoteLag is how many log entries a learner may be behind and still be promoted.
	promoteLag = 16
	// probeTimeout is how long members have to answer before a change that needs a quorum of
	// them.
	probeTimeout = 500 * time.Millisecond
)

var (
	errMemberNotFound = errors.New("member does not exist")
	errMemberRefused  = errors.New("membership change refused")
)

// addLearner adds a joining daemon as a learner, in place of the learners of the same name,
// such as its earlier process without a disk.
func addLearner(ctx context.Context, node *replica.Node, joining *wirepb.Member, wantsVote bool) (*wirepb.Membership, error) {
	status, err := node.Status(ctx)
	if err != nil {
		return nil, err
	}
	if replica.WasRemoved(status.Membership, joining.Id) {
		return nil, fmt.Errorf("%w: member %s was removed; empty its data folder to let it join as a new member", errMemberRefused, joining.Id)
	}
	if replica.FindMember(status.Membership, joining.Id) != nil {
		if !status.MembershipCommitted {
			return nil, replica.ErrMembershipBusy
		}
		return status.Membership, nil
	}
	var joined *wirepb.Membership
	_, err = node.ChangeMembership(ctx, func(current *wirepb.Membership) (*wirepb.Membership, error) {
		joined = withLearner(current, joining, wantsVote)
		return joined, nil
	})
	if err != nil {
		return nil, fmt.Errorf("add member %s: %w", joining.Id, err)
	}
	event.MemberAdded.Emit(event.F("member", joining.Id), event.F("zone", joining.Zone))
	return joined, nil
}

// withLearner adds the member as a learner, in place of other learners of its name.
func withLearner(current *wirepb.Membership, joining *wirepb.Member, wantsVote bool) *wirepb.Membership {
	next := proto.CloneOf(current)
	for _, member := range current.GetMembers() {
		if member.Name == joining.Name && member.Role == wirepb.Role_ROLE_LEARNER {
			next = replica.WithoutMember(next, member.Id)
		}
	}
	added := proto.CloneOf(joining)
	added.Role = wirepb.Role_ROLE_LEARNER
	added.Durable = joining.Durable && wantsVote
	return replica.WithMember(next, added)
}

// promote makes a learner a voter and returns the log index of the change, or a later index if
// the member is a voter already.
func promote(ctx context.Context, node *replica.Node, id string) (uint64, error) {
	status, err := node.Status(ctx)
	if err != nil {
		return 0, fmt.Errorf("promote member %s: %w", id, err)
	}
	if member := replica.FindMember(status.Membership, id); member.GetRole() == wirepb.Role_ROLE_VOTER && status.MembershipCommitted {
		return status.Commit, nil
	}
	index, err := changeWithQuorum(ctx, node, status.Membership, func(current *wirepb.Membership) (*wirepb.Membership, error) {
		member := replica.FindMember(current, id)
		if member == nil {
			return nil, fmt.Errorf("%w: %q", errMemberNotFound, id)
		}
		if !member.Durable {
			return nil, fmt.Errorf("%w: member %q has no data folder or did not ask to vote", errMemberRefused, id)
		}
		promoted := proto.CloneOf(member)
		promoted.Role = wirepb.Role_ROLE_VOTER
		return replica.WithMember(current, promoted), nil
	})
	if err != nil {
		return 0, fmt.Errorf("promote member %s: %w", id, err)
	}
	event.VoterPromoted.Emit(event.F("member", id), event.F("index", index))
	return index, nil
}

// demote makes a voter a learner. It keeps its log and may be promoted again.
func demote(ctx context.Context, node *replica.Node, id string) error {
	status, err := node.Status(ctx)
	if err != nil {
		return fmt.Errorf("demote member %s: %w", id, err)
	}
	index, err := changeWithQuorum(ctx, node, status.Membership, func(current *wirepb.Membership) (*wirepb.Membership, error) {
		member := replica.FindMember(current, id)
		if member == nil {
			return nil, fmt.Errorf("%w: %q", errMemberNotFound, id)
		}
		demoted := proto.CloneOf(member)
		demoted.Role = wirepb.Role_ROLE_LEARNER
		return replica.WithMember(current, demoted), nil
	})
	if err != nil {
		return fmt.Errorf("demote member %s: %w", id, err)
	}
	event.VoterDemoted.Emit(event.F("member", id), event.F("index", index))
	return nil
}

// removeMember removes a member permanently and returns the log index of the change, or a
// later index if the member was removed before.
func removeMember(ctx context.Context, node *replica.Node, id string) (uint64, error) {
	status, err := node.Status(ctx)
	if err != nil {
		return 0, fmt.Errorf("remove member %s: %w", id, err)
	}
	if replica.WasRemoved(status.Membership, id) && status.MembershipCommitted {
		return status.Commit, nil
	}
	index, err := changeWithQuorum(ctx, node, status.Membership, func(current *wirepb.Membership) (*wirepb.Membership, error) {
		if replica.WasRemoved(current, id) {
			return nil, replica.ErrMembershipBusy
		}
		if replica.FindMember(current, id) == nil {
			return nil, fmt.Errorf("%w: %q", errMemberNotFound, id)
		}
		return replica.WithRemoved(current, id), nil
	})
	if err != nil {
		return 0, fmt.Errorf("remove member %s: %w", id, err)
	}
	event.MemberRemoved.Emit(event.F("member", id), event.F("index", index))
	return index, nil
}

// changeWithQuorum changes the member list after a quorum of the new list has answered this
// leader, and returns the log index of the change.
func changeWithQuorum(
	ctx context.Context, node *replica.Node, known *wirepb.Membership, change func(*wirepb.Membership) (*wirepb.Membership, error),
) (uint64, error) {
	expected, err := change(known)
	if err != nil {
		return 0, err
	}
	answered, err := node.ProbeMembers(ctx, probeTimeout, func(answered []string) bool {
		return checkActiveQuorum(answered, expected) == nil
	})
	if err != nil {
		return 0, err
	}
	return node.ChangeMembership(ctx, func(current *wirepb.Membership) (*wirepb.Membership, error) {
		next, err := change(current)
		if err != nil {
			return nil, err
		}
		return next, checkActiveQuorum(answered, next)
	})
}

// checkActiveQuorum refuses a member list if those of its voters that answer are no quorum:
// neither the change nor anything after it could commit.
func checkActiveQuorum(answered []string, next *wirepb.Membership) error {
	active := 0
	for _, id := range answered {
		if replica.FindMember(next, id).GetRole() == wirepb.Role_ROLE_VOTER {
			active++
		}
	}
	voters := replica.VoterCount(next)
	if quorum := voters/2 + 1; active < quorum {
		return fmt.Errorf("%w: %d of %d voters would be active, %d are needed", errMemberRefused, active, voters, quorum)
	}
	return nil
}

// memberErrorCode returns the error code of a failed membership change.
func memberErrorCode(err error) wirepb.ErrorCode {
	switch {
	case errors.Is(err, replica.ErrMembershipBusy):
		return wirepb.ErrorCode_ERROR_CODE_CONFLICT
	case errors.Is(err, errMemberRefused):
		return wirepb.ErrorCode_ERROR_CODE_REFUSED
	case errors.Is(err, errMemberNotFound):
		return wirepb.ErrorCode_ERROR_CODE_NOT_FOUND
	case errors.Is(err, replica.ErrNotLeader):
		return wirepb.ErrorCode_ERROR_CODE_NOT_LEADER
	}
	return wirepb.ErrorCode_ERROR_CODE_UNKNOWN_OUTCOME
}
