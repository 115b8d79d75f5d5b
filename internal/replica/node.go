package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"sapphirering/internal/replica/store"
	"sapphirering/internal/wire/wirepb"
)

// ErrOutcomeUnknown is returned for a proposal that may or may not have taken
// effect, and may still do so.
var ErrOutcomeUnknown = errors.New("outcome unknown: leadership changed before the commit was seen")

// ErrStopped is returned after the node has stopped.
var ErrStopped = errors.New("replica stopped")

const (
	inputQueueSize = 1024
	// maxInputsPerSync bounds the waiting messages and proposals taken before one sync.
	maxInputsPerSync = 256
	// probePollInterval is the time between two checks of the answers to a probe.
	probePollInterval = 5 * time.Millisecond
	// snapshotRetryDelay is the time until a snapshot is taken again that could not be saved. Each attempt
	// encodes the whole state.
	snapshotRetryDelay = 2 * time.Second
)

// StateMachine applies committed commands in log order.
type StateMachine interface {
	// Apply applies one command and returns its outcome.
	Apply(index uint64, command []byte) any
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(state []byte) error
}

// Sender sends messages to other members. Send never blocks; it may drop.
type Sender interface {
	Send(messages []*wirepb.ReplicaMessage)
	// SetMembership passes on the membership in effect with its addresses.
	SetMembership(m *wirepb.Membership)
}

// Storage persists the core's state; Save returns after the sync. Members
// without a data folder have no Storage.
type Storage interface {
	Save(store.Batch) error
}

// NodeConfig holds the settings and dependencies of a Node.
type NodeConfig struct {
	Core    Config
	Machine StateMachine
	Storage Storage
	Sender  Sender
	// SlowSaveThreshold is the time from which on a save counts as slow, or 0 for
	// never. A leader whose saves stay slow transfers leadership and calls
	// OnSlowDisk with the duration of the last save.
	SlowSaveThreshold time.Duration
	OnSlowDisk        func(saved time.Duration)
	// TickInterval is the length of one tick.
	TickInterval time.Duration
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64
	// SnapshotTail is the number of entries kept from before a snapshot, so that
	// a slow member can catch up from the log.
	SnapshotTail uint64
	// OnLeaderChange is called from the node's goroutine; it must not block.
	OnLeaderChange func(leader string, term uint64)
	// OnMembership is called when a membership entry is applied.
	OnMembership func(m *wirepb.Membership)
	// ConfirmedReads is set when this member answers reads only with a quorum's
	// confirmation or under a lease. The commit index then needs no sync of its
	// own: after a restart nothing is read here before a leader has sent it again.
	ConfirmedReads bool
	// OnSnapshotNotSaved is called when a snapshot could not be saved and is taken again later.
	OnSnapshotNotSaved func(err error)
	// OnFatal is called when a save, a snapshot or a restore fails, or when the core
	// reports a fault. The node processes nothing after that.
	OnFatal func(err error)
}

// Status is a copy of the core's state.
type Status struct {
	ID          string
	Leader      string
	Term        uint64
	Commit      uint64
	Applied     uint64
	IsLeader    bool
	LeaderReady bool
	// FormerTerm is, at a leader, the term of the last entry before its first: that of the last leader that may
	// have held a lease.
	FormerTerm uint64
	Membership *wirepb.Membership
	// MembershipCommitted is false while the membership in effect may still be truncated.
	MembershipCommitted bool
	Members             []*wirepb.MemberStatus
}

type proposal struct {
	data []byte
	// change makes the next membership from the one in effect.
	change func(current *wirepb.Membership) (*wirepb.Membership, error)
	reply  chan proposalResult
}

type proposalResult struct {
	index   uint64
	outcome any
	err     error
}

type waiter struct {
	term  uint64
	reply chan proposalResult
}

type confirmation struct {
	round uint64
	// commit is the commit index at the time of the call. Other members may have shown the state at
	// this index before.
	commit uint64
	reply  chan error
}

