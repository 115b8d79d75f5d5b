package entry

import (
	"context"
	"encoding/json"
	"io"
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

const (
	sweepInterval = 10 * time.Second
	// catchUpTime is how long a start waits for its first session at most.
	catchUpTime = 10 * time.Second
	// bodyTimeout bounds how long a caller may take to send its body.
	bodyTimeout = 30 * time.Second
)

// Proposer commits commands through the leader.
type Proposer interface {
	Propose(ctx context.Context, command *statepb.Command) (*statepb.Outcome, error)
}

// Forwarder hands requests to entry VMs of other zones.
type Forwarder interface {
	// MayHaveFreeSlot reports whether another zone may have a free slot of the pool.
	MayHaveFreeSlot(pool string) bool
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
	metrics *requestMetrics
	waiting *waitCounts
	lines   *lines
	budget  *retryBudget

	forwards forwardLog
	// claims are the tries that may run, ending the ends on their way.
	claims, ending claimTries

	mu sync.Mutex
	// leaving turns readiness off; draining refuses new work.
	leaving  bool
	draining bool
	// caughtUp is true once the state here was as new as a session's opening.
	caughtUp bool
	started  time.Time
	inFlight flight
}

// NewServer returns a server.
func NewServer(cfg Config) *Server {
	s := &Server{
		cfg: cfg, started: cfg.Now(), metrics: newMetrics(), waiting: newWaitCounts(cfg.Holder.Ledger()), budget: newRetryBudget(),
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
		if s.isLeaving() {
			// Callers that keep the connection open come back through the balancer.
			w.Header().Set("Connection", "close")
		}
		if !s.begin() {
			refuse(http.StatusServiceUnavailable, ReasonShutdown, "this entry VM is shutting down").write(w, "")
			return
		}
		defer s.inFlight.Done()
		limitBody(w, r)
		next(w, r)
	}
}

// limitBody bounds how long the caller takes to send its body. The bound ends
// with the body: the server would cancel the request when it runs out later.
func limitBody(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(bodyTimeout))
	r.Body = &timedBody{ReadCloser: r.Body, control: control}
}

type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read ends the bound with the end of the body.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// begin counts one piece of work in flight; false during a shutdown.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.inFlight.Add()
	return true
}

// Ready reports whether the balancer may send callers here.
func (s *Server) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaving && s.current()
}

// current reports whether this daemon has caught up since its start: before
// its first live session it may not know queues that are in force. In a zone
// that is cut off there is no session to wait for, and what is known serves.
// The caller holds s.mu.
func (s *Server) current() bool {
	if s.caughtUp {
		return true
	}
	late := s.cfg.Now().Sub(s.started) > catchUpTime && s.cfg.Machine.Index() > 0
	s.caughtUp = late || s.cfg.Holder.Live()
	return s.caughtUp
}

// BeginShutdown turns readiness off; requests are still taken.
func (s *Server) BeginShutdown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// InFlight returns how many pieces of work are in flight.
func (s *Server) InFlight() int { return s.inFlight.count() }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		http.Error(w, "not ready: starting or shutting down", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ready\n"))
}

// Drain refuses new work and waits for what is in flight. It returns false
// when ctx ends first.
func (s *Server) Drain(ctx context.Context) bool {
	s.mu.Lock()
	s.leaving, s.draining = true, true
	s.mu.Unlock()
	select {
	case <-s.inFlight.idle():
		return true
	case <-ctx.Done():
		return false
	}
}

// flight counts work in flight.
type flight struct {
	mu      sync.Mutex
	n       int
	waiting chan struct{}
}

// Add counts one piece of work in.
func (f *flight) Add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
}

// Done counts one piece of work out.
func (f *flight) Done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.n == 0 && f.waiting != nil {
		close(f.waiting)
		f.waiting = nil
	}
}

func (f *flight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}

// idle returns a channel that is closed once nothing is in flight.
func (f *flight) idle() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	done := make(chan struct{})
	if f.n == 0 {
		close(done)
		return done
	}
	f.waiting = done
	return done
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}
