package replica

import (
	"flag"
	"fmt"
	"testing"

	"sapphirering/internal/wire/wirepb"
)

// randomSeeds is the number of random schedules; the flag -seeds sets another number.
var randomSeeds = flag.Int64("seeds", 40, "number of random schedules")

const (
	randomSteps = 4000
	healTicks   = 60
)

// TestRandomFailures runs random schedules of lost, late, reordered and
// duplicated messages, crashes at every step of a Ready, partitions, compaction,
// leadership transfers and membership changes. Then it heals all failures and
// expects progress.
func TestRandomFailures(t *testing.T) {
	for seed := range *randomSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			n := newNetwork(t, seed, "n1", "n2", "n3", "n4", "n5")
			for step := range randomSteps {
				n.randomStep()
				if step%50 == 0 {
					n.checkLogMatching()
				}
			}
			n.heal()
		})
	}
}

// TestRandomFailuresWithSlowSaves is TestRandomFailures with saves that end some steps later, while
// the members go on, or are lost with a crash. It guards against messages that leave before what
// they rely on is synced, and against a save that counts for entries which were replaced during it.
func TestRandomFailuresWithSlowSaves(t *testing.T) {
	for seed := range *randomSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			n := newNetwork(t, seed, "n1", "n2", "n3", "n4", "n5")
			n.slowSaves, n.applyUnsynced, n.leaderLease = true, seed%2 == 0, seed%4 < 2
			for _, id := range n.ids {
				n.crash(n.members[id])
				n.start(n.members[id])
			}
			for step := range randomSteps {
				// Saves take longer for some members, so that others go on without them.
				for i, id := range n.ids {
					if m := n.members[id]; m.saving != nil && n.rng.Intn(4+8*(i%3)) == 0 && n.finishSave(m, n.randomCrash()) {
						n.process(m, n.randomCrash())
					}
				}
				n.randomStep()
				if step%50 == 0 {
					n.checkLogMatching()
				}
			}
			n.slowSaves = false
			for _, id := range n.ids {
				if m := n.members[id]; m.saving != nil && n.finishSave(m, noCrash) {
					n.process(m, noCrash)
				}
			}
			n.heal()
		})
	}
}

func (n *fakeNetwork) randomMember() *fakeMember { return n.members[n.ids[n.rng.Intn(len(n.ids))]] }

// randomCrash returns a random crash point in one of 40 calls, and noCrash otherwise.
func (n *fakeNetwork) randomCrash() crashPoint {
	if n.rng.Intn(40) > 0 {
		return noCrash
	}
	return crashPoint(n.rng.Intn(int(crashPoints)))
}

func (n *fakeNetwork) randomStep() {
	m := n.randomMember()
	switch draw := n.rng.Intn(100); {
	case draw < 55:
		n.randomDelivery()
	case draw < 75:
		if m.core != nil {
			m.core.Tick()
			n.process(m, n.randomCrash())
		}
	case draw < 85:
		if leader := n.leader(); leader != nil {
			n.propose(leader)
		}
	case draw < 88:
		n.randomMembership()
	case draw < 91:
		if m.core != nil {
			n.compact(m)
		}
	case draw < 96:
		if m.core == nil {
			n.start(m)
		}
	case draw < 97:
		n.crash(m)
	case draw < 98:
		if leader := n.leader(); leader != nil {
			leader.core.TransferLeadership()
			n.process(leader, noCrash)
		}
	default:
		n.randomPartition(m)
	}
	if len(n.queue) > maxQueued {
		n.queue = n.queue[len(n.queue)-maxQueued:]
	}
}

// randomDelivery delivers, drops or duplicates one of the oldest messages.
func (n *fakeNetwork) randomDelivery() {
	if len(n.queue) == 0 {
		return
	}
	i := n.rng.Intn(min(len(n.queue), 1+n.rng.Intn(10)))
	switch n.rng.Intn(12) {
	case 0:
		n.queue = append(n.queue[:i], n.queue[i+1:]...)
	case 1:
		n.queue = append(n.queue, n.queue[i])
	default:
		n.deliver(i, n.randomCrash())
	}
}

// randomPartition isolates a member in one or both directions, or heals all links.
func (n *fakeNetwork) randomPartition(m *fakeMember) {
	if len(n.blocked) > 0 {
		clear(n.blocked)
		return
	}
	direction := n.rng.Intn(3)
	for _, id := range n.ids {
		if direction != 0 {
			n.blocked[[2]string{m.id, id}] = true
		}
		if direction != 1 {
			n.blocked[[2]string{id, m.id}] = true
		}
	}
}

// randomMembership adds a learner, or turns one member into a voter or a
// learner, or removes one.
func (n *fakeNetwork) randomMembership() {
	leader := n.leader()
	if leader == nil {
		return
	}
	list := leader.core.Membership()
	next := list
	if len(list.Members) < 7 && n.rng.Intn(3) == 0 && len(n.ids) < 12 {
		id := fmt.Sprintf("n%d", len(n.ids)+1)
		n.add(id, &fakeDisk{})
		next = WithMember(list, member(id, false))
	} else {
		picked := list.Members[n.rng.Intn(len(list.Members))]
		switch {
		case picked.Role == wirepb.Role_ROLE_LEARNER:
			next = WithMember(list, member(picked.Id, true))
		case VoterCount(list) > 3 && n.rng.Intn(2) == 0:
			next = WithMember(list, member(picked.Id, false))
		case VoterCount(list) > 3:
			next = WithoutMember(list, picked.Id)
		}
	}
	leader.core.ProposeMembership(next)
	n.process(leader, n.randomCrash())
}

// heal heals all links and restarts the crashed members. It expects a leader
// that commits, and that every member of its membership catches up.
func (n *fakeNetwork) heal() {
	n.t.Helper()
	clear(n.blocked)
	for _, id := range n.ids {
		if n.members[id].core == nil {
			n.start(n.members[id])
		}
	}
	n.run(healTicks)
	leader := n.leader()
	if leader == nil {
		n.t.Fatal("no leader after healing")
	}
	if err := n.propose(leader); err != nil {
		n.t.Fatal(err)
	}
	n.run(healTicks)
	n.checkLogMatching()
	leader = n.leader()
	for _, listed := range leader.core.Membership().Members {
		if m := n.members[listed.Id]; m.core.Commit() != leader.core.LastIndex() {
			n.t.Fatalf("%s committed up to %d of %d after healing", listed.Id, m.core.Commit(), leader.core.LastIndex())
		}
	}
}
