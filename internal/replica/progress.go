package replica

import (
	"sort"

	"sapphirering/internal/wire/wirepb"
)

// progress is what the leader knows about the log of one member.
type progress struct {
	match    uint64
	next     uint64
	inflight int
	// probing members are sent one append at a time until one is accepted.
	probing bool
	// pendingSnapshot is the index of the snapshot in flight, 0 for none.
	pendingSnapshot      uint64
	pendingSnapshotTicks int
	incarnation          uint64
	// answeredRound is the newest heartbeat round that the member answered.
	answeredRound uint64
	// recentlyActive members answered in the current election timeout of the
	// leader, previouslyActive ones in the one before.
	recentlyActive   bool
	previouslyActive bool
	// lastMatch is the match index at the last heartbeat answer.
	lastMatch uint64
	// stalledRounds counts heartbeat answers in a row without progress.
	stalledRounds int
}

// Match returns the last index that the leader knows to be replicated on a
// member, and whether the member answered in this or the previous election timeout.
func (c *Core) Match(id string) (uint64, bool) {
	if id == c.cfg.ID {
		return c.log.stable, true
	}
	p, ok := c.progressByID[id]
	if !ok {
		return 0, false
	}
	return p.match, p.recentlyActive || p.previouslyActive
}

// updatePeers adds progress for new members and drops that of removed ones.
func (c *Core) updatePeers() {
	for _, member := range c.Membership().GetMembers() {
		if member.Id == c.cfg.ID || c.progressByID[member.Id] != nil {
			continue
		}
		c.progressByID[member.Id] = &progress{next: c.log.lastIndex() + 1, probing: true, recentlyActive: true}
	}
	for id := range c.progressByID {
		if FindMember(c.Membership(), id) == nil {
			delete(c.progressByID, id)
		}
	}
}

// Heartbeat sends a heartbeat round and returns its number. Leadership at
// the time of the call is confirmed once ConfirmedRound reaches it.
func (c *Core) Heartbeat() uint64 {
	if c.role != leader {
		return 0
	}
	c.round++
	c.heartbeatElapsed = 0
	for _, id := range c.peerIDs() {
		p := c.progressByID[id]
		c.send(&wirepb.ReplicaMessage{
			Type: wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT, To: id,
			Commit: min(p.match, c.log.commit), Round: c.round,
		})
	}
	return c.round
}

// Answered returns the IDs of the members that answered a heartbeat round or
// a later one, including this member.
func (c *Core) Answered(round uint64) []string {
	answered := []string{c.cfg.ID}
	for _, id := range c.peerIDs() {
		if c.progressByID[id].answeredRound >= round {
			answered = append(answered, id)
		}
	}
	return answered
}

// NextRound returns the number of a heartbeat round that begins after the
// call. It begins at once if the regular one is due within a tick. Otherwise
// the call returns the next regular round, so that many calls, such as session
// renewals, share one round.
func (c *Core) NextRound() uint64 {
	if c.heartbeatElapsed+1 >= c.cfg.HeartbeatTicks {
		return c.Heartbeat()
	}
	return c.round + 1
}

// ConfirmedRound returns the newest heartbeat round that a quorum of voters
// answered, or 0 if this member does not lead.
func (c *Core) ConfirmedRound() uint64 {
	if c.role != leader {
		return 0
	}
	return c.quorumValue(func(p *progress) uint64 { return p.answeredRound }, c.round)
}

func (c *Core) peerIDs() []string {
	ids := make([]string, 0, len(c.progressByID))
	for id := range c.progressByID {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// peerProgress returns the progress of the sender and marks it active. When the
// sender has restarted, messages in flight to it are lost and it is probed again.
func (c *Core) peerProgress(m *wirepb.ReplicaMessage) *progress {
	if c.role != leader {
		return nil
	}
	p := c.progressByID[m.From]
	if p == nil {
		return nil
	}
	if p.incarnation != m.Incarnation {
		p.incarnation = m.Incarnation
		c.resetToProbe(p, p.match)
	}
	p.recentlyActive = true
	return p
}

// resetToProbe discards what is in flight and probes from the entry after match.
// If no entry is known to match, it starts at the end of the log: the member's
// rejection hints where to continue.
func (c *Core) resetToProbe(p *progress, match uint64) {
	p.match = match
	p.next = match + 1
	if match == 0 {
		p.next = c.log.lastIndex() + 1
	}
	p.probing = true
	p.inflight = 0
	p.pendingSnapshot = 0
	p.stalledRounds = 0
}

func (c *Core) handleAppendAnswer(m *wirepb.ReplicaMessage) {
	p := c.peerProgress(m)
	if p == nil {
		return
	}
	if !m.Reject && m.Index > c.log.lastIndex() {
		// This leader has no such entry: the answer belongs to another log.
		return
	}
	if p.inflight > 0 {
		p.inflight--
	}
	if m.Reject {
		c.handleReject(m, p)
		return
	}
	p.probing = false
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, m.Index+1)
		c.maybeCommit()
	}
	if m.Index >= p.pendingSnapshot {
		p.pendingSnapshot = 0
	}
	if p.next <= c.log.lastIndex() {
		c.sendAppend(m.From, p)
	}
}

