// Package operator is the operators' HTTP interface.
package operator

import (
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
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

// HeaderOperationID carries the UUIDv7 that makes a resend of a command idempotent.
const HeaderOperationID = "Sapphirering-Operation-Id"

const (
	maxBodyBytes   = 1 << 20
	requestTimeout = 10 * time.Second
	// statusTimeout leaves time to answer with what this daemon knows itself.
	statusTimeout = 2 * time.Second
)

// Result codes beside those of the state machine.
const (
	codeInvalid     = "invalid"
	codeNotFound    = "not-found"
	codeUnavailable = "unavailable"
)

// Cluster reaches the leader.
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

// LocalStatus is what one daemon knows of itself.
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
	// Keys admit operators.
	Keys []config.OperatorKey
	// Ready turns false when a shutdown begins.
	Ready func() bool
}

// operatorHash is the stored form of an operator key.
type operatorHash struct {
	name string
	hash [sha256.Size]byte
}

// Server serves operators.
type Server struct {
	cfg  Config
	keys []operatorHash
	// timeout bounds one request with its body and its answer.
	timeout time.Duration
}

// NewServer returns a server.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, timeout: requestTimeout}
	for _, key := range cfg.Keys {
		s.keys = append(s.keys, operatorHash{name: key.Name, hash: sha256.Sum256([]byte(key.Secret))})
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
	r.Use(s.bound)
	r.NotFoundHandler = unrouted{r}
	r.MethodNotAllowedHandler = unrouted{r}
	r.HandleFunc("/healthz", serveAlive).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/readyz", s.serveReady).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/metrics", s.serveMetrics).Methods(http.MethodGet)
	v1 := r.PathPrefix("/v1").Subrouter()
	v1.NotFoundHandler, v1.MethodNotAllowedHandler = unrouted{r}, unrouted{r}
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

// unrouted answers requests that no route takes. It finds the allowed methods
// itself: inside a subrouter, mux forgets a method mismatch as soon as a later
// route shares the prefix, and would answer 404.
type unrouted struct{ router *mux.Router }

// ServeHTTP answers 405 when another method is routed, else 404.
func (u unrouted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	allowed := u.allowed(r)
	if len(allowed) == 0 {
		write(w, http.StatusNotFound, Result{Code: codeNotFound, Message: fmt.Sprintf("no such path: %.200s", r.URL.Path)})
		return
	}
	w.Header().Set("Allow", strings.Join(allowed, ", "))
	message := fmt.Sprintf("%.20s is not allowed on %.200s", r.Method, r.URL.Path)
	write(w, http.StatusMethodNotAllowed, Result{Code: codeInvalid, Message: message})
}

func (u unrouted) allowed(r *http.Request) []string {
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

// serveReady turns first when a shutdown begins, so that the balancer leaves.
// A daemon that is cut off stays ready: open queues and statuses go on.
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

// bound ends connections of clients that send or read too slowly. Twice the
// request's time leaves an answer that came at the last moment its own.
func (s *Server) bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		now := time.Now()
		// Errors mean a writer without a connection, which needs no bound.
		_ = control.SetReadDeadline(now.Add(s.timeout))
		_ = control.SetWriteDeadline(now.Add(2 * s.timeout))
		next.ServeHTTP(w, r)
	})
}

type actorKey struct{}

// actorOf returns the name of the operator key that a request came with.
func actorOf(ctx context.Context) string {
	name, _ := ctx.Value(actorKey{}).(string)
	return name
}

// authenticate admits requests with an operator key and bounds their time.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		secret, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name, ok := s.operatorOf(secret)
		if !ok {
			event.OperatorUnknown.Emit(event.F("remote", r.RemoteAddr), event.F("method", r.Method))
			write(w, http.StatusUnauthorized, Result{Code: codeInvalid, Message: "the operator key is not known"})
			return
		}
		ctx, cancel := context.WithTimeout(context.WithValue(r.Context(), actorKey{}, name), s.timeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// operatorOf compares with every key, so that the time tells nothing about which one is near.
func (s *Server) operatorOf(secret string) (name string, ok bool) {
	hash := sha256.Sum256([]byte(secret))
	for _, known := range s.keys {
		if subtle.ConstantTimeCompare(hash[:], known.hash[:]) == 1 {
			name, ok = known.name, true
		}
	}
	return name, ok
}

func write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}

func fail(w http.ResponseWriter, err error) {
	write(w, http.StatusServiceUnavailable, Result{Code: codeUnavailable, Message: err.Error()})
}

func refuseInvalid(w http.ResponseWriter, format string, args ...any) {
	write(w, http.StatusBadRequest, Result{Code: codeInvalid, Message: fmt.Sprintf(format, args...)})
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
// decided command is logged with its operator.
func (s *Server) propose(w http.ResponseWriter, r *http.Request, command *statepb.Command) {
	command.OperationId = r.Header.Get(HeaderOperationID)
	command.Actor = actorOf(r.Context())
	if _, err := state.IDTime(command.OperationId); err != nil {
		refuseInvalid(w, "%s: %v", HeaderOperationID, err)
		return
	}
	fields := []event.Field{
		event.F("actor", command.Actor), event.F("method", r.Method), event.F("path", r.URL.Path),
		event.F("operation", command.OperationId),
	}
	outcome, err := s.cfg.Cluster.Propose(r.Context(), command)
	if err != nil {
		event.OperatorLost.Emit(append(fields, event.Err(err))...)
		fail(w, fmt.Errorf("%w; resend it with the same %s", err, HeaderOperationID))
		return
	}
	event.OperatorCommand.Emit(append(fields, event.F("code", codeNames[outcome.Code]), event.F("index", outcome.Index))...)
	write(w, codeStatus[outcome.Code], Result{
		Code: codeNames[outcome.Code], Message: outcome.Message, Revision: outcome.Revision, Index: outcome.Index,
	})
}

// readBody decodes one JSON value strictly; it answers and returns false when it cannot.
func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		if _, extra := decoder.Token(); !errors.Is(extra, io.EOF) {
			err = errors.New("more than one JSON value")
		}
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &tooLarge):
		message := fmt.Sprintf("body: larger than %d bytes", maxBodyBytes)
		write(w, http.StatusRequestEntityTooLarge, Result{Code: codeInvalid, Message: message})
	default:
		refuseInvalid(w, "body: %v", err)
	}
	return false
}

// getStatus answers with what this daemon knows when the leader is out of reach.
func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	view := viewLocal(s.cfg.Cluster.Local(), s.cfg.Machine)
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	status, err := s.cfg.Cluster.Status(ctx)
	if err != nil {
		view.CutOff = err.Error()
		write(w, http.StatusOK, view)
		return
	}
	view.addLeader(status)
	write(w, http.StatusOK, view)
}

func (s *Server) getInForce(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseUint(mux.Vars(r)["index"], 10, 64)
	if err != nil {
		refuseInvalid(w, "index: %v", err)
		return
	}
	response, err := s.cfg.Cluster.InForce(r.Context(), index)
	if err != nil {
		fail(w, err)
		return
	}
	write(w, http.StatusOK, InForceView{InForce: response.InForce, Waiting: response.Waiting})
}
