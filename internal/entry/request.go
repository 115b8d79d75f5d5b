package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"sapphirering/internal/config"
	"sapphirering/internal/session"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/target"
	"sapphirering/internal/wire/wirepb"
)

const (
	defaultDeadline = 10 * time.Second
	// retryPause spaces looks for a free unit or slot.
	retryPause  = 20 * time.Millisecond
	busyPause   = 50 * time.Millisecond
	suspectTime = 2 * time.Second
	maxTries    = 3
)

// request is one admitted request.
type request struct {
	id         string
	team       string
	queue      *statepb.Queue
	class      statepb.Class
	open       bool
	repeatable bool
	body       []byte
	mediaType  string
}

// serveRequest serves one request from admission to its whole answer.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	started := s.cfg.Now()
	req, deadline, refusal := s.admit(r)
	if refusal != nil {
		refusal.write(w, requestID(r))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	defer cancel()
	answer, refusal := s.execute(ctx, req)
	w.Header().Set(target.HeaderRequestID, req.id)
	if refusal != nil {
		s.metrics.observe(req, refusal.Outcome, s.cfg.Now().Sub(started))
		refusal.write(w, req.id)
		return
	}
	s.metrics.observe(req, OutcomeAnswered, s.cfg.Now().Sub(started))
	writeAnswer(w, answer)
}

func writeAnswer(w http.ResponseWriter, answer *target.Answer) {
	w.Header().Set(HeaderOutcome, OutcomeAnswered)
	w.Header().Set("Content-Type", answer.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.StatusCode)
	w.Write(answer.Body)
}

func requestID(r *http.Request) string { return r.Header.Get(target.HeaderRequestID) }

// admit checks queue, key, deadline and size.
func (s *Server) admit(r *http.Request) (*request, time.Duration, *Refusal) {
	queue, owner := s.cfg.Machine.Queue(mux.Vars(r)["queue"])
	if queue == nil {
		return nil, 0, refuse(http.StatusNotFound, ReasonUnknownQueue, fmt.Sprintf("queue %q does not exist", mux.Vars(r)["queue"]))
	}
	team, refusal := s.authenticate(r, queue, owner)
	if refusal != nil {
		return nil, 0, refusal
	}
	deadline, refusal := readDeadline(r, queue)
	if refusal != nil {
		return nil, 0, refusal
	}
	req := &request{
		id: requestID(r), team: team, queue: queue, class: queue.Class, open: queue.Open,
		repeatable: r.Header.Get(HeaderRepeatable) != "no", mediaType: r.Header.Get("Content-Type"),
	}
	if req.id == "" {
		req.id = state.NewID()
		if !req.repeatable {
			return nil, 0, refuse(http.StatusBadRequest, ReasonBadRequest, target.HeaderRequestID+": a request that is not repeatable needs a UUIDv7")
		}
	}
	req.body, refusal = readBody(r)
	return req, deadline, refusal
}

// authenticate returns the team that the work counts for.
func (s *Server) authenticate(r *http.Request, queue *statepb.Queue, owner string) (string, *Refusal) {
	if queue.Open {
		return owner, nil
	}
	if !s.cfg.Holder.Live() {
		return "", refuse(http.StatusServiceUnavailable, ReasonCutOff, "this availability zone is cut off: keys cannot be checked")
	}
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	key := s.cfg.Machine.KeyBySecret(secret)
	if !ok || key == nil {
		return "", refuse(http.StatusUnauthorized, ReasonUnknownKey, "the key is not granted")
	}
	if key.Team != owner && !slices.Contains(queue.AdmittedTeams, key.Team) {
		return "", refuse(http.StatusForbidden, ReasonNotAdmitted, fmt.Sprintf("team %q is not admitted to queue %q", key.Team, queue.Name))
	}
	return key.Team, nil
}

