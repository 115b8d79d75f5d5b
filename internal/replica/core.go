// Package replica keeps one log equal on all daemons. The Core is a pure
// state machine: it takes messages and ticks, and returns what to persist,
// send and apply. Node drives it with storage and links.
package replica

import (
	"errors"
	"fmt"
	"math/rand"
	"sort"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/wire/wirepb"
)

// ErrNotLeader is returned for proposals to a member that does not lead.
var ErrNotLeader = errors.New("not the leader")

// ErrMembershipBusy is returned while an earlier membership change is not yet committed.
var ErrMembershipBusy = errors.New("an earlier membership change is not yet committed")

const (
	maxAppendBytes    = 256 << 10
	maxInflightAppend = 16
)

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Config holds the fixed parameters of a Core.
type Config struct {
	// ID is the identity bound to the data folder.
	ID string
	// Incarnation differs for each process of the same identity.
	Incarnation uint64
	// Durable members sync before they answer and may vote.
	Durable bool
	// ElectionTicks is the shortest election timeout, in ticks.
	ElectionTicks int
	// HeartbeatTicks is the heartbeat interval, in ticks.
	HeartbeatTicks int
	// Rand spreads election timeouts.
	Rand *rand.Rand
}

// progress is the leader's view of one member.
type progress struct {
	match       uint64
	next        uint64
	inflight    int
	probing     bool
	snapshot    uint64
	incarnation uint64
	round       uint64
	active      bool
	// Match index when the last heartbeat answer arrived; no change means stalled.
	lastMatch uint64
}

// Ready is the work that the driver carries out, in this order: persist
// Snapshot, HardState and Entries with one sync, send Messages, apply
// Committed, then call Advance.
type Ready struct {
	HardState *wirepb.HardState
	Entries   []*wirepb.Entry
	Snapshot  *wirepb.ReplicaSnapshot
	Messages  []*wirepb.ReplicaMessage
	Committed []*wirepb.Entry
	// Members that need a snapshot; answered with SendSnapshot.
	NeedSnapshot []string
}

// Core is the agreement of one member, without input or output.
type Core struct {
	cfg    Config
	log    *raftLog
	term   uint64
	vote   string
	lead   string
	role   role
	votes  map[string]bool
	peers  map[string]*progress
	config []membershipAt

	elapsed   int
	timeout   int
	hbElapsed int
	round     uint64

	messages     []*wirepb.ReplicaMessage
	received     *wirepb.ReplicaSnapshot
	needSnapshot map[string]bool
	savedState   *wirepb.HardState
}

// Persisted is what storage held at start.
type Persisted struct {
	HardState *wirepb.HardState
	Snapshot  *wirepb.SnapshotMeta
	Entries   []*wirepb.Entry
}

// NewCore restores a member from what was synced.
func NewCore(cfg Config, p Persisted) (*Core, error) {
	c := &Core{cfg: cfg, needSnapshot: make(map[string]bool)}
	c.term = p.HardState.GetTerm()
	c.vote = p.HardState.GetVote()
	c.log = newLog(p.Snapshot, p.Entries, p.HardState.GetCommit())
	c.savedState = c.hardState()
	c.config = []membershipAt{{c.log.snapshot.Index, c.log.snapshot.Membership}}
	for _, entry := range p.Entries {
		if err := c.noteMembership(entry); err != nil {
			return nil, err
		}
	}
	c.becomeFollower(c.term, "")
	return c, nil
}

// Membership returns the member list in effect: the last one in the log,
// committed or not.
func (c *Core) Membership() *wirepb.Membership { return c.config[len(c.config)-1].membership }

// Leader returns the identity of the known leader, or "".
func (c *Core) Leader() string { return c.lead }

// IsLeader reports whether this member leads.
func (c *Core) IsLeader() bool { return c.role == leader }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Commit returns the last committed index.
func (c *Core) Commit() uint64 { return c.log.commit }

