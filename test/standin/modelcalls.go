package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"sapphirering/internal/driver"
	"sapphirering/internal/workflow"
)

// ModelCallKind is the kind of a call to a target or to the platform.
type ModelCallKind string

// Kinds of calls.
const (
	CallStart    ModelCallKind = "start"
	CallStop     ModelCallKind = "stop"
	CallRenew    ModelCallKind = "renew"
	CallPace     ModelCallKind = "pace"
	CallMove     ModelCallKind = "move"
	CallMaintain ModelCallKind = "maintain"
	CallList     ModelCallKind = "list VMs"
)

// ModelCall describes a call to choose its fate by.
type ModelCall struct {
	Kind ModelCallKind
	// Target is the called target; empty for calls to the platform. VM is its VM.
	Target, VM string
	// Run identifies the run of a start, stop or pace.
	Task    workflow.TaskID
	Attempt uint32
	Fence   uint64
	// SeenEnd is the number of the last end that a listing call confirms, 0 if it confirms none.
	SeenEnd uint64
	// Number counts the calls of a kind for a VM, from 1.
	Number int
}

// ModelFate is what happens to a call. The zero value carries it out at once.
type ModelFate struct {
	// Lost calls are never carried out, others after After. The incarnation that is at the
	// address then gets them.
	Lost  bool
	After time.Duration
	// Unanswered calls get no answer, others AnswerAfter after they were carried out.
	Unanswered  bool
	AnswerAfter time.Duration
	// Fails makes the caller get an error at once instead of no answer.
	Fails bool
	// Resets makes the caller's connection be reset, as a host or a network does.
	Resets bool
}

// modelLatency is the time that a call, and an answer, takes without a fault.
const modelLatency = time.Millisecond

type modelCallCount struct {
	kind ModelCallKind
	vm   string
}

var (
	errModelReset  = errors.New("connection reset")
	errModelClosed = errors.New("connections closed")
)

// ModelClient makes the calls of one leader.
type ModelClient struct {
	fleet *ModelFleet
	// closed is closed when the leadership ends.
	closed chan struct{}
	close  func()
}

// Client returns a client for one leader.
func (f *ModelFleet) Client() *ModelClient {
	closed := make(chan struct{})
	return &ModelClient{f, closed, sync.OnceFunc(func() { close(closed) })}
}

// Close ends the calls in progress; they may still be carried out.
func (c *ModelClient) Close() error {
	c.close()
	return nil
}

// fate chooses the fate of a call and records the call.
func (f *ModelFleet) fate(call ModelCall) ModelFate {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := modelCallCount{call.Kind, call.VM}
	f.calls[count]++
	call.Number = f.calls[count]
	var fate ModelFate
	if f.choose != nil {
		fate = f.choose(call)
	}
	if f.cutOff[call.VM] && call.Target != "" {
		fate = ModelFate{Lost: true, Unanswered: true}
	}
	faulty := fate != ModelFate{}
	fate.After += modelLatency
	fate.AnswerAfter += modelLatency
	if call.Kind != CallRenew || call.SeenEnd > 0 || faulty {
		f.history = append(f.history, modelNote{time.Now(), call.Task, call.Target, describeCall(call) + " sent" + describeFate(fate)})
	}
	return fate
}

// exchange sends a call and returns its answer. apply carries it out, with the fleet's lock
// held; false means that no answer comes.
func exchange[A any](ctx context.Context, c *ModelClient, call ModelCall, fate ModelFate, apply func(sent time.Time) (A, bool)) (A, error) {
	var none A
	sent := time.Now()
	answers := make(chan A, 1)
	if !fate.Lost {
		time.AfterFunc(fate.After, func() {
			c.fleet.mu.Lock()
			answer, ok := apply(sent)
			c.fleet.mu.Unlock()
			switch {
			case !ok || fate.Unanswered:
			case fate.AnswerAfter <= 0:
				// Timers of a bubble that are due at once crash the race detector of Go 1.26 now and then.
				answers <- answer
			default:
				time.AfterFunc(fate.AnswerAfter, func() { answers <- answer })
			}
		})
	}
	if fate.Fails || fate.Resets {
		return none, errModelReset
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-c.closed:
		return none, errModelClosed
	}
}

