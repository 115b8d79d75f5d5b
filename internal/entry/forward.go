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

// forwardMemory is how long a dispatched forward is remembered, so that a
// duplicate of its frame never runs a second time.
const forwardMemory = (state.MaxRequestDeadlineMS + 5_000) * time.Millisecond

// minForwardTime is the least time left for which a forward is taken.
const minForwardTime = 5 * time.Millisecond

// forwardLog remembers the forwards that were dispatched here.
type forwardLog struct {
	mu    sync.Mutex
	seen  map[string]time.Time
	swept time.Time
}

// begin remembers the id; false when it was dispatched before.
func (l *forwardLog) begin(id string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	if _, ok := l.seen[id]; ok {
		return false
	}
	if l.seen == nil {
		l.seen = make(map[string]time.Time)
	}
	l.seen[id] = now
	return true
}

// forget takes back a forward that provably did not run.
func (l *forwardLog) forget(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.seen, id)
}

func (l *forwardLog) sweep(now time.Time) {
	if now.Sub(l.swept) < forwardMemory/8 {
		return
	}
	l.swept = now
	for id, at := range l.seen {
		if now.Sub(at) > forwardMemory {
			delete(l.seen, id)
		}
	}
}

// ServeForward runs a request of another entry VM on a target of this zone.
// The sender holds the unit of the upper limit and queues the request; here it
// gets a free slot at once or is refused, and is never forwarded further.
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
	if !s.begin() {
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
	defer s.lines.wake()
	defer slot.Release()
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	s.runForward(ctx, f, &request{
		id: f.RequestId, team: f.Team, queue: queue, class: f.Class, body: f.Body, mediaType: f.ContentType,
		repeatable: f.Idempotent,
	}, slot, out)
	return out
}

func (s *Server) runForward(ctx context.Context, f *wirepb.ForwardRequest, req *request, slot *target.Slot, out *wirepb.ForwardResponse) {
	if !f.Idempotent && !s.forwards.begin(f.RequestId, s.cfg.Now()) {
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
