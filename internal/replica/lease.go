package replica

import (
	"time"

	"golang.org/x/sys/unix"
)

// leaseFraction is the fraction of the shortest election timeout for which a
// confirmed heartbeat round gives the leader its lease. The rest allows for
// clocks that run at different speeds.
const leaseFraction = 0.8

// timeSinceBoot reads the clock that also advances while the machine is suspended:
// a leader that was suspended during an election must not trust its old lease.
func timeSinceBoot() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, err
	}
	return time.Duration(now.Nano()), nil
}

// leaderLease is what a leader records of its heartbeat rounds to extend its
// lease. Its times are by the clock of timeSinceBoot.
type leaderLease struct {
	// roundStarts holds the time at which each round was seen to begin, from the
	// last confirmed round on.
	roundStarts map[uint64]time.Duration
	round       uint64
}

// recordRoundStart records when a new heartbeat round began. It is called before the round is
// sent: voters may receive it at once, and the lease must end before their election timeouts.
func (n *Node) recordRoundStart() {
	if !n.core.IsLeader() || n.core.round == n.lease.round {
		return
	}
	if n.lease.roundStarts == nil {
		n.lease.roundStarts = make(map[uint64]time.Duration)
	}
	if now, err := n.sinceBoot(); err == nil {
		n.lease.round = n.core.round
		n.lease.roundStarts[n.core.round] = now
	}
}

// updateLease records when a new heartbeat round began and extends the lease,
// counted from the start of the newest round that a quorum has answered.
// Followers that answered it grant no vote for an election timeout.
func (n *Node) updateLease() {
	if !n.core.IsLeader() {
		n.lease.roundStarts = nil
		n.leaseUntil.Store(0)
		return
	}
	n.recordRoundStart()
	confirmed := n.core.ConfirmedRound()
	started, ok := n.lease.roundStarts[confirmed]
	if !ok || !n.core.LeaderApplied() || n.transferring {
		return
	}
	length := time.Duration(float64(n.cfg.TickInterval) * float64(n.cfg.Core.ElectionTicks) * leaseFraction)
	n.leaseUntil.Store(int64(started + length))
	for round := range n.lease.roundStarts {
		if round < confirmed {
			delete(n.lease.roundStarts, round)
		}
	}
}

// HoldsLease reports whether this member holds the leader lease. Then no other
// member can lead, and no client can have seen a newer state than the applied one.
// A member that cannot read its clock does not hold it.
func (n *Node) HoldsLease() bool {
	until := n.leaseUntil.Load()
	if until == 0 {
		return false
	}
	now, err := n.sinceBoot()
	return err == nil && now < time.Duration(until)
}
