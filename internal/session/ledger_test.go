package session

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire"
	"sapphirering/internal/wire/wirepb"
)

const testLease = 4 * time.Second

// fakeLeader commits proposals at once, or holds them back so that a test can
// commit them later, twice or never.
type fakeLeader struct {
	mu         sync.Mutex
	machine    *state.Machine
	index      uint64
	holdBack   bool
	heldBack   []*statepb.Command
	renewError error
	proposed   chan struct{}
}

func newFakeLeader() *fakeLeader {
	return &fakeLeader{machine: state.New(), proposed: make(chan struct{}, 1024)}
}

func (l *fakeLeader) commit(command *statepb.Command) *statepb.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.apply(command)
}

func (l *fakeLeader) apply(command *statepb.Command) *statepb.Outcome {
	data, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	l.index++
	return l.machine.Apply(l.index, data).(*statepb.Outcome)
}

func (l *fakeLeader) Propose(_ context.Context, command *statepb.Command) (*statepb.Outcome, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() { l.proposed <- struct{}{} }()
	if l.holdBack {
		l.heldBack = append(l.heldBack, command)
		return nil, errors.New("outcome unknown")
	}
	return l.apply(command), nil
}

func (l *fakeLeader) Renew(context.Context, *wirepb.RenewRequest) (*wirepb.RenewResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.renewError != nil {
		return nil, l.renewError
	}
	return &wirepb.RenewResponse{LeaseMs: uint32(testLease.Milliseconds())}, nil
}

func (l *fakeLeader) setHoldBack(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdBack = on
}

func (l *fakeLeader) takeHeldBack() []*statepb.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.heldBack
	l.heldBack = nil
	return held
}

// daemon is one holder with a clock that the test moves.
type daemon struct {
	t      *testing.T
	leader *fakeLeader
	holder *Holder
	now    time.Time
	mu     sync.Mutex
}

func newDaemon(t *testing.T, limit uint32) *daemon {
	d := &daemon{t: t, leader: newFakeLeader(), now: time.UnixMilli(1_700_000_000_000)}
	d.leader.commit(&statepb.Command{Body: &statepb.Command_PutPool{PutPool: &statepb.PutPool{Pool: &statepb.Pool{Name: "p"}}}})
	d.leader.commit(&statepb.Command{Body: &statepb.Command_ApplyDocument{ApplyDocument: &statepb.ApplyDocument{
		Document: &statepb.TeamDocument{Team: "team", ShareWeight: 1, UpperLimitUnits: limit},
	}}})
	d.restart(1)
	return d
}

// restart replaces the holder by that of another process of the same VM.
func (d *daemon) restart(incarnation uint64) {
	d.holder = NewHolder(Config{
		MemberID: "member", MemberName: "vm", Incarnation: incarnation, Zone: "a", Lease: testLease,
		Machine: d.leader.machine, Leader: d.leader, Now: d.clock,
	})
}

func (d *daemon) clock() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now
}

func (d *daemon) advance(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.now = d.now.Add(by)
}

func (d *daemon) renew() error { return d.holder.renew(context.Background()) }

func (d *daemon) grant(units uint32) {
	session, _ := d.holder.Session()
	outcome := d.leader.commit(&statepb.Command{Body: &statepb.Command_SetReservations{SetReservations: &statepb.SetReservations{
		Session: session, Reservations: []*statepb.Reservation{{Team: "team", Units: units}},
	}}})
	if outcome.Code != statepb.Code_CODE_OK {
		d.t.Fatal(outcome.Message)
	}
}

