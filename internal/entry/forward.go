package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"sapphirering/internal/state"
	"sapphirering/internal/target"
	"sapphirering/internal/wire/wirepb"
)

// forwardRetention is how long the id of a dispatched forward is kept, so that a
// duplicate of its frame never runs a second time.
const forwardRetention = (state.MaxRequestDeadlineMS + 5_000) * time.Millisecond

// minForwardTime is the least time before the deadline with which a forward is
// accepted.
const minForwardTime = 5 * time.Millisecond

// forwardHistory holds the ids of the non-repeatable forwards that were
// dispatched here, with the time of each.
type forwardHistory struct {
	mu        sync.Mutex
	seen      map[string]time.Time
	lastSweep time.Time
}

// record adds the id; it returns false if the id was dispatched before.
func (h *forwardHistory) record(id string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeOld(now)
	if _, ok := h.seen[id]; ok {
		return false
	}
	if h.seen == nil {
		h.seen = make(map[string]time.Time)
	}
	h.seen[id] = now
	return true
}

// forget removes a forward that provably did not run.
func (h *forwardHistory) forget(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.seen, id)
}

// removeOld removes the ids older than forwardRetention. The caller holds h.mu.
func (h *forwardHistory) removeOld(now time.Time) {
	if now.Sub(h.lastSweep) < forwardRetention/8 {
		return
	}
	h.lastSweep = now
	for id, at := range h.seen {
		if now.Sub(at) > forwardRetention {
			delete(h.seen, id)
		}
	}
}

// ServeForward runs a request of another entry VM on a target of this zone.
// The sender holds the unit of the team's upper limit and queues the request;
// here it gets a free slot at once or is refused, and is never forwarded further.
func (s *Server) ServeForward(ctx context.Context, f *wirepb.ForwardRequest) *wirepb.ForwardResponse {
	out := &wirepb.ForwardResponse{RequestId: f.RequestId, NotRun: true}
	queue, _ := s.cfg.Machine.Queue(f.Queue)
	if queue == nil {
		out.Reason = fmt.Sprintf("queue %q does not exist here yet", f.Queue)
		return out
	}
	left := time.Duration(f.DeadlineMs) * time.Millisecond
	if left < minForwardTime {
		out.Reason = fmt.Sprintf("deadline in %s cannot be met", left)
		return out
	}
	if !s.beginWork() {
		out.Reason = "this entry VM is shutting down"
		return out
	}
	defer s.inFlight.Done()
	defer func() { out.FreeSlots = uint32(s.cfg.Registry.FreeSlots(queue.Pool)) }()
	slot := s.cfg.Registry.Take(target.SlotFilter{Pool: queue.Pool, Probe: f.Idempotent})
	if slot == nil {
		out.Reason = "no free slot"
		return out
	}
	defer s.queues.grantWaiting()
	defer slot.Release()
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	s.runForward(ctx, f, &request{
		id: f.RequestId, team: f.Team, queue: queue, class: f.Class, body: f.Body, contentType: f.ContentType,
		repeatable: f.Idempotent,
	}, slot, out)
	return out
}

func (s *Server) runForward(ctx context.Context, f *wirepb.ForwardRequest, req *request, slot *target.Slot, out *wirepb.ForwardResponse) {
	if !f.Idempotent && !s.forwards.record(f.RequestId, s.cfg.Now()) {
		out.NotRun, out.Reason = false, "the request was forwarded here before"
		return
	}
	answer, err := s.tryTarget(ctx, req, slot, false)
	if err != nil {
		out.NotRun, out.Reason = errors.Is(err, target.ErrNotRun), err.Error()
		if out.NotRun {
			s.forwards.forget(f.RequestId)
		}
		return
	}
	out.NotRun, out.Answered = false, true
	out.StatusCode, out.Body, out.ContentType = uint32(answer.StatusCode), answer.Body, answer.ContentType
}
