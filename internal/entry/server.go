package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"sapphirering/internal/session"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/target"
	"sapphirering/internal/wire/wirepb"
)

// MaxBodyBytes bounds a request body.
const MaxBodyBytes = 8 << 20

// Proposer commits commands through the leader.
type Proposer interface {
	Propose(ctx context.Context, command *statepb.Command) (*statepb.Outcome, error)
}

// Forwarder hands a request to an entry VM of another zone. sent is false when
// nothing was sent, so that the work provably did not run.
type Forwarder interface {
	Forward(ctx context.Context, request *wirepb.ForwardRequest) (response *wirepb.ForwardResponse, sent bool, err error)
}

// Config holds what a Server needs.
type Config struct {
	Machine  *state.Machine
	Holder   *session.Holder
	Registry *target.Registry
	Client   *target.Client
	Proposer Proposer
	Forward  Forwarder
	Now      func() time.Time
}

// Server serves callers.
type Server struct {
	cfg     Config
	metrics *metrics
	waiting *waitCounts

	mu       sync.Mutex
	draining bool
	inFlight sync.WaitGroup
}

// NewServer returns a server.
func NewServer(cfg Config) *Server {
	return &Server{cfg: cfg, metrics: newMetrics(), waiting: newWaitCounts(cfg.Holder.Ledger())}
}

// Handler returns the callers' HTTP interface.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/queues/{queue}/requests", s.track(s.serveRequest)).Methods(http.MethodPost)
	r.HandleFunc("/v1/queues/{queue}/jobs", s.track(s.submitJob)).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs", s.listJobs).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs/cancel", s.track(s.cancelJobs)).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs/{job}", s.getJob).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs/{job}", s.track(s.cancelJob)).Methods(http.MethodDelete)
	r.HandleFunc("/readyz", s.serveReady).Methods(http.MethodGet)
	return r
}

// track refuses new work during a shutdown and counts what is in flight.
func (s *Server) track(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if s.draining {
			s.mu.Unlock()
			refuse(http.StatusServiceUnavailable, ReasonShutdown, "this entry VM is shutting down").write(w, "")
			return
		}
		s.inFlight.Add(1)
		s.mu.Unlock()
		defer s.inFlight.Done()
		next(w, r)
	}
}

// Ready reports whether the balancer may send callers here.
func (s *Server) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.draining
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ready\n"))
}

// Drain refuses new work and waits for what is in flight. It returns false
// when ctx ends first.
func (s *Server) Drain(ctx context.Context) bool {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	finished := make(chan struct{})
	go func() {
		s.inFlight.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return true
	case <-ctx.Done():
		return false
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}
