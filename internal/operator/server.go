// Package operator implements the operators' HTTP interface.
package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"sapphirering/internal/config"
	"sapphirering/internal/event"
	"sapphirering/internal/intake"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

// HeaderOperationID carries the UUIDv7 that makes a resend of a command idempotent.
const HeaderOperationID = "Sapphirering-Operation-Id"

const (
	maxBodyBytes   = 1 << 20
	requestTimeout = 10 * time.Second
	// statusTimeout is shorter than requestTimeout, so that there is time left to
	// answer from this daemon's own state when the leader does not.
	statusTimeout = 2 * time.Second
)

// Result codes that are written without an outcome of the state machine.
const (
	codeInvalid     = "invalid"
	codeNotFound    = "not-found"
	codeUnavailable = "unavailable"
)

// Cluster sends commands and questions to the leader.
type Cluster interface {
	Propose(ctx context.Context, command *statepb.Command) (*statepb.Outcome, error)
	InForce(ctx context.Context, index uint64) (*wirepb.InForceResponse, error)
	ChangeMember(ctx context.Context, action wirepb.MemberRequest_Action, member string) (uint64, error)
	Status(ctx context.Context) (*wirepb.StatusResponse, error)
	// Local describes this daemon without asking the leader.
	Local() LocalStatus
	// Explain returns the reasons that the leader keeps about an object.
	Explain(ctx context.Context, kind, id string) ([]string, error)
}

// LocalStatus is what one daemon knows about itself.
type LocalStatus struct {
	ClusterID string
	Name      string
	Zone      string
	// SessionLive is true while the daemon holds a session lease.
	SessionLive bool
	// RenewedAge is the time since the last successful renewal was sent.
	RenewedAge   time.Duration
	AppliedIndex uint64
	Leading      bool
}

// Config holds what a Server needs.
type Config struct {
	Machine *state.Machine
	Cluster Cluster
	// Keys are the operator keys that are accepted.
	Keys []config.OperatorKey
	// Ready returns false as soon as a shutdown begins.
	Ready func() bool
}

// hashedOperatorKey is the form of an operator key that the server holds in memory.
type hashedOperatorKey struct {
	name string
	hash [sha256.Size]byte
}

// Server answers operators' requests.
type Server struct {
	cfg  Config
	keys []hashedOperatorKey
	// timeout is the longest time to read and handle one request.
	timeout time.Duration
}

// NewServer returns a server that keeps only the hashes of the operator keys.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, timeout: requestTimeout}
	for _, key := range cfg.Keys {
		s.keys = append(s.keys, hashedOperatorKey{name: key.Name, hash: sha256.Sum256([]byte(key.Secret))})
	}
	s.cfg.Keys = nil
	return s
}