// handleReject probes at a lower index. It ignores a late rejection of an
// append at or before the known match.
func (c *Core) handleReject(m *wirepb.ReplicaMessage, p *progress) {
	if m.Index <= p.match || p.pendingSnapshot != 0 {
		return
	}
	p.next = max(min(m.Hint+1, p.next), p.match+1)
	p.probing = true
	p.inflight = 0
	c.sendAppend(m.From, p)
}

// handleHeartbeatAnswer records the answered round and probes members that make
// no progress: appends to them were lost with a connection, or they lost the
// end of their log.
func (c *Core) handleHeartbeatAnswer(m *wirepb.ReplicaMessage) {
	p := c.peerProgress(m)
	if p == nil {
		return
	}
	p.answeredRound = max(p.answeredRound, m.Round)
	if m.Index < p.match {
		c.resetToProbe(p, m.Index)
	}
	if p.match != p.lastMatch {
		p.stalledRounds = 0
	}
	p.lastMatch = p.match
	if p.pendingSnapshot != 0 || p.match >= c.log.lastIndex() {
		return
	}
	p.stalledRounds++
	if p.inflight > 0 && p.stalledRounds < maxStalledRounds {
		return
	}
	c.resetToProbe(p, p.match)
	c.sendAppend(m.From, p)
}

// expirePendingSnapshots gives up waiting for snapshots that have been in flight
// too long and probes their members again.
func (c *Core) expirePendingSnapshots() {
	for _, p := range c.progressByID {
		if p.pendingSnapshot == 0 {
			continue
		}
		p.pendingSnapshotTicks++
		if p.pendingSnapshotTicks >= snapshotRetryTicks {
			c.resetToProbe(p, p.match)
		}
	}
}

// maybeCommit advances the commit index to what a quorum has synced. Only an
// entry of the leader's own term commits this way: an entry of an older term
// may still be overwritten although a quorum holds it.
func (c *Core) maybeCommit() {
	index := c.quorumValue(func(p *progress) uint64 { return p.match }, c.log.stable)
	term, ok := c.log.term(index)
	if index <= c.log.commit || !ok || term != c.term {
		return
	}
	c.log.commit = index
	c.broadcastAppend()
}

func (c *Core) broadcastAppend() {
	for _, id := range c.peerIDs() {
		p := c.progressByID[id]
		if p.probing && p.inflight > 0 {
			continue
		}
		c.sendAppend(id, p)
	}
}

// sendAppend sends the next entries, or requests a snapshot for the member when
// the log no longer holds them.
func (c *Core) sendAppend(id string, p *progress) {
	if p.pendingSnapshot != 0 || p.inflight >= maxInflightAppend {
		return
	}
	term, ok := c.log.term(p.next - 1)
	if !ok {
		c.needSnapshot[id] = true
		p.pendingSnapshot = max(c.log.snapshot.Index, 1)
		p.pendingSnapshotTicks = 0
		return
	}
	entries := c.log.slice(p.next, c.log.lastIndex(), maxAppendBytes)
	c.send(&wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_APPEND, To: id,
		Index: p.next - 1, LogTerm: term, Entries: entries, Commit: c.log.commit,
	})
	p.inflight++
	if !p.probing {
		p.next += uint64(len(entries))
	}
}

// SendSnapshot queues the snapshot that Ready.NeedSnapshot requested for a member.
func (c *Core) SendSnapshot(id string, snapshot *wirepb.ReplicaSnapshot) {
	p := c.progressByID[id]
	if c.role != leader || p == nil {
		return
	}
	p.pendingSnapshot = snapshot.Meta.Index
	p.pendingSnapshotTicks = 0
	p.next = snapshot.Meta.Index + 1
	p.inflight = 0
	c.send(&wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_SNAPSHOT, To: id, Snapshot: snapshot,
	})
}
