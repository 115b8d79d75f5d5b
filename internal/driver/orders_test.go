package driver

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/policy/pools"
	"sapphirering/internal/workflow"
	pb "sapphirering/internal/workflow/workflowpb"
)

// slowPlatform answers each order for a VM once it is released; it accepts all of them.
type slowPlatform struct{ release chan struct{} }

func (p slowPlatform) List(context.Context) (VMList, error) { return VMList{}, nil }

func (p slowPlatform) Move(ctx context.Context, _ VMOrder, _ string) (VMRefusal, error) {
	return p.answer(ctx)
}

func (p slowPlatform) Maintain(ctx context.Context, _ VMOrder, _ uint64) (VMRefusal, error) {
	return p.answer(ctx)
}

func (p slowPlatform) answer(ctx context.Context) (VMRefusal, error) {
	select {
	case <-p.release:
		return VMAccepted, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// leaseOnlyLog holds the leader's lease and commits nothing.
type leaseOnlyLog struct{}

func (leaseOnlyLog) Commit(context.Context, *pb.Command) (*workflow.Outcome, error) {
	return nil, context.DeadlineExceeded
}

func (leaseOnlyLog) HoldsLease() bool { return true }

// TestOrderAnswerAfterNextIncarnation answers an order for a VM after the VM's next
// incarnation has announced itself and got a run: only the incarnation that the order was for
// is over.
func TestOrderAnswerAfterNextIncarnation(t *testing.T) {
	const vm, former, next = "vm-t0", "t0", "next"
	wave := &pb.Wave{Id: 1, Vms: []string{vm}, Ordered: []string{vm}}
	for _, test := range []struct {
		name  string
		order func(d *Driver, now time.Time)
		// formerEnds is whether the answer shows that the former incarnation is over.
		formerEnds bool
	}{
		{"move", func(d *Driver, now time.Time) {
			d.beginMove(pools.Move{VM: vm, To: "other"}, now)
		}, true},
		{"maintenance", func(d *Driver, _ time.Time) {
			d.waves.maintenance(wave.Id, vm).ends = d.knownOn(vm)
			d.advanceMaintenance(wave, vm)
		}, true},
		// A former leader may have ordered it, so that it may be over already: the platform
		// accepts the order again.
		{"maintenance that a former leader ordered", func(d *Driver, _ time.Time) {
			d.advanceMaintenance(wave, vm)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newTestDriver(t, time.Now)
			platform := slowPlatform{make(chan struct{})}
			d.cfg.VMs, d.cfg.Log, d.fleet.vms = platform, leaseOnlyLog{}, make(map[string]VM)
			d.mu.Lock()
			test.order(d, time.Now())
			d.links[next] = &link{target: &pb.Target{Id: next, BornUnixMs: 2, Pool: "other", Vm: vm}, cancel: func() {}}
			started := &run{task: workflow.TaskID{Job: "k"}, attempt: 1, target: next, born: 2, phase: runConfirmed}
			d.addRun(started)
			d.mu.Unlock()
			close(platform.release)
			d.running.Wait()
			d.mu.Lock()
			defer d.mu.Unlock()
			is.True(d.links[next] != nil) // the next incarnation stays
			is.Equal(started.phase, runConfirmed)
			is.Equal(d.links[former] == nil, test.formerEnds)
		})
	}
}

// TestRepeatedMoveSparesItsResult orders the move of a VM to the pool in which its target
// already is: the platform accepts it, and nothing there ends.
func TestRepeatedMoveSparesItsResult(t *testing.T) {
	is := is.New(t)
	d := newTestDriver(t, time.Now)
	platform := slowPlatform{make(chan struct{})}
	close(platform.release)
	d.cfg.VMs, d.cfg.Log, d.fleet.vms = platform, leaseOnlyLog{}, make(map[string]VM)
	d.mu.Lock()
	d.beginMove(pools.Move{VM: "vm-t0", To: d.links["t0"].target.Pool}, time.Now())
	d.mu.Unlock()
	d.running.Wait()
	is.True(d.links["t0"] != nil)
	is.Equal(d.runs.find(workflow.TaskID{Job: "j"}, 1).phase, runConfirmed)
}

// TestListOlderThanAnnouncement applies a list of VMs that was asked for before a VM's next
// target announced itself: the announced pool stays.
func TestListOlderThanAnnouncement(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := newTestDriver(t, func() time.Time { return now })
	listed := []VM{{Name: "vm-t0", Pool: "resting", State: VMMoving}, {Name: "vm-t1", Pool: "p"}}
	d.updateFleet(VMList{VMs: listed}, now)
	asked := now.Add(time.Second)
	now = asked.Add(time.Second)
	d.noteVMBack(&pb.Target{Id: "next", Vm: "vm-t0", Pool: "p"})
	d.updateFleet(VMList{VMs: listed}, asked)
	is.Equal(d.fleet.vms["vm-t0"], VM{Name: "vm-t0", Pool: "p", State: VMUp, Target: "next"})
	d.updateFleet(VMList{VMs: listed}, now.Add(time.Second))
	is.Equal(d.fleet.vms["vm-t0"].Pool, "resting") // a later list is newer
}

// TestStartAnswerOfFormerIncarnation hands the driver the answer to a start that was sent to
// the former incarnation of a target: the present one stays, and is not silent.
func TestStartAnswerOfFormerIncarnation(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer Answer
		err    error
	}{
		{"another target answered", Answer{Refusal: OtherIncarnation}, nil},
		{"no answer", Answer{}, context.DeadlineExceeded},
		{"accepted", Answer{ClockMS: 77}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newTestDriver(t, time.Now)
			r := d.runs.find(workflow.TaskID{Job: "j"}, 1)
			former := d.links["t0"]
			r.phase = runCalling
			open := d.beginCall(former, r, "start", 0, func() {})
			next := &link{target: &pb.Target{Id: "t0", BornUnixMs: 2, Pool: "p", Vm: "vm-t0"}, cancel: func() {}}
			d.links["t0"] = next
			d.handleStartAnswer(r, open, test.answer, test.err, true)
			is.Equal(d.links["t0"], next)
			is.Equal(next.failures, 0)
			is.True(next.clockAt.IsZero())
		})
	}
}