// LastIndex returns the index of the last log entry.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// LeaderReady reports whether this leader has committed an entry of its own
// term. Before that its commit index may lag behind its predecessor's.
func (c *Core) LeaderReady() bool {
	term, ok := c.log.term(c.log.commit)
	return c.role == leader && ok && term == c.term
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
	return p.match, p.active
}

// noteMembership records a membership entry when it enters the log.
func (c *Core) noteMembership(entry *wirepb.Entry) error {
	if entry.Kind != wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return nil
	}
	m := new(wirepb.Membership)
	if err := proto.Unmarshal(entry.Data, m); err != nil {
		return fmt.Errorf("membership entry %d: %w", entry.Index, err)
	}
	c.config = append(c.config, membershipAt{entry.Index, m})
	return nil
}

// dropMembershipFrom forgets member lists of truncated entries.
func (c *Core) dropMembershipFrom(index uint64) {
	for len(c.config) > 1 && c.config[len(c.config)-1].index >= index {
		c.config = c.config[:len(c.config)-1]
	}
}

// membershipAtIndex returns the member list in effect at a log index.
func (c *Core) membershipAtIndex(index uint64) *wirepb.Membership {
	found := c.config[0].membership
	for _, at := range c.config {
		if at.index <= index {
			found = at.membership
		}
	}
	return found
}

func (c *Core) selfVotes() bool { return isVoter(FindMember(c.Membership(), c.cfg.ID)) }

func (c *Core) quorum() int { return Voters(c.Membership())/2 + 1 }

func (c *Core) hardState() *wirepb.HardState {
	return &wirepb.HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit}
}

func (c *Core) resetTimer() {
	c.elapsed = 0
	c.timeout = c.cfg.ElectionTicks + c.cfg.Rand.Intn(c.cfg.ElectionTicks)
}

func (c *Core) becomeFollower(term uint64, lead string) {
	if term > c.term {
		c.term = term
		c.vote = ""
	}
	c.role = follower
	c.lead = lead
	c.votes = nil
	c.peers = nil
	c.resetTimer()
}

func (c *Core) becomeLeader() {
	c.role = leader
	c.lead = c.cfg.ID
	c.votes = nil
	c.peers = make(map[string]*progress)
	c.round++
	c.hbElapsed = 0
	c.elapsed = 0
	c.syncPeers()
	c.appendOwn(&wirepb.Entry{Kind: wirepb.EntryKind_ENTRY_KIND_EMPTY})
	c.broadcastAppend()
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

func (c *Core) send(m *wirepb.ReplicaMessage) {
	m.From = c.cfg.ID
	m.Incarnation = c.cfg.Incarnation
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messages = append(c.messages, m)
}

// Tick advances the logical clock by one.
func (c *Core) Tick() {
	c.elapsed++
	if c.role == leader {
		c.tickLeader()
		return
	}
	if c.elapsed >= c.timeout && c.selfVotes() {
		c.startPreVote()
	}
}

func (c *Core) tickLeader() {
	c.hbElapsed++
	if c.hbElapsed >= c.cfg.HeartbeatTicks {
		c.hbElapsed = 0
		c.Heartbeat()
	}
	if c.elapsed >= c.cfg.ElectionTicks {
		c.elapsed = 0
		c.checkQuorum()
	}
}

// checkQuorum steps down when no quorum answered within one election timeout,
// so that a leader cut off from the others stops serving.
func (c *Core) checkQuorum() {
	active := 0
	for _, member := range c.Membership().GetMembers() {
		if !isVoter(member) {
			continue
		}
		if member.Id == c.cfg.ID {
			active++
			continue
		}
		if p := c.peers[member.Id]; p != nil && p.active {
			active++
		}
	}
	for _, p := range c.peers {
		p.active = false
	}
	if active < c.quorum() {
		c.becomeFollower(c.term, "")
	}
}

// Heartbeat sends a heartbeat round and returns its number. Leadership at
// the time of the call is confirmed once ConfirmedRound reaches it.
func (c *Core) Heartbeat() uint64 {
	if c.role != leader {
		return 0
	}
	c.round++
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		c.send(&wirepb.ReplicaMessage{
			Type: wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT, To: id,
			Commit: min(p.match, c.log.commit), Round: c.round,
		})
	}
	return c.round
}

