package replica

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/wire/wirepb"
)

func entries(from, to, term uint64) []*wirepb.Entry {
	var all []*wirepb.Entry
	for index := from; index <= to; index++ {
		all = append(all, &wirepb.Entry{Index: index, Term: term, Kind: wirepb.EntryKind_ENTRY_KIND_COMMAND})
	}
	return all
}

// TestLateSnapshotKeepsAcknowledgedEntries delivers a snapshot after entries
// that reach beyond it were acknowledged: they may be committed already.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	follower := n.members["n2"]
	follower.core.Step(&wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_APPEND, From: "n1", To: "n2", Term: 2,
		Index: 1, LogTerm: 1, Entries: entries(2, 10, 2), Commit: 3,
	})
	n.process(follower, noCrash)
	follower.core.Step(&wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_SNAPSHOT, From: "n1", To: "n2", Term: 2,
		Snapshot: &wirepb.ReplicaSnapshot{Meta: &wirepb.SnapshotMeta{
			Index: 5, Term: 2, Membership: follower.core.Membership(),
		}},
	})
	n.process(follower, noCrash)
	is.Equal(follower.core.LastIndex(), uint64(10)) // entries 6 to 10 were acknowledged
	is.Equal(follower.core.Commit(), uint64(5))     // the snapshot proves that 5 is committed
}

// TestSnapshotInFlightIsNotResent keeps a snapshot in flight over many
// heartbeats: it is sent again only after its own timeout.
func TestSnapshotInFlightIsNotResent(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	n.blocked[[2]string{"n1", "n3"}] = true
	leader := n.elect("n1")
	for range 20 {
		is.NoErr(n.propose(leader))
		n.settle()
	}
	n.compact(leader)
	clear(n.blocked)
	sent := 0
	for tick := range snapshotRetryTicks - 1 {
		leader.core.Tick()
		n.process(leader, noCrash)
		for i := 0; i < len(n.queue); {
			if n.queue[i].Type == wirepb.MessageType_MESSAGE_TYPE_SNAPSHOT {
				sent++
				n.queue = append(n.queue[:i], n.queue[i+1:]...)
				continue
			}
			n.deliver(i, noCrash)
		}
		if tick > 20 {
			is.Equal(sent, 1)
		}
	}
	n.run(snapshotRetryTicks)
	is.Equal(n.members["n3"].core.Commit(), leader.core.Commit()) // a lost snapshot is sent again
}

// TestMalformedAppend gives a follower entries that do not continue its log.
func TestMalformedAppend(t *testing.T) {
	for name, list := range map[string][]*wirepb.Entry{
		"gap":                    append(entries(2, 3, 2), entries(5, 5, 2)...),
		"falling term":           append(entries(2, 3, 2), entries(4, 4, 1)...),
		"term of a later leader": entries(2, 3, 9),
		"bad membership": {{
			Index: 2, Term: 2, Kind: wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: []byte{0xff},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(t, 1, "n1", "n2", "n3")
			follower := n.members["n2"]
			follower.core.Step(&wirepb.ReplicaMessage{
				Type: wirepb.MessageType_MESSAGE_TYPE_APPEND, From: "n1", To: "n2", Term: 2,
				Index: 1, LogTerm: 1, Entries: list, Commit: 5,
			})
			n.process(follower, noCrash)
			is.Equal(follower.core.LastIndex(), uint64(1)) // nothing of it is taken
			is.Equal(follower.core.Commit(), uint64(1))
		})
	}
}

// TestReturningMemberDoesNotDisturb cuts a voter off for many election
// timeouts: its return changes neither leader nor term.
func TestReturningMemberDoesNotDisturb(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	leader := n.elect("n1")
	term := leader.core.Term()
	for _, other := range []string{"n1", "n2"} {
		n.blocked[[2]string{"n3", other}] = true
		n.blocked[[2]string{other, "n3"}] = true
	}
	n.run(20 * testElectionTicks)
	clear(n.blocked)
	n.run(4 * testElectionTicks)
	is.Equal(n.leader().id, "n1")
	is.Equal(leader.core.Term(), term)
	is.Equal(n.members["n3"].core.Leader(), "n1")
}

