package server

import (
	"context"
	"errors"
	"fmt"
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
	// gatewayTryTimeout bounds one try, so that a core daemon that does not answer does not
	// use up the whole time of a request.
	gatewayTryTimeout = 900 * time.Millisecond
	// minSlowTry is how long a try without an answer takes at least if the leader is slow. A shorter
	// one that was ended by the caller's time tells nothing.
	minSlowTry = 200 * time.Millisecond
	// gatewayRetryDelay is the wait between two tries.
	gatewayRetryDelay = 40 * time.Millisecond
	// connectedTimeout is how long after an answer the core counts as reachable. With the two
	// seconds that the balancer needs to leave a daemon that is not ready, it stays below the
	// three seconds that a caller has for its first request.
	connectedTimeout = 900 * time.Millisecond
	// coreProbeTimeout bounds one probe of the core daemons.
	coreProbeTimeout = 300 * time.Millisecond
	// electionRetryAfter is the retry delay given to a caller while no leader answers: an
	// election takes about as long.
	electionRetryAfter = time.Second
	// cutOffRetryAfter is the retry delay given to a caller while this daemon is cut off from
	// the core: the caller's next connection may go to another daemon or another zone.
	cutOffRetryAfter = time.Second
	// maxLearnedAddresses bounds the addresses learned from daemons that do not lead.
	maxLearnedAddresses = 32
	// memberListInterval is the wait between requests for the member list; memberListTimeout
	// bounds one of them.
	memberListInterval, memberListTimeout = 400 * time.Millisecond, 300 * time.Millisecond
)

// Gateway sends requests to the leader of the core. It finds the leader through the seeds and
// the member list in the answers of core daemons.
type Gateway struct {
	dialer *wire.Dialer
	// name identifies this daemon to the core daemons that it calls.
	name string
	// memberID returns the member id of a core daemon; onRemoved is called each time the
	// leader answers that this member was removed. Both are nil on an edge daemon.
	memberID  func() string
	onRemoved func()
	// zone is the availability zone of a core daemon, control its address for announcements.
	zone, control string
	// serveLocal serves a core daemon's requests to itself; nil on an edge daemon.
	serveLocal func(context.Context, *workflowpb.Request) (*workflowpb.Response, bool)

	mu            sync.Mutex
	seeds         []string
	coreAddresses []string
	// learnedAddresses are addresses of core daemons, learned from daemons that do not lead:
	// if the seeds have lost their disks, there is no other way to find the leader.
	learnedAddresses []string
	leader           string
	nextIndex        int
	// leaderAnsweredAt is when the leader last answered; connectedAt is when the leader or a
	// majority of the core daemons last did. lossReported is set while the leader is reported
	// as lost.
	leaderAnsweredAt time.Time
	connectedAt      time.Time
	lossReported     bool
}

// newGateway returns a gateway that starts from the seeds.
func newGateway(dialer *wire.Dialer, name string, seeds []string) *Gateway {
	return &Gateway{dialer: dialer, name: name, seeds: seeds}
}

// SetSeeds replaces the seeds.
func (g *Gateway) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = slices.Clone(seeds)
}

// knownAddresses returns the current seeds and all other known addresses of core daemons: when
// a daemon joins again, the leader may be none of the seeds.
func (g *Gateway) knownAddresses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	addresses := slices.Clone(g.seeds)
	for _, address := range slices.Concat(g.coreAddresses, g.learnedAddresses) {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// cutOff reports whether this daemon was connected to the core and no longer is.
func (g *Gateway) cutOff() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.connectedAt.IsZero() && time.Since(g.connectedAt) >= connectedTimeout
}

// nextAddress returns the address to call next: the leader's, or that of another daemon that
// may know the leader. The daemon's own address comes last: without a log it does not answer
// itself.
func (g *Gateway) nextAddress() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader != "" {
		return g.leader
	}
	known := slices.Concat(g.coreAddresses, g.seeds, g.learnedAddresses)
	if others := slices.DeleteFunc(slices.Clone(known), func(address string) bool { return address == g.name }); len(others) > 0 {
		known = others
	}
	g.nextIndex++
	return known[g.nextIndex%len(known)]
}

// leaderAnswers reports whether the leader has answered a call of this daemon lately.
func (g *Gateway) leaderAnswers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.leaderAnsweredAt.IsZero() && time.Since(g.leaderAnsweredAt) < connectedTimeout
}

func (g *Gateway) setLeader(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = address
}

// learnFromRefusal stores the leader's and the members' addresses from the answer of a daemon
// that does not lead.
func (g *Gateway) learnFromRefusal(refused *wire.CallError) {
	g.setLeader(refused.LeaderAddress)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, address := range refused.MemberAddresses {
		known := slices.Contains(g.learnedAddresses, address) || slices.Contains(g.coreAddresses, address) || slices.Contains(g.seeds, address)
		if !known && len(g.learnedAddresses) < maxLearnedAddresses {
			g.learnedAddresses = append(g.learnedAddresses, address)
		}
	}
}

