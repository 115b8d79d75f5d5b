package replica

import "time"

// maxProposalHold bounds how long proposals wait for a transfer. A healthy voter syncs what it lacks
// in less than two of its syncs and a round trip.
const maxProposalHold = 100 * time.Millisecond

// startTransfer asks another voter to campaign; it returns false when no active
// voter holds the whole log. The lease ends here, because the successor
// campaigns at once and voters grant its request despite the lease.
func (n *Node) startTransfer() bool {
	if !n.core.TransferLeadership() {
		return false
	}
	if !n.transferring {
		n.transferring, n.transferStarted = true, time.Now()
	}
	n.leaseUntil.Store(0)
	n.proposalsHeldUntil = time.Time{}
	return true
}

// holdProposals leaves new proposals waiting until a time, so that a voter gets the whole log: under a
// stream of proposals none ever does. They are refused once the transfer starts.
func (n *Node) holdProposals(until time.Time) {
	if n.core.IsLeader() {
		n.proposalsHeldUntil = until
	}
}

// takesProposals reports whether proposals are not held.
func (n *Node) takesProposals() bool { return !time.Now().Before(n.proposalsHeldUntil) }

// stepDownAfterLostTransfer steps down when no other member has become leader within
// an election timeout after a transfer request. The request may still arrive,
// so this leader must not hold a lease again in this term.
func (n *Node) stepDownAfterLostTransfer() {
	if n.transferring && n.core.IsLeader() && time.Since(n.transferStarted) > n.electionTimeout() {
		n.core.becomeFollower(n.core.Term(), "")
	}
}

// electionTimeout returns the shortest time after which a voter campaigns.
func (n *Node) electionTimeout() time.Duration {
	return time.Duration(n.cfg.Core.ElectionTicks) * n.cfg.TickInterval
}
