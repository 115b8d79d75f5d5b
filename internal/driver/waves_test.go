package driver_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/driver"
	pb "sapphirering/internal/workflow/workflowpb"
	"sapphirering/test/standin"
)

// busyPlatform answers busy to every order and lists the given VMs, beside entries that cannot be
// read.
type busyPlatform struct {
	listed     []driver.VM
	unreadable int
}

func (p busyPlatform) List(context.Context) (driver.VMList, error) {
	return driver.VMList{VMs: p.listed, Unreadable: p.unreadable}, nil
}

func (p busyPlatform) Move(context.Context, driver.VMOrder, string) (driver.VMRefusal, error) {
	return driver.VMBusy, nil
}

func (p busyPlatform) Maintain(context.Context, driver.VMOrder, uint64) (driver.VMRefusal, error) {
	return driver.VMBusy, nil
}

// TestWaveWithVMGoneForGood declares a wave of one VM that the platform does not
// take down: the wave completes without it if lists no longer contain the VM, and
// does not while they do or may do.
func TestWaveWithVMGoneForGood(t *testing.T) {
	for _, test := range []struct {
		name       string
		listed     []driver.VM
		unreadable int
		done       bool
	}{
		{"gone", []driver.VM{{Name: "vm-other"}}, 0, true},
		{"down for now", []driver.VM{{Name: "vm-lost", State: driver.VMDown}}, 0, false},
		{"down for now beside an entry that cannot be read", []driver.VM{{Name: "vm-lost", State: driver.VMDown}}, 1, false},
		{"its entry cannot be read", []driver.VM{{Name: "vm-other"}}, 1, false},
		{"an empty list", nil, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newRig(t, "a")
			r.vms = busyPlatform{test.listed, test.unreadable}
			r.startLeader()
			wave := &pb.Wave{Id: 1, Vms: []string{"vm-lost"}, Cap: 1, DurationMs: 20_000}
			is.Equal(r.request(&pb.Request{Operation: pb.Operation_OPERATION_DECLARE_WAVE, Wave: wave}).Answer, pb.Answer_ANSWER_OK)
			complete := func() bool {
				return r.request(&pb.Request{Operation: pb.Operation_OPERATION_GET_WAVE, Wave: wave}).Complete
			}
			if test.done {
				r.eventually("the wave ends", testWait, complete)
				return
			}
			time.Sleep(testWait)
			is.True(!complete())
		})
	}
}

// countingPlatform takes every VM down and records the VMs and the time of the last order.
type countingPlatform struct {
	busyPlatform
	mu      sync.Mutex
	ordered map[string]bool
	last    time.Time
}

func (p *countingPlatform) Maintain(_ context.Context, order driver.VMOrder, _ uint64) (driver.VMRefusal, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ordered[order.VM], p.last = true, time.Now()
	return driver.VMAccepted, nil
}

// TestWideWaveIsOrderedInTime declares a wave that only ends in time if all its VMs go down
// together: with one order per round the orders would take four seconds.
func TestWideWaveIsOrderedInTime(t *testing.T) {
	const vms, durationMS = 40, 1500
	is := is.New(t)
	r := newRig(t, "a")
	platform := &countingPlatform{ordered: make(map[string]bool)}
	r.vms = platform
	r.startLeader()
	wave := &pb.Wave{Id: 1, Cap: vms, DurationMs: durationMS}
	for i := range vms {
		wave.Vms = append(wave.Vms, fmt.Sprintf("vm-%d", i))
	}
	began := time.Now()
	is.Equal(r.request(&pb.Request{Operation: pb.Operation_OPERATION_DECLARE_WAVE, Wave: wave}).Answer, pb.Answer_ANSWER_OK)
	ordered := func() int {
		platform.mu.Lock()
		defer platform.mu.Unlock()
		return len(platform.ordered)
	}
	r.eventually("all VMs are ordered down", testWait, func() bool { return ordered() == vms })
	is.True(platform.last.Sub(began) < durationMS*time.Millisecond)
}

// restartingPlatform carries out the maintenance of the VM of target "a" at once: target "a2"
// starts there. The first order gets no answer; later ones are accepted, since the
// maintenance is over, but only once answer is closed.
type restartingPlatform struct {
	busyPlatform
	fleet  *standin.StepFleet
	once   sync.Once
	answer chan struct{}
}

func (p *restartingPlatform) Maintain(ctx context.Context, _ driver.VMOrder, _ uint64) (driver.VMRefusal, error) {
	first := false
	p.once.Do(func() {
		p.fleet.RestartVM("a", "a2")
		first = true
	})
	if !first {
		select {
		case <-p.answer:
			return driver.VMAccepted, nil
		case <-ctx.Done():
		}
	}
	<-ctx.Done()
	return 0, ctx.Err()
}

// TestMaintenanceOrderedByFormerLeader changes the leader between an order for maintenance and
// its answer. By the time that the platform accepts the new leader's order, the VM is back:
// what runs there does not run a second time.
func TestMaintenanceOrderedByFormerLeader(t *testing.T) {
	is := is.New(t)
	r := newRig(t, "a", "b")
	platform := &restartingPlatform{fleet: r.fleet, answer: make(chan struct{})}
	r.vms = platform
	r.startLeader()
	wave := &pb.Wave{Id: 1, Vms: []string{"vm-a"}, Cap: 1, DurationMs: 20_000}
	is.Equal(r.request(&pb.Request{Operation: pb.Operation_OPERATION_DECLARE_WAVE, Wave: wave}).Answer, pb.Answer_ANSWER_OK)
	r.eventually("the VM restarts", testWait, func() bool { return r.fleet.Exists("a2") })
	r.startLeader()
	r.fleet.ChangeAll(func(t *standin.StepTarget) { t.Work = time.Hour })
	r.submit("j", 8)
	r.eventually("some tasks run", testWait, func() bool { return r.fleet.Running("b") == 4 })
	time.Sleep(500 * time.Millisecond)
	r.fleet.Add("c") // has room for a second run of each task on a2
	close(platform.answer)
	complete := func() bool {
		return r.request(&pb.Request{Operation: pb.Operation_OPERATION_GET_WAVE, Wave: wave}).Complete
	}
	r.eventually("the wave ends", testWait, complete)
	time.Sleep(500 * time.Millisecond)
	r.reportFaults()
	// The VM takes starts again; the others have no room.
	r.submit("k", 4)
	r.eventually("the VM takes starts", testWait, func() bool { return r.fleet.Running("a2") == 4 })
	r.reportFaults()
}
