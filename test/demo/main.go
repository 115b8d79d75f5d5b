// Command demo shows the whole path on the embedded default setup: one daemon and one
// stand-in target in this process, a pool, a team's document, a key, one request and
// one durable job.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"sapphirering/internal/command"
	"sapphirering/internal/config"
	"sapphirering/internal/entry"
	"sapphirering/internal/server"
	"sapphirering/test/standin"
)

const (
	operatorKey  = "demo-operator-key"
	demoTimeout  = 30 * time.Second
	pollInterval = 100 * time.Millisecond
)

const document = `team: kita
share: 1
upper_limit: 8
queues:
  - name: proofs
    pool: renderers
    class: urgent
  - name: plates
    pool: renderers
    class: long
`

func main() {
	log.SetHandler(discard.New())
	folder, err := os.MkdirTemp("", "sapphirering-demo")
	if err == nil {
		err = demo(folder)
		os.RemoveAll(folder)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func demo(folder string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	settings, err := embeddedSettings(folder)
	if err != nil {
		return err
	}
	daemon, err := server.New(ctx, settings, server.Options{Bootstrap: true, OperatorKeys: []config.OperatorKey{{Name: "demo", Secret: operatorKey}}})
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(ctx)
	stopped := make(chan error, 1)
	go func() { stopped <- daemon.Run(runCtx) }()
	err = runExample(ctx, folder, settings)
	stop()
	if runErr := <-stopped; err == nil {
		err = runErr
	}
	return err
}

func embeddedSettings(folder string) (*config.Settings, error) {
	var ports []string
	for range 4 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		ports = append(ports, listener.Addr().String())
		defer listener.Close()
	}
	return config.ParseSettings([]byte(fmt.Sprintf(`name: demo
zone: a
data_folder: %s
voter: true
listen: {callers: "%s", targets: "%s", operators: "%s", peers: "%s"}
`, filepath.Join(folder, "data"), ports[0], ports[1], ports[2], ports[3])))
}

// runExample creates a pool, a document and a key, and sends a request and a job.
func runExample(ctx context.Context, folder string, s *config.Settings) error {
	keyFile := filepath.Join(folder, "operator.key")
	documentFile := filepath.Join(folder, "kita.yaml")
	secretFile := filepath.Join(folder, "kita.key")
	if err := os.WriteFile(keyFile, []byte(operatorKey), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(documentFile, []byte(document), 0o600); err != nil {
		return err
	}
	for _, args := range [][]string{
		{"pool", "create", "renderers"}, {"apply", documentFile}, {"key", "grant", "kita", "kita-key", secretFile},
	} {
		if err := sapphirering(s, keyFile, args); err != nil {
			return err
		}
	}
	target, err := standin.Start(standin.Config{
		VM: "renderer-1", Pool: "renderers", Zone: "a", Rack: "r1", Listen: "127.0.0.1:0", Slots: 4,
		Millicores: 16_000, MemoryMB: 64 << 10, Entries: []string{"http://" + s.Listen.Targets}, Work: 20 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer target.Close()
	secret, err := os.ReadFile(secretFile)
	if err != nil {
		return err
	}
	caller := &caller{base: "http://" + s.Listen.Callers, secret: string(secret)}
	if err := caller.request(ctx); err != nil {
		return err
	}
	if err := caller.job(ctx); err != nil {
		return err
	}
	return sapphirering(s, keyFile, []string{"job", "list"})
}

// sapphirering prints and runs one command of the command-line tool.
func sapphirering(s *config.Settings, keyFile string, args []string) error {
	fmt.Println("$ sapphirering", args)
	full := append([]string{args[0], "-address", "http://" + s.Listen.Operators, "-key-file", keyFile, "-wait"}, args[1:]...)
	if code := command.Main(full, os.Stdout, os.Stderr); code != command.ExitOK {
		return fmt.Errorf("%v: exit code %d", args, code)
	}
	return nil
}

type caller struct {
	base, secret string
}

func (c *caller) do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.secret)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

func (c *caller) request(ctx context.Context) error {
	status, answer, err := c.do(ctx, http.MethodPost, "/v1/queues/proofs/requests", []byte("proof of a station sign"))
	if err != nil {
		return err
	}
	fmt.Printf("request: status %d, answer %s\n", status, answer)
	if status != http.StatusOK {
		return fmt.Errorf("request: status %d: %s", status, answer)
	}
	return nil
}

// job submits a durable job and waits until it is done.
func (c *caller) job(ctx context.Context) error {
	_, answer, err := c.do(ctx, http.MethodPost, "/v1/queues/plates/jobs", []byte(`{"work_ms": 300}`))
	if err != nil {
		return err
	}
	var job entry.JobView
	for {
		if err := json.Unmarshal(answer, &job); err != nil {
			return fmt.Errorf("job: %s: %w", answer, err)
		}
		if job.State == "done" {
			fmt.Printf("job: %s is done on %s\n", job.ID, job.Attempts[0].VM)
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("job %s is %s: %w", job.ID, job.State, ctx.Err())
		case <-time.After(pollInterval):
		}
		if _, answer, err = c.do(ctx, http.MethodGet, "/v1/jobs/"+job.ID, nil); err != nil {
			return err
		}
	}
}
