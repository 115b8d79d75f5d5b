package server

import (
	"context"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/clock"
	"sapphirering/internal/event"
	"sapphirering/internal/metrics"
	"sapphirering/internal/workflow/workflowpb"
)

const (
	// collectInterval is the time between two lists of heard targets to the leader. A target counts as
	// silent to starts after three missed announcements, 4.5 s; a list adds a tenth of that.
	collectInterval = 400 * time.Millisecond
	// collectTimeout limits the call that sends a list.
	collectTimeout = 600 * time.Millisecond
	// confirmedBound is how long after the leader has taken a list this daemon acknowledges announcements by
	// itself: one list may fail.
	confirmedBound = time.Second
	// fullInterval is how long repeated announcements of a target are acknowledged until one is passed on
	// whole: it tells the target's next address.
	fullInterval = 30 * time.Second
)

// collector serves the announcements that arrive at a core daemon. It passes those on to the leader that tell
// anything new and waits for the answer. While there are many targets, it acknowledges repetitions
// itself and sends the leader a list of them.
type collector struct {
	requester Requester
	// leads reports whether this daemon leads.
	leads func() bool
	now   func() time.Time

	mu sync.Mutex
	// known holds the last announcement of each target that the leader has acknowledged for repetition.
	known map[string]*announced
	// heard holds the repetitions that are not sent yet.
	heard map[string]*workflowpb.Heard
	// heardAt is when they arrived.
	heardAt map[string]time.Time
	// confirmedAt is when a list was sent that the leader has taken, or an announcement that it acknowledged
	// for repetition.
	confirmedAt time.Time
}

// announced is an announcement that the leader has acknowledged.
type announced struct {
	target   *workflowpb.Target
	sequence uint64
	address  string
	at       time.Time
}

func newCollector(requester Requester, leads func() bool) *collector {
	return &collector{
		requester: requester, leads: leads, now: time.Now,
		known: make(map[string]*announced), heard: make(map[string]*workflowpb.Heard), heardAt: make(map[string]time.Time),
	}
}

// Do serves a request.
func (c *collector) Do(ctx context.Context, r *workflowpb.Request) *workflowpb.Response {
	switch r.Operation {
	case workflowpb.Operation_OPERATION_ANNOUNCE:
	case workflowpb.Operation_OPERATION_DEREGISTER:
		c.forget(r.Target.GetId())
		return c.requester.Do(ctx, r)
	default:
		return c.requester.Do(ctx, r)
	}
	if response := c.acknowledge(r); response != nil {
		countAnnouncement("collected")
		return response
	}
	countAnnouncement("passed on")
	sent := c.now()
	response := c.requester.Do(ctx, r)
	c.noteAnswer(r, response, sent)
	return response
}

func countAnnouncement(handled string) {
	gometrics.GetOrRegisterCounter(metrics.Name("announcements", metrics.L("handled", handled)), gometrics.DefaultRegistry).Inc(1)
}

func (c *collector) forget(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.known, target)
	delete(c.heard, target)
	delete(c.heardAt, target)
}

// acknowledge answers an announcement that only repeats what the leader has acknowledged, or returns nil. It
// does not once the leader has not taken a list for confirmedBound: this daemon may be cut off.
func (c *collector) acknowledge(r *workflowpb.Request) *workflowpb.Response {
	if c.leads() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	known := c.known[r.Target.GetId()]
	if known == nil || now.Sub(known.at) >= fullInterval || now.Sub(c.confirmedAt) >= confirmedBound ||
		r.StaysMs != 0 || r.WarmupLeftMs != 0 || r.Sequence < known.sequence || !proto.Equal(r.Target, known.target) {
		return nil
	}
	known.sequence = r.Sequence
	c.heard[r.Target.Id] = &workflowpb.Heard{Target: r.Target.Id, BornUnixMs: r.Target.BornUnixMs, Sequence: r.Sequence, ClockMs: r.TargetClockMs}
	c.heardAt[r.Target.Id] = now
	return &workflowpb.Response{Answer: workflowpb.Answer_ANSWER_OK, AnnounceAddress: known.address}
}

// noteAnswer records the leader's answer to an announcement that was sent to it.
func (c *collector) noteAnswer(r *workflowpb.Request, response *workflowpb.Response, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if response.Answer != workflowpb.Answer_ANSWER_OK || !response.CollectRepeats || r.Target.Leaving || r.StaysMs != 0 || r.WarmupLeftMs != 0 {
		delete(c.known, r.Target.Id)
		return
	}
	c.known[r.Target.Id] = &announced{
		target: proto.CloneOf(r.Target), sequence: r.Sequence, address: response.AnnounceAddress, at: c.now(),
	}
	if sent.After(c.confirmedAt) {
		c.confirmedAt = sent
	}
}

// run sends the lists until ctx ends.
func (c *collector) run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, collectInterval)
		c.send(ctx)
	}
}

// send sends the targets that were heard since the last list. What the leader does not take is dropped: the
// targets go on announcing themselves.
func (c *collector) send(ctx context.Context) {
	request := c.takeHeard()
	if request == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	sent := c.now()
	response := c.requester.Do(ctx, request)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case response.Answer != workflowpb.Answer_ANSWER_OK:
		event.HeardNotTaken.Emit(event.F("targets", len(request.Heard)), event.F("answer", response.Answer.String()), event.F("reason", response.Reason))
		for _, heard := range request.Heard {
			// Its next announcement is passed on: another list that fails would make the target count as silent.
			delete(c.known, heard.Target)
		}
		return
	case !response.CollectRepeats:
		clear(c.known)
	}
	for _, target := range response.UnknownTargets {
		delete(c.known, target)
	}
	if sent.After(c.confirmedAt) {
		c.confirmedAt = sent
	}
}

// takeHeard returns the request with the targets that were heard since the last list, or nil if there are none.
func (c *collector) takeHeard() *workflowpb.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for target, known := range c.known {
		if now.Sub(known.at) >= fullInterval {
			delete(c.known, target)
		}
	}
	if len(c.heard) == 0 {
		return nil
	}
	request := &workflowpb.Request{Operation: workflowpb.Operation_OPERATION_NOTE_HEARD}
	for target, heard := range c.heard {
		heard.AgeMs = now.Sub(c.heardAt[target]).Milliseconds()
		request.Heard = append(request.Heard, heard)
	}
	clear(c.heard)
	clear(c.heardAt)
	return request
}
