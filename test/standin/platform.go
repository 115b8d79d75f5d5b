package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"sapphirering/internal/platform"
)

// VMControl is what the platform can do to one VM.
type VMControl struct {
	// Stop takes the VM away at once.
	Stop func()
	// Start brings it back as a new incarnation.
	Start func() error
}

// Platform is a small stand-in for the platform that owns the VMs. Operations
// are idempotent by their id.
type Platform struct {
	listener net.Listener
	server   *http.Server
	done     sync.WaitGroup
	// away is how long a VM is gone while it reboots.
	away time.Duration

	mu         sync.Mutex
	machines   map[string]VMControl
	operations map[string]*platform.Operation
	// reboots counts the reboots begun, by VM.
	reboots map[string]int
	failing map[string]bool
	lose    int
	delay   time.Duration
}

// StartPlatform starts a platform whose reboots take the given time.
func StartPlatform(listen string, away time.Duration) (*Platform, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("stand-in platform: %w", err)
	}
	p := &Platform{
		listener: listener, away: away, machines: make(map[string]VMControl),
		operations: make(map[string]*platform.Operation), reboots: make(map[string]int), failing: make(map[string]bool),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/operations/{id}", p.serveOperation)
	p.server = &http.Server{Handler: mux}
	p.done.Go(func() { p.server.Serve(listener) })
	return p, nil
}

// Address returns the base URL of the platform.
func (p *Platform) Address() string { return "http://" + p.listener.Addr().String() }

// Close stops the platform and waits for reboots under way.
func (p *Platform) Close() {
	p.server.Close()
	p.done.Wait()
}

// AddVM puts a VM under the platform.
func (p *Platform) AddVM(vm string, m VMControl) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines[vm] = m
}

// FailReboots makes reboots of the VM fail: it goes away and does not return.
func (p *Platform) FailReboots(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failing[vm] = true
}

// LoseAnswers drops the answers of the next n calls after they took effect.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lose = n
}

// Delay holds every answer back.
func (p *Platform) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Reboots returns how many reboots of the VM were begun.
func (p *Platform) Reboots(vm string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reboots[vm]
}

func (p *Platform) serveOperation(w http.ResponseWriter, r *http.Request) {
	var request platform.Request
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	operation, lost, delay, err := p.begin(r.PathValue("id"), request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	select {
	case <-r.Context().Done():
	case <-time.After(delay):
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	json.NewEncoder(w).Encode(operation)
}

// begin starts the operation unless its id is known, and returns its record.
func (p *Platform) begin(id string, r platform.Request) (platform.Operation, bool, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := p.lose > 0
	if lost {
		p.lose--
	}
	operation := p.operations[id]
	if operation == nil {
		machine, ok := p.machines[r.VM]
		if !ok {
			return platform.Operation{}, false, 0, fmt.Errorf("VM %q does not exist", r.VM)
		}
		operation = &platform.Operation{ID: id, VM: r.VM, Action: r.Action, State: platform.StateRunning}
		p.operations[id] = operation
		p.reboots[r.VM]++
		fails := p.failing[r.VM]
		p.done.Go(func() { p.reboot(id, machine, fails) })
	}
	if operation.VM != r.VM || operation.Action != r.Action {
		return platform.Operation{}, false, 0, fmt.Errorf("operation %q was used for VM %q", id, operation.VM)
	}
	return *operation, lost, p.delay, nil
}

func (p *Platform) reboot(id string, machine VMControl, fails bool) {
	machine.Stop()
	time.Sleep(p.away)
	state, reason := platform.StateDone, ""
	if fails {
		state, reason = platform.StateFailed, "the VM did not come up"
	} else if err := machine.Start(); err != nil {
		state, reason = platform.StateFailed, err.Error()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.operations[id].State, p.operations[id].Reason = state, reason
}
