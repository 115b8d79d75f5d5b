// Package operator is the operators' HTTP interface.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

// HeaderOperationID carries the UUIDv7 that makes a resend of a command idempotent.
const HeaderOperationID = "Sapphirering-Operation-Id"

const (
	maxBodyBytes   = 1 << 20
	requestTimeout = 10 * time.Second
)

// Cluster reaches the leader.
type Cluster interface {
	Propose(ctx context.Context, command *statepb.Command) (*statepb.Outcome, error)
	InForce(ctx context.Context, index uint64) (*wirepb.InForceResponse, error)
	ChangeMember(ctx context.Context, action wirepb.MemberRequest_Action, member string) (uint64, error)
	Status(ctx context.Context) (*wirepb.StatusResponse, error)
	Explain(ctx context.Context, kind, id string) ([]string, error)
}

// Config holds what a Server needs.
type Config struct {
	Machine *state.Machine
	Cluster Cluster
	// Keys are the operators' secrets.
	Keys  []string
	Ready func() bool
}

// Server serves operators.
type Server struct {
	cfg    Config
	hashes [][sha256.Size]byte
}

// NewServer returns a server.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg}
	for _, key := range cfg.Keys {
		s.hashes = append(s.hashes, sha256.Sum256([]byte(key)))
	}
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
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	r.HandleFunc("/readyz", s.serveReady)
	r.HandleFunc("/metrics", serveMetrics)
	v1 := r.PathPrefix("/v1").Subrouter()
	v1.Use(s.authenticate)
	v1.HandleFunc("/documents", s.listDocuments).Methods(http.MethodGet)
	v1.HandleFunc("/documents/{team}", s.getDocument).Methods(http.MethodGet)
	v1.HandleFunc("/documents/{team}", s.putDocument).Methods(http.MethodPut)
	v1.HandleFunc("/documents/{team}", s.deleteDocument).Methods(http.MethodDelete)
	v1.HandleFunc("/keys", s.listKeys).Methods(http.MethodGet)
	v1.HandleFunc("/keys/{key}", s.putKey).Methods(http.MethodPut)
	v1.HandleFunc("/keys/{key}", s.deleteKey).Methods(http.MethodDelete)
	v1.HandleFunc("/pools", s.listPools).Methods(http.MethodGet)
	v1.HandleFunc("/pools/{pool}", s.putPool).Methods(http.MethodPut)
	v1.HandleFunc("/vms", s.listVMs).Methods(http.MethodGet)
	v1.HandleFunc("/jobs", s.listJobs).Methods(http.MethodGet)
	v1.HandleFunc("/jobs/{job}", s.getJob).Methods(http.MethodGet)
	v1.HandleFunc("/members/{member}", s.changeMember).Methods(http.MethodPost, http.MethodDelete)
	v1.HandleFunc("/status", s.getStatus).Methods(http.MethodGet)
	v1.HandleFunc("/explain/{kind}/{id}", s.getExplanation).Methods(http.MethodGet)
	v1.HandleFunc("/in-force/{index}", s.getInForce).Methods(http.MethodGet)
	return r
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.cfg.Ready() {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ready\n"))
}

// authenticate admits requests with an operator key and bounds their time.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		secret, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !s.known(secret) {
			write(w, http.StatusUnauthorized, Result{Code: "invalid", Message: "the operator key is not known"})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (s *Server) known(secret string) bool {
	hash := sha256.Sum256([]byte(secret))
	match := 0
	for _, known := range s.hashes {
		match |= subtle.ConstantTimeCompare(hash[:], known[:])
	}
	return match == 1
}

func write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}

func fail(w http.ResponseWriter, err error) {
	write(w, http.StatusServiceUnavailable, Result{Code: "unavailable", Message: err.Error()})
}

// codeNames and codeStatus are the HTTP forms of outcome codes.
var (
	codeNames = map[statepb.Code]string{
		statepb.Code_CODE_OK: "ok", statepb.Code_CODE_INVALID: "invalid", statepb.Code_CODE_CONFLICT: "conflict",
		statepb.Code_CODE_NOT_FOUND: "not-found", statepb.Code_CODE_REFUSED: "refused", statepb.Code_CODE_EXISTS: "exists",
	}
	codeStatus = map[statepb.Code]int{
		statepb.Code_CODE_OK: http.StatusOK, statepb.Code_CODE_INVALID: http.StatusBadRequest,
		statepb.Code_CODE_CONFLICT: http.StatusConflict, statepb.Code_CODE_NOT_FOUND: http.StatusNotFound,
		statepb.Code_CODE_REFUSED: http.StatusUnprocessableEntity, statepb.Code_CODE_EXISTS: http.StatusOK,
	}
)

// propose commits the command under the operation id of the request.
func (s *Server) propose(w http.ResponseWriter, r *http.Request, command *statepb.Command) {
	command.OperationId = r.Header.Get(HeaderOperationID)
	if _, err := state.IDTime(command.OperationId); err != nil {
		write(w, http.StatusBadRequest, Result{Code: "invalid", Message: fmt.Sprintf("%s: %v", HeaderOperationID, err)})
		return
	}
	outcome, err := s.cfg.Cluster.Propose(r.Context(), command)
	if err != nil {
		fail(w, fmt.Errorf("%w; resend it with the same %s", err, HeaderOperationID))
		return
	}
	write(w, codeStatus[outcome.Code], Result{
		Code: codeNames[outcome.Code], Message: outcome.Message, Revision: outcome.Revision, Index: outcome.Index,
	})
}

// readBody decodes a JSON body strictly; it answers and returns false when it cannot.
func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		write(w, http.StatusBadRequest, Result{Code: "invalid", Message: "body: " + err.Error()})
		return false
	}
	return true
}

func (s *Server) changeMember(w http.ResponseWriter, r *http.Request) {
	action := wirepb.MemberRequest_ACTION_PROMOTE
	if r.Method == http.MethodDelete {
		action = wirepb.MemberRequest_ACTION_REMOVE
	}
	index, err := s.cfg.Cluster.ChangeMember(r.Context(), action, mux.Vars(r)["member"])
	if err != nil {
		fail(w, err)
		return
	}
	write(w, http.StatusOK, Result{Code: "ok", Index: index})
}

func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	status, err := s.cfg.Cluster.Status(r.Context())
	if err != nil {
		fail(w, err)
		return
	}
	write(w, http.StatusOK, viewStatus(status))
}

func (s *Server) getInForce(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseUint(mux.Vars(r)["index"], 10, 64)
	if err != nil {
		write(w, http.StatusBadRequest, Result{Code: "invalid", Message: "index: " + err.Error()})
		return
	}
	response, err := s.cfg.Cluster.InForce(r.Context(), index)
	if err != nil {
		fail(w, err)
		return
	}
	write(w, http.StatusOK, InForceView{InForce: response.InForce, Waiting: response.Waiting})
}
