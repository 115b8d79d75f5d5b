// Command stepsdemo runs a job of steps on the embedded default setup: one core
// daemon and two stand-in targets in this process.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"sapphirering/internal/command"
	"sapphirering/internal/config"
	"sapphirering/internal/driver"
	"sapphirering/internal/server"
	"sapphirering/test/standin"
)

const (
	demoTimeout  = 20 * time.Second
	pollInterval = 100 * time.Millisecond
	leaseTTL     = 2 * time.Second
)

const catalogue = `{"version": 1,
  "pools": [{"name": "renderers", "guarded": true}],
  "workspaces": [{"name": "kita", "keys": ["demo-caller-key-0001"], "weight": 1}],
  "queues": [{"name": "proofs", "host": "demo", "path_prefix": "/proofs/", "pool": "renderers",
    "timeout_ms": 3000, "objective_ms": 600, "slack_factor": 1.6, "max_attempts": 2}]}`

const job = `{"payload": "render", "steps": [
  {"tasks": 4, "needs": {"cpu_millis": 1000, "memory_mb": 10}, "estimate_ms": 300},
  {"tasks": 2, "needs": {"cpu_millis": 2000, "memory_mb": 10}, "estimate_ms": 300, "after": [0]}]}`

// adapter connects a core daemon to stand-in targets in this process.
type adapter struct{ fleet *standin.StepFleet }

func (adapter) Callers(server.Requester) http.Handler { return http.NotFoundHandler() }
func (adapter) Control(server.Requester) http.Handler { return http.NotFoundHandler() }
func (adapter) Health(func() bool) http.Handler       { return http.NotFoundHandler() }
func (a adapter) Targets() driver.TargetClient        { return a.fleet }
func (adapter) Advice() driver.AdviceClient           { return nil }
func (adapter) VMs() driver.VMClient                  { return standin.NoVMs{} }

func main() {
	log.SetHandler(discard.New())
	folder, err := os.MkdirTemp("", "sapphirering-steps")
	if err == nil {
		err = demo(folder)
		os.RemoveAll(folder)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "stepsdemo:", err)
		os.Exit(1)
	}
}

func demo(folder string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	fleet := standin.NewStepFleet(leaseTTL)
	for _, id := range []string{"target-1", "target-2"} {
		fleet.Add(id).Work = 300 * time.Millisecond
	}
	settings, err := newSettings(folder)
	if err != nil {
		return err
	}
	core, err := server.NewCore(ctx, settings, func(*config.RoleSettings) server.Adapter { return adapter{fleet} })
	if err != nil {
		return err
	}
	stopped := make(chan error, 1)
	go func() { stopped <- core.Run(ctx) }()
	go announce(ctx, core, fleet)
	if err := runJob(ctx, folder, "http://"+settings.Listen.API); err != nil {
		return err
	}
	cancel()
	return <-stopped
}

func newSettings(folder string) (*config.RoleSettings, error) {
	var addresses []string
	for range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, listener.Addr().String())
		listener.Close()
	}
	return &config.RoleSettings{
		Role: config.RoleCore, Name: "demo", Zone: "a", DataFolder: filepath.Join(folder, "data"),
		Seeds: addresses[:1], Bootstrap: true, TrustPeerNetwork: true,
		Listen: config.RoleListen{Peers: addresses[0], Control: addresses[1], API: addresses[2]},
		Bounds: config.PlatformBounds{LeaseTTL: config.Duration{Duration: leaseTTL}, AnnounceInterval: config.Duration{Duration: time.Second}},
	}, nil
}

// announce sends the targets' announcements until ctx ends.
func announce(ctx context.Context, core *server.Core, fleet *standin.StepFleet) {
	for ctx.Err() == nil {
		for _, request := range fleet.Announcements("renderers") {
			core.Requester().Do(ctx, request)
		}
		time.Sleep(pollInterval)
	}
}

// runJob submits a job with the command-line tool and waits until it is done.
func runJob(ctx context.Context, folder, address string) error {
	keyFile := filepath.Join(folder, "key")
	jobFile := filepath.Join(folder, "job.json")
	if err := os.WriteFile(keyFile, []byte("demo-caller-key-0001\n"), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(jobFile, []byte(job), 0o600); err != nil {
		return err
	}
	if err := putCatalogue(ctx, address); err != nil {
		return err
	}
	tool := func(args ...string) (string, int) {
		var out strings.Builder
		code := command.Main(append(args, "-address", address, "-key-file", keyFile), &out, os.Stderr)
		return strings.TrimSpace(out.String()), code
	}
	if out, code := tool("steps", "submit", "proofs", "job-1", jobFile); code != command.ExitOK {
		return fmt.Errorf("submit: exit code %d: %s", code, out)
	}
	fmt.Println("job-1 accepted")
	for last := ""; ctx.Err() == nil; time.Sleep(pollInterval) {
		out, code := tool("steps", "explain", "proofs", "job-1")
		if code != command.ExitOK {
			return fmt.Errorf("explain: exit code %d: %s", code, out)
		}
		if out != last {
			fmt.Println(out)
		}
		last = out
		if strings.Contains(out, ": done,") {
			return nil
		}
	}
	return ctx.Err()
}

func putCatalogue(ctx context.Context, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, address+"/v1/catalogue", strings.NewReader(catalogue))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("catalogue: status %d", response.StatusCode)
	}
	return nil
}
