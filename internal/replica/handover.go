package replica

import "time"

// handOver asks another voter to lead; false when none has everything. The
// successor campaigns at once: from here on this lease keeps nobody out.
func (n *Node) handOver() bool {
	if !n.core.TransferLeadership() {
		return false
	}
	if !n.transferring {
		n.transferring, n.handedOver = true, time.Now()
	}
	n.leaseUntil.Store(0)
	return true
}

// endLostHandOver ends a leadership that nobody has taken over within an election
// timeout: the request may still arrive, so that no lease may be held again in
// this term.
func (n *Node) endLostHandOver() {
	if n.transferring && n.core.IsLeader() && time.Since(n.handedOver) > n.electionTimeout() {
		n.core.becomeFollower(n.core.Term(), "")
	}
}

// electionTimeout is the shortest time after which a voter campaigns.
func (n *Node) electionTimeout() time.Duration {
	return time.Duration(n.cfg.Core.ElectionTicks) * n.cfg.TickInterval
}
