package server

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/metrics"
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
	// connectedFor is how long an answer shows that the core is within reach: with
	// the two seconds in which the balancer leaves a daemon that is not ready, a
	// caller's first request still has its usual three.
	connectedFor = 900 * time.Millisecond
	// coreProbeTime bounds one look at a core daemon.
	coreProbeTime = 300 * time.Millisecond
	// electionWait is when a caller should come back while no leader answers: an
	// election takes about as long.
	electionWait = time.Second
	// cutWait is when a caller should come back while this daemon is cut off: the
	// next connection may go to another daemon, or to another zone.
	cutWait = time.Second
	// maxHearsay bounds the addresses learned from daemons that do not lead.
	maxHearsay = 32
	// memberInterval is how often the member list is asked for, memberTry bounds
	// one call.
	memberInterval, memberTry = 400 * time.Millisecond, 300 * time.Millisecond
)

// Gateway brings requests to the leader of the core. It finds the leader from
// the seeds and the member list that core daemons answer.
type Gateway struct {
	dialer *wire.Dialer
	// name tells core daemons who calls.
	name string
	// member returns the identity of a core daemon, and removed is called each time that the
	// leader answers that it was taken out of the member list; nil at the edge.
	member  func() string
	removed func()
	// local serves requests of a core daemon to itself; nil at the edge.
	local func(context.Context, *workflowpb.Request) (*workflowpb.Response, bool)

	mu    sync.Mutex
	seeds []string
	cores []string
	// hearsay holds addresses of core daemons from those that do not lead: where seeds have
	// lost their disks, nobody else tells of the leader.
	hearsay []string
	leader  string
	next    int
	// reached is when the leader last answered, connected when it or a majority
	// of the core daemons did.
	reached   time.Time
	connected time.Time
	lost      bool
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

// knownSeeds returns the newest seeds, with all else that is known of the core: a daemon that
// joins anew may find a leader that is none of the seeds.
func (g *Gateway) knownSeeds() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	seeds := slices.Clone(g.seeds)
	for _, address := range slices.Concat(g.cores, g.hearsay) {
		if !slices.Contains(seeds, address) {
			seeds = append(seeds, address)
		}
	}
	return seeds
}

// cutOff reports whether this daemon was connected and is not any more.
func (g *Gateway) cutOff() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.connected.IsZero() && time.Since(g.connected) >= connectedFor
}

// target returns the address to call next: the leader's, or another daemon's
// that may know the leader. A daemon without a log does not answer itself.
func (g *Gateway) target() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader != "" {
		return g.leader
	}
	known := slices.Concat(g.cores, g.seeds, g.hearsay)
	if others := slices.DeleteFunc(slices.Clone(known), func(address string) bool { return address == g.name }); len(others) > 0 {
		known = others
	}
	g.next++
	return known[g.next%len(known)]
}

func (g *Gateway) setLeader(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = address
}

// takeRefusal learns from a daemon that does not lead.
func (g *Gateway) takeRefusal(refused *wire.CallError) {
	g.setLeader(refused.LeaderAddress)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, address := range refused.MemberAddresses {
		known := slices.Contains(g.hearsay, address) || slices.Contains(g.cores, address) || slices.Contains(g.seeds, address)
		if !known && len(g.hearsay) < maxHearsay {
			g.hearsay = append(g.hearsay, address)
		}
	}
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
	g.connected = g.reached
	found := g.lost
	g.lost = false
	g.mu.Unlock()
	if found {
		event.LeaderFound.Emit(event.F("peer", address))
	}
}

// Connected reports whether the leader or a majority of the core daemons
// answered lately. A daemon in a cut-off zone is not connected; during an
// election all others are.
func (g *Gateway) Connected() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.connected.IsZero() && time.Since(g.connected) < connectedFor
}

// Do brings a request to the leader and returns its answer. It tries again
// until ctx ends: requests carry ids or versions that make a resend
// idempotent. At the end the answer says whether the request may have been
// carried out.
func (g *Gateway) Do(ctx context.Context, r *workflowpb.Request) *workflowpb.Response {
	began := time.Now()
	response := g.do(ctx, r)
	metrics.Observe(metrics.Name("gateway_request_us",
		metrics.L("operation", r.Operation.String()), metrics.L("answer", response.Answer.String())), time.Since(began))
	return response
}