// TestCutLeaderStepsDown cuts a leader off from its quorum.
func TestCutLeaderStepsDown(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	leader := n.elect("n1")
	n.blocked[[2]string{"n2", "n1"}] = true
	n.blocked[[2]string{"n3", "n1"}] = true
	n.run(2 * testElectionTicks)
	is.True(!leader.core.IsLeader())
}

// TestConfirmationCountsItsOwnRound answers an old heartbeat after a new round began.
func TestConfirmationCountsItsOwnRound(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	leader := n.elect("n1")
	old := leader.core.Heartbeat()
	n.process(leader, noCrash)
	round := leader.core.Heartbeat()
	n.process(leader, noCrash)
	for i := 0; i < len(n.queue); {
		if n.queue[i].Type == wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT && n.queue[i].Round == round {
			n.queue = append(n.queue[:i], n.queue[i+1:]...)
			continue
		}
		n.deliver(i, noCrash)
	}
	is.Equal(leader.core.ConfirmedRound(), old) // answers to an earlier round prove nothing for this one
}

// TestMembershipNeedsEntryOfOwnTerm proposes a change before the new leader
// has committed anything: two leaders could otherwise change from different lists.
func TestMembershipNeedsEntryOfOwnTerm(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	first := n.elect("n1")
	is.NoErr(n.propose(first))
	n.settle()
	n.crash(first)
	second := n.members["n2"]
	for !second.core.IsLeader() {
		second.core.lead, n.members["n3"].core.lead = "", ""
		second.core.Tick()
		n.process(second, noCrash)
		for len(n.queue) > 0 && !second.core.IsLeader() {
			n.deliver(0, noCrash)
		}
	}
	_, err := second.core.ProposeMembership(WithoutMember(second.core.Membership(), "n1"))
	is.True(errors.Is(err, ErrMembershipBusy))
	n.settle()
	_, err = second.core.ProposeMembership(WithoutMember(second.core.Membership(), "n1"))
	is.NoErr(err)
	_, err = second.core.ProposeMembership(WithMember(second.core.Membership(), member("n4", false)))
	is.True(errors.Is(err, ErrMembershipBusy)) // one change at a time
}

// TestMembershipRollback truncates an uncommitted membership entry.
func TestMembershipRollback(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	old := n.elect("n1")
	for _, other := range []string{"n2", "n3"} {
		n.blocked[[2]string{"n1", other}] = true
	}
	_, err := old.core.ProposeMembership(WithoutMember(old.core.Membership(), "n3"))
	is.NoErr(err)
	n.process(old, noCrash)
	is.Equal(VoterCount(old.core.Membership()), 2)
	n.settle()
	next := n.elect("n2")
	is.NoErr(n.propose(next))
	n.settle()
	clear(n.blocked)
	n.run(4 * testElectionTicks)
	is.Equal(VoterCount(old.core.Membership()), 3)
	n.start(old)
	is.Equal(VoterCount(old.core.Membership()), 3) // also after a restart
}

// TestTwoVotersAtOnce refuses a change whose quorums might not intersect.
func TestTwoVotersAtOnce(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	leader := n.elect("n1")
	list := WithoutMember(leader.core.Membership(), "n2")
	_, err := leader.core.ProposeMembership(WithMember(list, member("n4", true)))
	is.True(err != nil)
}

// TestRemovedLeader removes the leader itself: it commits the removal without
// counting itself, steps down, and the others elect another leader.
func TestRemovedLeader(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	leader := n.elect("n1")
	_, err := leader.core.ProposeMembership(WithoutMember(leader.core.Membership(), "n1"))
	is.NoErr(err)
	n.process(leader, noCrash)
	n.settle()
	is.True(!leader.core.IsLeader())
	n.run(10 * testElectionTicks)
	next := n.leader()
	is.True(next != nil && next != leader)
	is.NoErr(n.propose(next))
	n.settle()
	is.Equal(next.core.Commit(), next.core.LastIndex())
}