// ConfirmedRound returns the newest heartbeat round that a quorum of voters answered.
func (c *Core) ConfirmedRound() uint64 {
	if c.role != leader {
		return 0
	}
	return c.quorumValue(func(p *progress) uint64 { return p.round }, c.round)
}

// quorumValue returns the greatest value that a quorum of voters has reached.
func (c *Core) quorumValue(of func(*progress) uint64, own uint64) uint64 {
	var values []uint64
	for _, member := range c.Membership().GetMembers() {
		if !isVoter(member) {
			continue
		}
		switch p := c.peers[member.Id]; {
		case member.Id == c.cfg.ID:
			values = append(values, own)
		case p != nil:
			values = append(values, of(p))
		default:
			values = append(values, 0)
		}
	}
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
	return values[c.quorum()-1]
}

func (c *Core) peerIDs() []string {
	ids := make([]string, 0, len(c.peers))
	for id := range c.peers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func (c *Core) startPreVote() {
	c.role = preCandidate
	c.lead = ""
	c.resetTimer()
	c.votes = map[string]bool{c.cfg.ID: true}
	if c.countVotes() >= c.quorum() {
		c.startVote(false)
		return
	}
	c.requestVotes(wirepb.MessageType_MESSAGE_TYPE_PRE_VOTE, c.term+1, false)
}

func (c *Core) startVote(forced bool) {
	c.role = candidate
	c.lead = ""
	c.term++
	c.vote = c.cfg.ID
	c.resetTimer()
	c.votes = map[string]bool{c.cfg.ID: true}
	if c.countVotes() >= c.quorum() {
		c.becomeLeader()
		return
	}
	c.requestVotes(wirepb.MessageType_MESSAGE_TYPE_VOTE, c.term, forced)
}

func (c *Core) requestVotes(kind wirepb.MessageType, term uint64, forced bool) {
	for _, member := range c.Membership().GetMembers() {
		if member.Id == c.cfg.ID || !isVoter(member) {
			continue
		}
		c.send(&wirepb.ReplicaMessage{
			Type: kind, To: member.Id, Term: term,
			Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Forced: forced,
		})
	}
}

// countVotes counts granted votes of members that vote in the current list.
func (c *Core) countVotes() int {
	count := 0
	for id, granted := range c.votes {
		if granted && isVoter(FindMember(c.Membership(), id)) {
			count++
		}
	}
	return count
}

// Step takes one message of another member.
func (c *Core) Step(m *wirepb.ReplicaMessage) {
	if m.To != c.cfg.ID {
		return
	}
	switch m.Type {
	case wirepb.MessageType_MESSAGE_TYPE_PRE_VOTE, wirepb.MessageType_MESSAGE_TYPE_VOTE:
		c.handleVoteRequest(m)
		return
	case wirepb.MessageType_MESSAGE_TYPE_PRE_VOTE_ANSWER:
		c.handlePreVoteAnswer(m)
		return
	}
	if m.Term < c.term {
		c.answerStale(m)
		return
	}
	if m.Term > c.term {
		c.becomeFollower(m.Term, "")
	}
	switch m.Type {
	case wirepb.MessageType_MESSAGE_TYPE_VOTE_ANSWER:
		c.handleVoteAnswer(m)
	case wirepb.MessageType_MESSAGE_TYPE_APPEND:
		c.handleAppend(m)
	case wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT:
		c.handleHeartbeat(m)
	case wirepb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		c.handleSnapshot(m)
	case wirepb.MessageType_MESSAGE_TYPE_APPEND_ANSWER:
		c.handleAppendAnswer(m)
	case wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT_ANSWER:
		c.handleHeartbeatAnswer(m)
	case wirepb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW:
		if c.selfVotes() {
			c.startVote(true)
		}
	}
}

// answerStale tells a deposed leader the newer term.
func (c *Core) answerStale(m *wirepb.ReplicaMessage) {
	switch m.Type {
	case wirepb.MessageType_MESSAGE_TYPE_APPEND, wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT,
		wirepb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		c.send(&wirepb.ReplicaMessage{
			Type: wirepb.MessageType_MESSAGE_TYPE_APPEND_ANSWER, To: m.From,
			Reject: true, Hint: c.log.lastIndex(), Index: m.Index,
		})
	}
}

// handleVoteRequest answers a vote or pre-vote. Followers that hear from a
// leader ignore both, so that a returning member does not disturb it.
func (c *Core) handleVoteRequest(m *wirepb.ReplicaMessage) {
	preVote := m.Type == wirepb.MessageType_MESSAGE_TYPE_PRE_VOTE
	hearsLeader := c.lead != "" && c.elapsed < c.cfg.ElectionTicks
	if hearsLeader && !m.Forced || !c.cfg.Durable {
		return
	}
	answer := wirepb.MessageType_MESSAGE_TYPE_VOTE_ANSWER
	if preVote {
		answer = wirepb.MessageType_MESSAGE_TYPE_PRE_VOTE_ANSWER
	} else if m.Term > c.term {
		c.becomeFollower(m.Term, "")
	}
	free := preVote && m.Term > c.term || m.Term == c.term && (c.vote == m.From || c.vote == "" && c.lead == "")
	granted := free && c.log.upToDate(m.Index, m.LogTerm)
	if granted && !preVote {
		c.vote = m.From
		c.resetTimer()
	}
	term := c.term
	if granted {
		term = m.Term
	}
	c.send(&wirepb.ReplicaMessage{Type: answer, To: m.From, Term: term, Reject: !granted})
}

func (c *Core) handlePreVoteAnswer(m *wirepb.ReplicaMessage) {
	if m.Reject && m.Term > c.term {
		c.becomeFollower(m.Term, "")
		return
	}
	if c.role != preCandidate || m.Term != c.term+1 && !m.Reject {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.countVotes() >= c.quorum() {
		c.startVote(false)
	}
}

func (c *Core) handleVoteAnswer(m *wirepb.ReplicaMessage) {
	if c.role != candidate {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.countVotes() >= c.quorum() {
		c.becomeLeader()
	}
}

// followLeader accepts the sender as leader of the current term.
func (c *Core) followLeader(m *wirepb.ReplicaMessage) {
	if c.role != follower || c.lead != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.elapsed = 0
}

func (c *Core) handleAppend(m *wirepb.ReplicaMessage) {
	c.followLeader(m)
	answer := &wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_APPEND_ANSWER, To: m.From, Index: m.Index,
	}
	if m.Index < c.log.commit {
		answer.Index = c.log.commit
		c.send(answer)
		return
	}
	if term, ok := c.log.term(m.Index); !ok || term != m.LogTerm {
		answer.Reject = true
		answer.Hint = c.rejectHint(m)
		c.send(answer)
		return
	}
	if !c.acceptEntries(m.Entries) {
		return
	}
	last := m.Index + uint64(len(m.Entries))
	c.log.commit = max(c.log.commit, min(m.Commit, last))
	answer.Index = last
	c.send(answer)
}

// rejectHint skips back over the whole conflicting term.
func (c *Core) rejectHint(m *wirepb.ReplicaMessage) uint64 {
	hint := min(m.Index-1, c.log.lastIndex())
	for hint > c.log.commit {
		if term, ok := c.log.term(hint); ok && term <= m.LogTerm {
			break
		}
		hint--
	}
	return hint
}

// acceptEntries appends the entries that are new, truncating at the first conflict.
func (c *Core) acceptEntries(entries []*wirepb.Entry) bool {
	for i, entry := range entries {
		if term, ok := c.log.term(entry.Index); ok && term == entry.Term {
			continue
		}
		if entry.Index <= c.log.lastIndex() {
			if entry.Index <= c.log.commit {
				return false
			}
			c.log.truncateFrom(entry.Index)
			c.dropMembershipFrom(entry.Index)
		}
		for _, added := range entries[i:] {
			c.log.append(added)
			if c.noteMembership(added) != nil {
				return false
			}
		}
		break
	}
	return true
}

func (c *Core) handleHeartbeat(m *wirepb.ReplicaMessage) {
	c.followLeader(m)
	c.log.commit = max(c.log.commit, min(m.Commit, c.log.lastIndex()))
	c.send(&wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_HEARTBEAT_ANSWER, To: m.From, Round: m.Round,
	})
}

func (c *Core) handleSnapshot(m *wirepb.ReplicaMessage) {
	c.followLeader(m)
	meta := m.Snapshot.GetMeta()
	if meta.GetIndex() > c.log.commit {
		c.log.restore(meta)
		c.config = []membershipAt{{meta.Index, meta.Membership}}
		c.received = m.Snapshot
	}
	c.send(&wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_APPEND_ANSWER, To: m.From, Index: c.log.commit,
	})
}

