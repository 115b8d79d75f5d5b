package server

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/clock"
	"sapphirering/internal/wire/wirepb"
)

func clientWithClockAhead(offset time.Duration) *leaderClient {
	return &leaderClient{self: "self", clock: clock.New(func() time.Time { return time.Now().Add(offset) })}
}

func grantRenewal(context.Context, *wirepb.RenewRequest) *wirepb.CallResponse {
	return &wirepb.CallResponse{Body: &wirepb.CallResponse_Renew{Renew: &wirepb.RenewResponse{}}}
}

// TestLeaderWithWrongClock renews sessions of two daemons with correct clocks at a leader
// whose clock is two hours ahead. The leader must stamp commands with the others' time and
// return that time; otherwise every new id would look too old.
func TestLeaderWithWrongClock(t *testing.T) {
	is := is.New(t)
	leader := clientWithClockAhead(2 * time.Hour)
	own := clientWithClockAhead(0)
	var response *wirepb.CallResponse
	for _, member := range []string{"m1", "m2"} {
		request := &wirepb.RenewRequest{Member: member, ClockUnixMs: own.clock.OwnMS()}
		response = leader.serveRenew(context.Background(), request, grantRenewal)
	}
	is.True(own.clock.OwnMS()-leader.clock.NowMS() < time.Second.Milliseconds())
	is.True(leader.clock.NowMS()-own.clock.OwnMS() < time.Second.Milliseconds())
	is.True(response.GetRenew().ClusterUnixMs-own.clock.OwnMS() < time.Second.Milliseconds())
	is.True(leader.skewReported.Load())
}

// TestOwnRenewalIsNoClockSample checks that the leader's own renewals are not used as clock
// samples.
func TestOwnRenewalIsNoClockSample(t *testing.T) {
	is := is.New(t)
	leader := clientWithClockAhead(0)
	request := &wirepb.RenewRequest{Member: "self", ClockUnixMs: leader.clock.OwnMS() + time.Hour.Milliseconds()}
	leader.serveRenew(context.Background(), request, grantRenewal)
	is.Equal(leader.clock.Offset(), time.Duration(0))
}