// forgetLeader drops a leader that did not answer, unless another leader is known by now.
func (g *Gateway) forgetLeader(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader == address {
		g.leader = ""
	}
}

// recordLeaderAnswer records that the leader answered at this address.
func (g *Gateway) recordLeaderAnswer(address string) {
	g.mu.Lock()
	g.leader, g.leaderAnsweredAt = address, time.Now()
	g.connectedAt = g.leaderAnsweredAt
	recovered := g.lossReported
	g.lossReported = false
	g.mu.Unlock()
	if recovered {
		event.LeaderFound.Emit(event.F("peer", address))
	}
}

// Connected reports whether the leader or a majority of the core daemons answered within
// connectedTimeout. A daemon in a zone that is cut off is not connected; during an election
// all others are.
func (g *Gateway) Connected() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.connectedAt.IsZero() && time.Since(g.connectedAt) < connectedTimeout
}

// answerByKey is the key of the time in a context made by WithAnswerBy.
type answerByKey struct{}

// WithAnswerBy returns a context with which Do gives up at a time before ctx ends, unless the core
// is without a leader: then no other daemon could answer either, and waiting until ctx ends lets
// the next leader answer.
func WithAnswerBy(ctx context.Context, by time.Time) context.Context {
	return context.WithValue(ctx, answerByKey{}, by)
}

// AnswerBy returns the time of WithAnswerBy, or false without one.
func AnswerBy(ctx context.Context) (time.Time, bool) {
	by, ok := ctx.Value(answerByKey{}).(time.Time)
	return by, ok
}

// Do sends a request to the leader and returns its answer. It tries again until ctx ends, the
// time of WithAnswerBy has come or this daemon is cut off: requests carry ids or versions that
// make a resend idempotent. Without an answer that holds for all tries, the response says
// whether the request may have been carried out.
func (g *Gateway) Do(ctx context.Context, r *workflowpb.Request) *workflowpb.Response {
	began := time.Now()
	response := g.route(ctx, r)
	metrics.Observe(metrics.Name("gateway_request_us",
		metrics.L("operation", r.Operation.String()), metrics.L("answer", response.Answer.String())), time.Since(began))
	return response
}

// route sends a request the way that its operation needs.
func (g *Gateway) route(ctx context.Context, r *workflowpb.Request) *workflowpb.Response {
	switch r.Operation {
	case workflowpb.Operation_OPERATION_BEGIN_EVACUATION, workflowpb.Operation_OPERATION_END_EVACUATION:
		return g.orderEvacuation(ctx, r)
	}
	return g.do(ctx, r)
}

func (g *Gateway) do(ctx context.Context, r *workflowpb.Request) *workflowpb.Response {
	response, _ := g.doAfter(ctx, r, false)
	return response
}

// doAfter is do for a request of which the outcome of earlier tries may be unknown. It also returns
// whether that of any try is.
func (g *Gateway) doAfter(ctx context.Context, r *workflowpb.Request, unknown bool) (*workflowpb.Response, bool) {
	var lastReason string
	answerBy, limited := AnswerBy(ctx)
	for {
		tryCtx, cancel := ctx, context.CancelFunc(func() {})
		if limited && time.Now().Before(answerBy) {
			tryCtx, cancel = context.WithDeadline(ctx, answerBy)
		}
		began := time.Now()
		response, maybeReceived, err := g.try(tryCtx, r)
		// The try used up its time, although there is a leader.
		leaderSlow := tryCtx.Err() != nil && time.Since(began) >= minSlowTry && (err == nil || g.leaderAnswers())
		cancel()
		switch {
		case err != nil:
			unknown = unknown || maybeReceived && changesState(r.Operation)
			lastReason = err.Error()
		case response.Answer == workflowpb.Answer_ANSWER_UNKNOWN:
			unknown, lastReason = true, response.Reason
		case response.Answer == workflowpb.Answer_ANSWER_NOT_READY:
			lastReason = response.Reason
		default:
			if unknown && !holdsForEarlierTries(response.Answer) {
				return g.giveUp(r, unknown, fmt.Sprintf("an earlier try may have been carried out, the last one was refused: %s: %s", response.Answer, response.Reason)), unknown
			}
			return response, unknown
		}
		if g.cutOff() {
			// Waiting would only use up the time that the caller has for another daemon.
			return g.giveUp(r, unknown, lastReason), unknown
		}
		if limited && !time.Now().Before(answerBy) && (leaderSlow || !g.Connected()) {
			return g.giveUp(r, unknown, lastReason), unknown
		}
		timer := time.NewTimer(gatewayRetryDelay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return g.giveUp(r, unknown, lastReason), unknown
		case <-timer.C:
		}
	}
}

// holdsForEarlierTries reports whether an answer also holds for earlier tries of the same request: it
// was carried out, or what it contains is refused whenever it arrives, as is an order that another one
// has overtaken. Other refusals rest on what
// was in force at the last try, such as the keys and queues.
func holdsForEarlierTries(answer workflowpb.Answer) bool {
	switch answer {
	case workflowpb.Answer_ANSWER_OK, workflowpb.Answer_ANSWER_INVALID, workflowpb.Answer_ANSWER_CONFLICT:
		return true
	}
	return false
}

