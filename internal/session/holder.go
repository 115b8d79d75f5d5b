// Package session implements the daemon's side of session leases and
// reservations. A daemon admits keyed work (submitted with a team's key) only
// while its lease is live, and runs no more units of a team than the committed
// state reserves for its session.
//
// A kept reservation is a small part of a team's upper limit that belongs to
// the VM, not to a session. Requests of open queues, which need no key, may run
// under it while the daemon is cut off from the leader.
package session

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"sapphirering/internal/clock"
	"sapphirering/internal/event"
	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire"
	"sapphirering/internal/wire/wirepb"
)

// Leader sends requests to the current leader.
type Leader interface {
	// Propose commits a command and returns its outcome.
	Propose(ctx context.Context, command *statepb.Command) (*statepb.Outcome, error)
	// Renew sends one renewal.
	Renew(ctx context.Context, request *wirepb.RenewRequest) (*wirepb.RenewResponse, error)
}

const (
	// renewalsPerLease is how many times the lease is renewed within its length.
	renewalsPerLease = 4
	// minRenewInterval is the shortest time between two renewals, also when new
	// demand requests one early.
	minRenewInterval = 100 * time.Millisecond
	// closeExpiredTimeout bounds one attempt to close an expired session, since
	// the next renewal waits for it.
	closeExpiredTimeout = 300 * time.Millisecond
	// appliedPollInterval is the time between two checks of the applied index.
	appliedPollInterval = 10 * time.Millisecond
	// closeRetryInterval is the time between two attempts to close the session.
	closeRetryInterval = 100 * time.Millisecond
)

var errClosed = errors.New("the session holder is closed")

// ErrWorkRunning is returned when a session cannot be closed because units of it are in use.
var ErrWorkRunning = errors.New("work still runs under the session")

// Config holds the settings and dependencies of a Holder.
type Config struct {
	// MemberID and Incarnation make session ids unique across all processes.
	MemberID    string
	Incarnation uint64
	MemberName  string
	Zone        string
	Lease       time.Duration
	Machine     *state.Machine
	Leader      Leader
	// Report adds the target reports to a renewal before it is sent; may be nil.
	Report func(*wirepb.RenewRequest)
	// Now returns the current time with a monotonic clock reading.
	Now func() time.Time
}

// Holder keeps the session lease of this daemon.
type Holder struct {
	cfg    Config
	ledger *Ledger
	// renewalRequested holds a request for a renewal before the interval has passed.
	renewalRequested chan struct{}

	mu           sync.Mutex
	session      string
	sessionCount int
	// expired holds the ids of expired sessions of this process that are not closed yet.
	expired    []string
	validUntil time.Time
	leaving    bool
	closed     bool
}

// NewHolder returns a holder without a lease.
func NewHolder(cfg Config) *Holder {
	h := &Holder{cfg: cfg, renewalRequested: make(chan struct{}, 1)}
	h.ledger = newLedger(h, cfg)
	return h
}

// Ledger returns the ledger of the units that this daemon runs.
func (h *Holder) Ledger() *Ledger { return h.ledger }

// Session returns the current session id and whether its lease is live, that
// is, has not run out.
func (h *Holder) Session() (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.session, h.session != "" && h.cfg.Now().Before(h.validUntil)
}

// Live reports whether the lease is live.
func (h *Holder) Live() bool {
	_, live := h.Session()
	return live
}

// SetLeaving makes the following renewals report that the daemon is shutting down.
func (h *Holder) SetLeaving() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
}

// Run renews the lease until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	interval := h.cfg.Lease / renewalsPerLease
	wasLive := false
	for ctx.Err() == nil {
		renewCtx, cancel := context.WithTimeout(ctx, h.cfg.Lease)
		err := h.renew(renewCtx)
		cancel()
		live := h.Live()
		if wasLive && !live && err != nil {
			event.SessionLost.Emit(event.Err(err))
		}
		wasLive = live
		h.waitForNextRenewal(ctx, interval)
	}
}

// waitForNextRenewal waits for the interval. A request for a renewal ends the
// wait early, but not before minRenewInterval.
func (h *Holder) waitForNextRenewal(ctx context.Context, interval time.Duration) {
	clock.Sleep(ctx, min(minRenewInterval, interval))
	timer := time.NewTimer(interval - min(minRenewInterval, interval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-h.renewalRequested:
	}
}

// requestRenewal requests an early renewal, so that new demand reaches the leader.
func (h *Holder) requestRenewal() {
	select {
	case h.renewalRequested <- struct{}{}:
	default:
	}
}

// ValidUntil returns the time until which the newest lease is or was valid. It
// is zero before the first lease and after a session was closed or dropped as expired.
func (h *Holder) ValidUntil() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.validUntil
}

// Close closes the session and returns its reservations at once, so that other
// sessions need not wait for its expiry. It fails with ErrWorkRunning while
// units are in use. No session is opened afterwards.
func (h *Holder) Close(ctx context.Context) error {
	session, ok := h.endSession()
	if !ok || session == "" {
		return nil
	}
	for {
		if h.ledger.running(session) > 0 {
			return fmt.Errorf("close session %s: %w", session, ErrWorkRunning)
		}
		outcome, err := h.cfg.Leader.Propose(ctx, &statepb.Command{
			Actor: h.cfg.MemberID,
			Body:  &statepb.Command_CloseSession{CloseSession: &statepb.CloseSession{Session: session}},
		})
		if err != nil {
			return fmt.Errorf("close session %s: %w", session, err)
		}
		if outcome.Code == statepb.Code_CODE_OK {
			event.SessionClosed.Emit(event.F("session", session))
			return nil
		}
		clock.Sleep(ctx, closeRetryInterval)
		if ctx.Err() != nil {
			return fmt.Errorf("close session %s: %s", session, outcome.Message)
		}
	}
}