// requestRelease asks the holder to go down to units and waits until the
// proposal has ended.
func (d *daemon) requestRelease(units uint32) {
	session, _ := d.holder.Session()
	d.holder.Release(&wirepb.ReleaseRequest{Session: session, Wanted: []*statepb.Reservation{{Team: "team", Units: units}}})
	ledger := d.holder.Ledger()
	for {
		ledger.mu.Lock()
		done := !ledger.releasing
		ledger.mu.Unlock()
		if done {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (d *daemon) acquireAll(open bool) []*Unit {
	var units []*Unit
	for {
		unit := d.holder.Ledger().Acquire("team", open)
		if unit == nil {
			return units
		}
		units = append(units, unit)
	}
}

// TestResentReleaseAfterGrant commits a release twice, the second time after the
// leader granted the units again: the late copy must not take units that are in use.
func TestResentReleaseAfterGrant(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, 8)
	is.NoErr(d.renew())
	d.grant(8)
	d.leader.setHoldBack(true)
	d.requestRelease(3)
	release := d.leader.takeHeldBack()[0]
	d.leader.setHoldBack(false)
	is.Equal(len(d.acquireAll(false)), 3) // the release may be applied at any time
	d.leader.commit(release)
	d.grant(8)
	d.holder.Ledger().setWanted(nil)      // the next renewal asks for no release
	is.Equal(len(d.acquireAll(false)), 5) // the release is applied and its limit ended: 5 units of the new grant are free
	d.leader.commit(release)
	is.Equal(d.leader.machine.AllocatedUnits("team"), uint32(8)) // the units in use stay reserved
}

// TestReleaseCoversRunning checks that units in use are never released.
func TestReleaseCoversRunning(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, 8)
	is.NoErr(d.renew())
	d.grant(8)
	running := d.acquireAll(false)
	d.requestRelease(0)
	is.Equal(d.leader.machine.AllocatedUnits("team"), uint32(8))
	running[0].Release()
	d.requestRelease(0)
	is.Equal(d.leader.machine.AllocatedUnits("team"), uint32(7))
	is.Equal(len(d.acquireAll(false)), 0)
}

// TestRunningWithinReserved takes random steps with lost and late releases: the
// units in use never exceed the units that the committed state reserves.
func TestRunningWithinReserved(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := newDaemon(t, 10)
		if err := d.renew(); err != nil {
			rt.Fatal(err)
		}
		var units []*Unit
		var late []*statepb.Command
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				d.grant(max(d.leader.machine.AllocatedUnits("team"), rapid.Uint32Range(0, 10).Draw(rt, "grant")))
			case 1:
				d.leader.setHoldBack(rapid.Bool().Draw(rt, "lost"))
				d.requestRelease(rapid.Uint32Range(0, 10).Draw(rt, "want"))
				d.leader.setHoldBack(false)
				late = append(late, d.leader.takeHeldBack()...)
			case 2:
				if len(late) > 0 {
					d.leader.commit(late[rapid.IntRange(0, len(late)-1).Draw(rt, "late")])
				}
			case 3, 4:
				if unit := d.holder.Ledger().Acquire("team", false); unit != nil {
					units = append(units, unit)
				}
			default:
				if len(units) > 0 {
					units[0].Release()
					units = units[1:]
				}
			}
			if held := d.leader.machine.AllocatedUnits("team"); uint32(len(units)) > held {
				rt.Fatalf("%d units in use, %d reserved", len(units), held)
			}
		}
	})
}

// TestLeaseCountsFromSending checks that a lease counts from when the renewal
// was sent.
func TestLeaseCountsFromSending(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, 8)
	is.NoErr(d.renew())
	d.advance(testLease - time.Millisecond)
	is.True(d.holder.Live())
	d.advance(time.Millisecond)
	is.True(!d.holder.Live())
	is.True(d.holder.Ledger().Acquire("team", false) == nil) // a daemon that was frozen for a whole lease starts no work
}

// TestSessionReopened lets the session expire: the new one has no units of the old one.
func TestSessionReopened(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, 8)
	is.NoErr(d.renew())
	d.grant(8)
	old := d.acquireAll(false)
	d.leader.renewError = &wire.CallError{Code: wirepb.ErrorCode_ERROR_CODE_SESSION_EXPIRED}
	is.True(d.renew() != nil)
	is.Equal(len(d.acquireAll(false)), 0)
	d.leader.renewError = nil
	is.NoErr(d.renew())
	is.Equal(len(d.acquireAll(false)), 0) // every unit stays reserved for the old session until it is reclaimed
	old[0].Release()                      // does not change the counts of the new session
	is.Equal(d.holder.Ledger().running("member/1/2"), uint32(0))
	is.Equal(d.holder.Ledger().running("member/1/1"), uint32(7))
}

// TestExpiredSessionIsClosed checks that an expired session is closed, and
// its units returned, once nothing runs under it, before it is reclaimed.
func TestExpiredSessionIsClosed(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, 8)
	is.NoErr(d.renew())
	d.grant(8)
	old := d.acquireAll(false)
	d.leader.renewError = &wire.CallError{Code: wirepb.ErrorCode_ERROR_CODE_SESSION_EXPIRED}
	is.True(d.renew() != nil)
	d.leader.renewError = nil
	is.NoErr(d.renew())
	is.Equal(d.leader.machine.AllocatedUnits("team"), uint32(8)) // work of the old session still runs
	for _, unit := range old {
		unit.Release()
	}
	is.NoErr(d.renew())
	is.Equal(d.leader.machine.AllocatedUnits("team"), uint32(0))
}

