package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sapphirering/internal/event"
	"sapphirering/internal/platform"
	"sapphirering/internal/state/statepb"
)

const (
	// platformPollInterval is the time between two calls that ask for the state
	// of one operation.
	platformPollInterval = time.Second
	// maxPlatformCalls bounds the platform calls that are in flight at once.
	maxPlatformCalls = 16
)

// Platform reboots VMs. Calls with the same id refer to the same operation.
type Platform interface {
	PutOperation(ctx context.Context, id string, r platform.Request) (*platform.Operation, error)
}

// operationState is the last known state of a platform operation.
type operationState struct {
	done   bool
	failed bool
	reason string
}

// platformCalls holds the platform calls of one leadership, by operation id.
type platformCalls struct {
	mu        sync.Mutex
	states    map[string]operationState
	lastCalls map[string]time.Time
	inFlight  map[string]bool
}

func newPlatformCalls() *platformCalls {
	return &platformCalls{
		states: make(map[string]operationState), lastCalls: make(map[string]time.Time), inFlight: make(map[string]bool),
	}
}

// operationID returns the id of the one reboot of one drain. Every leader
// derives the same id, so a call that is repeated after a lost answer or a
// leader change refers to the same operation at the platform.
func operationID(wave, vm string, drain uint64) string {
	return fmt.Sprintf("%s.%s.%d", wave, vm, drain)
}

// pollOperation returns the last known state of the VM's operation and, when
// the next call is due, starts it in the background.
func (m *Manager) pollOperation(ctx context.Context, vm *statepb.VM, wave *statepb.Wave) operationState {
	if m.cfg.Platform == nil {
		return operationState{}
	}
	calls := m.fleet.calls
	id := operationID(wave.GetId(), vm.Name, vm.DrainRevision)
	action := wave.GetAction()
	if action == "" {
		action = defaultAction
	}
	if calls.beginCall(id, m.cfg.Now()) {
		request := platform.Request{VM: vm.Name, Action: action}
		go calls.call(context.WithoutCancel(ctx), m.cfg.Platform, id, request)
	}
	calls.mu.Lock()
	defer calls.mu.Unlock()
	return calls.states[id]
}

// beginCall reports whether a call for the operation is due, and if so counts
// it as in flight.
func (c *platformCalls) beginCall(id string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.states[id]
	if state.done || state.failed || c.inFlight[id] || len(c.inFlight) >= maxPlatformCalls {
		return false
	}
	if lastCall, ok := c.lastCalls[id]; ok && now.Sub(lastCall) < platformPollInterval {
		return false
	}
	c.lastCalls[id] = now
	c.inFlight[id] = true
	return true
}

func (c *platformCalls) call(ctx context.Context, p Platform, id string, r platform.Request) {
	operation, err := p.PutOperation(ctx, id, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inFlight, id)
	if err != nil {
		event.PlatformFailed.Emit(event.F("operation", id), event.Err(err))
		return
	}
	c.states[id] = operationState{
		done: operation.State == platform.StateDone, failed: operation.State == platform.StateFailed, reason: operation.Reason,
	}
}
