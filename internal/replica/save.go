package replica

import (
	"errors"
	"fmt"
	"time"

	"sapphirering/internal/replica/store"
	"sapphirering/internal/wire/wirepb"
)

// saveResult is the end of a save.
type saveResult struct {
	// ready is the work that was saved, nil for a snapshot of this member's own state.
	ready *Ready
	took  time.Duration
	err   error
}

// dueSnapshot is the state at an applied index, to be saved.
type dueSnapshot struct {
	index uint64
	state []byte
}

// beginSave persists hard state, entries and a received snapshot in one
// transaction on a goroutine of its own; one save is in progress at a time.
// Messages and the leader's count of its own entries wait for it: this member
// would forget a vote or an append answer if it crashed after sending and before
// syncing it. Meanwhile the node goes on, as if all it does came after the save:
// nothing of that is sent before the next save has returned, except Ready.Early.
//
// An advanced commit index is synced before its entries are applied: otherwise a
// member that restarts without a leader would show an older state than before.
// ConfirmedReads makes that unnecessary.
func (n *Node) beginSave(r Ready) error {
	nothing := r.HardState == nil && len(r.Entries) == 0 && r.Snapshot == nil
	onlyCommit := len(r.Entries) == 0 && r.Snapshot == nil && !r.VoteChanged
	if n.cfg.Storage == nil || nothing || n.cfg.ConfirmedReads && onlyCommit {
		return n.releaseSaved(r)
	}
	n.startSave(&r, store.Batch{
		HardState: r.HardState, Entries: r.Entries, Snapshot: r.Snapshot, Reset: r.Snapshot != nil,
	})
	return nil
}

func (n *Node) startSave(r *Ready, batch store.Batch) {
	n.saving, n.saveBegan = true, time.Now()
	began := n.saveBegan
	go func() {
		err := n.cfg.Storage.Save(batch)
		n.saved <- saveResult{ready: r, took: time.Since(began), err: err}
	}()
}

// saveOverdue reports whether the save in progress has taken a heartbeat interval. The node then
// takes no input until it returns: a member whose disk hangs must fall silent, so that another
// one leads or takes its place, and must not collect entries without limit.
func (n *Node) saveOverdue() bool {
	return n.saving && time.Since(n.saveBegan) >= time.Duration(n.cfg.Core.HeartbeatTicks)*n.cfg.TickInterval
}

// awaitSave waits for the save in progress, so that the storage can be closed.
func (n *Node) awaitSave() {
	if n.saving {
		<-n.saved
		n.saving = false
	}
}

// finishSave does what waited for the save.
func (n *Node) finishSave(result saveResult) error {
	n.saving = false
	switch {
	case result.ready == nil && errors.Is(result.err, store.ErrSnapshotNotSaved):
		n.retrySnapshot(result.err)
		n.core.HoldSaves(false)
	case result.err != nil && result.ready == nil:
		return fmt.Errorf("save snapshot: %w", result.err)
	case result.err != nil:
		return fmt.Errorf("persist: %w", result.err)
	case result.ready == nil:
		n.core.HoldSaves(false)
	default:
		n.recordSaveTime(result.took)
		if err := n.releaseSaved(*result.ready); err != nil {
			return err
		}
	}
	n.saveDueSnapshot()
	return nil
}

// retrySnapshot lets another snapshot be taken after a pause. The stored log is whole.
func (n *Node) retrySnapshot(err error) {
	n.snapshotRetryAt = time.Now().Add(snapshotRetryDelay)
	n.lastSnapshotIndex -= min(n.lastSnapshotIndex, n.cfg.SnapshotEntries)
	if n.cfg.OnSnapshotNotSaved != nil {
		n.cfg.OnSnapshotNotSaved(err)
	}
}

// releaseSaved sends the messages that waited for the save of r and restores its snapshot.
func (n *Node) releaseSaved(r Ready) error {
	n.cfg.Sender.Send(r.Messages)
	if r.Snapshot != nil {
		if err := n.restore(r.Snapshot); err != nil {
			return err
		}
	}
	n.core.Saved(r)
	return nil
}

// maybeSnapshot takes a snapshot of the state once enough entries were applied.
func (n *Node) maybeSnapshot() error {
	applied := n.core.log.applied
	if n.cfg.SnapshotEntries == 0 || applied-n.lastSnapshotIndex < n.cfg.SnapshotEntries || n.dueSnapshot != nil || n.core.Restoring() || time.Now().Before(n.snapshotRetryAt) {
		return nil
	}
	state, err := n.cfg.Machine.Snapshot()
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	n.lastSnapshotIndex = applied
	n.dueSnapshot = &dueSnapshot{index: applied, state: state}
	n.saveDueSnapshot()
	return nil
}

// saveDueSnapshot compacts the log and saves the snapshot, if it is due, the storage is free and
// holds the snapshot's entries. It goes before the next save of entries, so that a stream of them
// cannot hold it up.
func (n *Node) saveDueSnapshot() {
	due := n.dueSnapshot
	if due == nil || n.saving || n.core.Restoring() {
		return
	}
	if due.index > n.core.log.snapshot.Index && due.index > n.core.log.stable {
		return
	}
	n.dueSnapshot = nil
	// A received snapshot may have replaced the log in the meantime.
	meta := n.core.Compact(due.index, n.cfg.SnapshotTail)
	if meta == nil || n.cfg.Storage == nil {
		return
	}
	n.core.HoldSaves(true)
	n.startSave(nil, store.Batch{
		Snapshot: &wirepb.ReplicaSnapshot{Meta: meta, State: due.state}, KeepFrom: n.core.log.base,
	})
}
