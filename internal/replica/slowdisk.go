package replica

import "time"

const (
	// slowSavesInRow is the number of slow saves in a row after which a leader
	// hands over: one slow save may be a snapshot's.
	slowSavesInRow = 3
	// handOverPause spaces hand-overs, so that voters whose disks are all slow do
	// not pass the leadership around.
	handOverPause = 10 * time.Second
)

// noteSave counts slow saves in a row.
func (n *Node) noteSave(took time.Duration) {
	if n.cfg.SlowSave == 0 || took < n.cfg.SlowSave {
		n.slowSaves = 0
		return
	}
	n.slowSaves++
	if n.slowSaves >= slowSavesInRow && n.core.IsLeader() && n.cfg.OnSlowDisk != nil {
		n.cfg.OnSlowDisk(took)
	}
}

// leaveSlowDisk lets another voter lead while the saves of this leader are slow:
// every commit waits for them. A hand-over that nobody takes up ends the
// leadership: the request may still arrive, so that no lease may be held again
// in this term.
func (n *Node) leaveSlowDisk() {
	if n.handedOver.IsZero() || time.Since(n.handedOver) > handOverPause {
		if n.slowSaves < slowSavesInRow || !n.core.LeaderReady() || !n.core.TransferLeadership() {
			return
		}
		// The request leaves with the next messages: from here on this lease keeps
		// nobody out.
		n.handedOver, n.transferring = time.Now(), true
		n.leaseUntil.Store(0)
		return
	}
	if n.transferring && n.core.IsLeader() && time.Since(n.handedOver) > n.electionTimeout() {
		n.core.becomeFollower(n.core.Term(), "")
	}
}

// electionTimeout is the shortest time after which a voter campaigns.
func (n *Node) electionTimeout() time.Duration {
	return time.Duration(n.cfg.Core.ElectionTicks) * n.cfg.TickInterval
}
