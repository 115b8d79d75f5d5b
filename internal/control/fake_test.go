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

// fakeLog applies each proposal at once.
type fakeLog struct {
	machine *state.Machine
	wall    func() time.Time
	index   uint64
	commits int
	deposed bool
	// refuse is the body of a command that is not committed.
	lost bool
}

func (l *fakeLog) ProposeLocal(_ context.Context, command *statepb.Command) (*statepb.Outcome, error) {
	if l.deposed || l.lost {
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

// fakeClock has a monotonic part and a wall part, which may jump.
type fakeClock struct{ mono, wall time.Time }

func (c *fakeClock) now() time.Time { return c.mono }

func (c *fakeClock) advance(d time.Duration) {
	c.mono = c.mono.Add(d)
	c.wall = c.wall.Add(d)
}

// bench is one leader with its fakes.
type bench struct {
	t       testing.TB
	clock   *fakeClock
	log     *fakeLog
	machine *state.Machine
	manager *Manager
}

const testLease = 4 * time.Second

func newBench(t testing.TB) *bench {
	start := time.UnixMilli(1_700_000_000_000)
	clock := &fakeClock{mono: start, wall: start}
	machine := state.New()
	log := &fakeLog{machine: machine, wall: func() time.Time { return clock.wall }}
	b := &bench{t: t, clock: clock, log: log, machine: machine}
	b.elect()
	return b
}

// elect makes a new leader over the same state.
func (b *bench) elect() {
	b.manager = NewManager(Config{
		Machine: b.machine, Log: b.log, Lease: testLease, Now: b.clock.now,
		NowMS: func() int64 { return b.clock.wall.UnixMilli() },
	})
	b.manager.sessions.start(b.machine.Sessions())
}

func (b *bench) apply(command *statepb.Command) *statepb.Outcome {
	b.t.Helper()
	outcome, err := b.log.ProposeLocal(context.Background(), command)
	if err != nil {
		b.t.Fatal(err)
	}
	return outcome
}

func (b *bench) must(command *statepb.Command) *statepb.Outcome {
	b.t.Helper()
	outcome := b.apply(command)
	if outcome.Code != statepb.Code_CODE_OK {
		b.t.Fatalf("%s: %s", outcome.Code, outcome.Message)
	}
	return outcome
}

func (b *bench) pool(name string) {
	b.must(&statepb.Command{Body: &statepb.Command_PutPool{PutPool: &statepb.PutPool{Pool: &statepb.Pool{Name: name}}}})
}

// document writes a team's document with one queue of its own.
func (b *bench) document(team string, limit uint32, open bool) uint64 {
	return b.must(&statepb.Command{Body: &statepb.Command_ApplyDocument{ApplyDocument: &statepb.ApplyDocument{
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

func (b *bench) open(session string) {
	b.must(&statepb.Command{Body: &statepb.Command_OpenSession{OpenSession: &statepb.OpenSession{
		Session: &statepb.Session{Id: session, Member: "m-" + session, MemberName: "n-" + session, Zone: "a"},
	}}})
}

// renew renews a session that has applied everything.
func (b *bench) renew(session string, demands ...*wirepb.TeamDemand) *wirepb.CallResponse {
	return b.renewAt(session, b.log.index, demands...)
}

func (b *bench) renewAt(session string, applied uint64, demands ...*wirepb.TeamDemand) *wirepb.CallResponse {
	return b.manager.Renew(context.Background(), &wirepb.RenewRequest{
		Session: session, Member: "m-" + session, AppliedIndex: applied, Demands: demands,
	})
}

func (b *bench) step(run func(context.Context) error) {
	b.t.Helper()
	if err := run(context.Background()); err != nil {
		b.t.Fatal(err)
	}
}
