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
	// pollPlatform is how often the state of an operation is asked for.
	pollPlatform = time.Second
	// maxPlatformCalls bounds the calls under way at once.
	maxPlatformCalls = 16
)

// Platform reboots VMs. Calls with the same id are the same operation.
type Platform interface {
	Ask(ctx context.Context, id string, r platform.Request) (*platform.Operation, error)
}

// operationState is what is known of an operation.
type operationState struct {
	done   bool
	failed bool
	reason string
}

// platformCalls holds the calls of one leadership.
type platformCalls struct {
	mu       sync.Mutex
	known    map[string]operationState
	asked    map[string]time.Time
	underWay map[string]bool
}

func newPlatformCalls() *platformCalls {
	return &platformCalls{
		known: make(map[string]operationState), asked: make(map[string]time.Time), underWay: make(map[string]bool),
	}
}

// operationID names the one reboot of one drain. Every leader derives the same
// id, so a resend after a lost answer or a change of the leader is the same
// operation at the platform.
func operationID(wave, vm string, drain uint64) string {
	return fmt.Sprintf("%s.%s.%d", wave, vm, drain)
}

// askPlatform returns what is known of the VM's operation and asks again in
// the background when that is due.
func (m *Manager) askPlatform(ctx context.Context, vm *statepb.VM, wave *statepb.Wave) operationState {
	if m.cfg.Platform == nil {
		return operationState{}
	}
	calls := m.fleet.calls
	id := operationID(wave.GetId(), vm.Name, vm.DrainRevision)
	action := wave.GetAction()
	if action == "" {
		action = defaultAction
	}
	if calls.begin(id, m.cfg.Now()) {
		request := platform.Request{VM: vm.Name, Action: action}
		go calls.ask(context.WithoutCancel(ctx), m.cfg.Platform, id, request)
	}
	calls.mu.Lock()
	defer calls.mu.Unlock()
	return calls.known[id]
}

// begin reports whether the operation is to be asked for now.
func (c *platformCalls) begin(id string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.known[id]
	if state.done || state.failed || c.underWay[id] || len(c.underWay) >= maxPlatformCalls {
		return false
	}
	if asked, ok := c.asked[id]; ok && now.Sub(asked) < pollPlatform {
		return false
	}
	c.asked[id] = now
	c.underWay[id] = true
	return true
}

func (c *platformCalls) ask(ctx context.Context, p Platform, id string, r platform.Request) {
	operation, err := p.Ask(ctx, id, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.underWay, id)
	if err != nil {
		event.PlatformFailed.Emit(event.F("operation", id), event.Err(err))
		return
	}
	c.known[id] = operationState{
		done: operation.State == platform.StateDone, failed: operation.State == platform.StateFailed, reason: operation.Reason,
	}
}
