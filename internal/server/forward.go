package server

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"

	"sapphirering/internal/config"
	"sapphirering/internal/wire/wirepb"
)

const (
	// fullPause is how long a member that refused for want of slots is left alone.
	fullPause = 100 * time.Millisecond
	// unreachablePause is how long a member that could not be reached is left alone.
	unreachablePause = 1 * time.Second
)

// forwarder hands requests to entry VMs of other zones, those with the most
// free slots first. It learns the slots from the answers to forwards.
type forwarder struct {
	zone    string
	members func() []*wirepb.Member
	call    func(ctx context.Context, to *wirepb.Member, request *wirepb.ForwardRequest) (response *wirepb.ForwardResponse, sent bool, err error)
	now     func() time.Time

	mu    sync.Mutex
	hints map[hintKey]hint
}

type hintKey struct{ member, pool string }

// hint is what the last answer of a member said about a pool.
type hint struct {
	free       uint32
	avoidUntil time.Time
}

func newForwarder(client *leaderClient, s *config.Settings) *forwarder {
	return &forwarder{
		zone:    s.Zone,
		members: func() []*wirepb.Member { return client.membership.Load().GetMembers() },
		call: func(ctx context.Context, to *wirepb.Member, request *wirepb.ForwardRequest) (*wirepb.ForwardResponse, bool, error) {
			response, sent, err := client.dialer.Call(ctx, to.Address, client.hello(to.Id), &wirepb.CallRequest{
				Body: &wirepb.CallRequest_Forward{Forward: request},
			})
			return response.GetForward(), sent, err
		},
		now:   time.Now,
		hints: make(map[hintKey]hint),
	}
}

// MayHaveFreeSlot reports whether a member of another zone may have a free slot.
func (f *forwarder) MayHaveFreeSlot(pool string) bool { return len(f.candidates(pool)) > 0 }

// candidates returns the members to try, the freest first. Members whose
// slots are not known count as one free slot.
func (f *forwarder) candidates(pool string) []*wirepb.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	free := make(map[string]uint32)
	var found []*wirepb.Member
	for _, member := range f.members() {
		known, ok := f.hints[hintKey{member.Id, pool}]
		if member.Zone == f.zone || now.Before(known.avoidUntil) {
			continue
		}
		if !ok {
			known.free = 1
		}
		free[member.Id] = known.free
		found = append(found, member)
	}
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	slices.SortStableFunc(found, func(a, b *wirepb.Member) int { return int(free[b.Id]) - int(free[a.Id]) })
	return found
}

func (f *forwarder) learn(member, pool string, h hint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hints[hintKey{member, pool}] = h
}

// Forward tries entry VMs of other zones in turn. After a request was sent and
// its answer was lost, the work may have run, and no other member is tried:
// the sender decides whether it may run again.
func (f *forwarder) Forward(ctx context.Context, pool string, request *wirepb.ForwardRequest) (*wirepb.ForwardResponse, error) {
	deadline, _ := ctx.Deadline()
	for _, member := range f.candidates(pool) {
		left := deadline.Sub(f.now()).Milliseconds()
		if left < 1 || ctx.Err() != nil {
			return nil, nil
		}
		request.DeadlineMs = uint32(left)
		response, sent, err := f.call(ctx, member, request)
		if err != nil {
			f.learn(member.Id, pool, hint{avoidUntil: f.now().Add(unreachablePause)})
			if sent {
				return nil, fmt.Errorf("forward to %s: %w", member.Name, err)
			}
			continue
		}
		if response == nil {
			return nil, fmt.Errorf("forward to %s: %w", member.Name, errNoForward)
		}
		if !response.NotRun {
			f.learn(member.Id, pool, hint{free: response.FreeSlots})
			return response, nil
		}
		f.learn(member.Id, pool, hint{free: response.FreeSlots, avoidUntil: f.now().Add(fullPause)})
	}
	return nil, nil
}

var errNoForward = errors.New("answer carries no forward response")
