package raft

import (
	"bytes"
	"sort"
)

// raftLog is the log in memory. It holds the newest snapshot and the entries
// above base, some of which may lie below the snapshot for slow followers.
type raftLog struct {
	snapshot Snapshot
	// base is the entry before entries[0].
	base    Position
	entries []Entry
	commit  uint64
	// stable is the last index that is durable here.
	stable uint64
	// handed is the last index given out to be applied.
	handed uint64
	// received is a snapshot from the leader that is not durable yet.
	received *Snapshot
}

func newLog(stored Stored) *raftLog {
	l := &raftLog{
		snapshot: stored.Snapshot,
		base:     Position{Index: stored.Snapshot.Index, Term: stored.Snapshot.Term},
		entries:  append([]Entry(nil), stored.Entries...),
		handed:   stored.Snapshot.Index,
	}
	l.stable = l.last().Index
	l.commit = max(stored.Snapshot.Index, min(stored.HardState.Commit, l.stable))
	return l
}

func (l *raftLog) first() uint64 {
	return l.base.Index + 1
}

// last is the position of the last entry.
func (l *raftLog) last() Position {
	if len(l.entries) == 0 {
		return l.base
	}
	entry := l.entries[len(l.entries)-1]
	return Position{Index: entry.Index, Term: entry.Term}
}

// term returns the term of the entry at the index, if the log knows it.
func (l *raftLog) term(index uint64) (uint64, bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.first() || index > l.last().Index {
		return 0, false
	}
	return l.entries[index-l.first()].Term, true
}

func (l *raftLog) matches(p Position) bool {
	term, known := l.term(p.Index)
	return known && term == p.Term
}

// slice returns the entries from first to last, both included.
func (l *raftLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	from := first - l.first()
	to := last - l.first() + 1
	return l.entries[from:to:to]
}

// batch returns entries from the index on with at most limit bytes of data, but
// at least one entry if there is any.
func (l *raftLog) batch(first uint64, limit int) []Entry {
	entries := l.slice(first, l.last().Index)
	size := 0
	for i, entry := range entries {
		size += entrySize(entry)
		if size > limit && i > 0 {
			return entries[:i:i]
		}
	}
	return entries
}

// entrySize approximates the encoded size of an entry in bytes.
func entrySize(entry Entry) int {
	const overhead = 16
	return len(entry.Data) + overhead
}

// isUpToDate reports whether a log that ends at p is at least as new as this.
func (l *raftLog) isUpToDate(p Position) bool {
	last := l.last()
	return p.Term > last.Term || p.Term == last.Term && p.Index >= last.Index
}

// appendEntries adds entries that follow the last one.
func (l *raftLog) appendEntries(entries ...Entry) {
	for _, entry := range entries {
		last := l.last()
		assert(entry.Index == last.Index+1, "entry %d appended after entry %d", entry.Index, last.Index)
		assert(entry.Term >= last.Term, "term falls from %d to %d at entry %d", last.Term, entry.Term, entry.Index)
		l.entries = append(l.entries, entry)
	}
}

// merge stores entries that follow a matching entry, removing what conflicts
// with them. It returns the first index that was removed, or 0.
func (l *raftLog) merge(entries []Entry) uint64 {
	for i, entry := range entries {
		if l.matches(Position{Index: entry.Index, Term: entry.Term}) {
			l.checkSame(entry)
			continue
		}
		removed := l.truncate(entry.Index)
		l.appendEntries(entries[i:]...)
		return removed
	}
	return 0
}

// checkSame asserts the log matching property: entries of equal index and term
// are equal.
func (l *raftLog) checkSame(entry Entry) {
	if entry.Index <= l.base.Index {
		return
	}
	stored := l.entries[entry.Index-l.first()]
	same := stored.Kind == entry.Kind && bytes.Equal(stored.Data, entry.Data)
	assert(same, "two entries of index %d and term %d differ", entry.Index, entry.Term)
}

// truncate removes the entries from the index on. It returns the index if
// there were any, else 0.
func (l *raftLog) truncate(index uint64) uint64 {
	if index > l.last().Index {
		return 0
	}
	assert(index > l.commit, "committed entry %d would be removed; commit index is %d", index, l.commit)
	keep := index - l.first()
	// Messages and writes in progress share the array, so it isn't reused.
	l.entries = append([]Entry(nil), l.entries[:keep]...)
	l.stable = min(l.stable, index-1)
	return index
}

// lastWithTermAtMost returns the last position at or before the index whose
// term is at most the given one.
func (l *raftLog) lastWithTermAtMost(index, term uint64) Position {
	index = min(index, l.last().Index)
	if index <= l.base.Index {
		return l.base
	}
	entries := l.slice(l.first(), index)
	count := sort.Search(len(entries), func(i int) bool { return entries[i].Term > term })
	if count == 0 {
		return l.base
	}
	return Position{Index: entries[count-1].Index, Term: entries[count-1].Term}
}

// commitTo raises the commit index.
func (l *raftLog) commitTo(index uint64) {
	if index <= l.commit {
		return
	}
	assert(index <= l.last().Index, "commit index %d is beyond the last entry %d", index, l.last().Index)
	l.commit = index
}

// unstable returns the entries that aren't durable yet.
func (l *raftLog) unstable() []Entry {
	first := l.stable + 1
	if l.received != nil {
		first = l.received.Index + 1
	}
	return l.slice(first, l.last().Index)
}

// markStable records that the entries are durable. Those that have been
// replaced while they were written are not counted.
func (l *raftLog) markStable(entries []Entry) {
	for i := len(entries) - 1; i >= 0; i-- {
		entry := entries[i]
		if entry.Index <= l.stable {
			return
		}
		if l.matches(Position{Index: entry.Index, Term: entry.Term}) {
			l.stable = entry.Index
			return
		}
	}
}

// takeCommitted returns the entries to apply next.
func (l *raftLog) takeCommitted() []Entry {
	last := l.applicable()
	if last <= l.handed {
		return nil
	}
	entries := l.slice(l.handed+1, last)
	l.handed = last
	return entries
}

// applicable is the last entry that is committed and durable here.
func (l *raftLog) applicable() uint64 {
	if l.received != nil {
		return l.handed
	}
	return min(l.commit, l.stable)
}

// restore replaces the log by a snapshot from the leader.
func (l *raftLog) restore(snapshot Snapshot) {
	assert(snapshot.Index > l.commit, "snapshot at %d replaces a log committed to %d", snapshot.Index, l.commit)
	l.snapshot = snapshot
	l.received = &snapshot
	l.base = Position{Index: snapshot.Index, Term: snapshot.Term}
	l.entries = nil
	l.commit = snapshot.Index
	l.stable = snapshot.Index
}

// compact sets a newer local snapshot and drops entries well below it.
func (l *raftLog) compact(snapshot Snapshot, retain uint64) {
	l.snapshot = snapshot
	if snapshot.Index <= l.base.Index+retain {
		return
	}
	index := snapshot.Index - retain
	term, known := l.term(index)
	assert(known, "compaction at %d outside of the log", index)
	l.entries = append([]Entry(nil), l.slice(index+1, l.last().Index)...)
	l.base = Position{Index: index, Term: term}
}
