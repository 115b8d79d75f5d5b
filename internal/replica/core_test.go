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

// TestLateSnapshotKeepsAcknowledgedEntries delivers a snapshot after the
// follower acknowledged later entries. They must stay: they may be committed.
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

// TestSnapshotInFlightIsNotResent loses a snapshot and sends many heartbeats:
// the snapshot is sent again only after snapshotRetryTicks.
func TestSnapshotInFlightIsNotResent(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	n.blocked[[2]string{"n1", "n3"}] = true
	leader := n.elect("n1")
	for range 20 {
		is.NoErr(n.propose(leader))
		n.deliverAll()
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

// TestMalformedAppend sends a follower appends with invalid entries.
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
			is.Equal(follower.core.LastIndex(), uint64(1)) // nothing of it is appended
			is.Equal(follower.core.Commit(), uint64(1))
		})
	}
}

// TestReturningMemberKeepsLeaderAndTerm isolates a voter for many election
// timeouts: its return changes neither the leader nor the term.
func TestReturningMemberKeepsLeaderAndTerm(t *testing.T) {
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

// TestIsolatedLeaderStepsDown blocks all messages to a leader: without answers
// from a quorum it steps down.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	leader := n.elect("n1")
	n.blocked[[2]string{"n2", "n1"}] = true
	n.blocked[[2]string{"n3", "n1"}] = true
	n.run(2 * testElectionTicks)
	is.True(!leader.core.IsLeader())
}

// TestConfirmationIgnoresEarlierRounds delivers the answers to an old heartbeat
// round after a newer one began: the newer one is not confirmed.
func TestConfirmationIgnoresEarlierRounds(t *testing.T) {
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
	is.Equal(leader.core.ConfirmedRound(), old) // answers to an earlier round do not confirm the newer one
}

// TestMembershipNeedsEntryOfOwnTerm proposes a change before the new leader has
// committed an entry of its own term. It is refused: two leaders could otherwise
// start from different memberships.
func TestMembershipNeedsEntryOfOwnTerm(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	first := n.elect("n1")
	is.NoErr(n.propose(first))
	n.deliverAll()
	n.crash(first)
	second := n.members["n2"]
	for !second.core.IsLeader() {
		second.core.leaderID, n.members["n3"].core.leaderID = "", ""
		second.core.Tick()
		n.process(second, noCrash)
		for len(n.queue) > 0 && !second.core.IsLeader() {
			n.deliver(0, noCrash)
		}
	}
	_, err := second.core.ProposeMembership(WithoutMember(second.core.Membership(), "n1"))
	is.True(errors.Is(err, ErrMembershipBusy))
	n.deliverAll()
	_, err = second.core.ProposeMembership(WithoutMember(second.core.Membership(), "n1"))
	is.NoErr(err)
	_, err = second.core.ProposeMembership(WithMember(second.core.Membership(), member("n4", false)))
	is.True(errors.Is(err, ErrMembershipBusy)) // one change at a time
}

// TestMembershipRollback truncates an uncommitted membership entry: the
// previous membership is in effect again.
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
	n.deliverAll()
	next := n.elect("n2")
	is.NoErr(n.propose(next))
	n.deliverAll()
	clear(n.blocked)
	n.run(4 * testElectionTicks)
	is.Equal(VoterCount(old.core.Membership()), 3)
	n.start(old)
	is.Equal(VoterCount(old.core.Membership()), 3) // also after a restart
}

// TestTwoVoterChangeIsRefused replaces one voter by another in a single change:
// quorums of the old and the new membership might not intersect.
func TestTwoVoterChangeIsRefused(t *testing.T) {
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
	n.deliverAll()
	is.True(!leader.core.IsLeader())
	n.run(10 * testElectionTicks)
	next := n.leader()
	is.True(next != nil && next != leader)
	is.NoErr(n.propose(next))
	n.deliverAll()
	is.Equal(next.core.Commit(), next.core.LastIndex())
}

// TestSingleVoterSyncsBeforeCommit checks that a single voter commits only what it synced.
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

// TestTransferLeadership transfers leadership although the other voters still
// hear from the leader.
func TestTransferLeadership(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	leader := n.elect("n1")
	is.True(leader.core.TransferLeadership())
	n.process(leader, noCrash)
	n.deliverAll()
	is.True(n.leader() != leader)
}

// TestEarlyMessages checks that a leader may send appends before its own sync,
// but not while its term and vote are not synced.
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
	single.memberships[0].membership = WithMember(single.Membership(), member("n2", false))
	for !single.IsLeader() {
		single.Tick()
	}
	r = single.Ready()
	is.Equal(len(r.Early), 0) // term and vote are not synced
	is.True(len(r.Messages) > 0)
}