// TestSecondProcessWaitsForKeptReservation starts another process of the VM:
// it uses the kept reservation only when no work of the first one can still run.
func TestSecondProcessWaitsForKeptReservation(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, 8)
	d.leader.commit(&statepb.Command{Body: &statepb.Command_SetKeptReservations{SetKeptReservations: &statepb.SetKeptReservations{
		Kept: []*statepb.KeptReservation{{MemberName: "vm", Team: "team", Units: 2}},
	}}})
	d.advance(state.MaxRequestDeadlineMS * time.Millisecond)
	is.Equal(len(d.acquireAll(true)), 2) // without a lease, work of open queues runs under the kept reservation
	is.Equal(len(d.acquireAll(false)), 0)
	d.restart(2)
	is.Equal(len(d.acquireAll(true)), 0)
	d.advance(state.MaxRequestDeadlineMS * time.Millisecond)
	is.Equal(len(d.acquireAll(true)), 2)
}

// TestNewKeptReservationIsUsableAtOnce gives a VM a kept reservation after its
// process opened a session: no earlier process can have used it. A later process
// waits.
func TestNewKeptReservationIsUsableAtOnce(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, 8)
	is.NoErr(d.renew())
	d.leader.commit(&statepb.Command{Body: &statepb.Command_SetKeptReservations{SetKeptReservations: &statepb.SetKeptReservations{
		Kept: []*statepb.KeptReservation{{MemberName: "vm", Team: "team", Units: 2}},
	}}})
	d.advance(2 * testLease)
	is.Equal(len(d.acquireAll(true)), 2) // the lease has run out since the VM got the reservation
	d.restart(2)
	is.NoErr(d.renew())
	d.advance(2 * testLease)
	is.Equal(len(d.acquireAll(true)), 0)
	d.advance(state.MaxRequestDeadlineMS * time.Millisecond)
	is.Equal(len(d.acquireAll(true)), 2)
}

// TestKeptReservationLoweredByHolder lowers the kept reservation no further
// than the units in use under it.
func TestKeptReservationLoweredByHolder(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, 8)
	d.leader.commit(&statepb.Command{Body: &statepb.Command_SetKeptReservations{SetKeptReservations: &statepb.SetKeptReservations{
		Kept: []*statepb.KeptReservation{{MemberName: "vm", Team: "team", Units: 4}},
	}}})
	d.advance(state.MaxRequestDeadlineMS * time.Millisecond)
	first := d.holder.Ledger().Acquire("team", true)
	is.True(first != nil)
	d.holder.Ledger().setWantedKept([]*statepb.Reservation{{Team: "team", Units: 0}})
	<-d.leader.proposed
	is.Equal(d.leader.machine.KeptUnits("vm", "team"), uint32(1))
	is.True(d.holder.Ledger().Acquire("team", true) == nil)
}

// TestClose closes the session and returns its units, but not while a unit is in use.
func TestClose(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, 8)
	is.NoErr(d.renew())
	d.grant(8)
	unit := d.holder.Ledger().Acquire("team", false)
	is.True(errors.Is(d.holder.Close(context.Background()), ErrWorkRunning))
	is.Equal(d.leader.machine.AllocatedUnits("team"), uint32(8))
	unit.Release()

	d = newDaemon(t, 8)
	is.NoErr(d.renew())
	d.grant(8)
	is.NoErr(d.holder.Close(context.Background()))
	is.Equal(d.leader.machine.AllocatedUnits("team"), uint32(0))
	is.True(!d.holder.Live())
	is.True(d.holder.Ledger().Acquire("team", false) == nil)
	is.True(d.holder.renew(context.Background()) == nil || !d.holder.Live()) // a closed holder gets no live lease again
}

// TestWantedBelowRunning asks for a release while every unit is in use: units
// that end are not used again, and each one is released as it ends.
func TestWantedBelowRunning(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, 8)
	is.NoErr(d.renew())
	d.grant(8)
	running := d.acquireAll(false)
	d.requestRelease(6)
	running[0].Release()
	is.True(d.holder.Ledger().Acquire("team", false) == nil)
	d.waitHandedOut(7)
	running[1].Release()
	d.waitHandedOut(6)
	running[2].Release()
	is.Equal(len(d.acquireAll(false)), 1) // 5 of the 6 wanted units were in use
	d.advance(wantedLifetime)
	running[3].Release()
	is.Equal(len(d.acquireAll(false)), 1) // the leader's request has lapsed; 5 of 6 units were in use
}

func (d *daemon) waitHandedOut(units uint32) {
	d.t.Helper()
	for range 1000 {
		if d.leader.machine.AllocatedUnits("team") == units {
			return
		}
		time.Sleep(time.Millisecond)
	}
	d.t.Fatalf("%d units handed out, want %d", d.leader.machine.AllocatedUnits("team"), units)
}
