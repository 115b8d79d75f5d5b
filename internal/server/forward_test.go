package server

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/wire/wirepb"
)

// fakeZones answers forwards by member id and records the order of calls.
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

func full(*wirepb.ForwardRequest) (*wirepb.ForwardResponse, bool, error) {
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
	for _, refuses := range []func(*wirepb.ForwardRequest) (*wirepb.ForwardResponse, bool, error){full, unreachable} {
		z := &fakeZones{now: time.Now(), answer: zoneAnswers{"b1": refuses, "c1": refuses}}
		f := z.forwarder()
		response, err := forwardWithin(f, z.now, time.Minute)
		is.NoErr(err)
		is.True(response == nil)            // nobody took it, and it did not run
		is.Equal(len(z.called), 2)          // never the own zone
		is.True(!f.MayHaveFreeSlot("p"))    // both are left alone for a while
		is.True(f.MayHaveFreeSlot("other")) // for this pool only
		z.now = z.now.Add(time.Hour)        // and not for ever
		is.True(f.MayHaveFreeSlot("p"))
		z.answer["b1"] = answered(4)
		response, err = forwardWithin(f, z.now, time.Minute)
		is.NoErr(err)
		is.True(response.Answered)
	}
}

// TestLostForwardIsNotForwardedAgain loses the answer of the first zone: the
// work may have run there.
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
	f.learn("c1", "p", hint{free: 5})
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
