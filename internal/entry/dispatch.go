package entry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"sapphirering/internal/config"
	"sapphirering/internal/session"
	"sapphirering/internal/target"
	"sapphirering/internal/wire/wirepb"
)

const (
	// busyBackoff holds back dispatch to a target that refused a request.
	busyBackoff = 50 * time.Millisecond
	// suspectBackoff holds back dispatch to a target that failed.
	suspectBackoff = 2 * time.Second
	// maxTries bounds the failed tries of a request, not counting refusals by
	// busy targets and other zones.
	maxTries = 3
)

// execution is the state of one admitted request over all its tries.
type execution struct {
	server *Server
	req    *request
	// unit is held from the first grant to the answer.
	unit *session.Unit
	// avoidVMs names the VMs whose targets failed in earlier tries.
	avoidVMs map[string]bool
	// freshConn asks for a new connection after a kept-alive one failed or
	// went silent.
	freshConn bool
	tries     int
	// mayHaveRun is the error of the first try that may have run. From then on
	// the outcome cannot be OutcomeNotRun, whatever later tries prove.
	mayHaveRun error
}

// runTries waits for a unit and a slot and tries targets of this zone and other
// zones until the deadline. It tries again only after a try that provably did
// not run, or if the request is repeatable and its team has retry budget left.
func (s *Server) runTries(ctx context.Context, req *request) (*target.Answer, *Refusal) {
	e := &execution{server: s, req: req, avoidVMs: make(map[string]bool)}
	defer e.releaseUnit()
	for {
		alloc, refusal := s.queues.wait(ctx, req, e.unit, e.avoidVMs)
		if refusal != nil {
			return nil, e.finalRefusal(refusal)
		}
		e.unit = alloc.unit
		answer, err := e.try(ctx, alloc)
		if err == nil {
			s.retryBudget.earn(req.team)
			return answer, nil
		}
		if !errors.Is(err, target.ErrNotRun) {
			e.releaseUnitAfterDeadline(ctx)
			e.mayHaveRun = cmp.Or(e.mayHaveRun, err)
		}
		if ctx.Err() != nil || !e.mayRetry(err) {
			return nil, e.finalRefusal(lostRefusal(err))
		}
	}
}

// finalRefusal returns the refusal that holds for all tries, given the last one.
func (e *execution) finalRefusal(last *Refusal) *Refusal {
	if e.mayHaveRun != nil && last.Outcome == OutcomeNotRun {
		return lostRefusal(e.mayHaveRun)
	}
	return last
}

// releaseUnit releases the unit, if one is held, and grants waiting requests.
func (e *execution) releaseUnit() {
	if e.unit != nil {
		e.unit.Release()
		e.server.queues.grantWaiting()
	}
}

// releaseUnitAfterDeadline keeps the unit until work whose outcome is unknown
// has certainly ended, target.LateRunMargin after the deadline. Releasing it at
// once would let the team run above its upper limit.
func (e *execution) releaseUnitAfterDeadline(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	unit, server := e.unit, e.server
	e.unit = nil
	time.AfterFunc(time.Until(deadline)+target.LateRunMargin, func() {
		unit.Release()
		server.queues.grantWaiting()
	})
}

// mayRetry reports whether the request may be tried again after err. It counts
// the try and spends retry budget.
func (e *execution) mayRetry(err error) bool {
	if errors.As(err, new(*target.BusyError)) || errors.Is(err, errForwardRefused) {
		return true
	}
	e.tries++
	if e.tries >= maxTries {
		return false
	}
	if errors.Is(err, target.ErrNotRun) {
		return true
	}
	return e.req.repeatable && e.server.retryBudget.spend(e.req.team)
}

// lostRefusal returns the refusal for a failed try: its outcome is unknown
// unless err proves that the work did not run.
func lostRefusal(err error) *Refusal {
	if errors.Is(err, target.ErrNotRun) {
		return refuse(http.StatusServiceUnavailable, ReasonLost, err.Error())
	}
	refusal := refuse(http.StatusBadGateway, ReasonLost, err.Error())
	refusal.Outcome = OutcomeUnknown
	return refusal
}

func (e *execution) try(ctx context.Context, alloc *allocation) (*target.Answer, error) {
	ran := false
	defer func() { e.server.queues.finish(alloc, ran) }()
	if alloc.slot == nil {
		answer, err := e.server.forward(ctx, e.req)
		ran = err == nil
		return answer, err
	}
	answer, err := e.server.tryTarget(ctx, e.req, alloc.slot, e.freshConn)
	ran = err == nil
	switch {
	case err == nil || errors.As(err, new(*target.BusyError)):
	case e.freshConn || errors.Is(err, target.ErrNotRun):
		e.avoidVMs[alloc.slot.VM] = true
	default:
		// The kept-alive connection is suspect, not the target.
		e.freshConn = true
	}
	return answer, err
}

// tryTarget sends the request to the slot's target. A non-repeatable request
// gets a new connection, which has just shown that it works.
func (s *Server) tryTarget(ctx context.Context, req *request, slot *target.Slot, fresh bool) (*target.Answer, error) {
	fresh = fresh || !req.repeatable
	answer, err := s.cfg.Client.Run(ctx, slot, target.Request{
		ID: req.id, Team: req.team, Queue: req.queue.Name, Class: config.ClassName(req.class),
		ContentType: req.contentType, Body: req.body, Fresh: fresh,
	})
	switch {
	case err == nil:
		slot.Observe(answer.StatusCode >= http.StatusInternalServerError)
	case errors.As(err, new(*target.BusyError)):
		slot.MarkBusy(busyBackoff)
	case ctx.Err() == nil && (fresh || errors.Is(err, target.ErrNotRun)):
		// A failure counts against the target only on a new connection or if
		// the work provably did not run.
		slot.Observe(true)
		slot.MarkSuspect(suspectBackoff)
	}
	return answer, err
}

// errForwardRefused means that no other zone took the request.
var errForwardRefused = fmt.Errorf("no other availability zone took the request: %w", target.ErrNotRun)

// forward hands the request to an entry VM of another zone.
func (s *Server) forward(ctx context.Context, req *request) (*target.Answer, error) {
	deadline, _ := ctx.Deadline()
	response, err := s.cfg.Forward.Forward(ctx, req.queue.Pool, &wirepb.ForwardRequest{
		RequestId: req.id, Queue: req.queue.Name, Team: req.team, Class: req.class,
		DeadlineMs: uint32(max(1, time.Until(deadline).Milliseconds())),
		Body:       req.body, ContentType: req.contentType, Idempotent: req.repeatable,
	})
	if err != nil {
		return nil, err
	}
	if response == nil {
		return nil, errForwardRefused
	}
	if response.RequestId != req.id || !response.Answered {
		return nil, fmt.Errorf("forward: %s", response.Reason)
	}
	return &target.Answer{
		StatusCode: int(response.StatusCode), ContentType: response.ContentType, Body: response.Body,
	}, nil
}
