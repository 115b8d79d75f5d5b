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
	// fullBackoff is how long a member gets no forwards after it refused one for lack of free
	// slots.
	fullBackoff = 100 * time.Millisecond
	// unreachableBackoff is how long a member gets no forwards after a forward to it failed.
	unreachableBackoff = 1 * time.Second
)

// forwarder forwards requests to entry VMs of other availability zones, those with the most
// free slots first. It learns the free slots from the answers to forwards.
type forwarder struct {
	zone    string
	members func() []*wirepb.Member
	call    func(ctx context.Context, to *wirepb.Member, request *wirepb.ForwardRequest) (response *wirepb.ForwardResponse, sent bool, err error)
	now     func() time.Time

	mu    sync.Mutex
	hints map[hintKey]hint
}

type hintKey struct{ member, pool string }

// hint is the state of a pool at a member, from that member's last answer.
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

// MayHaveFreeSlot reports whether a member of another zone may have a free slot in the pool.
func (f *forwarder) MayHaveFreeSlot(pool string) bool { return len(f.candidates(pool)) > 0 }

// candidates returns the members to try, those with the most free slots first. A member whose
// free slots are unknown counts as having one.
func (f *forwarder) candidates(pool string) []*wirepb.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	free := make(map[string]uint32)
	var candidates []*wirepb.Member
	for _, member := range f.members() {
		known, ok := f.hints[hintKey{member.Id, pool}]
		if member.Zone == f.zone || now.Before(known.avoidUntil) {
			continue
		}
		if !ok {
			known.free = 1
		}
		free[member.Id] = known.free
		candidates = append(candidates, member)
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b *wirepb.Member) int { return int(free[b.Id]) - int(free[a.Id]) })
	return candidates
}

func (f *forwarder) setHint(member, pool string, h hint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hints[hintKey{member, pool}] = h
}

// Forward tries entry VMs of other zones in turn. If a request was sent and its answer was
// lost, the request may have been run: no other member is tried, and the sender decides
// whether it may run again.
func (f *forwarder) Forward(ctx context.Context, pool string, request *wirepb.ForwardRequest) (*wirepb.ForwardResponse, error) {
	deadline, _ := ctx.Deadline()
	for _, member := range f.candidates(pool) {
		remainingMS := deadline.Sub(f.now()).Milliseconds()
		if remainingMS < 1 || ctx.Err() != nil {
			return nil, nil
		}
		request.DeadlineMs = uint32(remainingMS)
		response, sent, err := f.call(ctx, member, request)
		if err != nil {
			f.setHint(member.Id, pool, hint{avoidUntil: f.now().Add(unreachableBackoff)})
			if sent {
				return nil, fmt.Errorf("forward to %s: %w", member.Name, err)
			}
			continue
		}
		if response == nil {
			return nil, fmt.Errorf("forward to %s: %w", member.Name, errNoForwardResponse)
		}
		if !response.NotRun {
			f.setHint(member.Id, pool, hint{free: response.FreeSlots})
			return response, nil
		}
		f.setHint(member.Id, pool, hint{free: response.FreeSlots, avoidUntil: f.now().Add(fullBackoff)})
	}
	return nil, nil
}

var errNoForwardResponse = errors.New("the answer contains no forward response")
