package replica

import (
	"sort"

	"sapphirering/internal/wire/wirepb"
)

// progress is the leader's view of one member.
type progress struct {
	match    uint64
	next     uint64
	inflight int
	// probing members get one append at a time until one matches.
	probing bool
	// snapshot is the index of the snapshot in flight, 0 for none.
	snapshot      uint64
	snapshotTicks int
	incarnation   uint64
	// round is the newest heartbeat round that the member answered.
	round uint64
	// active members answered in this election timeout, wasActive in the last one.
	active    bool
	wasActive bool
	// lastMatch is the match index at the last heartbeat answer.
	lastMatch uint64
	// stalled counts heartbeat answers in a row without progress.
	stalled int
}

// Match returns the leader's view of a member's replicated index and whether it answered lately.
func (c *Core) Match(id string) (uint64, bool) {
	if id == c.cfg.ID {
		return c.log.stable, true
	}
	p, ok := c.peers[id]
	if !ok {
		return 0, false
	}
	return p.match, p.active || p.wasActive
}

// syncPeers makes the progress table match the member list.
func (c *Core) syncPeers() {
	for _, member := range c.Membership().GetMembers() {
		if member.Id == c.cfg.ID || c.peers[member.Id] != nil {
			continue
		}
		c.peers[member.Id] = &progress{next: c.log.lastIndex() + 1, probing: true, active: true}
	}
	for id := range c.peers {
		if FindMember(c.Membership(), id) == nil {
			delete(c.peers, id)
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
	c.hbElapsed = 0
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		c.send(&wirepb.ReplicaMessage{
			Type: wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT, To: id,
			Commit: min(p.match, c.log.commit), Round: c.round,
		})
	}
	return c.round
}

// Answered returns the members that answered a heartbeat round, with this one.
func (c *Core) Answered(round uint64) []string {
	answered := []string{c.cfg.ID}
	for _, id := range c.peerIDs() {
		if c.peers[id].round >= round {
			answered = append(answered, id)
		}
	}
	return answered
}

// NextRound returns a round that begins after the call. It begins at once,
// unless one began within the last ticks: renewals of many sessions then share
// the next regular round instead of a round for each.
func (c *Core) NextRound() uint64 {
	if c.hbElapsed+1 >= c.cfg.HeartbeatTicks {
		return c.Heartbeat()
	}
	return c.round + 1
}

// ConfirmedRound returns the newest heartbeat round that a quorum of voters answered.
func (c *Core) ConfirmedRound() uint64 {
	if c.role != leader {
		return 0
	}
	return c.quorumValue(func(p *progress) uint64 { return p.round }, c.round)
}

func (c *Core) peerIDs() []string {
	ids := make([]string, 0, len(c.peers))
	for id := range c.peers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// peerProgress returns the progress of the sender. A new process of the
// sender has lost what was in flight, so that the leader probes again.
func (c *Core) peerProgress(m *wirepb.ReplicaMessage) *progress {
	if c.role != leader {
		return nil
	}
	p := c.peers[m.From]
	if p == nil {
		return nil
	}
	if p.incarnation != m.Incarnation {
		p.incarnation = m.Incarnation
		c.probeFrom(p, p.match)
	}
	p.active = true
	return p
}

// probeFrom forgets what is in flight and starts again behind match. While
// nothing is known to match it starts at the end of the log: the member's
// rejection tells where to go on.
func (c *Core) probeFrom(p *progress, match uint64) {
	p.match = match
	p.next = match + 1
	if match == 0 {
		p.next = c.log.lastIndex() + 1
	}
	p.probing = true
	p.inflight = 0
	p.snapshot = 0
	p.stalled = 0
}

func (c *Core) handleAppendAnswer(m *wirepb.ReplicaMessage) {
	p := c.peerProgress(m)
	if p == nil {
		return
	}
	if !m.Reject && m.Index > c.log.lastIndex() {
		// No entry of this term was sent there: the answer is not about this log.
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
	if m.Index >= p.snapshot {
		p.snapshot = 0
	}
	if p.next <= c.log.lastIndex() {
		c.sendAppend(m.From, p)
	}
}

// handleReject probes further back. An answer to an append that began at or
// before the known match is late and says nothing.
func (c *Core) handleReject(m *wirepb.ReplicaMessage, p *progress) {
	if m.Index <= p.match || p.snapshot != 0 {
		return
	}
	p.next = max(min(m.Hint+1, p.next), p.match+1)
	p.probing = true
	p.inflight = 0
	c.sendAppend(m.From, p)
}

// handleHeartbeatAnswer notes the round and finds members that got stuck:
// their appends were lost with a link, or they lost the end of their log.
func (c *Core) handleHeartbeatAnswer(m *wirepb.ReplicaMessage) {
	p := c.peerProgress(m)
	if p == nil {
		return
	}
	p.round = max(p.round, m.Round)
	if m.Index < p.match {
		c.probeFrom(p, m.Index)
	}
	if p.match != p.lastMatch {
		p.stalled = 0
	}
	p.lastMatch = p.match
	if p.snapshot != 0 || p.match >= c.log.lastIndex() {
		return
	}
	p.stalled++
	if p.inflight > 0 && p.stalled < maxStalledRounds {
		return
	}
	c.probeFrom(p, p.match)
	c.sendAppend(m.From, p)
}

// tickSnapshots gives up snapshots that have been in flight too long.
func (c *Core) tickSnapshots() {
	for _, p := range c.peers {
		if p.snapshot == 0 {
			continue
		}
		p.snapshotTicks++
		if p.snapshotTicks >= snapshotRetryTicks {
			c.probeFrom(p, p.match)
		}
	}
}

// maybeCommit commits what a quorum has synced. Only entries of the own term
// are counted: an older entry on a quorum may still be overwritten.
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
		p := c.peers[id]
		if p.probing && p.inflight > 0 {
			continue
		}
		c.sendAppend(id, p)
	}
}

// sendAppend sends the next entries, or asks for a snapshot when they are compacted.
func (c *Core) sendAppend(id string, p *progress) {
	if p.snapshot != 0 || p.inflight >= maxInflightAppend {
		return
	}
	term, ok := c.log.term(p.next - 1)
	if !ok {
		c.needSnapshot[id] = true
		p.snapshot = max(c.log.snapshot.Index, 1)
		p.snapshotTicks = 0
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

// SendSnapshot queues the snapshot that Ready.NeedSnapshot asked for.
func (c *Core) SendSnapshot(id string, snapshot *wirepb.ReplicaSnapshot) {
	p := c.peers[id]
	if c.role != leader || p == nil {
		return
	}
	p.snapshot = snapshot.Meta.Index
	p.snapshotTicks = 0
	p.next = snapshot.Meta.Index + 1
	p.inflight = 0
	c.send(&wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_SNAPSHOT, To: id, Snapshot: snapshot,
	})
}
