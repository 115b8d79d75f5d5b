package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"sapphirering/internal/event"
)

// MaxAnswerBytes bounds an answer that is buffered and checked.
const MaxAnswerBytes = 8 << 20

const (
	connectTimeout  = 1 * time.Second
	idleConnTimeout = 30 * time.Second
	maxConnsPerHost = 64
)

// ErrNotRun marks failures after which the work provably did not run.
var ErrNotRun = errors.New("not run")

// ErrAnswerTooLarge is returned for an answer above MaxAnswerBytes.
var ErrAnswerTooLarge = errors.New("answer exceeds the size limit")

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
}

// Answer is a target's whole answer.
type Answer struct {
	StatusCode  int
	ContentType string
	Body        []byte
}

// Client sends requests and tasks to targets.
type Client struct {
	http *http.Client
}

// NewClient returns a client that keeps connections to each target.
func NewClient() *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxConnsPerHost:     maxConnsPerHost,
		MaxIdleConnsPerHost: maxConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport}}
}

// CloseIdle closes connections that carry no request.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// Run sends the request to the slot's target and returns the whole answer.
// An error matches ErrNotRun when nothing was written to a connection or the
// target refused; after any other error the work may have run.
func (c *Client) Run(ctx context.Context, slot *Slot, r Request) (*Answer, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, fmt.Errorf("run on %s: context has no deadline: %w", slot.VM, ErrNotRun)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	url := slot.Address + "/v1/run/" + r.Queue
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("run on %s: %w: %w", slot.VM, err, ErrNotRun)
	}
	// Without GetBody the transport never sends the request a second time.
	request.GetBody = nil
	request.Header.Set("Content-Type", r.ContentType)
	request.Header.Set(HeaderRequestID, r.ID)
	request.Header.Set(HeaderTeam, r.Team)
	request.Header.Set(HeaderClass, r.Class)
	request.Header.Set(HeaderAnnouncement, slot.Announcement)
	request.Header.Set(HeaderDeadlineMS, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	response, err := c.http.Do(request)
	if err != nil {
		if !connected.Load() {
			return nil, fmt.Errorf("connect to %s: %w: %w", slot.VM, err, ErrNotRun)
		}
		return nil, fmt.Errorf("run on %s: %w", slot.VM, err)
	}
	defer response.Body.Close()
	return readAnswer(slot.VM, r.ID, response)
}

// readAnswer checks that the answer is whole and belongs to the request.
func readAnswer(vm, id string, response *http.Response) (*Answer, error) {
	if reason := response.Header.Get(HeaderNotRun); reason != "" {
		return nil, &BusyError{VM: vm, Reason: reason}
	}
	if got := response.Header.Get(HeaderRequestID); got != id {
		event.AnswerDropped.Emit(event.F("vm", vm), event.F("request", id))
		return nil, fmt.Errorf("answer of %s is for request %q, want %q", vm, got, id)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read answer of %s: %w", vm, err)
	}
	if len(body) > MaxAnswerBytes {
		return nil, fmt.Errorf("answer of %s: %w", vm, ErrAnswerTooLarge)
	}
	return &Answer{
		StatusCode: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body,
	}, nil
}

// Task starts or renews an attempt of a job and returns its status.
func (c *Client) Task(ctx context.Context, address, job string, attempt uint32, t TaskRequest) (*TaskStatus, error) {
	return c.task(ctx, http.MethodPut, address, job, attempt, t)
}

// StopTask asks the target to checkpoint and stop an attempt.
func (c *Client) StopTask(ctx context.Context, address, job string, attempt uint32) (*TaskStatus, error) {
	return c.task(ctx, http.MethodDelete, address, job, attempt, TaskRequest{})
}

func (c *Client) task(ctx context.Context, method, address, job string, attempt uint32, t TaskRequest) (*TaskStatus, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("marshal task %s: %w", job, err)
	}
	url := fmt.Sprintf("%s/v1/tasks/%s/%d", address, job, attempt)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("task %s at %s: %w", job, address, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("task %s at %s: %w", job, address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read status of task %s at %s: %w", job, address, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("task %s at %s: status %d: %.200s", job, address, response.StatusCode, body)
	}
	status := new(TaskStatus)
	if err := json.Unmarshal(body, status); err != nil {
		return nil, fmt.Errorf("decode status of task %s at %s: %w", job, address, err)
	}
	return status, nil
}
