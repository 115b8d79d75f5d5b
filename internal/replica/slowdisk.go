package replica

import "time"

const (
	// slowSavesBeforeTransfer is the number of consecutive slow saves after which
	// a leader transfers leadership: a single one may be due to a snapshot.
	slowSavesBeforeTransfer = 3
	// minTransferInterval is the shortest time between transfers, so that voters
	// whose disks are all slow do not keep passing leadership around.
	minTransferInterval = 10 * time.Second
)

// recordSaveTime counts consecutive slow saves by the time that a save took. On a
// leader it calls OnSlowDisk once there are slowSavesBeforeTransfer.
func (n *Node) recordSaveTime(took time.Duration) {
	if n.cfg.SlowSaveThreshold == 0 || took < n.cfg.SlowSaveThreshold {
		n.slowSaves = 0
		return
	}
	n.slowSaves++
	if n.slowSaves >= slowSavesBeforeTransfer && n.core.IsLeader() && n.cfg.OnSlowDisk != nil {
		n.cfg.OnSlowDisk(took)
	}
}

// transferFromSlowDisk transfers leadership while this leader's saves are slow:
// each commit then depends on a quorum of the other voters alone. If no voter holds
// the whole log, it holds new proposals for a moment, at most once in minTransferInterval.
func (n *Node) transferFromSlowDisk() {
	transferredRecently := !n.transferStarted.IsZero() && time.Since(n.transferStarted) <= minTransferInterval
	if transferredRecently || n.slowSaves < slowSavesBeforeTransfer || !n.core.LeaderReady() || n.startTransfer() {
		return
	}
	if n.slowDiskHeldAt.IsZero() || time.Since(n.slowDiskHeldAt) > minTransferInterval {
		n.slowDiskHeldAt = time.Now()
		n.holdProposals(n.slowDiskHeldAt.Add(maxProposalHold))
	}
}
