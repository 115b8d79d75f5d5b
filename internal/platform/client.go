// Package platform is the client for operations on VMs, such as reboots, at the platform
// that owns the VMs.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// States of an operation.
const (
	StatePending = "pending"
	StateRunning = "running"
	StateDone    = "done"
	StateFailed  = "failed"
)

const (
	callTimeout    = 3 * time.Second
	maxAnswerBytes = 64 << 10
)

// Request is a request for one action on one VM.
type Request struct {
	VM string `json:"vm"`
	// Action is "reboot" or the name of an image.
	Action string `json:"action"`
}

// Operation is the platform's record of a request.
type Operation struct {
	ID     string `json:"id"`
	VM     string `json:"vm"`
	Action string `json:"action"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// Ended reports whether the operation is done or has failed.
func (o *Operation) Ended() bool { return o.State == StateDone || o.State == StateFailed }

// Client calls the platform over HTTP.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the platform at the base URL.
func NewClient(base string) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Timeout: callTimeout}}
}

// PutOperation requests an action under the given operation id and returns the
// operation. The first call with an id begins the action, later ones only read its state.
func (c *Client) PutOperation(ctx context.Context, id string, r Request) (*Operation, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("marshal operation %s: %w", id, err)
	}
	operationURL := c.base + "/v1/operations/" + url.PathEscape(id)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, operationURL, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("operation %s: %w", id, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("put operation %s at platform %s: %w", id, c.base, err)
	}
	defer response.Body.Close()
	return decodeOperation(id, r, response)
}

func decodeOperation(id string, r Request, response *http.Response) (*Operation, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("read operation %s: %w", id, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("operation %s: platform answered status %d: %.200s", id, response.StatusCode, body)
	}
	operation := new(Operation)
	if err := json.Unmarshal(body, operation); err != nil {
		return nil, fmt.Errorf("decode operation %s: %w", id, err)
	}
	if operation.ID != id || operation.VM != r.VM {
		return nil, fmt.Errorf("operation %s on %s: platform answered about %s on %s", id, r.VM, operation.ID, operation.VM)
	}
	return operation, nil
}
