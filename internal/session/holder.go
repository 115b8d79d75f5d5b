// Package session holds the daemon's side of session leases and reservations.
// A daemon admits keyed work only under a live lease, and runs no more of a
// team than the committed state has reserved for its session.
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

// Leader reaches the current leader.
type Leader interface {
	// Propose commits a command and returns its outcome.
	Propose(ctx context.Context, command *statepb.Command) (*statepb.Outcome, error)
	// Renew sends one renewal.
	Renew(ctx context.Context, request *wirepb.RenewRequest) (*wirepb.RenewResponse, error)
}

const (
	// renewalsPerLease is how often the lease is renewed within its length.
	renewalsPerLease = 4
	// minRenewInterval bounds renewals that new demand asks for.
	minRenewInterval = 100 * time.Millisecond
	// closeFormerTimeout bounds one try to close a former session, since the next
	// renewal waits for it.
	closeFormerTimeout = 300 * time.Millisecond
	// appliedPause spaces looks at the applied index.
	appliedPause = 10 * time.Millisecond
	// closePause spaces tries to give the session back.
	closePause = 100 * time.Millisecond
)

var errClosed = errors.New("the holder is closed")

// ErrWorkRunning is returned when a session is to be closed under running work.
var ErrWorkRunning = errors.New("work still runs under the session")

// Config holds what a Holder needs.
type Config struct {
	// MemberID and Incarnation make session ids unique over all processes.
	MemberID    string
	Incarnation uint64
	MemberName  string
	Zone        string
	Lease       time.Duration
	Machine     *state.Machine
	Leader      Leader
	// Report fills in demand and target reports before a renewal.
	Report func(*wirepb.RenewRequest)
	// Now reads the clock; its differences are monotonic.
	Now func() time.Time
}

// Holder keeps the session lease of this daemon.
type Holder struct {
	cfg    Config
	ledger *Ledger
	// kick asks for a renewal ahead of time.
	kick chan struct{}

	mu      sync.Mutex
	session string
	serial  int
	// former holds expired sessions of this process that are not closed yet.
	former     []string
	validUntil time.Time
	leaving    bool
	closed     bool
}

// NewHolder returns a holder without a lease.
func NewHolder(cfg Config) *Holder {
	h := &Holder{cfg: cfg, kick: make(chan struct{}, 1)}
	h.ledger = newLedger(h, cfg)
	return h
}

// Ledger returns the reservations of this daemon.
func (h *Holder) Ledger() *Ledger { return h.ledger }

// Session returns the current session id and whether its lease is live.
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

// SetLeaving marks the following renewals as those of a daemon that shuts down.
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
		step, cancel := context.WithTimeout(ctx, h.cfg.Lease)
		err := h.renew(step)
		cancel()
		live := h.Live()
		if wasLive && !live && err != nil {
			event.SessionLost.Emit(event.Err(err))
		}
		wasLive = live
		h.pause(ctx, interval)
	}
}

// pause waits for the next renewal: the interval, or less when demand asks.
func (h *Holder) pause(ctx context.Context, interval time.Duration) {
	clock.Sleep(ctx, min(minRenewInterval, interval))
	timer := time.NewTimer(interval - min(minRenewInterval, interval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-h.kick:
	}
}

// renewSoon asks for a renewal ahead of time, so that new demand reaches the leader.
func (h *Holder) renewSoon() {
	select {
	case h.kick <- struct{}{}:
	default:
	}
}

// ValidUntil returns until when the newest lease is or was valid; zero before the first one.
func (h *Holder) ValidUntil() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.validUntil
}

// Close gives the session and its reservations back at once, so that nobody
// waits for its expiry. It fails with ErrWorkRunning while units are in use.
// No session is opened afterwards.
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
		clock.Sleep(ctx, closePause)
		if ctx.Err() != nil {
			return fmt.Errorf("close session %s: %s", session, outcome.Message)
		}
	}
}

// endSession makes the lease invalid: nothing starts under the session any
// more. It returns false when the holder is closed already.
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
// from before the request was sent, so that a slow answer never extends it.
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
		h.forgetExpired(session, err)
		return fmt.Errorf("renew session %s: %w", session, err)
	}
	h.extend(sent.Add(time.Duration(response.LeaseMs) * time.Millisecond))
	h.ledger.setWanted(response.Wanted)
	h.ledger.setWantedKept(response.WantedKept)
	h.closeFormer(ctx)
	return nil
}

func (h *Holder) extend(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.validUntil = until
	}
}

// Release comes down to the wanted reservations of the session at once. A
// request that names another session is ignored.
func (h *Holder) Release(request *wirepb.ReleaseRequest) {
	if session, live := h.Session(); live && session == request.Session {
		h.ledger.setWanted(request.Wanted)
	}
}

// ensureSession opens a session through the log when there is none.
func (h *Holder) ensureSession(ctx context.Context) (string, error) {
	h.mu.Lock()
	if h.session != "" {
		// A closed holder renews on, so that the leader hands its attempts over.
		defer h.mu.Unlock()
		return h.session, nil
	}
	if h.closed {
		defer h.mu.Unlock()
		return "", errClosed
	}
	h.serial++
	id := fmt.Sprintf("%s/%x/%d", h.cfg.MemberID, h.cfg.Incarnation, h.serial)
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
	h.ledger.noteOpened(h.cfg.Machine.Session(id).GetOpenedIndex())
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		// Opened while the holder closed: it holds nothing and expires unused.
		return "", errClosed
	}
	h.session = id
	event.SessionOpened.Emit(event.F("session", id))
	return id, nil
}

// waitApplied waits until this daemon's state holds the opened session: the
// leader renews no session of a daemon that lags behind its opening.
func (h *Holder) waitApplied(ctx context.Context, index uint64) error {
	for h.cfg.Machine.Index() < index {
		if ctx.Err() != nil {
			return fmt.Errorf("open session: index %d is not applied here: %w", index, ctx.Err())
		}
		clock.Sleep(ctx, appliedPause)
	}
	return nil
}

// forgetExpired drops a session that the leader has expired; the next renewal opens a new one.
func (h *Holder) forgetExpired(session string, err error) {
	var callError *wire.CallError
	if !errors.As(err, &callError) || callError.Code != wirepb.ErrorCode_ERROR_CODE_SESSION_EXPIRED {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.session == session {
		h.session = ""
		h.validUntil = time.Time{}
		h.former = append(h.former, session)
	}
}

// closeFormer gives back what expired sessions of this process still hold. The
// process knows that nothing runs under them any more, so nobody needs to wait
// until the longest deadlines are past.
func (h *Holder) closeFormer(ctx context.Context) {
	h.mu.Lock()
	former := h.former
	h.former = nil
	h.mu.Unlock()
	var left []string
	for _, session := range former {
		if h.ledger.running(session) > 0 || !h.closeSession(ctx, session) {
			left = append(left, session)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.former = append(h.former, left...)
}

// closeSession closes one session; false when it is to be tried again.
func (h *Holder) closeSession(ctx context.Context, session string) bool {
	ctx, cancel := context.WithTimeout(ctx, closeFormerTimeout)
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