// Node drives a Core. All access to the core is on one goroutine.
type Node struct {
	cfg       NodeConfig
	core      *Core
	inbox     chan *wirepb.ReplicaMessage
	proposals chan proposal
	calls     chan func()
	// saved receives the result of the save in progress.
	saved    chan saveResult
	done     chan struct{}
	stopOnce sync.Once
	stopped  chan struct{}

	waiters           map[uint64]waiter
	confirmations     []confirmation
	lastLeader        string
	lastTerm          uint64
	lastMembership    *wirepb.Membership
	lastSnapshotIndex uint64
	// dueSnapshot waits to be saved until its entries are synced and the storage is free; nil for none.
	dueSnapshot *dueSnapshot

	// saving is set while a save is in progress, which began at saveBegan.
	saving    bool
	saveBegan time.Time
	// snapshotRetryAt is when the next snapshot may be taken after one that could not be saved.
	snapshotRetryAt time.Time

	lease leaderLease
	// transferring is set from a request to another voter to campaign until the
	// leader or the term changes. transferStarted is the time of the first
	// request of the last transfer.
	transferring    bool
	transferStarted time.Time
	// proposalsHeldUntil is when held proposals are taken again. slowDiskHeldAt is when they were
	// last held because of a slow disk.
	proposalsHeldUntil time.Time
	slowDiskHeldAt     time.Time
	// slowSaves counts consecutive slow saves.
	slowSaves int
	// leaseUntil is the end of the lease, by the clock of timeSinceBoot, or 0
	// without a lease.
	leaseUntil atomic.Int64
	// sinceBoot is timeSinceBoot, except in tests.
	sinceBoot func() (time.Duration, error)

	mu             sync.Mutex
	applied        uint64
	appliedChanged chan struct{}
}

// NewNode restores the core and the state machine from the synced state.
func NewNode(cfg NodeConfig, loaded store.Loaded) (*Node, error) {
	persisted := Persisted{HardState: loaded.HardState, Entries: loaded.Entries}
	cfg.Core.ApplyUnsynced = cfg.ConfirmedReads
	n := &Node{
		cfg:            cfg,
		sinceBoot:      timeSinceBoot,
		inbox:          make(chan *wirepb.ReplicaMessage, inputQueueSize),
		proposals:      make(chan proposal, inputQueueSize),
		calls:          make(chan func()),
		saved:          make(chan saveResult, 1),
		done:           make(chan struct{}),
		stopped:        make(chan struct{}),
		waiters:        make(map[uint64]waiter),
		appliedChanged: make(chan struct{}),
	}
	if loaded.Snapshot != nil {
		persisted.Snapshot = loaded.Snapshot.Meta
		if err := cfg.Machine.Restore(loaded.Snapshot.State); err != nil {
			return nil, fmt.Errorf("restore snapshot %d: %w", loaded.Snapshot.Meta.Index, err)
		}
		n.applied = loaded.Snapshot.Meta.Index
		n.lastSnapshotIndex = n.applied
	}
	core, err := NewCore(cfg.Core, persisted)
	if err != nil {
		return nil, err
	}
	n.core = core
	n.replay()
	return n, nil
}

// replay applies the entries up to the commit index that the previous process synced.
func (n *Node) replay() {
	for n.core.log.applied < n.core.Commit() {
		r := n.core.Ready()
		n.applyAll(r.Committed)
		n.core.Applied(r)
	}
}

// Run drives the core until Stop or a fatal error, which it passes to OnFatal.
func (n *Node) Run() {
	defer close(n.stopped)
	ticker := time.NewTicker(n.cfg.TickInterval)
	defer ticker.Stop()
	n.reportChanges()
	for {
		var err error
		ticks, inbox, proposals, calls := ticker.C, n.inbox, n.proposals, n.calls
		if n.saveOverdue() {
			ticks, inbox, proposals, calls = nil, nil, nil, nil
		}
		if !n.takesProposals() {
			proposals = nil
		}
		select {
		case <-n.done:
			n.failWaiters(ErrOutcomeUnknown)
			n.awaitSave()
			return
		case result := <-n.saved:
			err = n.finishSave(result)
		case <-ticks:
			n.core.Tick()
		case m := <-inbox:
			n.core.Step(m)
		case p := <-proposals:
			n.propose(p)
		case call := <-calls:
			call()
		}
		if err == nil {
			n.takeWaitingInputs()
			err = n.process()
		}
		if err != nil {
			n.failWaiters(ErrOutcomeUnknown)
			n.awaitSave()
			n.cfg.OnFatal(err)
			return
		}
	}
}

