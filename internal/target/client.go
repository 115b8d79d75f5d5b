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

// MaxAnswerBytes bounds an answer that is buffered and checked.
const MaxAnswerBytes = 8 << 20

const (
	connectTimeout  = 1 * time.Second
	idleConnTimeout = 30 * time.Second
	// maxConnsPerTarget is the number of connections that one target takes.
	maxConnsPerTarget = 64
	// maxTransports bounds the targets whose connections are kept.
	maxTransports  = 1024
	maxHeaderBytes = 32 << 10
)

// Errors of a run.
var (
	// ErrNotRun marks failures after which the work provably did not run.
	ErrNotRun = errors.New("not run")
	// ErrSilent marks a connection without progress for ProgressTimeout.
	ErrSilent = errors.New("no progress on the connection")
	// ErrAnswerTooLarge is returned for an answer above MaxAnswerBytes.
	ErrAnswerTooLarge = errors.New("answer exceeds the size limit")
	// ErrForeignAnswer is returned for an answer that names another request.
	ErrForeignAnswer = errors.New("answer is for another request")
	// ErrUnframedAnswer is returned for an answer whose end cannot be told from a cut connection.
	ErrUnframedAnswer = errors.New("answer has neither a length nor chunks")
)

// BusyError is a target's refusal; the work did not run.
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
	// Fresh sends the request on a connection of its own. A kept connection
	// may have gone silent since its last use; a new one has just answered.
	Fresh bool
}

// Answer is a target's whole answer.
type Answer struct {
	StatusCode  int
	ContentType string
	Body        []byte
}

// Client sends requests and tasks to targets.
type Client struct {
	fresh   *http.Transport
	dropped gometrics.Counter

	mu    sync.Mutex
	hosts map[string]*http.Transport
}

// NewClient returns a client that keeps connections to each target.
func NewClient() *Client {
	fresh := newTransport()
	fresh.DisableKeepAlives = true
	return &Client{
		fresh: fresh, hosts: make(map[string]*http.Transport),
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

// transport returns the kept connections of one target, so that the
// connections of a suspect target can be closed without touching others.
func (c *Client) transport(address string, fresh bool) *http.Transport {
	if fresh {
		return c.fresh
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	transport := c.hosts[address]
	if transport != nil {
		return transport
	}
	if len(c.hosts) >= maxTransports {
		for other, kept := range c.hosts {
			kept.CloseIdleConnections()
			delete(c.hosts, other)
		}
	}
	transport = newTransport()
	c.hosts[address] = transport
	return transport
}

// closeKept closes the idle connections to one target.
func (c *Client) closeKept(address string) {
	c.mu.Lock()
	transport := c.hosts[address]
	c.mu.Unlock()
	if transport != nil {
		transport.CloseIdleConnections()
	}
}

// CloseIdle closes connections that carry no request.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, transport := range c.hosts {
		transport.CloseIdleConnections()
	}
}

// Run sends the request to the slot's target and returns the whole answer.
// An error matches ErrNotRun when no write to a connection was begun or the
// target refused; after any other error the work may have run.
//
// The request goes out through the transport itself: an http.Client would
// follow redirects and send the work to another address.
func (c *Client) Run(ctx context.Context, slot *Slot, r Request) (*Answer, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, fmt.Errorf("run on %s: context has no deadline: %w", slot.VM, ErrNotRun)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newProgress(func() { cancel(ErrSilent) })
	defer watch.stop()
	trace := &sendTrace{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        trace.gotConn,
		Got1xxResponse: watch.got1xx,
	})
	request, err := newRunRequest(ctx, slot, r, deadline, watch)
	if err != nil {
		return nil, fmt.Errorf("run on %s: %w: %w", slot.VM, err, ErrNotRun)
	}
	answer, err := c.exchange(request, slot, r, watch)
	if err == nil || errors.As(err, new(*BusyError)) {
		return answer, err
	}
	return nil, c.runError(ctx, slot, trace, err)
}

func (c *Client) exchange(request *http.Request, slot *Slot, r Request, watch *progress) (*Answer, error) {
	response, err := c.transport(slot.Address, r.Fresh).RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return c.readAnswer(slot.VM, r.ID, response, watch)
}

// runError tells whether the work may have run, and closes what is suspect.
func (c *Client) runError(ctx context.Context, slot *Slot, trace *sendTrace, err error) error {
	wrote := trace.abandon()
	if cause := context.Cause(ctx); errors.Is(cause, ErrSilent) {
		err = cause
		event.ConnectionSilent.Emit(event.F("vm", slot.VM))
		c.closeKept(slot.Address)
	}
	if !wrote {
		return fmt.Errorf("connect to %s: %w: %w", slot.VM, err, ErrNotRun)
	}
	return fmt.Errorf("run on %s: %w", slot.VM, err)
}

func newRunRequest(ctx context.Context, slot *Slot, r Request, deadline time.Time, watch *progress) (*http.Request, error) {
	url := slot.Address + "/v1/run/" + r.Queue
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, watch.reader(bytes.NewReader(r.Body)))
	if err != nil {
		return nil, err
	}
	// A body of unknown type has no GetBody: the transport never sends it a second time.
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

// readAnswer checks that the answer is whole and belongs to the request. The
// id comes first: a foreign answer must not pass for a refusal either.
func (c *Client) readAnswer(vm, id string, response *http.Response, watch *progress) (*Answer, error) {
	if got := response.Header.Get(HeaderRequestID); got != id {
		return nil, c.drop(vm, id, fmt.Errorf("%w: %q", ErrForeignAnswer, got))
	}
	if reason := response.Header.Get(HeaderNotRun); reason != "" {
		return nil, &BusyError{VM: vm, Reason: reason}
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, c.drop(vm, id, ErrUnframedAnswer)
	}
	body, err := io.ReadAll(io.LimitReader(watch.reader(response.Body), MaxAnswerBytes+1))
	if err != nil {
		return nil, c.drop(vm, id, fmt.Errorf("read answer: %w", err))
	}
	if len(body) > MaxAnswerBytes {
		return nil, c.drop(vm, id, ErrAnswerTooLarge)
	}
	return &Answer{
		StatusCode: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body,
	}, nil
}

// drop counts an answer that is not passed on.
func (c *Client) drop(vm, id string, err error) error {
	c.dropped.Inc(1)
	event.AnswerDropped.Emit(event.F("vm", vm), event.F("request", id), event.Err(err))
	return err
}
