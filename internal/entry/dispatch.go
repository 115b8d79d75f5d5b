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
	busyPause   = 50 * time.Millisecond
	suspectTime = 2 * time.Second
	maxTries    = 3
)

// run carries one admitted request through its tries.
type run struct {
	server *Server
	req    *request
	// unit is held from the first grant to the answer.
	unit  *session.Unit
	avoid map[string]bool
	// fresh asks for a new connection after a kept one went silent.
	fresh bool
	tries int
	// mayHaveRun is the failure of the first try that may have run. From then
	// on no refusal may call the request not run, whatever later tries prove.
	mayHaveRun error
}

// run waits for a place and tries targets of this zone and other zones until
// the deadline. Only a try that provably did not run, or a repeatable request
// within its team's retry budget, is tried again.
func (s *Server) run(ctx context.Context, req *request) (*target.Answer, *Refusal) {
	r := &run{server: s, req: req, avoid: make(map[string]bool)}
	defer r.release()
	for {
		p, refusal := s.lines.wait(ctx, req, r.unit, r.avoid)
		if refusal != nil {
			return nil, r.refusal(refusal)
		}
		r.unit = p.unit
		answer, err := r.try(ctx, p)
		if err == nil {
			s.budget.earn(req.team)
			return answer, nil
		}
		if !errors.Is(err, target.ErrNotRun) {
			r.keepUnit(ctx)
			r.mayHaveRun = cmp.Or(r.mayHaveRun, err)
		}
		if ctx.Err() != nil || !r.mayRetry(err) {
			return nil, r.refusal(lost(err))
		}
	}
}

// refusal returns what the caller is told, over all tries.
func (r *run) refusal(last *Refusal) *Refusal {
	if r.mayHaveRun != nil && last.Outcome == OutcomeNotRun {
		return lost(r.mayHaveRun)
	}
	return last
}

// release gives the unit back.
func (r *run) release() {
	if r.unit != nil {
		r.unit.Release()
		r.server.lines.wake()
	}
}

// keepUnit keeps the unit until work whose outcome is unknown is surely over:
// giving it back at once would let the team run above its upper limit.
func (r *run) keepUnit(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	unit, server := r.unit, r.server
	r.unit = nil
	time.AfterFunc(time.Until(deadline)+target.LateRunMargin, func() {
		unit.Release()
		server.lines.wake()
	})
}

// mayRetry decides whether the request is tried again after err.
func (r *run) mayRetry(err error) bool {
	if errors.As(err, new(*target.BusyError)) || errors.Is(err, errZoneRefused) {
		return true
	}
	r.tries++
	if r.tries >= maxTries {
		return false
	}
	if errors.Is(err, target.ErrNotRun) {
		return true
	}
	return r.req.repeatable && r.server.budget.spend(r.req.team)
}

// lost tells whether the work may have run.
func lost(err error) *Refusal {
	if errors.Is(err, target.ErrNotRun) {
		return refuse(http.StatusServiceUnavailable, ReasonLost, err.Error())
	}
	refusal := refuse(http.StatusBadGateway, ReasonLost, err.Error())
	refusal.Outcome = OutcomeUnknown
	return refusal
}

func (r *run) try(ctx context.Context, p *place) (*target.Answer, error) {
	ran := false
	defer func() { r.server.lines.end(p, ran) }()
	if p.slot == nil {
		answer, err := r.server.forward(ctx, r.req)
		ran = err == nil
		return answer, err
	}
	answer, err := r.server.tryTarget(ctx, r.req, p.slot, r.fresh)
	ran = err == nil
	switch {
	case err == nil || errors.As(err, new(*target.BusyError)):
	case r.fresh || errors.Is(err, target.ErrNotRun):
		r.avoid[p.slot.VM] = true
	default:
		// The kept connection is suspect, not the target.
		r.fresh = true
	}
	return answer, err
}

// tryTarget sends the request to the slot's target. Requests that may run once
// go over a connection of their own, which has just shown that it works.
func (s *Server) tryTarget(ctx context.Context, req *request, slot *target.Slot, fresh bool) (*target.Answer, error) {
	fresh = fresh || !req.repeatable
	answer, err := s.cfg.Client.Run(ctx, slot, target.Request{
		ID: req.id, Team: req.team, Queue: req.queue.Name, Class: config.ClassName(req.class),
		ContentType: req.mediaType, Body: req.body, Fresh: fresh,
	})
	switch {
	case err == nil:
		slot.Observe(answer.StatusCode >= http.StatusInternalServerError)
	case errors.As(err, new(*target.BusyError)):
		slot.MarkBusy(busyPause)
	case ctx.Err() == nil && (fresh || errors.Is(err, target.ErrNotRun)):
		// Only what fails on a new connection speaks against the target.
		slot.Observe(true)
		slot.MarkSuspect(suspectTime)
	}
	return answer, err
}

// errZoneRefused means that no other zone took the request.
var errZoneRefused = fmt.Errorf("no other availability zone took the request: %w", target.ErrNotRun)

// forward hands the request to an entry VM of another zone.
func (s *Server) forward(ctx context.Context, req *request) (*target.Answer, error) {
	deadline, _ := ctx.Deadline()
	response, err := s.cfg.Forward.Forward(ctx, req.queue.Pool, &wirepb.ForwardRequest{
		RequestId: req.id, Queue: req.queue.Name, Team: req.team, Class: req.class,
		DeadlineMs: uint32(max(1, time.Until(deadline).Milliseconds())),
		Body:       req.body, ContentType: req.mediaType, Idempotent: req.repeatable,
	})
	if err != nil {
		return nil, err
	}
	if response == nil {
		return nil, errZoneRefused
	}
	if response.RequestId != req.id || !response.Answered {
		return nil, fmt.Errorf("forward: %s", response.Reason)
	}
	return &target.Answer{
		StatusCode: int(response.StatusCode), ContentType: response.ContentType, Body: response.Body,
	}, nil
}