// takeWaitingInputs takes the other messages and proposals that wait, so that
// one sync covers them.
func (n *Node) takeWaitingInputs() {
	proposals := n.proposals
	if !n.takesProposals() {
		proposals = nil
	}
	for range maxInputsPerSync {
		select {
		case m := <-n.inbox:
			n.core.Step(m)
		case p := <-proposals:
			n.propose(p)
		default:
			return
		}
	}
}

// Stop ends Run and waits for it.
func (n *Node) Stop() {
	n.stopOnce.Do(func() { close(n.done) })
	<-n.stopped
}

// Deliver queues a received message, or drops it when the queue is full.
func (n *Node) Deliver(m *wirepb.ReplicaMessage) {
	select {
	case n.inbox <- m:
	default:
	}
}

func (n *Node) propose(p proposal) {
	if n.transferring {
		// An entry appended now could reach the other voters but not the
		// successor, which already campaigns: they would refuse it their vote.
		p.reply <- proposalResult{err: ErrNotLeader}
		return
	}
	var index uint64
	var err error
	if p.change != nil {
		index, err = n.changeMembership(p.change)
	} else {
		index, err = n.core.Propose(p.data)
	}
	if err != nil {
		p.reply <- proposalResult{err: err}
		return
	}
	if replaced, ok := n.waiters[index]; ok {
		replaced.reply <- proposalResult{err: ErrOutcomeUnknown}
	}
	n.waiters[index] = waiter{term: n.core.Term(), reply: p.reply}
}

// changeMembership makes and proposes the next membership in one step: one that
// is made from an older membership would undo a change proposed in between.
func (n *Node) changeMembership(change func(*wirepb.Membership) (*wirepb.Membership, error)) (uint64, error) {
	next, err := change(n.core.Membership())
	if err != nil {
		return 0, err
	}
	return n.core.ProposeMembership(next)
}

// process does all work that the core has ready, and then the leader's periodic
// work: transfers, the lease, confirmations and snapshots.
func (n *Node) process() error {
	for n.core.HasReady() {
		r := n.core.Ready()
		n.recordRoundStart()
		n.cfg.Sender.Send(r.Early)
		if r.Save {
			if err := n.beginSave(r); err != nil {
				return err
			}
		}
		n.applyAll(r.Committed)
		n.core.Applied(r)
		n.reportChanges()
		if err := n.sendSnapshots(r.NeedSnapshot); err != nil {
			return err
		}
	}
	if err := n.core.Fault(); err != nil {
		return err
	}
	n.transferFromSlowDisk()
	n.stepDownAfterLostTransfer()
	n.reportChanges()
	n.updateLease()
	n.finishConfirmations()
	return n.maybeSnapshot()
}

func (n *Node) restore(snapshot *wirepb.ReplicaSnapshot) error {
	if err := n.cfg.Machine.Restore(snapshot.State); err != nil {
		return fmt.Errorf("restore snapshot %d: %w", snapshot.Meta.Index, err)
	}
	n.lastSnapshotIndex = snapshot.Meta.Index
	n.setApplied(snapshot.Meta.Index)
	return nil
}

func (n *Node) applyAll(entries []*wirepb.Entry) {
	for _, entry := range entries {
		var outcome any
		switch entry.Kind {
		case wirepb.EntryKind_ENTRY_KIND_COMMAND:
			outcome = n.cfg.Machine.Apply(entry.Index, entry.Data)
		case wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP:
			if n.cfg.OnMembership != nil {
				n.cfg.OnMembership(n.core.membershipAtIndex(entry.Index))
			}
		}
		n.replyToProposer(entry, outcome)
	}
	if len(entries) > 0 {
		n.setApplied(entries[len(entries)-1].Index)
	}
}

// replyToProposer sends the outcome to the caller that proposed the entry
// through this node, if it still waits.
func (n *Node) replyToProposer(entry *wirepb.Entry, outcome any) {
	w, ok := n.waiters[entry.Index]
	if !ok {
		return
	}
	delete(n.waiters, entry.Index)
	if w.term != entry.Term {
		w.reply <- proposalResult{err: ErrOutcomeUnknown}
		return
	}
	w.reply <- proposalResult{index: entry.Index, outcome: outcome}
}

func (n *Node) failWaiters(err error) {
	for index, w := range n.waiters {
		delete(n.waiters, index)
		w.reply <- proposalResult{err: err}
	}
	n.failConfirmations(err)
}