// reach returns the incarnation at an address that carries out a call sent at a time; nil if
// the call gets lost, false if another target is there.
func (f *ModelFleet) reach(to driver.Address, kind ModelCallKind, sent time.Time) (*ModelTarget, bool) {
	vm := f.vms[to.HostPort]
	if vm == nil || vm.target == nil {
		return nil, true
	}
	t := vm.target
	if t.id != to.ID {
		return t, false
	}
	if sent.Before(t.bornAt) {
		switch {
		case kind == CallStart && !t.called && !f.behaviour.StartBeforeFirstCall:
			return nil, true
		case kind == CallRenew && (!f.behaviour.LateRenewReachesNext || !t.called && !f.behaviour.RenewBeforeFirstCall):
			return nil, true
		}
	} else {
		t.called = true
	}
	f.settle(t)
	return t, true
}

// callTarget sends a call that is answered without a listing.
func (c *ModelClient) callTarget(ctx context.Context, to driver.Address, call ModelCall, carryOut func(t *ModelTarget, delay time.Duration) driver.Refusal) (driver.Answer, error) {
	f := c.fleet
	call.Target, call.VM = to.ID, to.HostPort
	fate := f.fate(call)
	return exchange(ctx, c, call, fate, func(sent time.Time) (driver.Answer, bool) {
		t, same := f.reach(to, call.Kind, sent)
		if t == nil {
			return driver.Answer{}, false
		}
		if !same {
			f.note(t, call.Task, "refuses %s: other incarnation", describeCall(call))
			return driver.Answer{Refusal: driver.OtherIncarnation}, true
		}
		refusal := driver.RefusedStaleFence
		if t.acceptFence(call.Fence) {
			refusal = carryOut(t, time.Since(sent)-modelLatency)
		}
		f.note(t, call.Task, "carries out %s: %s", describeCall(call), refusal)
		return driver.Answer{Refusal: refusal, ClockMS: t.clockMS(time.Now())}, true
	})
}

// acceptFence reports whether no newer fence was seen, and stores the fence.
func (t *ModelTarget) acceptFence(fence uint64) bool {
	if fence < t.fence {
		return false
	}
	t.fence = fence
	return true
}

// leaseEnd returns the end of a lease as the target counts it.
func (f *ModelFleet) leaseEnd(untilMS int64, delay time.Duration) int64 {
	if untilMS != 0 && f.behaviour.LateGrantsShift {
		untilMS += delay.Milliseconds()
	}
	return untilMS
}

// grant extends the target's lease, at most by LeaseTTL from now.
func (f *ModelFleet) grant(t *ModelTarget, untilMS int64) {
	t.leaseUntilMS = max(t.leaseUntilMS, min(untilMS, t.clockMS(time.Now())+f.Limits.LeaseTTL.Milliseconds()))
}

// Start starts a run.
func (c *ModelClient) Start(ctx context.Context, to driver.Address, call driver.StartCall) (driver.Answer, error) {
	f := c.fleet
	described := ModelCall{Kind: CallStart, Task: call.Task, Attempt: call.Attempt, Fence: call.Fence}
	return c.callTarget(ctx, to, described, func(t *ModelTarget, delay time.Duration) driver.Refusal {
		until := f.leaseEnd(call.LeaseUntilMS, delay)
		if until <= t.clockMS(time.Now()) {
			return driver.RefusedLeaseOver
		}
		f.grant(t, until)
		switch {
		case t.running[modelRunID{call.Task, call.Attempt}] != nil:
			return driver.Accepted
		case call.Attempt <= t.blockedUpTo[call.Task]:
			return driver.RefusedOutdated
		case len(t.running) >= f.Room:
			return driver.RefusedNoRoom
		}
		f.recordStart(t, call)
		return driver.Accepted
	})
}

// Stop stops a run, which takes KillGrace, or prevents it from starting.
func (c *ModelClient) Stop(ctx context.Context, to driver.Address, call driver.StopCall) (driver.Answer, error) {
	f := c.fleet
	described := ModelCall{Kind: CallStop, Task: call.Task, Attempt: call.Attempt, Fence: call.Fence}
	return c.callTarget(ctx, to, described, func(t *ModelTarget, _ time.Duration) driver.Refusal {
		t.blockedUpTo[call.Task] = max(t.blockedUpTo[call.Task], call.Attempt)
		for id, run := range t.running {
			if id.task == call.Task && id.attempt <= call.Attempt && run.stopsAt.IsZero() {
				run.stopsAt = time.Now().Add(f.Limits.KillGrace)
			}
		}
		return driver.Accepted
	})
}

// Pace is accepted and changes nothing.
func (c *ModelClient) Pace(ctx context.Context, to driver.Address, call driver.PaceCall) (driver.Answer, error) {
	described := ModelCall{Kind: CallPace, Task: call.Task, Attempt: call.Attempt, Fence: call.Fence}
	return c.callTarget(ctx, to, described, func(*ModelTarget, time.Duration) driver.Refusal { return driver.Accepted })
}

