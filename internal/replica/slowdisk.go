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
	if n.cfg.SlowSaveThreshold == 0 || took < n.cfg.SlowSaveThreshold {
		n.slowSaves = 0
		return
	}
	n.slowSaves++
	if n.slowSaves >= slowSavesInRow && n.core.IsLeader() && n.cfg.OnSlowDisk != nil {
		n.cfg.OnSlowDisk(took)
	}
}

// leaveSlowDisk lets another voter lead while the saves of this leader are slow:
// every commit waits for them.
func (n *Node) leaveSlowDisk() {
	recently := !n.handedOver.IsZero() && time.Since(n.handedOver) <= handOverPause
	if !recently && n.slowSaves >= slowSavesInRow && n.core.LeaderReady() {
		n.handOver()
	}
}
