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

// ErrOutcomeUnknown is returned when a proposal may or may not take effect.
var ErrOutcomeUnknown = errors.New("outcome unknown: leadership changed before the commit was seen")

// ErrStopped is returned after the node has stopped.
var ErrStopped = errors.New("replica stopped")

const (
	mailboxSize = 1024
	// Largest number of inputs taken before one sync.
	maxBatch = 256
	// probePause is the time between two looks at the answers to a probe.
	probePause = 5 * time.Millisecond
)

// StateMachine takes committed commands in log order.
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
	// SetMembership tells the addresses of all members.
	SetMembership(m *wirepb.Membership)
}

// Storage syncs what the core wants kept. Members without a data folder use none.
type Storage interface {
	Save(store.Batch) error
}

// NodeConfig holds what a Node needs beside the core.
type NodeConfig struct {
	Core    Config
	Machine StateMachine
	Storage Storage
	Sender  Sender
	// SlowSaveThreshold is the time from which on a save counts as slow; a leader whose saves
	// stay slow hands over. 0 for never. OnSlowDisk is told of it.
	SlowSaveThreshold time.Duration
	OnSlowDisk        func(saved time.Duration)
	// TickInterval is the length of one tick.
	TickInterval time.Duration
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64
	// SnapshotTail is the number of entries kept before a snapshot, so that a
	// slow member needs no snapshot each time.
	SnapshotTail uint64
	// OnLeaderChange is called from the node's goroutine; it must not block.
	OnLeaderChange func(leader string, term uint64)
	// OnMembership is called when a member list is applied.
	OnMembership func(m *wirepb.Membership)
	// ConfirmedReads tells that this member answers only under a quorum or a
	// lease. The commit index then needs no sync of its own: after a restart
	// nobody reads from this member before a leader has told it anew.
	ConfirmedReads bool
	// OnFatal is called when storage fails or the log proves unsafe; the node has stopped.
	OnFatal func(err error)
}

// Status is a copy of the core's view.
type Status struct {
	ID          string
	Leader      string
	Term        uint64
	Commit      uint64
	Applied     uint64
	IsLeader    bool
	LeaderReady bool
	Membership  *wirepb.Membership
	// MembershipCommitted is false while the newest member list may still be undone.
	MembershipCommitted bool
	Members             []*wirepb.MemberStatus
}

type proposal struct {
	data []byte
	// change makes the next member list from the one in effect.
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
	reply chan error
}

// Node drives a Core. All access to the core is on one goroutine.
type Node struct {
	cfg       NodeConfig
	core      *Core
	inbox     chan *wirepb.ReplicaMessage
	proposals chan proposal
	calls     chan func()
	done      chan struct{}
	stopOnce  sync.Once
	stopped   chan struct{}

	waiters       map[uint64]waiter
	confirmations []confirmation
	lastLeader    string
	lastTerm      uint64
	lastMembers   *wirepb.Membership
	snapshotAt    uint64

	lease leaderLease
	// transferring is set from a request to another voter to lead until somebody
	// does; handedOver is when the last such request was first sent.
	transferring bool
	handedOver   time.Time
	// slowSaves counts slow saves in a row.
	slowSaves int
	// leaseUntil is a time of bootTime; 0 without a lease.
	leaseUntil atomic.Int64

	mu      sync.Mutex
	applied uint64
	advance chan struct{}
}

// NewNode restores the core and the state machine from what was synced.
func NewNode(cfg NodeConfig, loaded store.Loaded) (*Node, error) {
	persisted := Persisted{HardState: loaded.HardState, Entries: loaded.Entries}
	n := &Node{
		cfg:       cfg,
		inbox:     make(chan *wirepb.ReplicaMessage, mailboxSize),
		proposals: make(chan proposal, mailboxSize),
		calls:     make(chan func()),
		done:      make(chan struct{}),
		stopped:   make(chan struct{}),
		waiters:   make(map[uint64]waiter),
		advance:   make(chan struct{}),
	}
	if loaded.Snapshot != nil {
		persisted.Snapshot = loaded.Snapshot.Meta
		if err := cfg.Machine.Restore(loaded.Snapshot.State); err != nil {
			return nil, fmt.Errorf("restore snapshot %d: %w", loaded.Snapshot.Meta.Index, err)
		}
		n.applied = loaded.Snapshot.Meta.Index
		n.snapshotAt = n.applied
	}
	core, err := NewCore(cfg.Core, persisted)
	if err != nil {
		return nil, err
	}
	n.core = core
	n.replay()
	return n, nil
}

// replay applies what was known to be committed when the last process ended.
func (n *Node) replay() {
	for n.core.log.applied < n.core.Commit() {
		r := n.core.Ready()
		n.applyAll(r.Committed)
		n.core.Advance(r)
	}
}