// Result is the JSON form of a command's outcome.
type Result struct {
	// Code is ok, invalid, conflict, not-found, refused, exists or unavailable.
	Code     string `json:"code"`
	Message  string `json:"message,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Index    uint64 `json:"index,omitempty"`
}

// Handler returns the operators' HTTP interface.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.Use(s.setDeadlines)
	r.NotFoundHandler = unroutedHandler{r}
	r.MethodNotAllowedHandler = unroutedHandler{r}
	r.HandleFunc("/healthz", serveAlive).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/readyz", s.serveReady).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/metrics", s.serveMetrics).Methods(http.MethodGet)
	v1 := r.PathPrefix("/v1").Subrouter()
	v1.NotFoundHandler, v1.MethodNotAllowedHandler = unroutedHandler{r}, unroutedHandler{r}
	v1.Use(s.authenticate)
	s.routeDocuments(v1)
	s.routeFleet(v1)
	s.routeJobs(v1)
	s.routeMembers(v1)
	v1.HandleFunc("/status", s.getStatus).Methods(http.MethodGet)
	v1.HandleFunc("/explain/{kind}/{id}", s.getExplanation).Methods(http.MethodGet)
	v1.HandleFunc("/in-force/{index}", s.getInForce).Methods(http.MethodGet)
	return r
}

func (s *Server) routeDocuments(v1 *mux.Router) {
	v1.HandleFunc("/documents", s.listDocuments).Methods(http.MethodGet)
	v1.HandleFunc("/documents/{team}", s.getDocument).Methods(http.MethodGet)
	v1.HandleFunc("/documents/{team}", s.putDocument).Methods(http.MethodPut)
	v1.HandleFunc("/documents/{team}", s.deleteDocument).Methods(http.MethodDelete)
	v1.HandleFunc("/keys", s.listKeys).Methods(http.MethodGet)
	v1.HandleFunc("/keys/{key}", s.putKey).Methods(http.MethodPut)
	v1.HandleFunc("/keys/{key}", s.deleteKey).Methods(http.MethodDelete)
}

func (s *Server) routeJobs(v1 *mux.Router) {
	v1.HandleFunc("/jobs", s.listJobs).Methods(http.MethodGet)
	v1.HandleFunc("/jobs/{job}", s.getJob).Methods(http.MethodGet)
	v1.HandleFunc("/jobs/{job}/cancel", s.cancelJob).Methods(http.MethodPost)
	v1.HandleFunc("/jobs/{job}/retry", s.retryJob).Methods(http.MethodPost)
}

// unroutedHandler answers requests that match no route. It finds the allowed methods itself:
// inside a subrouter, gorilla/mux loses a method mismatch as soon as a later route has the
// same prefix, and would answer 404.
type unroutedHandler struct{ router *mux.Router }

// ServeHTTP answers 405 when the path has a route with another method, else 404.
func (u unroutedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	allowed := u.allowedMethods(r)
	if len(allowed) == 0 {
		writeJSON(w, http.StatusNotFound, Result{Code: codeNotFound, Message: fmt.Sprintf("no such path: %.200s", r.URL.Path)})
		return
	}
	w.Header().Set("Allow", strings.Join(allowed, ", "))
	message := fmt.Sprintf("%.20s is not allowed on %.200s", r.Method, r.URL.Path)
	writeJSON(w, http.StatusMethodNotAllowed, Result{Code: codeInvalid, Message: message})
}

func (u unroutedHandler) allowedMethods(r *http.Request) []string {
	var methods []string
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost, http.MethodDelete} {
		probe := r.Clone(r.Context())
		probe.Method = method
		var match mux.RouteMatch
		if u.router.Match(probe, &match) && match.MatchErr == nil {
			methods = append(methods, method)
		}
	}
	return methods
}

func serveAlive(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) }

// serveReady answers 503 as soon as a shutdown begins, so that the load balancer stops sending
// requests. A daemon that is cut off from the leader stays ready, since it still serves open
// queues and statuses.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.cfg.Ready() {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	if !s.cfg.Cluster.Local().SessionLive {
		w.Write([]byte("ready; cut off from the leader, keyed work is refused as not run\n"))
		return
	}
	w.Write([]byte("ready\n"))
}

// setDeadlines ends connections of clients that send or read too slowly. The write deadline is
// twice the request timeout, so that an answer that is ready at the last moment can still be
// sent.
func (s *Server) setDeadlines(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		now := time.Now()
		// An error means a writer without a connection, which needs no deadline.
		_ = control.SetReadDeadline(now.Add(s.timeout))
		_ = control.SetWriteDeadline(now.Add(2 * s.timeout))
		next.ServeHTTP(w, r)
	})
}

type actorKey struct{}

// actorOf returns the name of the operator key that the request was sent with.
func actorOf(ctx context.Context) string {
	name, _ := ctx.Value(actorKey{}).(string)
	return name
}

// authenticate refuses requests without a known operator key and limits the time of the
// others.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		secret, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name, ok := s.findOperator(secret)
		if !ok {
			event.OperatorKeyUnknown.Emit(event.F("remote", r.RemoteAddr), event.F("method", r.Method))
			writeJSON(w, http.StatusUnauthorized, Result{Code: codeInvalid, Message: "the operator key is not known"})
			return
		}
		ctx, cancel := context.WithTimeout(context.WithValue(r.Context(), actorKey{}, name), s.timeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// findOperator compares with every key, so that the response time does not reveal which key is
// similar.
func (s *Server) findOperator(secret string) (name string, ok bool) {
	hash := sha256.Sum256([]byte(secret))
	for _, known := range s.keys {
		if subtle.ConstantTimeCompare(hash[:], known.hash[:]) == 1 {
			name, ok = known.name, true
		}
	}
	return name, ok
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}

func writeUnavailable(w http.ResponseWriter, err error) {
	writeJSON(w, http.StatusServiceUnavailable, Result{Code: codeUnavailable, Message: err.Error()})
}

func writeInvalid(w http.ResponseWriter, format string, args ...any) {
	writeJSON(w, http.StatusBadRequest, Result{Code: codeInvalid, Message: fmt.Sprintf(format, args...)})
}

// codeNames and codeStatus are the HTTP forms of outcome codes.
var (
	codeNames = map[statepb.Code]string{
		statepb.Code_CODE_OK: "ok", statepb.Code_CODE_INVALID: codeInvalid, statepb.Code_CODE_CONFLICT: "conflict",
		statepb.Code_CODE_NOT_FOUND: codeNotFound, statepb.Code_CODE_REFUSED: "refused", statepb.Code_CODE_EXISTS: "exists",
	}
	codeStatus = map[statepb.Code]int{
		statepb.Code_CODE_OK: http.StatusOK, statepb.Code_CODE_INVALID: http.StatusBadRequest,
		statepb.Code_CODE_CONFLICT: http.StatusConflict, statepb.Code_CODE_NOT_FOUND: http.StatusNotFound,
		statepb.Code_CODE_REFUSED: http.StatusUnprocessableEntity, statepb.Code_CODE_EXISTS: http.StatusOK,
	}
)

// propose commits the command under the operation id of the request. Every
// command is logged with its operator and its outcome.
func (s *Server) propose(w http.ResponseWriter, r *http.Request, command *statepb.Command) {
	command.OperationId = r.Header.Get(HeaderOperationID)
	command.Actor = actorOf(r.Context())
	if _, err := state.IDTime(command.OperationId); err != nil {
		writeInvalid(w, "%s: %v", HeaderOperationID, err)
		return
	}
	fields := []event.Field{
		event.F("actor", command.Actor), event.F("method", r.Method), event.F("path", r.URL.Path),
		event.F("operation", command.OperationId),
	}
	outcome, err := s.cfg.Cluster.Propose(r.Context(), command)
	if err != nil {
		event.OperatorOutcomeUnknown.Emit(append(fields, event.Err(err))...)
		writeUnavailable(w, fmt.Errorf("%w; resend it with the same %s", err, HeaderOperationID))
		return
	}
	event.OperatorCommand.Emit(append(fields, event.F("code", codeNames[outcome.Code]), event.F("index", outcome.Index))...)
	writeJSON(w, codeStatus[outcome.Code], Result{
		Code: codeNames[outcome.Code], Message: outcome.Message, Revision: outcome.Revision, Index: outcome.Index,
	})
}

// readBody decodes exactly one JSON value without unknown fields. When it cannot, it
// answers with the error and returns false.
func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := intake.ReadBody(r, r.Body, maxBodyBytes)
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err == nil {
		err = decoder.Decode(into)
	}
	if err == nil {
		if _, extra := decoder.Token(); !errors.Is(extra, io.EOF) {
			err = errors.New("more than one JSON value")
		}
	}
	switch {
	case err == nil:
		return true
	case intake.Refused(err):
		intake.SetRefusalHeaders(w, err)
		writeUnavailable(w, err)
	case errors.Is(err, intake.ErrTooLarge):
		message := fmt.Sprintf("body: larger than %d bytes", maxBodyBytes)
		writeJSON(w, http.StatusRequestEntityTooLarge, Result{Code: codeInvalid, Message: message})
	default:
		writeInvalid(w, "body: %v", err)
	}
	return false
}

// getStatus answers from this daemon's own state when the leader cannot be reached.
func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	view := viewLocal(s.cfg.Cluster.Local(), s.cfg.Machine)
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	status, err := s.cfg.Cluster.Status(ctx)
	if err != nil {
		view.CutOff = err.Error()
		writeJSON(w, http.StatusOK, view)
		return
	}
	view.addLeader(status)
	writeJSON(w, http.StatusOK, view)
}

func (s *Server) getInForce(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseUint(mux.Vars(r)["index"], 10, 64)
	if err != nil {
		writeInvalid(w, "index: %v", err)
		return
	}
	response, err := s.cfg.Cluster.InForce(r.Context(), index)
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	writeJSON(w, http.StatusOK, InForceView{InForce: response.InForce, Waiting: response.Waiting})
}