// TestGrantForSlowClock grants a lease by a clock that was read long ago, at a target whose
// clock runs as slow as it may: the lease ends no later than leaseBound says.
func TestGrantForSlowClock(t *testing.T) {
	is := is.New(t)
	const idle, ttl = 5 * time.Minute, 6 * time.Second
	now := time.Now()
	d := newTestDriver(t, func() time.Time { return now })
	d.cfg.Limits.LeaseTTL = ttl
	l := d.links["t0"]
	targetClock := func(at time.Time, readAt time.Time) int64 {
		return 1000 + int64(float64(at.Sub(readAt).Milliseconds())*(1-clockDrift))
	}
	read := now
	d.noteClock(l, targetClock(now, read))
	now = now.Add(idle)
	until := d.grantLease(l, d.cfg.Limits.LeaseTTL)
	sent := now
	is.True(until > targetClock(sent, read)) // it is a lease
	is.True(targetClock(sent.Add(d.leaseBound()-lapseMargin), read) >= until-1)
	is.Equal(l.lapseAt, sent.Add(d.leaseBound()))
}

// TestNoGrantAfterLeaseIsLost loses the leader's lease while a listing call is prepared, as a
// process does that stands still at that moment: the call, with the target's lease in it, is
// not sent.
func TestNoGrantAfterLeaseIsLost(t *testing.T) {
	is := is.New(t)
	held := true
	// The clock is read for the grant: the lease is lost from there on.
	now := func() time.Time { held = false; return time.Now() }
	d := newTestDriver(t, time.Now)
	d.cfg.Log = leaseWhile{&held}
	l := d.links["t0"]
	d.noteClock(l, 1000)
	l.grantOpen = true
	_, _, pause := d.nextListing(d.ctx, l)
	is.Equal(pause, time.Duration(0))
	d.cfg.Now = now
	_, _, pause = d.nextListing(d.ctx, l)
	is.True(pause > 0)
}

// leaseWhile holds the leader's lease while held is set.
type leaseWhile struct{ held *bool }

func (leaseWhile) Commit(context.Context, *pb.Command) (*workflow.Outcome, error) {
	return nil, context.DeadlineExceeded
}

func (l leaseWhile) HoldsLease() bool { return *l.held }

// endingLease is a lease that is held until it ends.
type endingLease struct {
	leaseOnlyLog
	ended atomic.Bool
}

func (l *endingLease) HoldsLease() bool { return !l.ended.Load() }

// TestOrderEndsWithLease ends the lease while an order is under way, as a cut leader's does
// before another can be elected: the order is given up at once, not after its timeout.
func TestOrderEndsWithLease(t *testing.T) {
	is := is.New(t)
	d, _, _ := newDriverWithClock(t)
	lease, platform := new(endingLease), slowPlatform{make(chan struct{})}
	d.cfg.Log = lease
	answered := make(chan error, 1)
	d.callPlatform("vm-t0", func(ctx context.Context, order VMOrder) (VMRefusal, error) {
		lease.ended.Store(true)
		return platform.Move(ctx, order, "p")
	}, func(_ VMRefusal, err error) { answered <- err })
	select {
	case err := <-answered:
		is.True(err != nil)
	case <-time.After(platformTimeout / 2):
		t.Fatal("the order is still under way")
	}
}

// TestMissingVMInDoubtfulLists shows lists without the VM of a silent target that prove nothing: with an
// entry that cannot be read, empty, or asked for before the target's last message.
func TestMissingVMInDoubtfulLists(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := newTestDriver(t, func() time.Time { return now })
	now = now.Add(10 * time.Second)
	l := d.links["t0"]
	l.failures, l.announcedAt = 1, now
	others := []VM{{Name: "vm-t1", Pool: "p"}}
	next := func() time.Time {
		now = now.Add(time.Second)
		return now
	}
	for range goneAfterLists {
		d.updateFleet(VMList{VMs: others, Unreadable: 1}, next())
		d.updateFleet(VMList{}, next())
		d.updateFleet(VMList{VMs: others}, l.announcedAt.Add(-time.Second))
	}
	is.True(!l.vmIsGone())
	d.updateFleet(VMList{VMs: others}, next())
	d.updateFleet(VMList{VMs: []VM{{Name: "vm-t0", Pool: "p"}}}, next())
	d.updateFleet(VMList{VMs: others}, next())
	is.True(!l.vmIsGone()) // not in consecutive lists
	d.updateFleet(VMList{VMs: others}, next())
	is.True(l.vmIsGone())
}
