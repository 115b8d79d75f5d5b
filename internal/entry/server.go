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

const sweepInterval = 10 * time.Second

// Proposer commits commands through the leader.
type Proposer interface {
	Propose(ctx context.Context, command *statepb.Command) (*statepb.Outcome, error)
}

// Forwarder hands requests to entry VMs of other zones.
type Forwarder interface {
	// Room reports whether another zone may have a free slot of the pool.
	Room(pool string) bool
	// Forward tries other zones in turn. The response is nil when none took
	// the request; an error means that the work may have run.
	Forward(ctx context.Context, pool string, request *wirepb.ForwardRequest) (*wirepb.ForwardResponse, error)
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
	lines   *lines
	budget  *retryBudget

	forwards forwardLog
	// claims are the tries that may run, ending the ends on their way.
	claims, ending claimTries

	mu       sync.Mutex
	draining bool
	inFlight sync.WaitGroup
}

// NewServer returns a server.
func NewServer(cfg Config) *Server {
	s := &Server{
		cfg: cfg, metrics: newMetrics(), waiting: newWaitCounts(cfg.Holder.Ledger()), budget: newRetryBudget(),
	}
	s.lines = newLines(s)
	return s
}

// Run does the background work until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sweepClaims()
		}
	}
}

// Handler returns the callers' HTTP interface.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/queues/{queue}/requests", s.track(s.serveRequest)).Methods(http.MethodPost)
	r.HandleFunc("/v1/queues/{queue}/jobs", s.track(s.submitJob)).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs/{job}", s.getJob).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs/{job}", s.track(s.cancelJob)).Methods(http.MethodDelete)
	r.HandleFunc("/readyz", s.serveReady).Methods(http.MethodGet)
	return r
}

// track refuses new work during a shutdown and counts what is in flight.
func (s *Server) track(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.begin() {
			refuse(http.StatusServiceUnavailable, ReasonShutdown, "this entry VM is shutting down").write(w, "")
			return
		}
		defer s.inFlight.Done()
		next(w, r)
	}
}

// begin counts one piece of work in flight; false during a shutdown.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.inFlight.Add(1)
	return true
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