// renewed is the outcome of a listing call before the target waits for an end.
type renewed struct {
	target  *ModelTarget
	refusal driver.Refusal
	// confirmed is the number that the call confirmed.
	confirmed uint64
}

// Renew renews the lease and lists the runs.
func (c *ModelClient) Renew(ctx context.Context, to driver.Address, call driver.RenewCall) (driver.Listing, error) {
	f := c.fleet
	described := ModelCall{Kind: CallRenew, Target: to.ID, VM: to.HostPort, Fence: call.Fence, SeenEnd: call.SeenEnd}
	fate := f.fate(described)
	answerAfter := fate.AnswerAfter
	fate.AnswerAfter = 0
	began, err := exchange(ctx, c, described, fate, func(sent time.Time) (renewed, bool) {
		t, same := f.reach(to, CallRenew, sent)
		switch {
		case t == nil:
			return renewed{}, false
		case !same:
			return renewed{target: t, refusal: driver.OtherIncarnation}, true
		case !t.acceptFence(call.Fence):
			return renewed{target: t, refusal: driver.RefusedStaleFence}, true
		}
		f.grant(t, f.leaseEnd(call.LeaseUntilMS, time.Since(sent)-modelLatency))
		confirms := call.SeenEnd
		if call.BornUnixMS != 0 && call.BornUnixMS != t.bornUnixMS && !sent.Before(t.bornAt) {
			// It came over a new connection, over which a client confirms nothing.
			confirms = 0
		}
		f.confirmEnds(t, confirms)
		return renewed{t, driver.Accepted, confirms}, true
	})
	if err != nil {
		return driver.Listing{}, err
	}
	listing, err := c.awaitListing(ctx, began, call.Wait)
	if err == nil {
		err = c.sleep(ctx, answerAfter)
	}
	if err == nil && f.isCutOff(to.HostPort) {
		<-ctx.Done()
		err = ctx.Err()
	}
	return listing, err
}

// awaitListing returns the runs of a target once one has ended or the wait is over. A target
// that ends meanwhile gives no answer.
func (c *ModelClient) awaitListing(ctx context.Context, began renewed, wait time.Duration) (driver.Listing, error) {
	const pollInterval = 20 * time.Millisecond
	for deadline := time.Now().Add(wait); ; {
		listing, up := c.fleet.list(began)
		if up && (began.refusal != driver.Accepted || len(listing.Ended) > 0 || !time.Now().Before(deadline)) {
			return listing, nil
		}
		if err := c.sleep(ctx, pollInterval); err != nil {
			return driver.Listing{}, err
		}
	}
}

// list returns the runs of a target; false if it has ended.
func (f *ModelFleet) list(began renewed) (driver.Listing, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := began.target
	f.settle(t)
	listing := driver.Listing{Answer: driver.Answer{Refusal: began.refusal, ClockMS: t.clockMS(time.Now())}, BornUnixMS: t.bornUnixMS, SeenEnd: began.confirmed}
	if began.refusal != driver.Accepted {
		return listing, t.up
	}
	for _, end := range t.ended {
		listing.Ended = append(listing.Ended, end.Ended)
	}
	for id, run := range t.running {
		listing.Running = append(listing.Running, driver.Running{Task: id.task, Attempt: id.attempt, Percent: run.percent()})
	}
	slices.SortFunc(listing.Running, func(a, b driver.Running) int { return strings.Compare(a.Task.String(), b.Task.String()) })
	return listing, t.up
}

func (c *ModelClient) sleep(ctx context.Context, length time.Duration) error {
	select {
	case <-time.After(length):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.closed:
		return errModelClosed
	}
}

func describeCall(call ModelCall) string {
	text := string(call.Kind)
	if call.Task != (workflow.TaskID{}) {
		text += " " + modelRunID{call.Task, call.Attempt}.String()
	}
	if call.SeenEnd > 0 {
		text += fmt.Sprintf(" confirming %d", call.SeenEnd)
	}
	if call.Target != "" {
		text += " to " + call.Target
	} else {
		text += " for " + call.VM
	}
	return text + fmt.Sprintf(" by leader %d", driver.EpochOf(call.Fence))
}

func describeFate(fate ModelFate) string {
	text := ""
	if fate.Lost {
		text += ", lost"
	}
	if fate.After > modelLatency {
		text += ", arrives after " + fate.After.String()
	}
	if fate.Unanswered {
		text += ", unanswered"
	} else if fate.AnswerAfter > modelLatency {
		text += ", answered after " + fate.AnswerAfter.String()
	}
	return text
}
