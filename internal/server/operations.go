package server

import (
	"context"

	"sapphirering/internal/operator"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

// Propose commits an operator's command.
func (d *Daemon) Propose(ctx context.Context, command *statepb.Command) (*statepb.Outcome, error) {
	return d.leader.Propose(ctx, command)
}

// InForce asks the leader whether an index is in force everywhere.
func (d *Daemon) InForce(ctx context.Context, index uint64) (*wirepb.InForceResponse, error) {
	response, err := d.leader.askLeader(ctx, &wirepb.CallRequest{Body: &wirepb.CallRequest_InForce{
		InForce: &wirepb.InForceRequest{Index: index},
	}})
	if err != nil {
		return nil, err
	}
	return response.GetInForce(), nil
}

// ChangeMember asks the leader for a membership change.
func (d *Daemon) ChangeMember(ctx context.Context, action wirepb.MemberRequest_Action, member string) (uint64, error) {
	response, err := d.leader.askLeader(ctx, &wirepb.CallRequest{Body: &wirepb.CallRequest_Member{
		Member: &wirepb.MemberRequest{Action: action, Member: member},
	}})
	if err != nil {
		return 0, err
	}
	return response.GetMember().GetIndex(), nil
}

// Status asks the leader for its view of the cluster.
func (d *Daemon) Status(ctx context.Context) (*wirepb.StatusResponse, error) {
	response, err := d.leader.askLeader(ctx, &wirepb.CallRequest{Body: &wirepb.CallRequest_Status{
		Status: &wirepb.StatusRequest{},
	}})
	if err != nil {
		return nil, err
	}
	return response.GetStatus(), nil
}

// Local describes this daemon without asking the leader.
func (d *Daemon) Local() operator.LocalStatus {
	age, _ := d.holder.RenewedAge()
	return operator.LocalStatus{
		ClusterID: d.identity.ClusterID, Name: d.settings.Name, Zone: d.settings.Zone,
		SessionLive: d.holder.Live(), RenewedAge: age, AppliedIndex: d.machine.Index(), Leading: d.leader.isLocal(),
	}
}

// Explain asks the leader for the recorded reasons for an object's state.
func (d *Daemon) Explain(ctx context.Context, kind, id string) ([]string, error) {
	response, err := d.leader.askLeader(ctx, &wirepb.CallRequest{Body: &wirepb.CallRequest_Explain{
		Explain: &wirepb.ExplainRequest{Kind: kind, Id: id},
	}})
	if err != nil {
		return nil, err
	}
	return response.GetExplain().GetLines(), nil
}