func readDeadline(r *http.Request, queue *statepb.Queue) (time.Duration, *Refusal) {
	longest := time.Duration(queue.MaxDeadlineMs) * time.Millisecond
	text := r.Header.Get(target.HeaderDeadlineMS)
	if text == "" {
		return min(defaultDeadline, longest), nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || ms == 0 || ms > uint64(queue.MaxDeadlineMs) {
		return 0, refuse(http.StatusBadRequest, ReasonBadRequest,
			fmt.Sprintf("%s: %q is not within 1 and %d", target.HeaderDeadlineMS, text, queue.MaxDeadlineMs))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func readBody(r *http.Request) ([]byte, *Refusal) {
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBodyBytes+1))
	if err != nil {
		return nil, refuse(http.StatusBadRequest, ReasonBadRequest, "body: "+err.Error())
	}
	if len(body) > MaxBodyBytes {
		return nil, refuse(http.StatusRequestEntityTooLarge, ReasonTooLarge, fmt.Sprintf("body: more than %d bytes", MaxBodyBytes))
	}
	return body, nil
}

// execute runs an admitted request; a non-repeatable one under a claim.
func (s *Server) execute(ctx context.Context, req *request) (*target.Answer, *Refusal) {
	if req.repeatable {
		return s.run(ctx, req)
	}
	return s.runClaimed(ctx, req)
}

// run waits for a unit of the team and dispatches.
func (s *Server) run(ctx context.Context, req *request) (*target.Answer, *Refusal) {
	unit, refusal := s.waitUnit(ctx, req)
	if refusal != nil {
		return nil, refusal
	}
	defer unit.Release()
	return s.dispatch(ctx, req)
}

// waitUnit waits until the team's reservation has room.
func (s *Server) waitUnit(ctx context.Context, req *request) (*session.Unit, *Refusal) {
	if s.waiting.of(req.team) >= req.queue.MaxQueued {
		return nil, refuse(http.StatusTooManyRequests, ReasonOverload, fmt.Sprintf("queue %q is full", req.queue.Name))
	}
	done := s.waiting.add(req.team, req.class == statepb.Class_CLASS_URGENT)
	defer done()
	for {
		if unit := s.cfg.Holder.Ledger().Acquire(req.team, req.open); unit != nil {
			return unit, nil
		}
		select {
		case <-ctx.Done():
			return nil, refuse(http.StatusServiceUnavailable, ReasonDeadline, "no unit of the team's upper limit became free before the deadline")
		case <-time.After(retryPause):
		}
	}
}

// dispatch tries targets of this zone, then other zones, until the deadline.
// Only a try that provably did not run, or a repeatable request, is tried again.
func (s *Server) dispatch(ctx context.Context, req *request) (*target.Answer, *Refusal) {
	avoid := make(map[string]bool)
	for tries := 0; ; {
		slot := s.cfg.Registry.Take(target.Need{Pool: req.queue.Pool, Avoid: avoid, Probe: req.repeatable})
		if slot == nil {
			answer, refusal := s.spill(ctx, req)
			if answer != nil || refusal != nil {
				return answer, refusal
			}
			if !s.waitSlot(ctx) {
				return nil, refuse(http.StatusServiceUnavailable, ReasonNoTarget, fmt.Sprintf("no target of pool %q had a free slot before the deadline", req.queue.Pool))
			}
			continue
		}
		answer, err := s.tryTarget(ctx, req, slot)
		if err == nil {
			return answer, nil
		}
		notRun := errors.Is(err, target.ErrNotRun)
		var busy *target.BusyError
		if !errors.As(err, &busy) {
			avoid[slot.VM] = true
			tries++
		}
		if ctx.Err() != nil || tries >= maxTries || !notRun && !req.repeatable {
			return nil, lost(err, notRun)
		}
	}
}

// lost tells whether the work may have run.
func lost(err error, notRun bool) *Refusal {
	refusal := refuse(http.StatusBadGateway, ReasonLost, err.Error())
	if !notRun {
		refusal.Outcome = OutcomeUnknown
	}
	return refusal
}

func (s *Server) tryTarget(ctx context.Context, req *request, slot *target.Slot) (*target.Answer, error) {
	defer slot.Release()
	answer, err := s.cfg.Client.Run(ctx, slot, target.Request{
		ID: req.id, Team: req.team, Queue: req.queue.Name, Class: config.ClassName(req.class),
		ContentType: req.mediaType, Body: req.body,
	})
	if err == nil {
		return answer, nil
	}
	var busy *target.BusyError
	if errors.As(err, &busy) {
		slot.MarkBusy(busyPause)
	} else if ctx.Err() == nil {
		slot.MarkSuspect(suspectTime)
	}
	return nil, err
}

// waitSlot waits until a slot may be free; false when ctx ended.
func (s *Server) waitSlot(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.cfg.Registry.Changed():
	case <-time.After(retryPause):
	}
	return ctx.Err() == nil
}

// spill hands the request to an entry VM of another zone. Both results are nil
// when none took it and the work did not run.
func (s *Server) spill(ctx context.Context, req *request) (*target.Answer, *Refusal) {
	if s.cfg.Forward == nil {
		return nil, nil
	}
	deadline, _ := ctx.Deadline()
	response, sent, err := s.cfg.Forward.Forward(ctx, &wirepb.ForwardRequest{
		RequestId: req.id, Queue: req.queue.Name, Team: req.team, Class: req.class,
		DeadlineMs: uint32(max(1, time.Until(deadline).Milliseconds())),
		Body:       req.body, ContentType: req.mediaType, Idempotent: req.repeatable,
	})
	if err != nil {
		if !sent || req.repeatable && ctx.Err() == nil {
			return nil, nil
		}
		return nil, lost(err, false)
	}
	if response.NotRun {
		return nil, nil
	}
	if !response.Answered || response.RequestId != req.id {
		return nil, lost(errors.New(response.Reason), false)
	}
	return &target.Answer{
		StatusCode: int(response.StatusCode), ContentType: response.ContentType, Body: response.Body,
	}, nil
}

// ServeForward runs a request of another entry VM on a target of this zone.
// The sender holds the unit of the upper limit.
func (s *Server) ServeForward(ctx context.Context, f *wirepb.ForwardRequest) *wirepb.ForwardResponse {
	out := &wirepb.ForwardResponse{RequestId: f.RequestId, NotRun: true}
	queue, _ := s.cfg.Machine.Queue(f.Queue)
	if queue == nil {
		out.Reason = fmt.Sprintf("queue %q does not exist here yet", f.Queue)
		return out
	}
	slot := s.cfg.Registry.Take(target.Need{Pool: queue.Pool, Probe: f.Idempotent})
	if slot == nil {
		out.Reason = "no free slot"
		return out
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(f.DeadlineMs)*time.Millisecond)
	defer cancel()
	answer, err := s.tryTarget(ctx, &request{
		id: f.RequestId, team: f.Team, queue: queue, class: f.Class, body: f.Body, mediaType: f.ContentType,
	}, slot)
	if err != nil {
		out.NotRun = errors.Is(err, target.ErrNotRun)
		out.Reason = err.Error()
		return out
	}
	out.NotRun, out.Answered = false, true
	out.StatusCode, out.Body, out.ContentType = uint32(answer.StatusCode), answer.Body, answer.ContentType
	return out
}

func bodyHash(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:]
}