// Run drives the core until Stop; it returns the storage error that ended it, if any.
func (n *Node) Run() {
	defer close(n.stopped)
	ticker := time.NewTicker(n.cfg.TickInterval)
	defer ticker.Stop()
	n.noteChanges()
	for {
		select {
		case <-n.done:
			n.failAll(ErrOutcomeUnknown)
			return
		case <-ticker.C:
			n.core.Tick()
		case m := <-n.inbox:
			n.core.Step(m)
		case p := <-n.proposals:
			n.propose(p)
		case call := <-n.calls:
			call()
		}
		n.drain()
		if err := n.process(); err != nil {
			n.failAll(ErrOutcomeUnknown)
			n.cfg.OnFatal(err)
			return
		}
	}
}

// drain takes what else is waiting, so that one sync covers it.
func (n *Node) drain() {
	for range maxBatch {
		select {
		case m := <-n.inbox:
			n.core.Step(m)
		case p := <-n.proposals:
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

// Deliver hands over a received message; it drops it when the mailbox is full.
func (n *Node) Deliver(m *wirepb.ReplicaMessage) {
	select {
	case n.inbox <- m:
	default:
	}
}

func (n *Node) propose(p proposal) {
	if n.transferring {
		// An entry appended now would reach the other voters and not the successor,
		// who campaigns already: they would not vote for it.
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

// changeMembership makes and proposes the next list in one step: a list made
// from an older one would undo a change that was proposed in between.
func (n *Node) changeMembership(change func(*wirepb.Membership) (*wirepb.Membership, error)) (uint64, error) {
	next, err := change(n.core.Membership())
	if err != nil {
		return 0, err
	}
	return n.core.ProposeMembership(next)
}

// process carries out everything that the core has ready.
func (n *Node) process() error {
	for n.core.HasReady() {
		r := n.core.Ready()
		n.cfg.Sender.Send(r.Early)
		if err := n.persist(r); err != nil {
			return err
		}
		n.cfg.Sender.Send(r.Messages)
		if r.Snapshot != nil {
			if err := n.restore(r.Snapshot); err != nil {
				return err
			}
		}
		n.applyAll(r.Committed)
		n.core.Advance(r)
		n.noteChanges()
		if err := n.sendSnapshots(r.NeedSnapshot); err != nil {
			return err
		}
	}
	if err := n.core.Fault(); err != nil {
		return err
	}
	n.leaveSlowDisk()
	n.endLostHandOver()
	n.noteChanges()
	n.noteRounds()
	n.finishConfirmations()
	return n.maybeSnapshot()
}

// persist syncs hard state, entries and a received snapshot in one
// transaction. Nothing is sent before it returns: a crash between sending a
// vote or an append answer and syncing it would let this member forget it. A
// commit index that moved is synced before its entries are applied: a member
// that restarts without a leader would otherwise show an older state than before.
func (n *Node) persist(r Ready) error {
	if n.cfg.Storage == nil || r.HardState == nil && len(r.Entries) == 0 && r.Snapshot == nil {
		return nil
	}
	if n.cfg.ConfirmedReads && len(r.Entries) == 0 && r.Snapshot == nil && !r.VoteChanged {
		return nil
	}
	began := time.Now()
	err := n.cfg.Storage.Save(store.Batch{
		HardState: r.HardState, Entries: r.Entries, Snapshot: r.Snapshot, Reset: r.Snapshot != nil,
	})
	if err != nil {
		return fmt.Errorf("persist: %w", err)
	}
	n.noteSave(time.Since(began))
	return nil
}

func (n *Node) restore(snapshot *wirepb.ReplicaSnapshot) error {
	if err := n.cfg.Machine.Restore(snapshot.State); err != nil {
		return fmt.Errorf("restore snapshot %d: %w", snapshot.Meta.Index, err)
	}
	n.snapshotAt = snapshot.Meta.Index
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
		n.answer(entry, outcome)
	}
	if len(entries) > 0 {
		n.setApplied(entries[len(entries)-1].Index)
	}
}

// answer tells the proposer of the entry, if it waits here.
func (n *Node) answer(entry *wirepb.Entry, outcome any) {
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

func (n *Node) failAll(err error) {
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

// noteChanges reports a new leader or member list and fails what waits on the old one.
func (n *Node) noteChanges() {
	if m := n.core.Membership(); m != nil && m != n.lastMembers {
		n.lastMembers = m
		n.cfg.Sender.SetMembership(m)
	}
	if n.core.Leader() == n.lastLeader && n.core.Term() == n.lastTerm {
		return
	}
	if n.lastLeader == n.cfg.Core.ID {
		n.failAll(ErrOutcomeUnknown)
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
		if c.round <= confirmed && n.core.LeaderReady() {
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

// maybeSnapshot compacts the log once enough entries were applied.
func (n *Node) maybeSnapshot() error {
	applied := n.core.log.applied
	if n.cfg.SnapshotEntries == 0 || applied-n.snapshotAt < n.cfg.SnapshotEntries {
		return nil
	}
	state, err := n.cfg.Machine.Snapshot()
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	meta := n.core.Compact(applied, n.cfg.SnapshotTail)
	if meta == nil {
		return nil
	}
	n.snapshotAt = applied
	if n.cfg.Storage == nil {
		return nil
	}
	err = n.cfg.Storage.Save(store.Batch{
		Snapshot: &wirepb.ReplicaSnapshot{Meta: meta, State: state}, KeepFrom: n.core.log.base,
	})
	if err != nil {
		return fmt.Errorf("save snapshot %d: %w", meta.Index, err)
	}
	return nil
}

func (n *Node) setApplied(index uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applied = index
	close(n.advance)
	n.advance = make(chan struct{})
}

// Applied returns the last index that the state machine has taken.
func (n *Node) Applied() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.applied
}

// WaitApplied waits until the state machine has taken index.
func (n *Node) WaitApplied(ctx context.Context, index uint64) error {
	for {
		n.mu.Lock()
		applied, advance := n.applied, n.advance
		n.mu.Unlock()
		if applied >= index {
			return nil
		}
		select {
		case <-advance:
		case <-ctx.Done():
			return fmt.Errorf("wait for index %d at %d: %w", index, applied, ctx.Err())
		case <-n.stopped:
			return ErrStopped
		}
	}
}

// Propose commits a command through this leader and returns its outcome.
// ErrNotLeader means that it did not take effect. After ErrOutcomeUnknown or
// the end of ctx it may still take effect.
func (n *Node) Propose(ctx context.Context, data []byte) (any, error) {
	result, err := n.submit(ctx, proposal{data: data, reply: make(chan proposalResult, 1)})
	return result.outcome, err
}

// ChangeMembership commits the member list that change makes from the one in
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

// do runs f on the node's goroutine.
func (n *Node) do(ctx context.Context, f func()) error {
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
// began, that this member leads.
func (n *Node) ConfirmLeadership(ctx context.Context) error {
	reply := make(chan error, 1)
	err := n.do(ctx, func() {
		if !n.core.IsLeader() {
			reply <- ErrNotLeader
			return
		}
		n.confirmations = append(n.confirmations, confirmation{n.core.NextRound(), reply})
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

// ProbeMembers returns the members that answer this leader now. It waits until enough
// of them have answered or all have, at most for the given time.
func (n *Node) ProbeMembers(ctx context.Context, wait time.Duration, enough func(answered []string) bool) ([]string, error) {
	var round uint64
	if err := n.do(ctx, func() { round = n.core.Heartbeat() }); err != nil {
		return nil, fmt.Errorf("probe members: %w", err)
	}
	deadline := time.Now().Add(wait)
	for {
		var answered []string
		members, leads := 0, false
		err := n.do(ctx, func() {
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
		time.Sleep(probePause)
	}
}

// TransferLeadership asks another voter to take over.
func (n *Node) TransferLeadership(ctx context.Context) (bool, error) {
	started := false
	err := n.do(ctx, func() { started = n.handOver() })
	return started, err
}

// Status returns the current view.
func (n *Node) Status(ctx context.Context) (Status, error) {
	var s Status
	err := n.do(ctx, func() {
		s = Status{
			ID: n.cfg.Core.ID, Leader: n.core.Leader(), Term: n.core.Term(), Commit: n.core.Commit(),
			Applied: n.core.log.applied, IsLeader: n.core.IsLeader(), LeaderReady: n.core.LeaderReady(),
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
// member list of one voter.
func Bootstrap(storage Storage, first *wirepb.Member, emptyState []byte) error {
	return BootstrapWithMembers(storage, WithMember(nil, first), emptyState)
}

// BootstrapWithMembers writes the first snapshot of a new cluster: an empty state and the
// member list that all founders write alike.
func BootstrapWithMembers(storage Storage, membership *wirepb.Membership, emptyState []byte) error {
	snapshot := &wirepb.ReplicaSnapshot{
		Meta:  &wirepb.SnapshotMeta{Index: 1, Term: 1, Membership: membership},
		State: emptyState,
	}
	err := storage.Save(store.Batch{
		HardState: &wirepb.HardState{Term: 1, Commit: 1}, Snapshot: snapshot, Reset: true,
	})
	if err != nil {
		return fmt.Errorf("found cluster: %w", err)
	}
	return nil
}
