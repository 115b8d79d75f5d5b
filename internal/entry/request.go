package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"sapphirering/internal/intake"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/target"
)

const (
	defaultDeadline = 10 * time.Second
	// answerWriteTimeout bounds how long a caller may take to read its answer.
	answerWriteTimeout = 30 * time.Second
)

// request is one admitted request.
type request struct {
	id    string
	team  string
	queue *statepb.Queue
	class statepb.Class
	// weight is the team's share weight.
	weight      uint32
	open        bool
	repeatable  bool
	body        []byte
	contentType string
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
	// The slot and the unit are released already: a caller that reads slowly
	// holds only this connection, and for at most answerWriteTimeout.
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	w.WriteHeader(answer.StatusCode)
	w.Write(answer.Body)
}

func requestID(r *http.Request) string { return r.Header.Get(target.HeaderRequestID) }

// admit checks queue, key, deadline and size.
func (s *Server) admit(r *http.Request) (*request, time.Duration, *Refusal) {
	queue, owner := s.cfg.Machine.Queue(mux.Vars(r)["queue"])
	if queue == nil && !s.Ready() {
		return nil, 0, refuse(http.StatusServiceUnavailable, ReasonStarting, "this entry VM has not caught up yet")
	}
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
		weight:     s.cfg.Machine.Document(team).GetShareWeight(),
		repeatable: r.Header.Get(HeaderRepeatable) != "no", contentType: r.Header.Get("Content-Type"),
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

// authenticate returns the team that the work is counted for: the owner of an
// open queue, otherwise the team of the key.
func (s *Server) authenticate(r *http.Request, queue *statepb.Queue, owner string) (string, *Refusal) {
	if queue.Open {
		return owner, nil
	}
	if !s.cfg.Holder.Live() {
		return "", refuse(http.StatusServiceUnavailable, ReasonCutOff, "this availability zone is cut off from the leader: keys cannot be checked")
	}
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	key := s.cfg.Machine.KeyBySecret(secret)
	if !ok || key == nil {
		return "", refuse(http.StatusUnauthorized, ReasonUnknownKey, "the Authorization header has no granted key")
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
			fmt.Sprintf("%s: %q is not a number from 1 to %d", target.HeaderDeadlineMS, text, queue.MaxDeadlineMs))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func readBody(r *http.Request) ([]byte, *Refusal) {
	body, err := intake.ReadBody(r, r.Body, MaxBodyBytes)
	switch {
	case err == nil:
		return body, nil
	case intake.Refused(err):
		return nil, refuse(http.StatusServiceUnavailable, ReasonOverload, "body: "+err.Error())
	case errors.Is(err, intake.ErrTooLarge):
		return nil, refuse(http.StatusRequestEntityTooLarge, ReasonTooLarge, fmt.Sprintf("body: more than %d bytes", MaxBodyBytes))
	default:
		return nil, refuse(http.StatusBadRequest, ReasonBadRequest, "body: "+err.Error())
	}
}

// execute runs an admitted request; a non-repeatable one under a claim.
func (s *Server) execute(ctx context.Context, req *request) (*target.Answer, *Refusal) {
	if req.repeatable {
		return s.runTries(ctx, req)
	}
	return s.runClaimed(ctx, req)
}

func bodyHash(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:]
}