// TestSingleVoterSyncsBeforeCommit checks that a lone voter commits only what it synced.
func TestSingleVoterSyncsBeforeCommit(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1")
	leader := n.elect("n1")
	_, err := leader.core.Propose([]byte("command"))
	is.NoErr(err)
	is.True(leader.core.Commit() < leader.core.LastIndex())
	n.process(leader, noCrash)
	is.Equal(leader.core.Commit(), leader.core.LastIndex())
}

// TestTransferLeadership hands over at once although the others hear a leader.
func TestTransferLeadership(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	leader := n.elect("n1")
	is.True(leader.core.TransferLeadership())
	n.process(leader, noCrash)
	n.settle()
	is.True(n.leader() != leader)
}

// TestEarlyMessages lets a leader send appends before its own sync, but never
// in the term whose vote is not synced yet.
func TestEarlyMessages(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	leader := n.elect("n1")
	_, err := leader.core.Propose([]byte("command"))
	is.NoErr(err)
	r := leader.core.Ready()
	is.Equal(len(r.Early), 2)
	is.Equal(len(r.Messages), 0)
	is.Equal(len(r.Entries), 1)

	single := newNetwork(t, 1, "n1").members["n1"].core
	single.config[0].membership = WithMember(single.Membership(), member("n2", false))
	for !single.IsLeader() {
		single.Tick()
	}
	r = single.Ready()
	is.Equal(len(r.Early), 0) // term and vote are not synced
	is.True(len(r.Messages) > 0)
}

// TestLostTail restarts a learner whose log was lost: it is served again.
func TestLostTail(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	leader := n.elect("n1")
	n.add("n4", &fakeDisk{})
	_, err := leader.core.ProposeMembership(WithMember(leader.core.Membership(), member("n4", false)))
	is.NoErr(err)
	n.process(leader, noCrash)
	n.run(10)
	learner := n.members["n4"]
	is.Equal(learner.core.Commit(), leader.core.Commit())
	late := &wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_APPEND_ANSWER, From: "n4", To: "n1", Term: leader.core.Term(),
		Index: leader.core.LastIndex(), Incarnation: learner.incarnation,
	}
	learner.disk = &fakeDisk{}
	n.start(learner)
	n.run(1)
	leader.core.Step(proto.CloneOf(late)) // an answer of the former process
	n.process(leader, noCrash)
	n.run(4 * testElectionTicks)
	is.Equal(learner.core.Commit(), leader.core.Commit())
}

// TestSlowFollowerOfNewLeader lets a new leader wait for a follower whose
// answers are late: heartbeats alone must not bring a snapshot about.
func TestSlowFollowerOfNewLeader(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	old := n.elect("n1")
	for range 20 {
		is.NoErr(n.propose(old))
		n.settle()
	}
	n.compact(n.members["n2"])
	next := n.elect("n2")
	next.core.peers["n3"].match = 0
	next.core.probeFrom(next.core.peers["n3"], 0)
	next.core.peers["n3"].inflight = 1
	for range 5 * maxStalledRounds {
		next.core.Step(&wirepb.ReplicaMessage{
			Type: wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT_ANSWER, From: "n3", To: "n2", Term: next.core.Term(),
			Index: next.core.LastIndex(), Incarnation: n.members["n3"].incarnation,
		})
		is.Equal(len(next.core.needSnapshot), 0)
	}
}

// TestConfirmationsShareRounds asks for many confirmations at once: they share
// a heartbeat round that begins after them.
func TestConfirmationsShareRounds(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	leader := n.elect("n1")
	leader.core.cfg.HeartbeatTicks = 3
	leader.core.Heartbeat()
	n.process(leader, noCrash)
	n.settle()
	before := leader.core.round
	for range 20 {
		is.Equal(leader.core.NextRound(), before+1)
	}
	is.Equal(leader.core.round, before) // not begun yet
	is.Equal(leader.core.ConfirmedRound(), before)
	n.run(3)
	is.Equal(leader.core.ConfirmedRound(), before+1)
	leader.core.Tick()
	leader.core.Tick()
	is.Equal(leader.core.NextRound(), before+2) // begins at once after a pause
	is.Equal(leader.core.round, before+2)
}

