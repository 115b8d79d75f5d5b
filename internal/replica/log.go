package replica

import (
	"fmt"
	"slices"

	"sapphirering/internal/wire/wirepb"
)

// raftLog is the in-memory log. It may keep entries from before the last
// snapshot, so that a slow follower is sent entries instead of a snapshot.
//
// Invariants: entries[i].Index == base + 1 + i, base <= snapshot.Index,
// snapshot.Index <= applied <= commit <= lastIndex, snapshot.Index <= stable <= lastIndex.
// The leader commits what a quorum of others has synced: commit and applied may be above stable.
type raftLog struct {
	snapshot *wirepb.SnapshotMeta
	// Index and term of the entry before entries[0].
	base     uint64
	baseTerm uint64
	entries  []*wirepb.Entry
	// Last index that the caller has synced to disk.
	stable uint64
	commit uint64
	// Last index handed to the state machine.
	applied uint64
}

// newLog builds a log from the stored state. Entries that are not contiguous
// with each other or with the snapshot are an error: this program cannot have
// written such a file.
func newLog(snapshot *wirepb.SnapshotMeta, entries []*wirepb.Entry, commit uint64) (*raftLog, error) {
	if snapshot == nil {
		snapshot = &wirepb.SnapshotMeta{}
	}
	l := &raftLog{snapshot: snapshot, base: snapshot.Index, baseTerm: snapshot.Term}
	if len(entries) > 0 && entries[0].Index <= snapshot.Index {
		// The first stored entry becomes the base: only its index and term are needed.
		l.base, l.baseTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	if err := checkContiguous(l.base, l.baseTerm, entries); err != nil {
		return nil, err
	}
	l.entries = entries
	if term, ok := l.term(snapshot.Index); !ok || term != snapshot.Term {
		return nil, fmt.Errorf("log from %d to %d does not match the snapshot at index %d of term %d",
			l.base, l.lastIndex(), snapshot.Index, snapshot.Term)
	}
	l.stable = l.lastIndex()
	l.applied = snapshot.Index
	l.commit = max(snapshot.Index, min(commit, l.lastIndex()))
	return l, nil
}

// checkContiguous returns an error unless the entries follow (index, term)
// without a gap and their terms do not decrease.
func checkContiguous(index, term uint64, entries []*wirepb.Entry) error {
	for _, entry := range entries {
		index++
		if entry.GetIndex() != index {
			return fmt.Errorf("log entry %d found where entry %d is expected", entry.GetIndex(), index)
		}
		if entry.Term < term {
			return fmt.Errorf("log entry %d: term %d follows term %d", index, entry.Term, term)
		}
		term = entry.Term
	}
	return nil
}

func (l *raftLog) firstIndex() uint64 { return l.base + 1 }

func (l *raftLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, or false when the log does not hold it.
func (l *raftLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.firstIndex()].Term, true
}

// slice returns the entries in [from, to], limited to maxBytes of data but at
// least one. It returns nil when the log does not hold the range.
func (l *raftLog) slice(from, to uint64, maxBytes int) []*wirepb.Entry {
	if from > to || from < l.firstIndex() || to > l.lastIndex() {
		return nil
	}
	all := l.entries[from-l.firstIndex() : to-l.firstIndex()+1]
	size := 0
	for i, entry := range all {
		size += len(entry.Data)
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

func (l *raftLog) append(entries ...*wirepb.Entry) {
	l.entries = append(l.entries, entries...)
}

// truncateFrom drops every entry from index on. Callers never pass a committed index.
func (l *raftLog) truncateFrom(index uint64) {
	kept := l.entries[: index-l.firstIndex() : index-l.firstIndex()]
	l.entries = kept
	l.stable = min(l.stable, index-1)
}

// stableTo records that the entries were synced. They may have been replaced in the meantime:
// the log on disk equals this one up to the last synced entry that is still in it.
func (l *raftLog) stableTo(entries []*wirepb.Entry) {
	for _, entry := range slices.Backward(entries) {
		if term, ok := l.term(entry.Index); ok && term == entry.Term {
			l.stable = max(l.stable, entry.Index)
			return
		}
	}
}

// compact records a snapshot and drops the entries up to and including base.
func (l *raftLog) compact(meta *wirepb.SnapshotMeta, base uint64) {
	if meta.Index <= l.snapshot.Index || meta.Index > l.applied {
		return
	}
	l.snapshot = meta
	term, ok := l.term(base)
	if !ok || base <= l.base {
		return
	}
	l.entries = append([]*wirepb.Entry(nil), l.entries[base-l.base:]...)
	l.base, l.baseTerm = base, term
}

// restore replaces the whole log with a received snapshot.
func (l *raftLog) restore(meta *wirepb.SnapshotMeta) {
	l.snapshot = meta
	l.base, l.baseTerm = meta.Index, meta.Term
	l.entries = nil
	l.stable = meta.Index
	l.commit = meta.Index
	l.applied = meta.Index
}

// upToDate reports whether a log that ends at (index, term) is at least as
// up-to-date as this one, as Raft compares them for votes.
func (l *raftLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
