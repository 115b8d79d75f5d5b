package replica

import (
	"math/rand"
	"testing"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/wire/wirepb"
)

// FuzzStep gives a follower, a candidate or a leader an arbitrary message from a
// peer, and then a well-formed one: no message may crash the process or violate
// the order of the log indexes.
func FuzzStep(f *testing.F) {
	for kind := range wirepb.MessageType_name {
		m := &wirepb.ReplicaMessage{
			Type: wirepb.MessageType(kind), From: "n2", To: "n1", Term: 2, Index: 1, LogTerm: 1, Commit: 9, Round: 1,
			Hint: 3, Entries: entries(2, 4, 2), Incarnation: 1,
			Snapshot: &wirepb.ReplicaSnapshot{Meta: &wirepb.SnapshotMeta{Index: 7, Term: 2, Membership: &wirepb.Membership{}}},
		}
		for role := range byte(3) {
			data, err := proto.Marshal(m)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(role, data)
		}
		m.Index, m.Commit, m.Hint = ^uint64(0), ^uint64(0), ^uint64(0)
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(byte(2), data)
	}
	f.Fuzz(func(t *testing.T, role byte, data []byte) {
		m := new(wirepb.ReplicaMessage)
		if proto.Unmarshal(data, m) != nil {
			return
		}
		c := coreInRole(t, role%3)
		m.To = "n1"
		c.Step(m)
		processReady(t, c)
		c.Step(&wirepb.ReplicaMessage{
			Type: wirepb.MessageType_MESSAGE_TYPE_APPEND, From: "n2", To: "n1", Term: c.Term() + 1,
			Index: c.LastIndex(), LogTerm: c.log.lastTerm(), Commit: c.LastIndex(),
		})
		processReady(t, c)
	})
}

// coreInRole returns n1 of three voters as a follower, a candidate or a leader.
func coreInRole(t *testing.T, role byte) *Core {
	list := &wirepb.Membership{Members: []*wirepb.Member{member("n1", true), member("n2", true), member("n3", true)}}
	c, err := NewCore(Config{
		ID: "n1", Durable: true, ElectionTicks: testElectionTicks, HeartbeatTicks: 1, Rand: rand.New(rand.NewSource(1)),
	}, Persisted{
		HardState: &wirepb.HardState{Term: 1, Commit: 1},
		Snapshot:  &wirepb.SnapshotMeta{Index: 1, Term: 1, Membership: list},
	})
	if err != nil {
		t.Fatal(err)
	}
	if role > 0 {
		c.startVote(false)
	}
	if role > 1 {
		c.becomeLeader()
	}
	processReady(t, c)
	return c
}

func processReady(t *testing.T, c *Core) {
	t.Helper()
	for rounds := 0; c.HasReady() && c.Fault() == nil; rounds++ {
		r := c.Ready()
		for _, id := range r.NeedSnapshot {
			c.SendSnapshot(id, &wirepb.ReplicaSnapshot{Meta: c.SnapshotMeta()})
		}
		c.Applied(r)
		if r.Save {
			c.Saved(r)
		}
		if rounds > 100 {
			t.Fatal("the core still has work after 100 rounds")
		}
	}
	l := c.log
	if l.applied > l.commit || l.commit > l.lastIndex() || l.stable > l.lastIndex() || l.base > l.snapshot.Index {
		t.Fatalf("base %d, snapshot %d, applied %d, commit %d, stable %d, last %d",
			l.base, l.snapshot.Index, l.applied, l.commit, l.stable, l.lastIndex())
	}
	for id, p := range c.progressByID {
		if p.match > l.lastIndex() {
			t.Fatalf("match index of %s is %d, beyond the last index %d", id, p.match, l.lastIndex())
		}
	}
}
