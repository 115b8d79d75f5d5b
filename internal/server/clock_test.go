package server

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/clock"
	"sapphirering/internal/wire/wirepb"
)

func clientAt(ahead time.Duration) *leaderClient {
	return &leaderClient{self: "self", clock: clock.New(func() time.Time { return time.Now().Add(ahead) })}
}

func grant(context.Context, *wirepb.RenewRequest) *wirepb.CallResponse {
	return &wirepb.CallResponse{Body: &wirepb.CallResponse_Renew{Renew: &wirepb.RenewResponse{}}}
}

// TestLeaderWithWrongClock renews two daemons with right clocks at a leader
// whose clock is two hours ahead: it stamps commands with the others' time,
// and hands that time out. Otherwise every new id would look too old.
func TestLeaderWithWrongClock(t *testing.T) {
	is := is.New(t)
	leader := clientAt(2 * time.Hour)
	own := clientAt(0)
	var response *wirepb.CallResponse
	for _, member := range []string{"m1", "m2"} {
		request := &wirepb.RenewRequest{Member: member, ClockUnixMs: own.clock.OwnMS()}
		response = leader.serveRenew(context.Background(), request, grant)
	}
	is.True(own.clock.OwnMS()-leader.clock.NowMS() < time.Second.Milliseconds())
	is.True(leader.clock.NowMS()-own.clock.OwnMS() < time.Second.Milliseconds())
	is.True(response.GetRenew().ClusterUnixMs-own.clock.OwnMS() < time.Second.Milliseconds())
	is.True(leader.skewed.Load())
}

// TestOwnRenewalCountsOnce keeps the leader's own renewals out of the samples.
func TestOwnRenewalCountsOnce(t *testing.T) {
	is := is.New(t)
	leader := clientAt(0)
	request := &wirepb.RenewRequest{Member: "self", ClockUnixMs: leader.clock.OwnMS() + time.Hour.Milliseconds()}
	leader.serveRenew(context.Background(), request, grant)
	is.Equal(leader.clock.Offset(), time.Duration(0))
}
