package replica

import (
	"fmt"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sapphirering/internal/wire/wirepb"
)

// electionSeeds is the number of elections for each number of voters.
const electionSeeds = 50

// TestElectionTime kills the leader of voters in several zones, and measures the time from the first
// candidate until its successor holds the lease and may start work. It guards against votes that are
// split between candidates, or asked for too early, and then wait for another election timeout
// (0.5 to 1 s).
func TestElectionTime(t *testing.T) {
	const target = 300 * time.Millisecond
	for _, place := range []struct{ voters, zones int }{{3, 3}, {4, 4}, {5, 5}, {5, 3}, {5, 4}} {
		t.Run(fmt.Sprintf("voters=%d/zones=%d", place.voters, place.zones), func(t *testing.T) {
			var sum, longest, longestWithout time.Duration
			late := 0
			for seed := range int64(electionSeeds) {
				synctest.Test(t, func(t *testing.T) {
					s := startSimulated(t, place.voters, place.zones, seed+1, func(*NodeConfig) {})
					killed := s.leader(t)
					time.Sleep(time.Second + time.Duration(rand.New(rand.NewSource(seed)).Int63n(int64(time.Second))))
					s.mu.Lock()
					s.down[killed.cfg.Core.ID] = true
					s.firstCandidate = time.Time{}
					s.mu.Unlock()
					killed.Stop()
					began := time.Now()
					s.leader(t)
					s.mu.Lock()
					took := time.Since(s.firstCandidate)
					s.mu.Unlock()
					longestWithout = max(longestWithout, time.Since(began))
					sum += took
					longest = max(longest, took)
					if took > target {
						late++
					}
					s.stop()
				})
			}
			t.Logf("first candidate to lease: mean %v, maximum %v, %d of %d above %v; without a leader %v at most",
				sum/electionSeeds, longest, late, electionSeeds, target, longestWithout)
			if late > 0 {
				t.Errorf("%d of %d elections took longer than %v", late, electionSeeds, target)
			}
		})
	}
}

// TestCampaignPauseEndsWithLeader lets a voter campaign without an answer and then hear from a leader. It
// guards against a short pause that outlives the leader's return: a voter that has heard from a
// leader must not campaign, nor grant a vote, within an election timeout.
func TestCampaignPauseEndsWithLeader(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3")
	c := n.members["n1"].core
	for c.campaigns == 0 {
		c.Tick()
	}
	is.True(c.electionTimeoutTicks < testElectionTicks)
	c.Step(&wirepb.ReplicaMessage{Type: wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT, From: "n2", To: "n1", Term: 2})
	c.Ready()
	for range testElectionTicks - 1 {
		c.Tick()
		for _, kind := range []wirepb.MessageType{wirepb.MessageType_MESSAGE_TYPE_PRE_VOTE, wirepb.MessageType_MESSAGE_TYPE_VOTE} {
			c.Step(&wirepb.ReplicaMessage{Type: kind, From: "n3", To: "n1", Term: 3, Index: 9, LogTerm: 2})
		}
	}
	is.Equal(c.role, follower)
	is.Equal(c.Term(), uint64(2))
	is.Equal(c.vote, "")
	is.Equal(len(c.messages), 0)
}

// TestOneOfTwoCandidatesGoesOn lets two of five voters ask for pre-votes at the same moment. It guards
// against two candidates that split the votes.
func TestOneOfTwoCandidatesGoesOn(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "n1", "n2", "n3", "n4", "n5")
	n.crash(n.members["n5"])
	for _, id := range []string{"n2", "n3"} {
		n.members[id].core.startPreVote()
	}
	for _, id := range []string{"n2", "n3"} {
		n.process(n.members[id], noCrash)
	}
	n.deliverAll()
	is.True(n.members["n2"].core.IsLeader())
	is.Equal(n.members["n2"].core.Term(), uint64(2))
}

// TestElectionOnSlowDisks elects leaders on disks whose syncs take longer than the first pauses between
// campaigns. It guards against campaigns that follow each other before the votes are synced.
func TestElectionOnSlowDisks(t *testing.T) {
	const sync, within = 200 * time.Millisecond, 4 * time.Second
	var longest time.Duration
	for seed := range int64(electionSeeds) {
		synctest.Test(t, func(t *testing.T) {
			s := startSimulated(t, 5, 5, seed, func(*NodeConfig) {})
			for _, disk := range s.disks {
				disk.syncTime.Store(int64(sync))
			}
			began := time.Now()
			s.leader(t)
			longest = max(longest, time.Since(began))
			s.stop()
		})
	}
	t.Logf("a leader after %v at most", longest)
	if longest > within {
		t.Errorf("a leader after %v, want %v", longest, within)
	}
}
