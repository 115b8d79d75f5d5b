package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"sapphirering/internal/event"
)

// MaxAnswerBytes bounds the body of an answer, which is buffered until it is complete.
const MaxAnswerBytes = 8 << 20

const (
	connectTimeout  = 1 * time.Second
	idleConnTimeout = 30 * time.Second
	// maxConnsPerTarget is the most connections that one target accepts.
	maxConnsPerTarget = 64
	// maxTransports bounds the targets whose connections are kept for reuse.
	maxTransports  = 1024
	maxHeaderBytes = 32 << 10
)

// Errors of Client.Run.
var (
	// ErrNotRun marks failures after which the work certainly did not run.
	ErrNotRun = errors.New("not run")
	// ErrSilent is returned when no byte was transferred for ProgressTimeout.
	ErrSilent = errors.New("no progress on the connection to the target")
	// ErrAnswerTooLarge is returned for an answer above MaxAnswerBytes.
	ErrAnswerTooLarge = errors.New("answer exceeds the size limit")
	// ErrForeignAnswer is returned for an answer with the id of another request, or with none.
	ErrForeignAnswer = errors.New("answer is for another request")
	// ErrUnframedAnswer is returned for an answer whose end cannot be told apart
	// from a lost connection.
	ErrUnframedAnswer = errors.New("answer has neither a content length nor chunked encoding")
)

// BusyError is returned when a target refused the work; the work did not run.
type BusyError struct {
	VM     string
	Reason string
}

// Error names the target and its reason.
func (e *BusyError) Error() string { return fmt.Sprintf("target %s refused: %s", e.VM, e.Reason) }

// Is makes a refusal match ErrNotRun.
func (e *BusyError) Is(err error) bool { return err == ErrNotRun }

// Request is one request for a target.
type Request struct {
	ID          string
	Team        string
	Queue       string
	Class       string
	ContentType string
	Body        []byte
	// Fresh sends the request on a new connection. A reused connection may have
	// gone silent since its last use; a new one has just been established.
	Fresh bool
}

// Answer is a target's complete answer.
type Answer struct {
	StatusCode  int
	ContentType string
	Body        []byte
}

// Client sends requests and tasks to targets.
type Client struct {
	fresh   *http.Transport
	dropped gometrics.Counter

	mu         sync.Mutex
	transports map[string]*http.Transport
}

// NewClient returns a client that keeps connections to each target.
func NewClient() *Client {
	fresh := newTransport()
	fresh.DisableKeepAlives = true
	return &Client{
		fresh: fresh, transports: make(map[string]*http.Transport),
		dropped: gometrics.GetOrRegisterCounter("answers_dropped", nil),
	}
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            trackedDialer(&net.Dialer{Timeout: connectTimeout}),
		MaxConnsPerHost:        maxConnsPerTarget,
		MaxIdleConnsPerHost:    maxConnsPerTarget,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// transport returns the transport for a target. Each target has its own, so
// that the connections to a suspect target can be closed without those to others.
func (c *Client) transport(address string, fresh bool) *http.Transport {
	if fresh {
		return c.fresh
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	transport := c.transports[address]
	if transport != nil {
		return transport
	}
	if len(c.transports) >= maxTransports {
		for otherAddress, other := range c.transports {
			other.CloseIdleConnections()
			delete(c.transports, otherAddress)
		}
	}
	transport = newTransport()
	c.transports[address] = transport
	return transport
}

// closeIdleTo closes the idle connections to one target.
func (c *Client) closeIdleTo(address string) {
	c.mu.Lock()
	transport := c.transports[address]
	c.mu.Unlock()
	if transport != nil {
		transport.CloseIdleConnections()
	}
}

// CloseIdle closes connections that carry no request.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, transport := range c.transports {
		transport.CloseIdleConnections()
	}
}