// endSession invalidates the lease, so that no more work starts under the
// session. It returns false when the holder is closed already.
func (h *Holder) endSession() (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return "", false
	}
	h.closed = true
	h.validUntil = time.Time{}
	return h.session, true
}

// renew opens a session when there is none and renews it. The lease counts
// from just before the request is sent, so that a slow response does not extend it.
func (h *Holder) renew(ctx context.Context) error {
	session, err := h.ensureSession(ctx)
	if err != nil {
		return err
	}
	request := &wirepb.RenewRequest{
		Session: session, Member: h.cfg.MemberID, Zone: h.cfg.Zone, AppliedIndex: h.cfg.Machine.Index(),
	}
	h.mu.Lock()
	request.Leaving = h.leaving
	h.mu.Unlock()
	h.ledger.report(request)
	if h.cfg.Report != nil {
		h.cfg.Report(request)
	}
	sent := h.cfg.Now()
	response, err := h.cfg.Leader.Renew(ctx, request)
	if err != nil {
		h.dropIfExpired(session, err)
		return fmt.Errorf("renew session %s: %w", session, err)
	}
	h.extend(sent.Add(time.Duration(response.LeaseMs) * time.Millisecond))
	h.ledger.setWanted(response.Wanted)
	h.ledger.setWantedKept(response.WantedKept)
	h.closeExpired(ctx)
	return nil
}

func (h *Holder) extend(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.validUntil = until
	}
}

// Release lowers the reservations of the session to the requested units at
// once. A request that names another session is ignored.
func (h *Holder) Release(request *wirepb.ReleaseRequest) {
	if session, live := h.Session(); live && session == request.Session {
		h.ledger.setWanted(request.Wanted)
	}
}

// ensureSession returns the session, and opens one through the log when there is none.
func (h *Holder) ensureSession(ctx context.Context) (string, error) {
	h.mu.Lock()
	if h.session != "" {
		// A closed holder goes on renewing, so that the leader hands its job attempts over.
		defer h.mu.Unlock()
		return h.session, nil
	}
	if h.closed {
		defer h.mu.Unlock()
		return "", errClosed
	}
	h.sessionCount++
	id := fmt.Sprintf("%s/%x/%d", h.cfg.MemberID, h.cfg.Incarnation, h.sessionCount)
	h.mu.Unlock()
	outcome, err := h.cfg.Leader.Propose(ctx, &statepb.Command{
		Actor: h.cfg.MemberID,
		Body: &statepb.Command_OpenSession{OpenSession: &statepb.OpenSession{
			Session: &statepb.Session{
				Id: id, Member: h.cfg.MemberID, Zone: h.cfg.Zone, MemberName: h.cfg.MemberName,
			},
		}},
	})
	if err != nil {
		return "", fmt.Errorf("open session: %w", err)
	}
	if outcome.Code != statepb.Code_CODE_OK {
		return "", fmt.Errorf("open session: %s", outcome.Message)
	}
	if err := h.waitApplied(ctx, outcome.Revision); err != nil {
		return "", err
	}
	h.ledger.recordFirstSession(h.cfg.Machine.Session(id).GetOpenedIndex())
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		// The holder was closed meanwhile: the new session has no reservations and expires unused.
		return "", errClosed
	}
	h.session = id
	event.SessionOpened.Emit(event.F("session", id))
	return id, nil
}

// waitApplied waits until this daemon has applied the entry that opened the
// session: until then the leader refuses to renew it.
func (h *Holder) waitApplied(ctx context.Context, index uint64) error {
	for h.cfg.Machine.Index() < index {
		if ctx.Err() != nil {
			return fmt.Errorf("open session: this daemon has not applied index %d: %w", index, ctx.Err())
		}
		clock.Sleep(ctx, appliedPollInterval)
	}
	return nil
}

// dropIfExpired drops the session if err says that it has expired; the next
// renewal opens a new one.
func (h *Holder) dropIfExpired(session string, err error) {
	var callError *wire.CallError
	if !errors.As(err, &callError) || callError.Code != wirepb.ErrorCode_ERROR_CODE_SESSION_EXPIRED {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.session == session {
		h.session = ""
		h.validUntil = time.Time{}
		h.expired = append(h.expired, session)
	}
}

// closeExpired closes expired sessions of this process under which nothing runs
// any more. Their units return to the team at once, instead of when the longest
// deadlines of their requests are past.
func (h *Holder) closeExpired(ctx context.Context) {
	h.mu.Lock()
	expired := h.expired
	h.expired = nil
	h.mu.Unlock()
	var unclosed []string
	for _, session := range expired {
		if h.ledger.running(session) > 0 || !h.closeSession(ctx, session) {
			unclosed = append(unclosed, session)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expired = append(h.expired, unclosed...)
}

// closeSession closes one session. It returns false when the attempt must be repeated.
func (h *Holder) closeSession(ctx context.Context, session string) bool {
	ctx, cancel := context.WithTimeout(ctx, closeExpiredTimeout)
	defer cancel()
	outcome, err := h.cfg.Leader.Propose(ctx, &statepb.Command{
		Actor: h.cfg.MemberID,
		Body:  &statepb.Command_CloseSession{CloseSession: &statepb.CloseSession{Session: session}},
	})
	if err != nil || outcome.Code != statepb.Code_CODE_OK {
		return false
	}
	event.SessionClosed.Emit(event.F("session", session))
	return true
}
