package server

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/wire/wirepb"
)

// fakeZones answers forwards by member id and records the called members in order.
type fakeZones struct {
	answer map[string]func(*wirepb.ForwardRequest) (*wirepb.ForwardResponse, bool, error)
	called []string
	now    time.Time
}

func (z *fakeZones) forwarder() *forwarder {
	return &forwarder{
		zone: "a",
		members: func() []*wirepb.Member {
			return []*wirepb.Member{{Id: "a2", Zone: "a"}, {Id: "b1", Zone: "b"}, {Id: "c1", Zone: "c"}}
		},
		call: func(_ context.Context, to *wirepb.Member, r *wirepb.ForwardRequest) (*wirepb.ForwardResponse, bool, error) {
			z.called = append(z.called, to.Id)
			return z.answer[to.Id](r)
		},
		now:   func() time.Time { return z.now },
		hints: make(map[hintKey]hint),
	}
}

func noFreeSlot(*wirepb.ForwardRequest) (*wirepb.ForwardResponse, bool, error) {
	return &wirepb.ForwardResponse{NotRun: true, Reason: "no free slot"}, true, nil
}

func unreachable(*wirepb.ForwardRequest) (*wirepb.ForwardResponse, bool, error) {
	return nil, false, errors.New("dial")
}

func answerLost(*wirepb.ForwardRequest) (*wirepb.ForwardResponse, bool, error) {
	return nil, true, errors.New("read response")
}

func answered(free uint32) func(*wirepb.ForwardRequest) (*wirepb.ForwardResponse, bool, error) {
	return func(r *wirepb.ForwardRequest) (*wirepb.ForwardResponse, bool, error) {
		return &wirepb.ForwardResponse{RequestId: r.RequestId, Answered: true, FreeSlots: free}, true, nil
	}
}

type zoneAnswers = map[string]func(*wirepb.ForwardRequest) (*wirepb.ForwardResponse, bool, error)

func forwardWithin(f *forwarder, now time.Time, left time.Duration) (*wirepb.ForwardResponse, error) {
	ctx, cancel := context.WithDeadline(context.Background(), now.Add(left))
	defer cancel()
	return f.Forward(ctx, "p", &wirepb.ForwardRequest{RequestId: "id-1"})
}

func TestForwardTriesZonesInTurn(t *testing.T) {
	is := is.New(t)
	for _, notTaken := range []func(*wirepb.ForwardRequest) (*wirepb.ForwardResponse, bool, error){noFreeSlot, unreachable} {
		z := &fakeZones{now: time.Now(), answer: zoneAnswers{"b1": notTaken, "c1": notTaken}}
		f := z.forwarder()
		response, err := forwardWithin(f, z.now, time.Minute)
		is.NoErr(err)
		is.True(response == nil)            // no member took the request, and it did not run
		is.Equal(len(z.called), 2)          // no forward to the forwarder's own zone
		is.True(!f.MayHaveFreeSlot("p"))    // both members are in backoff
		is.True(f.MayHaveFreeSlot("other")) // for this pool only
		z.now = z.now.Add(time.Hour)        // the backoff is over
		is.True(f.MayHaveFreeSlot("p"))
		z.answer["b1"] = answered(4)
		response, err = forwardWithin(f, z.now, time.Minute)
		is.NoErr(err)
		is.True(response.Answered)
	}
}

// TestLostForwardIsNotForwardedAgain loses the answer of the first zone. The request must not
// go to another zone, since it may have run in the first.
func TestLostForwardIsNotForwardedAgain(t *testing.T) {
	is := is.New(t)
	z := &fakeZones{now: time.Now(), answer: zoneAnswers{"b1": answerLost, "c1": answerLost}}
	_, err := forwardWithin(z.forwarder(), z.now, time.Minute)
	is.True(err != nil)
	is.Equal(len(z.called), 1)
}

func TestForwardPrefersFreeSlots(t *testing.T) {
	is := is.New(t)
	z := &fakeZones{now: time.Now(), answer: zoneAnswers{"b1": answered(0), "c1": answered(5)}}
	f := z.forwarder()
	f.setHint("c1", "p", hint{free: 5})
	for range 10 {
		_, err := forwardWithin(f, z.now, time.Minute)
		is.NoErr(err)
	}
	for _, member := range z.called {
		is.Equal(member, "c1")
	}
}

func TestForwardPastTheDeadline(t *testing.T) {
	is := is.New(t)
	z := &fakeZones{now: time.Now(), answer: zoneAnswers{"b1": answered(1), "c1": answered(1)}}
	response, err := forwardWithin(z.forwarder(), z.now, -time.Second)
	is.NoErr(err)
	is.True(response == nil)
	is.Equal(len(z.called), 0)
}
