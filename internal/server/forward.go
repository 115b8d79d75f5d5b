package server

import (
	"context"
	"errors"
	"sync/atomic"

	"sapphirering/internal/config"
	"sapphirering/internal/wire/wirepb"
)

var errNoOtherZone = errors.New("no entry VM of another zone is known")

// forwarder hands requests to entry VMs of other zones in turn.
type forwarder struct {
	client *leaderClient
	zone   string
	next   atomic.Uint64
}

func newForwarder(client *leaderClient, s *config.Settings) *forwarder {
	return &forwarder{client: client, zone: s.Zone}
}

// Forward tries one entry VM of another zone.
func (f *forwarder) Forward(ctx context.Context, request *wirepb.ForwardRequest) (*wirepb.ForwardResponse, bool, error) {
	var others []*wirepb.Member
	for _, member := range f.client.membership.Load().GetMembers() {
		if member.Zone != f.zone {
			others = append(others, member)
		}
	}
	if len(others) == 0 {
		return nil, false, errNoOtherZone
	}
	peer := others[f.next.Add(1)%uint64(len(others))]
	response, sent, err := f.client.dialer.Call(ctx, peer.Address, f.client.hello(peer.Id), &wirepb.CallRequest{
		Body: &wirepb.CallRequest_Forward{Forward: request},
	})
	if err != nil {
		return nil, sent, err
	}
	return response.GetForward(), true, nil
}
