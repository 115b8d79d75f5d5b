package server

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/wire"
	"sapphirering/internal/wire/wirepb"
	"sapphirering/internal/workflow/workflowpb"
)

const (
	// gatewayTry bounds one try, so that a silent core daemon does not use up
	// the whole time of a request.
	gatewayTry = 900 * time.Millisecond
	// gatewayPause spaces tries.
	gatewayPause = 40 * time.Millisecond
	// memberInterval is how often the member list is asked for.
	memberInterval = time.Second
)

// Gateway brings requests to the leader of the core. It finds the leader from
// the seeds and the member list that core daemons answer.
type Gateway struct {
	dialer *wire.Dialer
	// name tells core daemons who calls.
	name string
	// local serves requests of a core daemon to itself; nil at the edge.
	local func(context.Context, *workflowpb.Request) (*workflowpb.Response, bool)

	mu     sync.Mutex
	seeds  []string
	cores  []string
	leader string
	next   int
	// reached is when the leader last answered.
	reached time.Time
	lost    bool
}

// newGateway returns a gateway that knows the seeds.
func newGateway(dialer *wire.Dialer, name string, seeds []string) *Gateway {
	return &Gateway{dialer: dialer, name: name, seeds: seeds}
}

// SetSeeds replaces the seeds.
func (g *Gateway) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = slices.Clone(seeds)
}

// target returns the address to call next.
func (g *Gateway) target() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader != "" {
		return g.leader
	}
	known := append(slices.Clone(g.cores), g.seeds...)
	g.next++
	return known[g.next%len(known)]
}

func (g *Gateway) setLeader(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = address
}

// forgetLeader drops a leader that did not answer, unless another is known by now.
func (g *Gateway) forgetLeader(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader == address {
		g.leader = ""
	}
}

// noteReached notes an answer of the leader.
func (g *Gateway) noteReached(address string) {
	g.mu.Lock()
	g.leader, g.reached = address, time.Now()
	found := g.lost
	g.lost = false
	g.mu.Unlock()
	if found {
		event.LeaderFound.Emit(event.F("peer", address))
	}
}

// Reached reports whether the leader answered within the given time.
func (g *Gateway) Reached(within time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.reached.IsZero() && time.Since(g.reached) < within
}

// Do brings a request to the leader and returns its answer. It tries again
// until ctx ends: requests carry ids or versions that make a resend
// idempotent. At the end the answer says whether the request may have been
// carried out.
func (g *Gateway) Do(ctx context.Context, r *workflowpb.Request) *workflowpb.Response {
	unknown := false
	var last string
	for {
		response, maySend, err := g.try(ctx, r)
		switch {
		case err != nil:
			unknown = unknown || maySend
			last = err.Error()
		case response.Answer == workflowpb.Answer_ANSWER_UNKNOWN:
			unknown, last = true, response.Reason
		case response.Answer == workflowpb.Answer_ANSWER_NOT_READY:
			last = response.Reason
		default:
			return response
		}
		timer := time.NewTimer(gatewayPause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return g.giveUp(r, unknown, last)
		case <-timer.C:
		}
	}
}

func (g *Gateway) giveUp(r *workflowpb.Request, unknown bool, reason string) *workflowpb.Response {
	answer := workflowpb.Answer_ANSWER_NOT_READY
	if unknown {
		answer = workflowpb.Answer_ANSWER_UNKNOWN
	}
	event.RequestRefused.Emit(event.F("job", r.Job.GetId()), event.F("operation", r.Operation.String()),
		event.F("answer", answer.String()), event.F("reason", reason))
	return &workflowpb.Response{Answer: answer, Reason: reason}
}

// try calls once; maySend tells whether the request may have reached a leader.
func (g *Gateway) try(ctx context.Context, r *workflowpb.Request) (response *workflowpb.Response, maySend bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, gatewayTry)
	defer cancel()
	if g.local != nil {
		if response, isLeader := g.local(ctx, r); isLeader {
			return response, true, nil
		}
	}
	address := g.target()
	answer, sent, err := g.dialer.Call(ctx, address, &wirepb.Hello{FromMember: g.name}, &wirepb.CallRequest{
		Body: &wirepb.CallRequest_Workflow{Workflow: r},
	})
	var refused *wire.CallError
	if errors.As(err, &refused) {
		g.setLeader(refused.LeaderAddress)
		return nil, false, err
	}
	if err != nil {
		g.forgetLeader(address)
		return nil, sent, err
	}
	g.noteReached(address)
	return answer.GetWorkflow(), true, nil
}

// watch asks for the member list until ctx ends, so that the leader is known
// before a request needs it.
func (g *Gateway) watch(ctx context.Context) {
	for ctx.Err() == nil {
		step, cancel := context.WithTimeout(ctx, memberInterval)
		response, _, err := g.try(step, &workflowpb.Request{Operation: workflowpb.Operation_OPERATION_MEMBERS})
		cancel()
		pause := memberInterval
		if err == nil {
			g.mu.Lock()
			g.cores = response.CoreAddresses
			g.mu.Unlock()
		} else {
			pause = 3 * gatewayPause
			g.noteLost(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// noteLost reports once that the leader is out of reach.
func (g *Gateway) noteLost(err error) {
	g.mu.Lock()
	report := !g.lost && time.Since(g.reached) > memberInterval
	g.lost = g.lost || report
	g.mu.Unlock()
	if report {
		event.LeaderLost.Emit(event.Err(err))
	}
}