func (n *Node) failConfirmations(err error) {
	for _, c := range n.confirmations {
		c.reply <- err
	}
	n.confirmations = nil
}

// reportChanges reports a new leader, term or membership. When this member has
// lost leadership, proposals and confirmations that wait on it fail.
func (n *Node) reportChanges() {
	if m := n.core.Membership(); m != nil && m != n.lastMembership {
		n.lastMembership = m
		n.cfg.Sender.SetMembership(m)
	}
	if n.core.Leader() == n.lastLeader && n.core.Term() == n.lastTerm {
		return
	}
	if n.lastLeader == n.cfg.Core.ID {
		n.failWaiters(ErrOutcomeUnknown)
	}
	n.lastLeader, n.lastTerm = n.core.Leader(), n.core.Term()
	n.transferring = false
	if n.cfg.OnLeaderChange != nil {
		n.cfg.OnLeaderChange(n.lastLeader, n.lastTerm)
	}
}

func (n *Node) finishConfirmations() {
	if len(n.confirmations) == 0 {
		return
	}
	if !n.core.IsLeader() {
		n.failConfirmations(ErrNotLeader)
		return
	}
	confirmed := n.core.ConfirmedRound()
	rest := n.confirmations[:0]
	for _, c := range n.confirmations {
		if c.round <= confirmed && n.core.LeaderApplied() && n.core.log.applied >= c.commit {
			c.reply <- nil
			continue
		}
		rest = append(rest, c)
	}
	n.confirmations = rest
}

func (n *Node) sendSnapshots(ids []string) error {
	if len(ids) == 0 {
		return nil
	}
	state, err := n.cfg.Machine.Snapshot()
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	snapshot := &wirepb.ReplicaSnapshot{Meta: n.core.SnapshotMeta(), State: state}
	for _, id := range ids {
		n.core.SendSnapshot(id, snapshot)
	}
	return nil
}

func (n *Node) setApplied(index uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applied = index
	close(n.appliedChanged)
	n.appliedChanged = make(chan struct{})
}

// Applied returns the last index that the state machine has applied.
func (n *Node) Applied() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.applied
}

// WaitApplied waits until the state machine has applied index.
func (n *Node) WaitApplied(ctx context.Context, index uint64) error {
	for {
		n.mu.Lock()
		applied, advance := n.applied, n.appliedChanged
		n.mu.Unlock()
		if applied >= index {
			return nil
		}
		select {
		case <-advance:
		case <-ctx.Done():
			return fmt.Errorf("wait for index %d, applied is %d: %w", index, applied, ctx.Err())
		case <-n.stopped:
			return ErrStopped
		}
	}
}

// Propose commits a command through this leader and returns its outcome.
// ErrNotLeader means that it did not take effect. After ErrOutcomeUnknown or
// the end of ctx it may have taken effect or still do so.
func (n *Node) Propose(ctx context.Context, data []byte) (any, error) {
	result, err := n.submit(ctx, proposal{data: data, reply: make(chan proposalResult, 1)})
	return result.outcome, err
}

// ChangeMembership commits the membership that change makes from the one in
// effect, and returns its log index. change runs on the node's goroutine.
func (n *Node) ChangeMembership(ctx context.Context, change func(current *wirepb.Membership) (*wirepb.Membership, error)) (uint64, error) {
	result, err := n.submit(ctx, proposal{change: change, reply: make(chan proposalResult, 1)})
	return result.index, err
}

func (n *Node) submit(ctx context.Context, p proposal) (proposalResult, error) {
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return proposalResult{}, fmt.Errorf("queue proposal: %w", ctx.Err())
	case <-n.stopped:
		return proposalResult{}, ErrStopped
	}
	select {
	case result := <-p.reply:
		return result, result.err
	case <-ctx.Done():
		return proposalResult{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	case <-n.stopped:
		return proposalResult{}, ErrOutcomeUnknown
	}
}

// runOnLoop runs f on the node's goroutine.
func (n *Node) runOnLoop(ctx context.Context, f func()) error {
	finished := make(chan struct{})
	call := func() {
		defer close(finished)
		f()
	}
	select {
	case n.calls <- call:
		<-finished
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return ErrStopped
	}
}

