package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/state"
	"sapphirering/internal/state/statepb"
	"sapphirering/internal/wire/wirepb"
)

// fakeLog applies each proposed command at once.
type fakeLog struct {
	machine *state.Machine
	wall    func() time.Time
	index   uint64
	commits int
	deposed bool
	// failing makes every proposal fail while leadership is still confirmed.
	failing bool
}

func (l *fakeLog) ProposeLocal(_ context.Context, command *statepb.Command) (*statepb.Outcome, error) {
	if l.deposed || l.failing {
		return nil, errors.New("not leader")
	}
	stamped := proto.CloneOf(command)
	stamped.TimeUnixMs = l.wall().UnixMilli()
	data, err := proto.Marshal(stamped)
	if err != nil {
		return nil, err
	}
	l.index++
	l.commits++
	return l.machine.Apply(l.index, data).(*statepb.Outcome), nil
}

func (l *fakeLog) ConfirmLeadership(context.Context) error {
	if l.deposed {
		return errors.New("not leader")
	}
	return nil
}

func (l *fakeLog) CommitIndex() uint64 { return l.index }

// fakeClock has a monotonic time and a wall time, which may jump.
type fakeClock struct{ mono, wall time.Time }

func (c *fakeClock) now() time.Time { return c.mono }

func (c *fakeClock) advance(d time.Duration) {
	c.mono = c.mono.Add(d)
	c.wall = c.wall.Add(d)
}

// testbed is one leader with a fake log and a fake clock.
type testbed struct {
	t       testing.TB
	clock   *fakeClock
	log     *fakeLog
	machine *state.Machine
	manager *Manager
}

const testLease = 4 * time.Second

func newTestbed(t testing.TB) *testbed {
	start := time.UnixMilli(1_700_000_000_000)
	clock := &fakeClock{mono: start, wall: start}
	machine := state.New()
	log := &fakeLog{machine: machine, wall: func() time.Time { return clock.wall }}
	b := &testbed{t: t, clock: clock, log: log, machine: machine}
	b.elect()
	return b
}

// elect replaces the leader by a new one over the same committed state.
func (b *testbed) elect() {
	b.manager = NewManager(Config{
		Machine: b.machine, Log: b.log, Lease: testLease, Now: b.clock.now,
		NowMS: func() int64 { return b.clock.wall.UnixMilli() },
	})
	b.manager.sessions.start(b.machine.Sessions())
}

func (b *testbed) apply(command *statepb.Command) *statepb.Outcome {
	b.t.Helper()
	outcome, err := b.log.ProposeLocal(context.Background(), command)
	if err != nil {
		b.t.Fatal(err)
	}
	return outcome
}

func (b *testbed) mustApply(command *statepb.Command) *statepb.Outcome {
	b.t.Helper()
	outcome := b.apply(command)
	if outcome.Code != statepb.Code_CODE_OK {
		b.t.Fatalf("%s: %s", outcome.Code, outcome.Message)
	}
	return outcome
}

func (b *testbed) addPool(name string) {
	b.mustApply(&statepb.Command{Body: &statepb.Command_PutPool{PutPool: &statepb.PutPool{Pool: &statepb.Pool{Name: name}}}})
}

// putDocument writes a team's document with one queue and returns its revision.
func (b *testbed) putDocument(team string, limit uint32, open bool) uint64 {
	return b.mustApply(&statepb.Command{Body: &statepb.Command_ApplyDocument{ApplyDocument: &statepb.ApplyDocument{
		BaseRevision: b.machine.Document(team).GetRevision(),
		Document: &statepb.TeamDocument{
			Team: team, ShareWeight: 1, UpperLimitUnits: limit,
			Queues: []*statepb.Queue{{
				Name: team + "-queue", Pool: "p", Open: open, Class: statepb.Class_CLASS_NORMAL,
				MaxQueued: 100, MaxDeadlineMs: 30_000,
			}},
		},
	}}}).Revision
}

func (b *testbed) openSession(session string) {
	b.mustApply(&statepb.Command{Body: &statepb.Command_OpenSession{OpenSession: &statepb.OpenSession{
		Session: &statepb.Session{Id: session, Member: "m-" + session, MemberName: "n-" + session, Zone: "a"},
	}}})
}

// renew renews a session that has applied the whole log.
func (b *testbed) renew(session string, demands ...*wirepb.TeamDemand) *wirepb.CallResponse {
	return b.renewAt(session, b.log.index, demands...)
}

func (b *testbed) renewAt(session string, applied uint64, demands ...*wirepb.TeamDemand) *wirepb.CallResponse {
	return b.manager.Renew(context.Background(), &wirepb.RenewRequest{
		Session: session, Member: "m-" + session, AppliedIndex: applied, Demands: demands,
	})
}

func (b *testbed) runLoop(run func(context.Context) error) {
	b.t.Helper()
	if err := run(context.Background()); err != nil {
		b.t.Fatal(err)
	}
}
