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
	claimSweepInterval = 10 * time.Second
	// maxCatchUpTime bounds how long a started daemon waits for its first
	// session before it serves from the state that it has.
	maxCatchUpTime = 10 * time.Second
	// bodyReadTimeout bounds how long a caller may take to send its request body.
	bodyReadTimeout = 30 * time.Second
)

// Proposer commits commands through the leader.
type Proposer interface {
	Propose(ctx context.Context, command *statepb.Command) (*statepb.Outcome, error)
}

// Forwarder hands requests to entry VMs of other zones.
type Forwarder interface {
	// MayHaveFreeSlot reports whether another zone may have a free slot of the pool.
	MayHaveFreeSlot(pool string) bool
	// Forward tries other zones in turn. The response is nil if none accepted
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

// Server serves the callers' HTTP interface of an entry VM.
type Server struct {
	cfg         Config
	metrics     *requestMetrics
	waitCounts  *waitCounts
	queues      *poolQueues
	retryBudget *retryBudget

	forwards forwardHistory
	// activeClaims are the claims whose requests are being served; endingClaims
	// those whose outcome is not committed yet.
	activeClaims, endingClaims claimTokens

	mu sync.Mutex
	// stopping turns readiness off; draining refuses new work.
	// The shutdown sets stopping first.
	stopping bool
	draining bool
	// caughtUp stays true once the state here was as new as at the opening of a session,
	// or the wait for that timed out.
	caughtUp bool
	started  time.Time
	inFlight workCounter
}

// NewServer returns a server.
func NewServer(cfg Config) *Server {
	s := &Server{
		cfg: cfg, started: cfg.Now(), metrics: newMetrics(), waitCounts: newWaitCounts(cfg.Holder.Ledger()), retryBudget: newRetryBudget(),
	}
	s.queues = newPoolQueues(s)
	return s
}

// Run sweeps the claims at intervals until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(claimSweepInterval)
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

// track refuses new work while draining and counts the work in flight.
func (s *Server) track(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.isStopping() {
			// Callers that reuse connections reconnect through the load balancer.
			w.Header().Set("Connection", "close")
		}
		if !s.beginWork() {
			refuse(http.StatusServiceUnavailable, ReasonShutdown, "this entry VM is shutting down").write(w, "")
			return
		}
		defer s.inFlight.Done()
		limitBodyReadTime(w, r)
		next(w, r)
	}
}

// limitBodyReadTime sets a deadline for reading the body. It is cleared at the end
// of the body: if it passed later, the HTTP server would cancel the request.
func limitBodyReadTime(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	r.Body = &timedBody{ReadCloser: r.Body, control: control}
}

// timedBody is a request body whose read deadline is cleared at its end.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read clears the read deadline at the end of the body or an error.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// beginWork counts one piece of work in flight; it returns false while draining.
func (s *Server) beginWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.inFlight.Add()
	return true
}

// Ready reports whether the load balancer may send callers here.
func (s *Server) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stopping && s.hasCaughtUp()
}

// hasCaughtUp reports whether this daemon has caught up since its start. Until
// its state includes the opening of a session it may not know queues that are in
// force. In a zone that is cut off no session opens; after maxCatchUpTime it
// serves from the state that it has, if any. The caller holds s.mu.
func (s *Server) hasCaughtUp() bool {
	if s.caughtUp {
		return true
	}
	timedOut := s.cfg.Now().Sub(s.started) > maxCatchUpTime && s.cfg.Machine.Index() > 0
	s.caughtUp = timedOut || s.cfg.Holder.Live()
	return s.caughtUp
}

// BeginShutdown turns readiness off; requests are accepted until Drain.
func (s *Server) BeginShutdown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
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

// Drain refuses new work and waits until no work is in flight. It returns false
// if ctx ends first.
func (s *Server) Drain(ctx context.Context) bool {
	s.mu.Lock()
	s.stopping, s.draining = true, true
	s.mu.Unlock()
	select {
	case <-s.inFlight.idle():
		return true
	case <-ctx.Done():
		return false
	}
}

// workCounter counts the work in flight.
type workCounter struct {
	mu sync.Mutex
	n  int
	// idleSignal is closed when n becomes 0; nil if nobody waits for that.
	idleSignal chan struct{}
}

// Add counts the start of one piece of work.
func (c *workCounter) Add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

// Done counts the end of one piece of work.
func (c *workCounter) Done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n--
	if c.n == 0 && c.idleSignal != nil {
		close(c.idleSignal)
		c.idleSignal = nil
	}
}

func (c *workCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// idle returns a channel that is closed once nothing is in flight.
func (c *workCounter) idle() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	done := make(chan struct{})
	if c.n == 0 {
		close(done)
		return done
	}
	c.idleSignal = done
	return done
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}
