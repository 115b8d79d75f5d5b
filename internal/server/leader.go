package server

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/clock"
	"sapphirering/internal/event"
	"sapphirering/internal/replica"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire"
	"sapphirering/internal/wire/wirepb"
)

const (
	// proposeTimeout bounds a proposal whose caller set no deadline.
	proposeTimeout = 10 * time.Second
	// tryTimeout bounds one try, so that a leader that does not answer does not use up the
	// whole time.
	tryTimeout = 2 * time.Second
	retryDelay = 50 * time.Millisecond
)

var errNoLeader = errors.New("no leader is known")

// leaderClient calls the leader, which may be this daemon.
type leaderClient struct {
	node      *replica.Node
	dialer    *wire.Dialer
	clusterID string
	self      string
	// clock estimates the cluster's time; the leader stamps commands with it.
	clock *clock.Estimator
	// handle serves this daemon's calls to itself.
	handle func(context.Context, *wirepb.CallRequest) *wirepb.CallResponse

	skewReported atomic.Bool
	leader       atomic.Pointer[string]
	membership   atomic.Pointer[wirepb.Membership]
}

func (c *leaderClient) hello(to string) *wirepb.Hello {
	return &wirepb.Hello{ClusterId: c.clusterID, FromMember: c.self, ToMember: to}
}

// leaderMember returns the leader's entry in the member list.
func (c *leaderClient) leaderMember() (*wirepb.Member, error) {
	id := c.leader.Load()
	if id == nil || *id == "" {
		return nil, errNoLeader
	}
	member := replica.FindMember(c.membership.Load(), *id)
	if member == nil {
		return nil, fmt.Errorf("leader %s: %w", *id, errNoLeader)
	}
	return member, nil
}

// call sends a request to the leader at another daemon.
func (c *leaderClient) call(ctx context.Context, request *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	member, err := c.leaderMember()
	if err != nil {
		return nil, err
	}
	response, _, err := c.dialer.Call(ctx, member.Address, c.hello(member.Id), request)
	return response, err
}

// isLocal reports whether this daemon is the leader, as far as it knows.
func (c *leaderClient) isLocal() bool {
	id := c.leader.Load()
	return id != nil && *id == c.self
}

// Propose commits a command through the leader. It tries again until ctx ends:
// commands carry ids, tokens or revisions that make a resend idempotent.
func (c *leaderClient) Propose(ctx context.Context, command *statepb.Command) (*statepb.Outcome, error) {
	if _, ok := ctx.Deadline(); !ok {
		bounded, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		ctx = bounded
	}
	for {
		outcome, err := c.tryPropose(ctx, command)
		if err == nil {
			return outcome, nil
		}
		timer := time.NewTimer(retryDelay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, fmt.Errorf("propose: %w", err)
		case <-timer.C:
		}
	}
}

func (c *leaderClient) tryPropose(ctx context.Context, command *statepb.Command) (*statepb.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	if c.isLocal() {
		return c.ProposeLocal(ctx, command)
	}
	response, err := c.call(ctx, &wirepb.CallRequest{Body: &wirepb.CallRequest_Propose{
		Propose: &wirepb.ProposeRequest{Command: command},
	}})
	if err != nil {
		return nil, err
	}
	return response.GetPropose().GetOutcome(), nil
}

// ProposeLocal commits a command through this daemon's own log.
func (c *leaderClient) ProposeLocal(ctx context.Context, command *statepb.Command) (*statepb.Outcome, error) {
	stamped := proto.CloneOf(command)
	stamped.TimeUnixMs = c.clock.NowMS()
	data, err := proto.Marshal(stamped)
	if err != nil {
		return nil, fmt.Errorf("marshal command: %w", err)
	}
	outcome, err := c.node.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	return outcome.(*statepb.Outcome), nil
}

// ConfirmLeadership asks a quorum whether this daemon still leads.
func (c *leaderClient) ConfirmLeadership(ctx context.Context) error {
	return c.node.ConfirmLeadership(ctx)
}

// CommitIndex returns the last index that this daemon has applied.
func (c *leaderClient) CommitIndex() uint64 { return c.node.Applied() }

// Renew renews a session with the leader.
func (c *leaderClient) Renew(ctx context.Context, request *wirepb.RenewRequest) (*wirepb.RenewResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	request.ClockUnixMs = c.clock.OwnMS()
	local := c.isLocal()
	response, err := c.askLeader(ctx, &wirepb.CallRequest{Body: &wirepb.CallRequest_Renew{Renew: request}})
	if err != nil {
		return nil, err
	}
	if !local {
		c.clock.Adopt(response.GetRenew().GetClusterUnixMs())
	}
	return response.GetRenew(), nil
}

// serveRenew serves a renewal at the leader. The sender's clock is a sample for the estimate
// of the cluster's time, and the estimate is returned with the lease.
func (c *leaderClient) serveRenew(ctx context.Context, request *wirepb.RenewRequest, renew renewal) *wirepb.CallResponse {
	if request.Member != c.self && request.ClockUnixMs != 0 {
		c.clock.Observe(request.Member, request.ClockUnixMs)
		c.reportSkew()
	}
	response := renew(ctx, request)
	if answer := response.GetRenew(); answer != nil {
		answer.ClusterUnixMs = c.clock.NowMS()
	}
	return response
}

// renewal renews one session.
type renewal func(context.Context, *wirepb.RenewRequest) *wirepb.CallResponse

// reportSkew reports, once, that this daemon's clock differs from the others' by more than
// clock.SkewLimit.
func (c *leaderClient) reportSkew() {
	offset := c.clock.Offset()
	if offset.Abs() > clock.SkewLimit && c.skewReported.CompareAndSwap(false, true) {
		event.ClockSkewed.Emit(event.F("offset", offset.String()))
	}
}

// askLeader calls the leader once; if this daemon leads, without the network.
func (c *leaderClient) askLeader(ctx context.Context, request *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	if !c.isLocal() {
		return c.call(ctx, request)
	}
	response := c.handle(ctx, request)
	if response.ErrorCode != wirepb.ErrorCode_ERROR_CODE_NONE {
		return nil, &wire.CallError{Code: response.ErrorCode, Message: response.ErrorMessage, Peer: c.self}
	}
	return response, nil
}

// AskRelease asks the member that holds a session to reduce its reservations to the wanted
// ones.
func (c *leaderClient) AskRelease(ctx context.Context, memberID string, request *wirepb.ReleaseRequest) error {
	body := &wirepb.CallRequest{Body: &wirepb.CallRequest_Release{Release: request}}
	if memberID == c.self {
		c.handle(ctx, body)
		return nil
	}
	member := replica.FindMember(c.membership.Load(), memberID)
	if member == nil {
		return fmt.Errorf("ask member %s to release: it is not in the member list", memberID)
	}
	_, _, err := c.dialer.Call(ctx, member.Address, c.hello(member.Id), body)
	return err
}
