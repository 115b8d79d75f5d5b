package server

import (
	"context"
	"errors"
	"net"

	"sapphirering/internal/event"
	"sapphirering/internal/replica"
	"sapphirering/internal/wire"
	"sapphirering/internal/wire/wirepb"
)

// serveStream serves one stream from another daemon.
func (d *Daemon) serveStream(hello *wirepb.Hello, stream net.Conn) {
	if hello.ClusterId != "" && hello.ClusterId != d.identity.ClusterID {
		event.WrongCluster.Emit(event.F("peer", hello.FromMember), event.F("cluster", hello.ClusterId))
		return
	}
	if hello.ClusterId != "" && !d.admits(hello.FromMember) {
		d.refusals.report(hello.FromMember)
		return
	}
	switch hello.Kind {
	case wirepb.StreamKind_STREAM_KIND_REPLICA:
		if hello.ClusterId == "" || hello.ToMember != d.identity.MemberID {
			event.WrongMember.Emit(event.F("peer", hello.FromMember), event.F("member", hello.ToMember))
			return
		}
		wire.ServeReplica(stream, d.node.Deliver)
	case wirepb.StreamKind_STREAM_KIND_CALL:
		wire.ServeCall(stream, func(ctx context.Context, request *wirepb.CallRequest) *wirepb.CallResponse {
			if _, isJoin := request.Body.(*wirepb.CallRequest_Join); !isJoin && hello.ClusterId == "" {
				return errorResponse(wirepb.ErrorCode_ERROR_CODE_INVALID, errors.New("hello message has no cluster id"))
			}
			return d.handleCall(ctx, request)
		})
	}
}

func errorResponse(code wirepb.ErrorCode, err error) *wirepb.CallResponse {
	return &wirepb.CallResponse{ErrorCode: code, ErrorMessage: err.Error()}
}

// handleCall serves one call. All calls except forwards and releases are served by the leader
// only.
func (d *Daemon) handleCall(ctx context.Context, request *wirepb.CallRequest) *wirepb.CallResponse {
	if forward, ok := request.Body.(*wirepb.CallRequest_Forward); ok {
		return &wirepb.CallResponse{Body: &wirepb.CallResponse_Forward{
			Forward: d.entry.ServeForward(ctx, forward.Forward),
		}}
	}
	if release, ok := request.Body.(*wirepb.CallRequest_Release); ok {
		d.holder.Release(release.Release)
		return &wirepb.CallResponse{Body: &wirepb.CallResponse_Release{Release: &wirepb.ReleaseResponse{}}}
	}
	if !d.leader.isLocal() {
		response := errorResponse(wirepb.ErrorCode_ERROR_CODE_NOT_LEADER, replica.ErrNotLeader)
		if member, err := d.leader.leaderMember(); err == nil {
			response.LeaderAddress = member.Address
		}
		return response
	}
	return d.handleLeaderCall(ctx, request)
}

func (d *Daemon) handleLeaderCall(ctx context.Context, request *wirepb.CallRequest) *wirepb.CallResponse {
	switch body := request.Body.(type) {
	case *wirepb.CallRequest_Join:
		return d.handleJoin(ctx, body.Join)
	case *wirepb.CallRequest_Propose:
		outcome, err := d.leader.ProposeLocal(ctx, body.Propose.GetCommand())
		if err != nil {
			return errorResponse(proposeErrorCode(err), err)
		}
		return &wirepb.CallResponse{Body: &wirepb.CallResponse_Propose{
			Propose: &wirepb.ProposeResponse{Outcome: outcome},
		}}
	case *wirepb.CallRequest_Renew:
		return d.leader.serveRenew(ctx, body.Renew, d.manager.Renew)
	case *wirepb.CallRequest_InForce:
		return d.handleInForce(ctx, body.InForce)
	case *wirepb.CallRequest_Member:
		return d.handleMember(ctx, body.Member)
	case *wirepb.CallRequest_Status:
		return d.handleStatus(ctx)
	case *wirepb.CallRequest_Explain:
		return d.handleExplain(body.Explain)
	}
	return errorResponse(wirepb.ErrorCode_ERROR_CODE_INVALID, errors.New("call has no known body"))
}

func proposeErrorCode(err error) wirepb.ErrorCode {
	if errors.Is(err, replica.ErrNotLeader) {
		return wirepb.ErrorCode_ERROR_CODE_NOT_LEADER
	}
	return wirepb.ErrorCode_ERROR_CODE_UNKNOWN_OUTCOME
}

func (d *Daemon) handleJoin(ctx context.Context, join *wirepb.JoinRequest) *wirepb.CallResponse {
	if join.GetMember().GetId() == "" || join.Member.Address == "" {
		return errorResponse(wirepb.ErrorCode_ERROR_CODE_INVALID, errors.New("join: member id and address are required"))
	}
	membership, err := addLearner(ctx, d.node, join.Member, join.WantsVote)
	if err != nil {
		return errorResponse(wirepb.ErrorCode_ERROR_CODE_UNAVAILABLE, err)
	}
	status, err := d.node.Status(ctx)
	if err != nil {
		return errorResponse(wirepb.ErrorCode_ERROR_CODE_UNAVAILABLE, err)
	}
	return &wirepb.CallResponse{Body: &wirepb.CallResponse_Join{Join: &wirepb.JoinResponse{
		ClusterId: d.identity.ClusterID, Membership: membership, CommitIndex: status.Commit,
	}}}
}

func (d *Daemon) handleInForce(ctx context.Context, r *wirepb.InForceRequest) *wirepb.CallResponse {
	if err := d.node.ConfirmLeadership(ctx); err != nil {
		return errorResponse(wirepb.ErrorCode_ERROR_CODE_NOT_LEADER, err)
	}
	return &wirepb.CallResponse{Body: &wirepb.CallResponse_InForce{InForce: d.manager.InForce(r.Index)}}
}

func (d *Daemon) handleMember(ctx context.Context, r *wirepb.MemberRequest) *wirepb.CallResponse {
	change := promote
	if r.Action == wirepb.MemberRequest_ACTION_REMOVE {
		change = removeMember
	}
	index, err := change(ctx, d.node, r.Member)
	if err != nil {
		return errorResponse(memberErrorCode(err), err)
	}
	return &wirepb.CallResponse{Body: &wirepb.CallResponse_Member{Member: &wirepb.MemberResponse{Index: index}}}
}

func (d *Daemon) handleStatus(ctx context.Context) *wirepb.CallResponse {
	status, err := d.node.Status(ctx)
	if err != nil {
		return errorResponse(wirepb.ErrorCode_ERROR_CODE_UNAVAILABLE, err)
	}
	return &wirepb.CallResponse{Body: &wirepb.CallResponse_Status{Status: &wirepb.StatusResponse{
		ClusterId: d.identity.ClusterID, Leader: status.Leader, Term: status.Term,
		CommitIndex: status.Commit, Members: status.Members,
	}}}
}

func (d *Daemon) handleExplain(r *wirepb.ExplainRequest) *wirepb.CallResponse {
	explained, err := d.manager.Explain(r)
	if err != nil {
		return errorResponse(wirepb.ErrorCode_ERROR_CODE_INVALID, err)
	}
	return &wirepb.CallResponse{Body: &wirepb.CallResponse_Explain{Explain: explained}}
}
