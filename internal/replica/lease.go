package replica

import (
	"time"

	"golang.org/x/sys/unix"
)

// leaseShare is the part of the shortest election timeout for which a
// confirmed heartbeat round keeps other leaders out. The rest covers clocks
// that run at different speeds.
const leaseShare = 0.8

// bootTime reads the clock that also counts while the machine is suspended: a
// leader that slept through an election must not believe in its old lease.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Zero is before every lease.
		return 0
	}
	return time.Duration(now.Nano())
}

// leaderLease is until when no other member can lead, by the clock of bootTime.
type leaderLease struct {
	// begun holds when each unconfirmed round was sent.
	begun map[uint64]time.Duration
	round uint64
}

// noteRounds remembers when a new heartbeat round began and extends the lease
// to the newest round that a quorum has answered. Followers that answered it
// grant no vote for an election timeout.
func (n *Node) noteRounds() {
	if !n.core.IsLeader() {
		n.lease.begun = nil
		n.leaseUntil.Store(0)
		return
	}
	if n.lease.begun == nil {
		n.lease.begun = make(map[uint64]time.Duration)
	}
	if round := n.core.round; round != n.lease.round {
		n.lease.round = round
		n.lease.begun[round] = bootTime()
	}
	confirmed := n.core.ConfirmedRound()
	begun, ok := n.lease.begun[confirmed]
	if !ok || !n.core.LeaderReady() || n.transferring {
		return
	}
	length := time.Duration(float64(n.cfg.TickInterval) * float64(n.cfg.Core.ElectionTicks) * leaseShare)
	n.leaseUntil.Store(int64(begun + length))
	for round := range n.lease.begun {
		if round < confirmed {
			delete(n.lease.begun, round)
		}
	}
}

// HoldsLease reports whether no other member can lead now: what this member
// has applied is the newest that anybody was told.
func (n *Node) HoldsLease() bool {
	until := n.leaseUntil.Load()
	return until != 0 && bootTime() < time.Duration(until)
}
