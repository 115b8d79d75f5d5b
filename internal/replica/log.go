package replica

import (
	"fmt"

	"sapphirering/internal/wire/wirepb"
)

// raftLog is the log that is held in memory. It may reach back behind the
// last snapshot, so that a slow follower is served entries, not a snapshot.
//
// Invariants: entries[i].Index == base + 1 + i, base <= snapshot.Index,
// snapshot.Index <= applied <= commit <= lastIndex, stable <= lastIndex.
type raftLog struct {
	snapshot *wirepb.SnapshotMeta
	// Index and term of the entry before the first one held.
	base     uint64
	baseTerm uint64
	entries  []*wirepb.Entry
	// Last index that the driver has synced.
	stable uint64
	commit uint64
	// Last index handed to the state machine.
	applied uint64
}

// newLog builds a log from what storage holds. Entries that do not continue
// each other or the snapshot are an error: the file is not one that this
// program has written.
func newLog(snapshot *wirepb.SnapshotMeta, entries []*wirepb.Entry, commit uint64) (*raftLog, error) {
	if snapshot == nil {
		snapshot = &wirepb.SnapshotMeta{}
	}
	l := &raftLog{snapshot: snapshot, base: snapshot.Index, baseTerm: snapshot.Term}
	if len(entries) > 0 && entries[0].Index <= snapshot.Index {
		// The first kept entry stands for the base: only its index and term are needed.
		l.base, l.baseTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	if err := checkContinuous(l.base, l.baseTerm, entries); err != nil {
		return nil, err
	}
	l.entries = entries
	if term, ok := l.term(snapshot.Index); !ok || term != snapshot.Term {
		return nil, fmt.Errorf("log from %d to %d does not join the snapshot at %d of term %d",
			l.base, l.lastIndex(), snapshot.Index, snapshot.Term)
	}
	l.stable = l.lastIndex()
	l.applied = snapshot.Index
	l.commit = max(snapshot.Index, min(commit, l.lastIndex()))
	return l, nil
}

// checkContinuous returns an error unless the entries follow (index, term)
// without a gap and without a term that falls.
func checkContinuous(index, term uint64, entries []*wirepb.Entry) error {
	for _, entry := range entries {
		index++
		if entry.GetIndex() != index {
			return fmt.Errorf("log entry %d stands where %d is due", entry.GetIndex(), index)
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

// term returns the term of the entry at index; false when it is not held.
func (l *raftLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.lastIndex() {
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

// compact records a snapshot and drops the entries up to base.
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

// restore replaces the whole log by a received snapshot.
func (l *raftLog) restore(meta *wirepb.SnapshotMeta) {
	l.snapshot = meta
	l.base, l.baseTerm = meta.Index, meta.Term
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