// peerProgress returns the progress of the sender, restarted when the sender
// is a new process: a learner without a disk comes back with an empty log.
func (c *Core) peerProgress(m *wirepb.ReplicaMessage) *progress {
	if c.role != leader {
		return nil
	}
	p := c.peers[m.From]
	if p == nil {
		return nil
	}
	if p.incarnation != m.Incarnation {
		*p = progress{next: c.log.lastIndex() + 1, probing: true, incarnation: m.Incarnation, round: p.round}
	}
	p.active = true
	return p
}

func (c *Core) handleAppendAnswer(m *wirepb.ReplicaMessage) {
	p := c.peerProgress(m)
	if p == nil {
		return
	}
	if p.inflight > 0 {
		p.inflight--
	}
	if m.Reject {
		if m.Index <= p.match {
			return
		}
		p.next = max(min(m.Hint+1, p.next), p.match+1)
		p.probing = true
		p.inflight = 0
		c.sendAppend(m.From, p)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, m.Index+1)
		p.snapshot = 0
		c.maybeCommit()
	}
	p.probing = false
	if p.next <= c.log.lastIndex() {
		c.sendAppend(m.From, p)
	}
}

func (c *Core) handleHeartbeatAnswer(m *wirepb.ReplicaMessage) {
	p := c.peerProgress(m)
	if p == nil {
		return
	}
	p.round = max(p.round, m.Round)
	stalled := p.match == p.lastMatch
	p.lastMatch = p.match
	if p.match >= c.log.lastIndex() || !stalled {
		return
	}
	// Messages in flight were lost with a link: start again after the known match.
	p.inflight = 0
	p.snapshot = 0
	if !p.probing {
		p.next = p.match + 1
	}
	c.sendAppend(m.From, p)
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
		p.snapshot = c.log.snapshot.Index
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
	p.next = snapshot.Meta.Index + 1
	c.send(&wirepb.ReplicaMessage{
		Type: wirepb.MessageType_MESSAGE_TYPE_SNAPSHOT, To: id, Snapshot: snapshot,
	})
}

