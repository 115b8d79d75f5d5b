package command

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"sapphirering/internal/config"
	"sapphirering/internal/operator"
	"sapphirering/internal/state"
)

const (
	resendInterval = 300 * time.Millisecond
	requestTimeout = 12 * time.Second
	maxAnswerBytes = 64 << 20
)

var (
	// errUnavailable marks a request that no entry VM could answer.
	errUnavailable = errors.New("no answer")
	// errUnknownOutcome marks a command whose answer was lost.
	errUnknownOutcome = errors.New("the answer was lost; the command may have taken effect")
	// errBadFile marks a file that cannot be read or has faults.
	errBadFile = errors.New("file")
)

// resultError is the error of a command that the system refused.
type resultError struct{ result operator.Result }

func (e *resultError) Error() string { return e.result.Code + ": " + e.result.Message }

// client sends requests to the entry VMs, one entry VM at a time.
type client struct {
	addresses []string
	// current is the index of the address that answered last.
	current int
	key     string
	ctx     context.Context
	http    *http.Client
}

// newClient returns a client and the function that cancels its context.
func newClient(addresses, keyFile, caFile string, timeout time.Duration) (*client, context.CancelFunc, error) {
	transport, err := newTransport(caFile)
	if err != nil {
		return nil, nil, err
	}
	c := &client{http: &http.Client{Timeout: requestTimeout, Transport: transport}}
	for _, address := range strings.Split(addresses, ",") {
		if address = strings.TrimSuffix(strings.TrimSpace(address), "/"); address != "" {
			c.addresses = append(c.addresses, address)
		}
	}
	if len(c.addresses) == 0 {
		return nil, nil, fmt.Errorf("-address or %s is required", addressEnv)
	}
	keys, err := config.LoadOperatorKeys(keyFile)
	if err != nil {
		return nil, nil, fmt.Errorf("-key-file: %w", err)
	}
	if len(keys) == 0 {
		return nil, nil, fmt.Errorf("-key-file or %s is required and must hold a key", keyFileEnv)
	}
	c.key = keys[0].Secret
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	c.ctx = ctx
	return c, cancel, nil
}

// newTransport trusts the certificate authorities in caFile, or those of the system when
// caFile is empty.
func newTransport(caFile string) (*http.Transport, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if caFile == "" {
		return transport, nil
	}
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("-ca-file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("-ca-file: %s holds no certificate", caFile)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	return transport, nil
}

// do sends a request to each entry VM in turn until one answers it, and
// decodes the answer into out. It returns errUnavailable when none did.
func (c *client) do(method, path, opID string, body, out any) error {
	var err error
	for range c.addresses {
		err = c.requestFrom(c.addresses[c.current], method, path, opID, body, out)
		if !errors.Is(err, errUnavailable) {
			return err
		}
		c.current = (c.current + 1) % len(c.addresses)
	}
	return err
}

// raw sends a request without a body to each entry VM in turn until one answers it, and returns
// the text of the answer.
func (c *client) raw(method, path string) ([]byte, error) {
	var answer json.RawMessage
	err := c.do(method, path, "", nil, &answer)
	return answer, err
}

func (c *client) requestFrom(address, method, path, opID string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("marshal request: %w", err)
	}
	request, err := http.NewRequestWithContext(c.ctx, method, address+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("%w: -address: %w", errUsage, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	if opID != "" {
		request.Header.Set(operator.HeaderOperationID, opID)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", errUnavailable, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("%w: read answer of %s: %w", errUnavailable, address, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return statusError(address, response.StatusCode, answer)
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return fmt.Errorf("decode answer of %s: %w", address, err)
	}
	return nil
}

func statusError(address string, status int, answer []byte) error {
	var result operator.Result
	if json.Unmarshal(answer, &result) != nil || result.Code == "" {
		return fmt.Errorf("%s answered status %d: %.200s", address, status, answer)
	}
	if result.Code == "unavailable" {
		return fmt.Errorf("%w: %s: %s", errUnavailable, address, result.Message)
	}
	return &resultError{result}
}

// get requests path and decodes the answer into out.
func (c *client) get(path string, out any) error { return c.do(http.MethodGet, path, "", nil, out) }

// change sends a command until its outcome is known and prints the result. With -wait it first
// waits until the change is in force.
func (e *Env) change(method, path string, body any) error {
	result, err := e.send(method, path, body)
	if err != nil {
		return err
	}
	return e.finish(result)
}

// send sends a command, and sends it again with the same operation id after a lost answer,
// until its outcome is known.
func (e *Env) send(method, path string, body any) (operator.Result, error) {
	if e.opID == "" {
		e.opID = state.NewID()
	}
	for {
		var result operator.Result
		err := e.client.do(method, path, e.opID, body, &result)
		if !errors.Is(err, errUnavailable) {
			return result, err
		}
		if !e.pause(resendInterval) {
			return result, fmt.Errorf("%w; repeat the same command with -operation-id %s: %w", errUnknownOutcome, e.opID, err)
		}
	}
}

// pause waits for d; it returns false when the command's -timeout has passed.
func (e *Env) pause(d time.Duration) bool {
	select {
	case <-e.client.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// finish prints the result. With -wait it first waits until the change is in force.
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