// Run sends the request to the slot's target and returns the complete answer.
// An error matches ErrNotRun when no write to a connection was started or the
// target refused; after any other error the work may have run.
//
// The request is sent with the transport directly: an http.Client would follow
// redirects and send the work to another address.
func (c *Client) Run(ctx context.Context, slot *Slot, r Request) (*Answer, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, fmt.Errorf("run on %s: context has no deadline: %w", slot.VM, ErrNotRun)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := newProgressTimer(func() { cancel(ErrSilent) })
	defer timer.stop()
	trace := &sendTrace{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        trace.gotConn,
		Got1xxResponse: timer.got1xx,
	})
	request, err := newRunRequest(ctx, slot, r, deadline, timer)
	if err != nil {
		return nil, fmt.Errorf("run on %s: %w: %w", slot.VM, err, ErrNotRun)
	}
	answer, err := c.roundTrip(request, slot, r, timer)
	if err == nil || errors.As(err, new(*BusyError)) {
		return answer, err
	}
	return nil, c.runError(ctx, slot, trace, err)
}

func (c *Client) roundTrip(request *http.Request, slot *Slot, r Request, timer *progressTimer) (*Answer, error) {
	response, err := c.transport(slot.Address, r.Fresh).RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return c.readAnswer(slot.VM, r.ID, response, timer)
}

// runError wraps err with ErrNotRun if the work cannot have run. It closes the
// connection, and the idle ones to the target if the connection went silent.
func (c *Client) runError(ctx context.Context, slot *Slot, trace *sendTrace, err error) error {
	wrote := trace.abandon()
	if cause := context.Cause(ctx); errors.Is(cause, ErrSilent) {
		err = cause
		event.ConnectionSilent.Emit(event.F("vm", slot.VM))
		c.closeIdleTo(slot.Address)
	}
	if !wrote {
		return fmt.Errorf("connect to %s: %w: %w", slot.VM, err, ErrNotRun)
	}
	return fmt.Errorf("run on %s: %w", slot.VM, err)
}

func newRunRequest(ctx context.Context, slot *Slot, r Request, deadline time.Time, timer *progressTimer) (*http.Request, error) {
	url := slot.Address + "/v1/run/" + r.Queue
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, timer.reader(bytes.NewReader(r.Body)))
	if err != nil {
		return nil, err
	}
	// A body of a type unknown to net/http gets no GetBody function, so the
	// transport cannot send it a second time.
	request.ContentLength = int64(len(r.Body))
	if len(r.Body) == 0 {
		request.Body = http.NoBody
	}
	request.Header.Set("Content-Type", r.ContentType)
	request.Header.Set(HeaderRequestID, r.ID)
	request.Header.Set(HeaderTeam, r.Team)
	request.Header.Set(HeaderClass, r.Class)
	request.Header.Set(HeaderAnnouncement, slot.Announcement)
	request.Header.Set(HeaderDeadlineMS, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	return request, nil
}

// readAnswer reads the answer and checks that it is complete and belongs to the
// request. The id is checked first, so that a refusal of another request does
// not count either.
func (c *Client) readAnswer(vm, id string, response *http.Response, timer *progressTimer) (*Answer, error) {
	if got := response.Header.Get(HeaderRequestID); got != id {
		return nil, c.dropAnswer(vm, id, fmt.Errorf("%w: %q", ErrForeignAnswer, got))
	}
	if reason := response.Header.Get(HeaderNotRun); reason != "" {
		return nil, &BusyError{VM: vm, Reason: reason}
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, c.dropAnswer(vm, id, ErrUnframedAnswer)
	}
	body, err := io.ReadAll(io.LimitReader(timer.reader(response.Body), MaxAnswerBytes+1))
	if err != nil {
		return nil, c.dropAnswer(vm, id, fmt.Errorf("read answer: %w", err))
	}
	if len(body) > MaxAnswerBytes {
		return nil, c.dropAnswer(vm, id, ErrAnswerTooLarge)
	}
	return &Answer{
		StatusCode: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body,
	}, nil
}

// dropAnswer counts and reports an answer that is not passed on, and returns err.
func (c *Client) dropAnswer(vm, id string, err error) error {
	c.dropped.Inc(1)
	event.AnswerDropped.Emit(event.F("vm", vm), event.F("request", id), event.Err(err))
	return err
}