func (c *Core) appendOwn(entry *wirepb.Entry) uint64 {
	entry.Term = c.term
	entry.Index = c.log.lastIndex() + 1
	c.log.append(entry)
	return entry.Index
}

// Propose appends commands on the leader and returns the index of the first.
func (c *Core) Propose(commands ...[]byte) (uint64, error) {
	if c.role != leader {
		return 0, ErrNotLeader
	}
	first := c.log.lastIndex() + 1
	for _, data := range commands {
		c.appendOwn(&wirepb.Entry{Kind: wirepb.EntryKind_ENTRY_KIND_COMMAND, Data: data})
	}
	c.broadcastAppend()
	return first, nil
}

// ProposeMembership appends a new member list. It is in effect at once, and
// the next change is refused until this one is committed.
func (c *Core) ProposeMembership(m *wirepb.Membership) (uint64, error) {
	if c.role != leader {
		return 0, ErrNotLeader
	}
	if c.config[len(c.config)-1].index > c.log.commit || !c.LeaderReady() {
		return 0, ErrMembershipBusy
	}
	if err := checkMembershipChange(c.Membership(), m); err != nil {
		return 0, err
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return 0, fmt.Errorf("marshal membership: %w", err)
	}
	entry := &wirepb.Entry{Kind: wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data}
	index := c.appendOwn(entry)
	if err := c.noteMembership(entry); err != nil {
		return 0, err
	}
	c.syncPeers()
	c.broadcastAppend()
	return index, nil
}

