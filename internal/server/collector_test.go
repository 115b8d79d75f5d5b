package server

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/workflow/workflowpb"
)

// leaderFake is a leader that a collector passes requests on to.
type leaderFake struct {
	// lost is set while no leader can be reached.
	lost     bool
	collects bool
	unknown  []string
	passedOn []*workflowpb.Request
}

func (l *leaderFake) Do(_ context.Context, r *workflowpb.Request) *workflowpb.Response {
	if l.lost {
		return &workflowpb.Response{Answer: workflowpb.Answer_ANSWER_NOT_READY, Reason: "no leader"}
	}
	l.passedOn = append(l.passedOn, r)
	response := &workflowpb.Response{Answer: workflowpb.Answer_ANSWER_OK, CollectRepeats: l.collects, AnnounceAddress: "127.0.0.2:80"}
	if r.Operation == workflowpb.Operation_OPERATION_NOTE_HEARD {
		response.UnknownTargets = l.unknown
	}
	return response
}

// collectorRig is a collector with a fake leader and a clock of its own.
type collectorRig struct {
	*collector
	t        *testing.T
	leader   *leaderFake
	time     time.Time
	sequence uint64
}

func newCollectorRig(t *testing.T) *collectorRig {
	r := &collectorRig{t: t, leader: &leaderFake{collects: true}, time: time.Unix(1000, 0)}
	r.collector = newCollector(r.leader, func() bool { return false })
	r.now = func() time.Time { return r.time }
	return r
}

// announce announces a target and reports whether it was acknowledged and passed on to the leader.
func (r *collectorRig) announce(change func(*workflowpb.Request)) (acknowledged, passedOn bool) {
	r.sequence++
	request := &workflowpb.Request{
		Operation: workflowpb.Operation_OPERATION_ANNOUNCE, Sequence: r.sequence, TargetClockMs: r.time.UnixMilli(),
		Target: &workflowpb.Target{Id: "t", Address: "127.0.0.1:1", BornUnixMs: 7, Pool: "p"},
	}
	if change != nil {
		change(request)
	}
	before := len(r.leader.passedOn)
	answer := r.Do(context.Background(), request).Answer
	return answer == workflowpb.Answer_ANSWER_OK, len(r.leader.passedOn) > before
}

func (r *collectorRig) expect(what string, change func(*workflowpb.Request), acknowledged, passedOn bool) {
	r.t.Helper()
	gotAcknowledged, gotPassedOn := r.announce(change)
	if gotAcknowledged != acknowledged || gotPassedOn != passedOn {
		r.t.Errorf("%s: acknowledged %v, passed on %v, want %v, %v", what, gotAcknowledged, gotPassedOn, acknowledged, passedOn)
	}
}

// TestOnlyRepetitionsAreCollected guards against an acknowledgement of anything new that the leader has
// not committed, above all that a target leaves or has started again.
func TestOnlyRepetitionsAreCollected(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*workflowpb.Request)
	}{
		{"leaves", func(r *workflowpb.Request) { r.Target.Leaving = true }},
		{"states how long it stays", func(r *workflowpb.Request) { r.StaysMs = 100 }},
		{"is slow for some time", func(r *workflowpb.Request) { r.WarmupLeftMs = 500 }},
		{"started again", func(r *workflowpb.Request) { r.Target.BornUnixMs++ }},
		{"has another pool", func(r *workflowpb.Request) { r.Target.Pool = "q" }},
		{"has another address", func(r *workflowpb.Request) { r.Target.Address = "127.0.0.1:2" }},
		{"counts anew", func(r *workflowpb.Request) { r.Sequence = 0 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newCollectorRig(t)
			r.expect("first", nil, true, true)
			r.expect("repetition", nil, true, false)
			r.expect(test.name, test.change, true, true)
			r = newCollectorRig(t)
			r.expect("first", nil, true, true)
			r.leader.lost = true
			r.expect(test.name+", no leader", test.change, false, false)
		})
	}
}

// TestEndOfWarmupIsPassedOn guards against a leader that does not learn when a target is no longer slow, or anew
// how long it is.
func TestEndOfWarmupIsPassedOn(t *testing.T) {
	r := newCollectorRig(t)
	r.expect("first", nil, true, true)
	r.expect("slow", func(q *workflowpb.Request) { q.WarmupLeftMs = 500 }, true, true)
	r.expect("slow", func(q *workflowpb.Request) { q.WarmupLeftMs = 300 }, true, true)
	r.expect("no longer slow", nil, true, true)
	r.expect("repetition", nil, true, false)
}

// TestLostListIsMadeUp guards against a target whose announcements are acknowledged and fall into one failed list
// after the other.
func TestLostListIsMadeUp(t *testing.T) {
	r := newCollectorRig(t)
	r.expect("first", nil, true, true)
	r.expect("repetition", nil, true, false)
	r.leader.lost = true
	r.send(context.Background())
	r.leader.lost = false
	r.expect("after a lost list", nil, true, true)
}