// TestLearnerWithLostLogCatchesUp restarts a learner that lost its log. It
// catches up although a late answer of its previous process arrives.
func TestLearnerWithLostLogCatchesUp(t *testing.T) {
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
	leader.core.Step(proto.CloneOf(late)) // an answer of the previous process
	n.process(leader, noCrash)
	n.run(4 * testElectionTicks)
	is.Equal(learner.core.Commit(), leader.core.Commit())
}

// TestHeartbeatsAloneRequestNoSnapshot gives a new leader heartbeat answers of a
// follower whose append answers are late: they must not cause a snapshot.
func TestHeartbeatsAloneRequestNoSnapshot(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	old := n.elect("n1")
	for range 20 {
		is.NoErr(n.propose(old))
		n.deliverAll()
	}
	n.compact(n.members["n2"])
	next := n.elect("n2")
	next.core.progressByID["n3"].match = 0
	next.core.resetToProbe(next.core.progressByID["n3"], 0)
	next.core.progressByID["n3"].inflight = 1
	for range 5 * maxStalledRounds {
		next.core.Step(&wirepb.ReplicaMessage{
			Type: wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT_ANSWER, From: "n3", To: "n2", Term: next.core.Term(),
			Index: next.core.LastIndex(), Incarnation: n.members["n3"].incarnation,
		})
		is.Equal(len(next.core.needSnapshot), 0)
	}
}

// TestConfirmationsShareRounds requests many rounds at once: they share one
// heartbeat round that begins after the requests.
func TestConfirmationsShareRounds(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	leader := n.elect("n1")
	leader.core.cfg.HeartbeatTicks = 3
	leader.core.Heartbeat()
	n.process(leader, noCrash)
	n.deliverAll()
	before := leader.core.round
	for range 20 {
		is.Equal(leader.core.NextRound(), before+1)
	}
	is.Equal(leader.core.round, before) // the round has not begun
	is.Equal(leader.core.ConfirmedRound(), before)
	n.run(3)
	is.Equal(leader.core.ConfirmedRound(), before+1)
	leader.core.Tick()
	leader.core.Tick()
	is.Equal(leader.core.NextRound(), before+2) // the regular round is due within a tick
	is.Equal(leader.core.round, before+2)
}

// TestOlderTermIsNotCommittedByCount replicates an entry of an older term to a
// quorum: it may still be overwritten, so it commits only with an entry of the
// leader's own term.
func TestOlderTermIsNotCommittedByCount(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	old := n.elect("n1")
	n.deliverAll()
	committed := old.core.Commit()
	n.blocked[[2]string{"n1", "n3"}] = true
	n.blocked[[2]string{"n2", "n1"}] = true
	is.NoErr(n.propose(old))
	n.deliverAll()
	n.crash(old)
	next := n.members["n2"]
	older := next.core.LastIndex()
	is.True(older > committed)
	for !next.core.IsLeader() {
		next.core.leaderID, n.members["n3"].core.leaderID = "", ""
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

// TestLeaderCountsItselfAfterItsSync delivers the answer of one of two followers
// before the leader has synced the entry: the entry is committed after the sync.
func TestLeaderCountsItselfAfterItsSync(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	leader := n.elect("n1")
	n.deliverAll()
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

// TestRestartedVotersElect restarts two of three voters together while the third
// stays down. Neither grants a vote while the previous leader's lease may rely on
// its answers, and its own campaigns must not extend that time.
func TestRestartedVotersElect(t *testing.T) {
	// A voter campaigns within 2*testElectionTicks. The first campaign may come
	// before the other voter may vote, and the second one may split the votes.
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
			t.Fatalf("seed %d: leader elected after %d ticks, while the previous leader's lease may still hold", seed, ticks)
		}
	}
}

// TestVoteSurvivesRestart requests a voter's vote for different candidates in
// one term, with a restart in between.
func TestVoteSurvivesRestart(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	voter := n.members["n2"]
	requestVote := func(from string) bool {
		voter.core.Step(&wirepb.ReplicaMessage{
			Type: wirepb.MessageType_MESSAGE_TYPE_VOTE, From: from, To: "n2", Term: 5, Index: 9, LogTerm: 4,
		})
		n.process(voter, noCrash)
		answer := n.queue[len(n.queue)-1]
		return answer.Type == wirepb.MessageType_MESSAGE_TYPE_VOTE_ANSWER && !answer.Reject
	}
	is.True(requestVote("n1"))
	n.crash(voter)
	n.start(voter)
	is.True(!requestVote("n3"))
	is.True(requestVote("n1")) // a repeated request gets the same vote
}
