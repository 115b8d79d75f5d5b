package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"sapphirering/internal/config"
	"sapphirering/internal/operator"
	"sapphirering/internal/state"
)

const (
	inForcePause = 100 * time.Millisecond
	resendPause  = 300 * time.Millisecond
	tryTimeout   = 12 * time.Second
)

// errUnknownOutcome marks a command whose answer was lost.
var errUnknownOutcome = errors.New("the answer was lost; the command may have taken effect")

// resultError is a command that the system refused.
type resultError struct{ result operator.Result }

func (e *resultError) Error() string { return e.result.Code + ": " + e.result.Message }

// client talks to one entry VM.
type client struct {
	address string
	key     string
	ctx     context.Context
	http    *http.Client
}

func newClient(address, keyFile string, timeout time.Duration) (*client, error) {
	if address == "" {
		return nil, errors.New("-address or SAPPHIRERING_ADDRESS is required")
	}
	keys, err := config.LoadOperatorKeys(keyFile)
	if err != nil {
		return nil, err
	}
	if len(keys) == 0 {
		return nil, errors.New("-key-file or SAPPHIRERING_KEY_FILE is required and must hold a key")
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	_ = cancel // The process ends with the command.
	return &client{
		address: strings.TrimSuffix(address, "/"), key: keys[0], ctx: ctx, http: &http.Client{Timeout: tryTimeout},
	}, nil
}

// do sends one request and decodes the answer into out.
func (c *client) do(method, path, opID string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("marshal request: %w", err)
	}
	request, err := http.NewRequestWithContext(c.ctx, method, c.address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	if opID != "" {
		request.Header.Set(operator.HeaderOperationID, opID)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", errUnknownOutcome, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("%w: %w", errUnknownOutcome, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return statusError(response.StatusCode, answer)
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return fmt.Errorf("decode answer of %s: %w", c.address, err)
	}
	return nil
}

func statusError(status int, answer []byte) error {
	var result operator.Result
	if json.Unmarshal(answer, &result) != nil || result.Code == "" {
		return fmt.Errorf("status %d: %.200s", status, answer)
	}
	if result.Code == "unavailable" {
		return fmt.Errorf("%w: %s", errUnknownOutcome, result.Message)
	}
	return &resultError{result}
}

// get reads into out.
func (c *client) get(path string, out any) error { return c.do(http.MethodGet, path, "", nil, out) }

// change sends a command under one operation id, again after a lost answer,
// and waits until it is in force when asked to.
func (e *Env) change(method, path string, body any) error {
	if e.opID == "" {
		e.opID = state.NewID()
	}
	var result operator.Result
	for {
		err := e.client.do(method, path, e.opID, body, &result)
		if err == nil {
			break
		}
		if !errors.Is(err, errUnknownOutcome) {
			return err
		}
		if !e.pause(resendPause) {
			return fmt.Errorf("%w; finish it with -operation-id %s", err, e.opID)
		}
	}
	return e.finish(result)
}

func (e *Env) pause(d time.Duration) bool {
	select {
	case <-e.client.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// finish prints the result, after the change is in force when -wait is given.
func (e *Env) finish(result operator.Result) error {
	if e.wait {
		if err := e.waitInForce(result.Index); err != nil {
			return err
		}
	}
	if e.json {
		return e.printJSON(result)
	}
	state := "committed"
	if e.wait {
		state = "in force everywhere"
	}
	fmt.Fprintf(e.Out, "%s: revision %d, %s\n", result.Code, result.Revision, state)
	return nil
}

func (e *Env) waitInForce(index uint64) error {
	var view operator.InForceView
	for {
		err := e.client.get(fmt.Sprintf("/v1/in-force/%d", index), &view)
		if err == nil && view.InForce {
			return nil
		}
		if !e.pause(inForcePause) {
			return fmt.Errorf("committed at index %d, but not in force everywhere yet; waiting for %s",
				index, strings.Join(view.Waiting, ", "))
		}
	}
}

func (e *Env) printJSON(value any) error {
	encoder := json.NewEncoder(e.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// table prints rows under a header, or value as JSON when -o json is given.
func (e *Env) table(value any, header string, rows func(print func(cells ...any))) error {
	if e.json {
		return e.printJSON(value)
	}
	w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	rows(func(cells ...any) {
		texts := make([]string, len(cells))
		for i, cell := range cells {
			texts[i] = fmt.Sprint(cell)
		}
		fmt.Fprintln(w, strings.Join(texts, "\t"))
	})
	return w.Flush()
}
