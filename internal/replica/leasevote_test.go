package replica

import (
	"testing"

	"github.com/matryer/is"

	"sapphirering/internal/wire/wirepb"
)

func voteMessage(kind wirepb.MessageType, from, to string, term uint64, c *Core) *wirepb.ReplicaMessage {
	return &wirepb.ReplicaMessage{
		Type: kind, From: from, To: to, Term: term, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(),
	}
}

// leaseVoter returns n1 of five voters of a cluster with leases. It has campaigned, and has then
// answered a heartbeat of n2.
func leaseVoter(t *testing.T) *Core {
	t.Helper()
	n := newNetwork(t, 1, "n1", "n2", "n3", "n4", "n5")
	n.leaderLease = true
	c := n.start(n.members["n1"])
	for c.role != preCandidate {
		c.Tick()
	}
	c.Step(&wirepb.ReplicaMessage{Type: wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT, From: "n2", To: "n1", Term: c.term})
	if c.leaderID != "n2" {
		t.Fatal("the leader is not accepted")
	}
	return c
}

// TestNoVoteAfterLateMessage sends a voter that has answered a heartbeat a late message of a newer
// term, and then requests for its vote. It guards against a voter that forgets the leader with that
// message, and then votes or campaigns while the leader's lease relies on its answer.
func TestNoVoteAfterLateMessage(t *testing.T) {
	for _, kind := range []wirepb.MessageType{
		wirepb.MessageType_MESSAGE_TYPE_PRE_VOTE_ANSWER, wirepb.MessageType_MESSAGE_TYPE_VOTE_ANSWER,
		wirepb.MessageType_MESSAGE_TYPE_APPEND_ANSWER,
	} {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			c := leaseVoter(t)
			late := voteMessage(kind, "n3", "n1", c.term+1, c)
			late.Reject = true
			c.Step(late)
			is.Equal(c.leaderID, "") // the leader is forgotten
			c.electionTimeoutTicks = campaignRetryTicks
			term := c.term
			c.Ready()
			ask := func() {
				for _, kind := range []wirepb.MessageType{wirepb.MessageType_MESSAGE_TYPE_PRE_VOTE, wirepb.MessageType_MESSAGE_TYPE_VOTE} {
					c.Step(voteMessage(kind, "n3", "n1", term+1, c))
				}
			}
			ask()
			for range testElectionTicks - 1 {
				c.Tick()
				ask()
			}
			is.Equal(c.role, follower)
			is.Equal(c.term, term)
			is.Equal(len(c.messages), 0)
			c.Tick() // an election timeout after the heartbeat
			is.Equal(c.role, preCandidate)
			ask()
			is.Equal(c.vote, "n3")
		})
	}
}

// TestForcedVoteEndsLeaseProtection transfers leadership right after a heartbeat. It guards against a
// voter that refuses the successor, and against one that refuses the next candidate although the lease
// has ended with the transfer.
func TestForcedVoteEndsLeaseProtection(t *testing.T) {
	is := is.New(t)
	c := leaseVoter(t)
	term := c.term
	forced := voteMessage(wirepb.MessageType_MESSAGE_TYPE_VOTE, "n3", "n1", term+1, c)
	forced.Forced = true
	c.Step(forced)
	is.Equal(c.vote, "n3")
	c.Step(voteMessage(wirepb.MessageType_MESSAGE_TYPE_VOTE, "n4", "n1", term+2, c))
	is.Equal(c.vote, "n4")

	c = leaseVoter(t)
	c.Step(&wirepb.ReplicaMessage{Type: wirepb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW, From: "n2", To: "n1", Term: c.term})
	is.Equal(c.role, candidate)
	is.Equal(c.noVoteTicks, 0)

	c = leaseVoter(t)
	c.Step(&wirepb.ReplicaMessage{Type: wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT, From: "n3", To: "n1", Term: term + 1})
	c.Step(forced)
	is.Equal(c.vote, "") // a late request of the term of a leader that may hold a lease
	is.True(c.noVoteTicks > 0)
}

// TestNoSecondLeaderWithinLease splits the votes between two candidates while their leader is silent.
// The leader returns for one heartbeat round, which two others answer, and is cut off. It guards
// against candidates that campaign again soon and are elected within the lease of that round.
func TestNoSecondLeaderWithinLease(t *testing.T) {
	const histories, leaseTicks = 200, 8
	earliest := 1 << 10
	for seed := range int64(histories) {
		earliest = min(earliest, newLeaseHistory(t, seed).ticksToSecondLeader())
	}
	t.Logf("%d histories, a second leader after %d ticks at least", histories, earliest)
	if earliest < leaseTicks {
		t.Errorf("a second leader %d ticks after the beginning of the round, the lease lasts %d", earliest, leaseTicks)
	}
}

type leaseLink struct{ from, to string }