// TestHeardTargetsAreListed guards against targets that count as silent at the leader, and against a list
// that tells less than the leader needs.
func TestHeardTargetsAreListed(t *testing.T) {
	is := is.New(t)
	r := newCollectorRig(t)
	r.expect("first", nil, true, true)
	r.expect("repetition", nil, true, false)
	r.time = r.time.Add(100 * time.Millisecond)
	r.expect("repetition", nil, true, false)
	r.time = r.time.Add(300 * time.Millisecond)
	r.send(context.Background())
	is.Equal(len(r.leader.passedOn), 2)
	heard := r.leader.passedOn[1].Heard
	is.Equal(len(heard), 1)
	is.Equal(heard[0].Sequence, uint64(3))
	is.Equal(heard[0].AgeMs, int64(300))
	is.Equal(heard[0].BornUnixMs, int64(7))
	r.send(context.Background())
	is.Equal(len(r.leader.passedOn), 2) // nothing was heard since
}

// TestCollectorWithoutLeaderAcknowledgesNothing guards against targets that stay with a daemon that is
// cut off from the leader: after a second nothing is acknowledged until the leader has answered.
func TestCollectorWithoutLeaderAcknowledgesNothing(t *testing.T) {
	r := newCollectorRig(t)
	r.expect("first", nil, true, true)
	r.leader.lost = true
	r.time = r.time.Add(confirmedBound - time.Millisecond)
	r.expect("one list may fail", nil, true, false)
	r.send(context.Background())
	r.time = r.time.Add(time.Millisecond)
	r.expect("cut off", nil, false, false)
	r.leader.lost = false
	r.expect("reached again", nil, true, true)
	r.expect("repetition", nil, true, false)
}

// TestListsKeepCollecting guards against targets that are passed on whole although the leader takes lists.
func TestListsKeepCollecting(t *testing.T) {
	r := newCollectorRig(t)
	r.expect("first", nil, true, true)
	for range 10 {
		r.time = r.time.Add(collectInterval)
		r.expect("repetition", nil, true, false)
		r.send(context.Background())
	}
	r.time = r.time.Add(fullInterval)
	r.expect("passed on now and then", nil, true, true)
}

// TestNextLeaderAsksForAnnouncements guards against a view of an old leader that outlives it: what the next
// one does not know is passed on whole, and nothing is collected where it has few targets.
func TestNextLeaderAsksForAnnouncements(t *testing.T) {
	r := newCollectorRig(t)
	r.expect("first", nil, true, true)
	r.expect("repetition", nil, true, false)
	r.leader.unknown = []string{"t"}
	r.send(context.Background())
	r.expect("unknown to the leader", nil, true, true)
	r.expect("repetition", nil, true, false)
	r.leader.collects = false
	r.send(context.Background())
	r.expect("few targets", nil, true, true)
	r.expect("few targets", nil, true, true)
}

// TestDeregisteredTargetIsForgotten guards against a repetition that was collected before a target's last
// message and is listed after it.
func TestDeregisteredTargetIsForgotten(t *testing.T) {
	is := is.New(t)
	r := newCollectorRig(t)
	r.expect("first", nil, true, true)
	r.expect("repetition", nil, true, false)
	r.Do(context.Background(), &workflowpb.Request{Operation: workflowpb.Operation_OPERATION_DEREGISTER, Target: &workflowpb.Target{Id: "t"}})
	sent := len(r.leader.passedOn)
	r.send(context.Background())
	is.Equal(len(r.leader.passedOn), sent)
}

// TestAnnouncementsAreSpread guards against targets that all announce themselves to one daemon, to one that
// is lost, or to another one each time.
func TestAnnouncementsAreSpread(t *testing.T) {
	is := is.New(t)
	const targets, members, own = 3000, 6, "127.0.0.100:80"
	now := time.Unix(1000, 0)
	var c controlAddresses
	is.Equal(c.addressFor("t", own, now), own)
	c.note("leader", own, now)
	c.note("old", "", now)
	is.Equal(c.addressFor("t", own, now), own)
	for i := range members {
		c.note(fmt.Sprint("m", i), fmt.Sprintf("127.0.0.%d:80", i), now)
	}
	before, counts := make(map[string]string), make(map[string]int)
	for i := range targets {
		id := fmt.Sprint("i-", i)
		before[id] = c.addressFor(id, own, now)
		counts[before[id]]++
		is.Equal(c.addressFor(id, own, now), before[id])
	}
	is.Equal(len(counts), members)
	for _, n := range counts {
		is.True(n > targets/members*8/10 && n < targets/members*12/10)
	}
	later := now.Add(controlHeardWithin + time.Millisecond)
	for i := range members - 1 {
		c.note(fmt.Sprint("m", i), fmt.Sprintf("127.0.0.%d:80", i), later)
	}
	lost := fmt.Sprintf("127.0.0.%d:80", members-1)
	for id, address := range before {
		after := c.addressFor(id, own, later)
		is.True(after != lost)
		is.True(after == address || address == lost)
	}
}