// changesState reports whether an operation changes the state: without an answer, its outcome
// is unknown.
func changesState(operation workflowpb.Operation) bool {
	switch operation {
	case workflowpb.Operation_OPERATION_STATUS, workflowpb.Operation_OPERATION_COUNT, workflowpb.Operation_OPERATION_EXPLAIN,
		workflowpb.Operation_OPERATION_GET_CATALOGUE, workflowpb.Operation_OPERATION_GET_WAVE, workflowpb.Operation_OPERATION_MEMBERS,
		workflowpb.Operation_OPERATION_GET_EVACUATION, workflowpb.Operation_OPERATION_NOTE_HEARD:
		return false
	}
	return true
}

func (g *Gateway) giveUp(r *workflowpb.Request, unknown bool, reason string) *workflowpb.Response {
	response := &workflowpb.Response{Answer: workflowpb.Answer_ANSWER_NOT_READY, Reason: reason, RetryAfterMs: electionRetryAfter.Milliseconds()}
	logEvent := event.RequestRefused
	if unknown {
		response.Answer, logEvent = workflowpb.Answer_ANSWER_UNKNOWN, event.RequestUnknown
	}
	isCutOff := g.cutOff()
	if isCutOff {
		response.RetryAfterMs = cutOffRetryAfter.Milliseconds()
	}
	logEvent.Emit(event.F("job", r.Job.GetId()), event.F("operation", r.Operation.String()),
		event.F("cut_off", isCutOff), event.F("retry_after_ms", response.RetryAfterMs), event.F("reason", reason))
	return response
}

// try sends a request once; maybeReceived tells whether it may have reached a leader.
func (g *Gateway) try(ctx context.Context, r *workflowpb.Request) (response *workflowpb.Response, maybeReceived bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, gatewayTryTimeout)
	defer cancel()
	if g.serveLocal != nil {
		if response, isLeader := g.serveLocal(ctx, r); isLeader && response.Answer != workflowpb.Answer_ANSWER_NOT_READY {
			g.recordConnected()
			return response, true, nil
		}
	}
	address := g.nextAddress()
	answer, sent, err := g.dialer.Call(ctx, address, &wirepb.Hello{FromMember: g.name}, &wirepb.CallRequest{
		Body: &wirepb.CallRequest_Workflow{Workflow: r},
	})
	var refused *wire.CallError
	if errors.As(err, &refused) {
		g.learnFromRefusal(refused)
		return nil, false, err
	}
	if err != nil {
		g.forgetLeader(address)
		return nil, sent, err
	}
	response = answer.GetWorkflow()
	if response.GetAnswer() == workflowpb.Answer_ANSWER_NOT_READY {
		// A leader whose disk stalls keeps answering that it holds no lease and does not
		// notice a new leader: the next try asks the other daemons.
		g.forgetLeader(address)
		return response, true, nil
	}
	g.recordLeaderAnswer(address)
	return response, true, nil
}

// watch requests the member list again and again until ctx ends, so that the leader is known
// before a request needs it.
func (g *Gateway) watch(ctx context.Context) {
	for ctx.Err() == nil {
		tryCtx, cancel := context.WithTimeout(ctx, memberListTimeout)
		request := &workflowpb.Request{Operation: workflowpb.Operation_OPERATION_MEMBERS}
		if g.memberID != nil {
			request.Member, request.MemberZone, request.MemberControl = g.memberID(), g.zone, g.control
		}
		response, _, err := g.try(tryCtx, request)
		cancel()
		if err == nil && response.Answer == workflowpb.Answer_ANSWER_NOT_READY {
			err = errors.New(response.Reason)
		}
		pause := memberListInterval
		if err == nil {
			g.mu.Lock()
			g.coreAddresses, g.learnedAddresses = response.CoreAddresses, nil
			g.mu.Unlock()
			if response.Removed && g.onRemoved != nil {
				g.onRemoved()
			}
		} else {
			pause = 3 * gatewayRetryDelay
			g.reportLeaderLost(err)
			g.probeCores(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// probeCores calls every known core daemon and records a connection if a majority answers. The
// answer that a daemon does not lead counts too.
func (g *Gateway) probeCores(ctx context.Context) {
	g.mu.Lock()
	addresses := g.coreAddresses
	if len(addresses) == 0 {
		addresses = g.seeds
	}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, coreProbeTimeout)
	defer cancel()
	var probes sync.WaitGroup
	var answers atomic.Int32
	for _, address := range addresses {
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
	if int(answers.Load()) > len(addresses)/2 {
		g.recordConnected()
	}
}

func (g *Gateway) recordConnected() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connectedAt = time.Now()
}

// reportLeaderLost reports, once, that the leader has not answered for connectedTimeout.
func (g *Gateway) reportLeaderLost(err error) {
	g.mu.Lock()
	report := !g.lossReported && time.Since(g.leaderAnsweredAt) > connectedTimeout
	g.lossReported = g.lossReported || report
	g.mu.Unlock()
	if report {
		event.LeaderLost.Emit(event.Err(err))
	}
}