// leaseHistory runs five cores that sync at once, over links whose messages wait until they are delivered.
type leaseHistory struct {
	t     *testing.T
	ids   []string
	cores map[string]*Core
	wire  map[leaseLink][]*wirepb.ReplicaMessage
}

func newLeaseHistory(t *testing.T, seed int64) *leaseHistory {
	h := &leaseHistory{
		t: t, ids: []string{"n1", "n2", "n3", "n4", "n5"},
		cores: make(map[string]*Core), wire: make(map[leaseLink][]*wirepb.ReplicaMessage),
	}
	n := newNetwork(t, seed+1, h.ids...)
	n.leaderLease = true
	for _, id := range h.ids {
		c := n.start(n.members[id])
		c.cfg.ElectionTicks, c.cfg.HeartbeatTicks = 10, 3
		h.cores[id] = c
	}
	return h
}

func (h *leaseHistory) collect(id string) {
	for c := h.cores[id]; c.HasReady(); {
		r := c.Ready()
		for _, m := range append(r.Early, r.Messages...) {
			l := leaseLink{m.From, m.To}
			h.wire[l] = append(h.wire[l], m)
		}
		c.Applied(r)
		if r.Save {
			c.Saved(r)
		}
	}
}

func (h *leaseHistory) tick(ids ...string) {
	for _, id := range ids {
		h.cores[id].Tick()
		h.collect(id)
	}
}

func (h *leaseHistory) deliver(from, to string) {
	l := leaseLink{from, to}
	queue := h.wire[l]
	h.wire[l] = nil
	for _, m := range queue {
		h.cores[to].Step(m)
		h.collect(to)
	}
}

func (h *leaseHistory) deliverAll(ids ...string) {
	for range 10 {
		for _, from := range ids {
			for _, to := range ids {
				h.deliver(from, to)
			}
		}
	}
}

// electN5 makes n5 the leader, whose last heartbeat has just arrived. n1 and n2 will campaign after 12
// ticks, n3 and n4 later.
func (h *leaseHistory) electN5() {
	h.t.Helper()
	for h.cores["n5"].role != leader {
		for _, id := range h.ids {
			h.cores[id].electionTimeoutTicks = 100
		}
		h.cores["n5"].electionTimeoutTicks = 12
		h.tick(h.ids...)
		h.deliverAll(h.ids...)
	}
	h.deliverAll(h.ids...)
	for id, timeout := range map[string]int{"n1": 12, "n2": 12, "n3": 14, "n4": 19} {
		c := h.cores[id]
		if c.leaderID != "n5" || c.log.lastIndex() != h.cores["n5"].log.lastIndex() {
			h.t.Fatalf("%s does not follow n5", id)
		}
		c.electionElapsed, c.electionTimeoutTicks = 0, timeout
	}
}

// ticksToSecondLeader returns the ticks from the beginning of n5's last confirmed round to the election
// of another leader.
func (h *leaseHistory) ticksToSecondLeader() int {
	h.t.Helper()
	h.electN5()
	others := h.ids[:4]
	for range 12 { // n5 is silent
		h.tick(others...)
	}
	for _, l := range []leaseLink{
		{"n2", "n4"}, {"n2", "n3"}, {"n1", "n4"}, {"n1", "n3"}, // requests for pre-votes
		{"n3", "n2"}, {"n4", "n2"}, {"n4", "n1"}, {"n3", "n1"},
	} {
		h.deliver(l.from, l.to)
	}
	if h.cores["n1"].role != candidate || h.cores["n2"].role != candidate {
		h.t.Fatal("n1 and n2 are not both candidates")
	}
	// The candidates' requests take some ticks to save; n3 campaigns meanwhile, and they refuse it with
	// their newer term.
	for range 3 {
		if h.tick(others...); h.cores["n3"].role == preCandidate {
			break
		}
	}
	if h.cores["n3"].role != preCandidate {
		h.t.Fatal("n3 does not campaign")
	}
	h.deliver("n3", "n1")
	h.deliver("n3", "n2")
	// n5 returns for one round, which n3 and n4 answer before they get any of the waiting messages.
	h.wire[leaseLink{"n5", "n3"}], h.wire[leaseLink{"n5", "n4"}] = nil, nil
	round := h.cores["n5"].Heartbeat()
	h.collect("n5")
	for _, l := range []leaseLink{{"n5", "n3"}, {"n5", "n4"}, {"n3", "n5"}, {"n4", "n5"}} {
		h.deliver(l.from, l.to)
	}
	if h.cores["n5"].ConfirmedRound() < round {
		h.t.Fatal("n5's round is not confirmed")
	}
	// n5 is cut off.
	for ticks := range 100 {
		h.deliverAll(others...)
		for _, id := range others {
			if h.cores[id].IsLeader() {
				return ticks
			}
		}
		h.tick(others...)
	}
	h.t.Fatal("no second leader within 100 ticks")
	return 0
}