// ConfirmLeadership returns nil once a quorum has confirmed, after the call
// began, that this member leads. All that was acknowledged before the call is then applied.
func (n *Node) ConfirmLeadership(ctx context.Context) error {
	reply := make(chan error, 1)
	err := n.runOnLoop(ctx, func() {
		if !n.core.IsLeader() {
			reply <- ErrNotLeader
			return
		}
		n.confirmations = append(n.confirmations, confirmation{n.core.NextRound(), n.core.Commit(), reply})
	})
	if err != nil {
		return err
	}
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return fmt.Errorf("confirm leadership: %w", ctx.Err())
	case <-n.stopped:
		return ErrStopped
	}
}

// ProbeMembers sends a heartbeat round and returns the IDs of the members that
// answered it. It waits until enough returns true or all members have answered,
// but no longer than wait.
func (n *Node) ProbeMembers(ctx context.Context, wait time.Duration, enough func(answered []string) bool) ([]string, error) {
	var round uint64
	if err := n.runOnLoop(ctx, func() { round = n.core.Heartbeat() }); err != nil {
		return nil, fmt.Errorf("probe members: %w", err)
	}
	deadline := time.Now().Add(wait)
	for {
		var answered []string
		members, leads := 0, false
		err := n.runOnLoop(ctx, func() {
			leads = n.core.IsLeader()
			members = len(n.core.Membership().GetMembers())
			answered = n.core.Answered(round)
		})
		if err != nil {
			return nil, fmt.Errorf("probe members: %w", err)
		}
		if !leads || round == 0 {
			return nil, ErrNotLeader
		}
		if len(answered) >= members || enough(answered) || time.Now().After(deadline) {
			return answered, nil
		}
		time.Sleep(probePollInterval)
	}
}

// TransferLeadership asks another voter to campaign at once. It returns false if
// this member does not lead, or no active voter holds the whole log after new
// proposals were held for a moment.
func (n *Node) TransferLeadership(ctx context.Context) (bool, error) {
	holdUntil := time.Now().Add(maxProposalHold)
	for {
		sent, leads := false, false
		err := n.runOnLoop(ctx, func() {
			leads = n.core.IsLeader()
			if sent = n.startTransfer(); !sent {
				n.holdProposals(holdUntil)
			}
		})
		if err != nil || sent || !leads || time.Now().After(holdUntil) {
			return sent, err
		}
		time.Sleep(probePollInterval)
	}
}

// Status returns the current state of the node's core.
func (n *Node) Status(ctx context.Context) (Status, error) {
	var s Status
	err := n.runOnLoop(ctx, func() {
		s = Status{
			ID: n.cfg.Core.ID, Leader: n.core.Leader(), Term: n.core.Term(), Commit: n.core.Commit(),
			Applied: n.core.log.applied, IsLeader: n.core.IsLeader(), LeaderReady: n.core.LeaderReady(), FormerTerm: n.core.formerTerm,
			Membership: n.core.Membership(), MembershipCommitted: n.core.membershipCommitted(),
		}
		for _, member := range s.Membership.GetMembers() {
			match, active := n.core.Match(member.Id)
			s.Members = append(s.Members, &wirepb.MemberStatus{
				Member: member, MatchIndex: match, Leader: member.Id == s.Leader, Active: active,
			})
		}
	})
	return s, err
}

// Bootstrap writes the first snapshot of a new cluster: an empty state and a
// membership with first as its only member.
func Bootstrap(storage Storage, first *wirepb.Member, emptyState []byte) error {
	return BootstrapWithMembers(storage, WithMember(nil, first), emptyState)
}

// BootstrapWithMembers writes the first snapshot of a new cluster: an empty
// state and the given membership. All initial members must write the same one.
func BootstrapWithMembers(storage Storage, membership *wirepb.Membership, emptyState []byte) error {
	snapshot := &wirepb.ReplicaSnapshot{
		Meta:  &wirepb.SnapshotMeta{Index: 1, Term: 1, Membership: membership},
		State: emptyState,
	}
	err := storage.Save(store.Batch{
		HardState: &wirepb.HardState{Term: 1, Commit: 1}, Snapshot: snapshot, Reset: true,
	})
	if err != nil {
		return fmt.Errorf("bootstrap cluster: %w", err)
	}
	return nil
}
