package replica

import (
	"sapphirering/internal/wire/wirepb"
)

// raftLog is the part of the log after the last snapshot.
//
// Invariant: entries[i].Index == snapshot.Index + 1 + i.
type raftLog struct {
	snapshot *wirepb.SnapshotMeta
	entries  []*wirepb.Entry
	// Last index that the driver has synced.
	stable uint64
	commit uint64
	// Last index handed to the state machine.
	applied uint64
}

// newLog builds a log from what storage holds.
func newLog(snapshot *wirepb.SnapshotMeta, entries []*wirepb.Entry, commit uint64) *raftLog {
	if snapshot == nil {
		snapshot = &wirepb.SnapshotMeta{}
	}
	l := &raftLog{snapshot: snapshot, entries: entries}
	l.stable = l.lastIndex()
	l.applied = snapshot.Index
	l.commit = max(snapshot.Index, min(commit, l.lastIndex()))
	return l
}

func (l *raftLog) firstIndex() uint64 { return l.snapshot.Index + 1 }

func (l *raftLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index; false when it is not held.
func (l *raftLog) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.firstIndex()].Term, true
}

// slice returns the entries in [from, to], at most maxBytes of data but at least one.
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

// append adds entries at the end.
func (l *raftLog) append(entries ...*wirepb.Entry) {
	l.entries = append(l.entries, entries...)
}

// truncateFrom drops every entry at or after index. Committed entries are never dropped.
func (l *raftLog) truncateFrom(index uint64) {
	kept := l.entries[: index-l.firstIndex() : index-l.firstIndex()]
	l.entries = kept
	l.stable = min(l.stable, index-1)
}

// compact replaces the prefix up to meta.Index by the snapshot.
func (l *raftLog) compact(meta *wirepb.SnapshotMeta) {
	if meta.Index <= l.snapshot.Index || meta.Index > l.applied {
		return
	}
	kept := append([]*wirepb.Entry(nil), l.entries[meta.Index-l.snapshot.Index:]...)
	l.entries = kept
	l.snapshot = meta
}

// restore replaces the whole log by a received snapshot.
func (l *raftLog) restore(meta *wirepb.SnapshotMeta) {
	l.snapshot = meta
	l.entries = nil
	l.stable = meta.Index
	l.commit = meta.Index
	l.applied = meta.Index
}

// upToDate reports whether a log that ends at (index, term) may replace this one.
func (l *raftLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
