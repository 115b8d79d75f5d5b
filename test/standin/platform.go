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

// VMControl holds the platform's operations on one VM.
type VMControl struct {
	// Stop stops the VM at once.
	Stop func()
	// Start starts it as a new incarnation.
	Start func() error
}

// Platform is a small stand-in for the platform that owns the VMs. An operation
// that is sent again under the same id runs once.
type Platform struct {
	listener   net.Listener
	server     *http.Server
	goroutines sync.WaitGroup
	// rebootTime is how long a VM is stopped during a reboot.
	rebootTime time.Duration

	mu         sync.Mutex
	vms        map[string]VMControl
	operations map[string]*platform.Operation
	// reboots counts the reboots that were started, by VM.
	reboots       map[string]int
	failing       map[string]bool
	answersToLose int
	answerDelay   time.Duration
}

// StartPlatform starts a platform whose reboots take the given time.
func StartPlatform(listen string, rebootTime time.Duration) (*Platform, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("stand-in platform: %w", err)
	}
	p := &Platform{
		listener: listener, rebootTime: rebootTime, vms: make(map[string]VMControl),
		operations: make(map[string]*platform.Operation), reboots: make(map[string]int), failing: make(map[string]bool),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/operations/{id}", p.serveOperation)
	p.server = &http.Server{Handler: mux}
	p.goroutines.Go(func() { p.server.Serve(listener) })
	return p, nil
}

// Address returns the base URL of the platform.
func (p *Platform) Address() string { return "http://" + p.listener.Addr().String() }

// Close stops the platform and waits for reboots under way.
func (p *Platform) Close() {
	p.server.Close()
	p.goroutines.Wait()
}

// AddVM adds a VM to the platform.
func (p *Platform) AddVM(vm string, control VMControl) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm] = control
}

// FailReboots makes reboots of the VM fail: it stops and does not start again.
func (p *Platform) FailReboots(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failing[vm] = true
}

// LoseAnswers carries out the next n calls but drops their answers.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answersToLose = n
}

// Delay delays every answer by d.
func (p *Platform) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answerDelay = d
}

// Reboots returns how many reboots of the VM were started.
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

// begin starts the operation unless its id is known. It returns the operation,
// whether its answer is dropped, and the delay of the answer.
func (p *Platform) begin(id string, r platform.Request) (platform.Operation, bool, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := p.answersToLose > 0
	if lost {
		p.answersToLose--
	}
	operation := p.operations[id]
	if operation == nil {
		control, ok := p.vms[r.VM]
		if !ok {
			return platform.Operation{}, false, 0, fmt.Errorf("VM %q does not exist", r.VM)
		}
		operation = &platform.Operation{ID: id, VM: r.VM, Action: r.Action, State: platform.StateRunning}
		p.operations[id] = operation
		p.reboots[r.VM]++
		fails := p.failing[r.VM]
		p.goroutines.Go(func() { p.reboot(id, control, fails) })
	}
	if operation.VM != r.VM || operation.Action != r.Action {
		return platform.Operation{}, false, 0, fmt.Errorf("operation %q was used for VM %q", id, operation.VM)
	}
	return *operation, lost, p.answerDelay, nil
}

func (p *Platform) reboot(id string, control VMControl, fails bool) {
	control.Stop()
	time.Sleep(p.rebootTime)
	state, reason := platform.StateDone, ""
	if fails {
		state, reason = platform.StateFailed, "the VM did not come up"
	} else if err := control.Start(); err != nil {
		state, reason = platform.StateFailed, err.Error()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.operations[id].State, p.operations[id].Reason = state, reason
}