func (g *Gateway) do(ctx context.Context, r *workflowpb.Request) *workflowpb.Response {
	unknown := false
	var last string
	for {
		response, maySend, err := g.try(ctx, r)
		switch {
		case err != nil:
			unknown = unknown || maySend && changes(r.Operation)
			last = err.Error()
		case response.Answer == workflowpb.Answer_ANSWER_UNKNOWN:
			unknown, last = true, response.Reason
		case response.Answer == workflowpb.Answer_ANSWER_NOT_READY:
			last = response.Reason
		default:
			return response
		}
		if g.cutOff() {
			// Cut off: waiting would only cost the caller time to try elsewhere.
			return g.giveUp(r, unknown, last)
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

// changes reports whether an operation changes anything, so that its outcome
// matters when no answer came.
func changes(operation workflowpb.Operation) bool {
	switch operation {
	case workflowpb.Operation_OPERATION_STATUS, workflowpb.Operation_OPERATION_COUNT, workflowpb.Operation_OPERATION_EXPLAIN,
		workflowpb.Operation_OPERATION_GET_CATALOGUE, workflowpb.Operation_OPERATION_GET_WAVE, workflowpb.Operation_OPERATION_MEMBERS:
		return false
	}
	return true
}

func (g *Gateway) giveUp(r *workflowpb.Request, unknown bool, reason string) *workflowpb.Response {
	response := &workflowpb.Response{Answer: workflowpb.Answer_ANSWER_NOT_READY, Reason: reason, RetryAfterMs: electionWait.Milliseconds()}
	line := event.RequestRefused
	if unknown {
		response.Answer, line = workflowpb.Answer_ANSWER_UNKNOWN, event.RequestUnknown
	}
	cut := g.cutOff()
	if cut {
		response.RetryAfterMs = cutWait.Milliseconds()
	}
	line.Emit(event.F("job", r.Job.GetId()), event.F("operation", r.Operation.String()),
		event.F("cut_off", cut), event.F("retry_after_ms", response.RetryAfterMs), event.F("reason", reason))
	return response
}

// try calls once; maySend tells whether the request may have reached a leader.
func (g *Gateway) try(ctx context.Context, r *workflowpb.Request) (response *workflowpb.Response, maySend bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, gatewayTry)
	defer cancel()
	if g.local != nil {
		if response, isLeader := g.local(ctx, r); isLeader && response.Answer != workflowpb.Answer_ANSWER_NOT_READY {
			g.noteConnected()
			return response, true, nil
		}
	}
	address := g.target()
	answer, sent, err := g.dialer.Call(ctx, address, &wirepb.Hello{FromMember: g.name}, &wirepb.CallRequest{
		Body: &wirepb.CallRequest_Workflow{Workflow: r},
	})
	var refused *wire.CallError
	if errors.As(err, &refused) {
		g.takeRefusal(refused)
		return nil, false, err
	}
	if err != nil {
		g.forgetLeader(address)
		return nil, sent, err
	}
	response = answer.GetWorkflow()
	if response.GetAnswer() == workflowpb.Answer_ANSWER_NOT_READY {
		// A leader whose disk stalls goes on answering that it holds no lease, and does
		// not notice that another leads: the next try asks the others.
		g.forgetLeader(address)
		return response, true, nil
	}
	g.noteReached(address)
	return response, true, nil
}

// watch asks for the member list until ctx ends, so that the leader is known
// before a request needs it.
func (g *Gateway) watch(ctx context.Context) {
	for ctx.Err() == nil {
		step, cancel := context.WithTimeout(ctx, memberTry)
		request := &workflowpb.Request{Operation: workflowpb.Operation_OPERATION_MEMBERS}
		if g.member != nil {
			request.Member = g.member()
		}
		response, _, err := g.try(step, request)
		cancel()
		if err == nil && response.Answer == workflowpb.Answer_ANSWER_NOT_READY {
			err = errors.New(response.Reason)
		}
		pause := memberInterval
		if err == nil {
			g.mu.Lock()
			g.cores, g.hearsay = response.CoreAddresses, nil
			g.mu.Unlock()
			if response.Removed && g.removed != nil {
				g.removed()
			}
		} else {
			pause = 3 * gatewayPause
			g.noteLost(err)
			g.probeCores(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// probeCores asks every known core daemon whether it is there; that it does not
// lead is an answer too.
func (g *Gateway) probeCores(ctx context.Context) {
	g.mu.Lock()
	cores := g.cores
	if len(cores) == 0 {
		cores = g.seeds
	}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, coreProbeTime)
	defer cancel()
	var probes sync.WaitGroup
	var answers atomic.Int32
	for _, address := range cores {
		probes.Go(func() {
			_, _, err := g.dialer.Call(ctx, address, &wirepb.Hello{FromMember: g.name}, &wirepb.CallRequest{
				Body: &wirepb.CallRequest_Workflow{Workflow: &workflowpb.Request{Operation: workflowpb.Operation_OPERATION_MEMBERS}},
			})
			var refused *wire.CallError
			if err == nil || errors.As(err, &refused) {
				answers.Add(1)
			}
		})
	}
	probes.Wait()
	if int(answers.Load()) > len(cores)/2 {
		g.noteConnected()
	}
}

func (g *Gateway) noteConnected() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connected = time.Now()
}

// noteLost reports once that the leader is out of reach.
func (g *Gateway) noteLost(err error) {
	g.mu.Lock()
	report := !g.lost && time.Since(g.reached) > connectedFor
	g.lost = g.lost || report
	g.mu.Unlock()
	if report {
		event.LeaderLost.Emit(event.Err(err))
	}
}