// TestOlderTermIsNotCommittedByCount lets a quorum hold an entry of an older
// term: it may still be overwritten until an entry of the own term follows.
func TestOlderTermIsNotCommittedByCount(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	old := n.elect("n1")
	n.settle()
	committed := old.core.Commit()
	n.blocked[[2]string{"n1", "n3"}] = true
	n.blocked[[2]string{"n2", "n1"}] = true
	is.NoErr(n.propose(old))
	n.settle()
	n.crash(old)
	next := n.members["n2"]
	older := next.core.LastIndex()
	is.True(older > committed)
	for !next.core.IsLeader() {
		next.core.lead, n.members["n3"].core.lead = "", ""
		next.core.Tick()
		n.process(next, noCrash)
		for len(n.queue) > 0 && !next.core.IsLeader() {
			n.deliver(0, noCrash)
		}
	}
	answer := &wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_APPEND_ANSWER, From: "n3", To: "n2", Term: next.core.Term(),
		Index: older, Incarnation: n.members["n3"].incarnation,
	}
	next.core.Step(proto.CloneOf(answer))
	n.process(next, noCrash)
	is.Equal(next.core.Commit(), committed)
	answer.Index = next.core.LastIndex()
	next.core.Step(answer)
	n.process(next, noCrash)
	is.Equal(next.core.Commit(), next.core.LastIndex())
}

// TestLeaderCountsItselfAfterItsSync lets one of two followers answer before
// the leader has synced the entry.
func TestLeaderCountsItselfAfterItsSync(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	leader := n.elect("n1")
	n.settle()
	committed := leader.core.Commit()
	_, err := leader.core.Propose([]byte("command"))
	is.NoErr(err)
	leader.core.Step(&wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_APPEND_ANSWER, From: "n2", To: "n1", Term: leader.core.Term(),
		Index: leader.core.LastIndex(), Incarnation: n.members["n2"].incarnation,
	})
	is.Equal(leader.core.Commit(), committed)
	n.process(leader, noCrash)
	is.Equal(leader.core.Commit(), leader.core.LastIndex())
}

// TestRestartedVotersElect restarts two of three voters together, the third is
// gone: while either may have answered the former leader it grants no vote, and
// its own campaigns do not make that time longer.
func TestRestartedVotersElect(t *testing.T) {
	// Every timeout is below two election timeouts; the first campaign may come
	// before the other voter is free, and the second one may split the votes.
	const bound = 3 * 2 * testElectionTicks
	for seed := range int64(300) {
		n := newNetwork(t, seed, "n1", "n2", "n3")
		n.elect("n1")
		for _, id := range n.ids {
			n.crash(n.members[id])
		}
		n.leaderLease = true
		n.start(n.members["n1"])
		n.start(n.members["n2"])
		ticks := 0
		for n.leader() == nil {
			if ticks++; ticks > bound {
				t.Fatalf("seed %d: no leader after %d ticks", seed, bound)
			}
			n.run(1)
		}
		if ticks < testElectionTicks {
			t.Fatalf("seed %d: a leader after %d ticks, the former one's lease may last", seed, ticks)
		}
	}
}

// TestVoteSurvivesRestart asks a voter twice for one term, with a restart in between.
func TestVoteSurvivesRestart(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	voter := n.members["n2"]
	ask := func(from string) bool {
		voter.core.Step(&wirepb.ReplicaMessage{
			Type: wirepb.MessageType_MESSAGE_TYPE_VOTE, From: from, To: "n2", Term: 5, Index: 9, LogTerm: 4,
		})
		n.process(voter, noCrash)
		answer := n.queue[len(n.queue)-1]
		return answer.Type == wirepb.MessageType_MESSAGE_TYPE_VOTE_ANSWER && !answer.Reject
	}
	is.True(ask("n1"))
	n.crash(voter)
	n.start(voter)
	is.True(!ask("n3"))
	is.True(ask("n1")) // a resend gets the same vote
}