// TransferLeadership asks the most up-to-date voter to campaign at once.
func (c *Core) TransferLeadership() bool {
	if c.role != leader {
		return false
	}
	best := ""
	for _, member := range c.Membership().GetMembers() {
		p := c.peers[member.Id]
		if !isVoter(member) || p == nil || !p.active {
			continue
		}
		if best == "" || p.match > c.peers[best].match {
			best = member.Id
		}
	}
	if best == "" || c.peers[best].match < c.log.lastIndex() {
		return false
	}
	c.send(&wirepb.ReplicaMessage{Type: wirepb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW, To: best})
	return true
}

// HasReady reports whether Ready would return work.
func (c *Core) HasReady() bool {
	return len(c.messages) > 0 || len(c.needSnapshot) > 0 || c.received != nil ||
		c.log.stable < c.log.lastIndex() || c.log.applied < c.log.commit ||
		!proto.Equal(c.savedState, c.hardState())
}

// Ready returns the work that is due.
func (c *Core) Ready() Ready {
	r := Ready{Messages: c.messages, Snapshot: c.received}
	c.messages = nil
	c.received = nil
	if hs := c.hardState(); !proto.Equal(hs, c.savedState) {
		r.HardState = hs
	}
	r.Entries = c.log.slice(c.log.stable+1, c.log.lastIndex(), 1<<62)
	r.Committed = c.log.slice(c.log.applied+1, c.log.commit, 1<<62)
	for id := range c.needSnapshot {
		r.NeedSnapshot = append(r.NeedSnapshot, id)
	}
	clear(c.needSnapshot)
	return r
}

// Advance records that the work of r was carried out.
func (c *Core) Advance(r Ready) {
	if r.HardState != nil {
		c.savedState = r.HardState
	}
	if n := len(r.Entries); n > 0 {
		c.log.stable = max(c.log.stable, r.Entries[n-1].Index)
	}
	if n := len(r.Committed); n > 0 {
		c.log.applied = max(c.log.applied, r.Committed[n-1].Index)
		c.stepDownIfRemoved()
	}
	if c.role == leader {
		c.maybeCommit()
	}
}

// stepDownIfRemoved ends leadership once the own removal is committed.
func (c *Core) stepDownIfRemoved() {
	last := c.config[len(c.config)-1]
	if c.role == leader && last.index <= c.log.applied && !c.selfVotes() {
		c.becomeFollower(c.term, "")
	}
}

// Compact replaces the log up to the applied index by a snapshot's meta data.
func (c *Core) Compact(index uint64) *wirepb.SnapshotMeta {
	term, ok := c.log.term(index)
	if !ok || index > c.log.applied {
		return nil
	}
	meta := &wirepb.SnapshotMeta{Index: index, Term: term, Membership: c.membershipAtIndex(index)}
	c.log.compact(meta)
	kept := []membershipAt{{index, meta.Membership}}
	for _, at := range c.config {
		if at.index > index {
			kept = append(kept, at)
		}
	}
	c.config = kept
	return meta
}

// SnapshotMeta describes a snapshot at the applied index.
func (c *Core) SnapshotMeta() *wirepb.SnapshotMeta {
	term, _ := c.log.term(c.log.applied)
	return &wirepb.SnapshotMeta{
		Index: c.log.applied, Term: term, Membership: c.membershipAtIndex(c.log.applied),
	}
}
