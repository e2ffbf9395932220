package consensus

import "fmt"

// replicatedLog holds the entries after a base index in memory. The base is at
// or before the last snapshot, so that slow members can often be sent entries
// instead of the snapshot.
type replicatedLog struct {
	snapshot           snapshot
	baseIndex          uint64
	baseTerm           uint64
	entries            []Entry
	stored             uint64 // index of the last entry in storage
	commit             uint64
	applied            uint64
	bytesSinceSnapshot int // bytes of the entries applied since the snapshot
}

func (l *replicatedLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *replicatedLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index. It reports false if the entry is
// compacted or not yet in the log.
func (l *replicatedLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *replicatedLog) matches(index, term uint64) bool {
	stored, ok := l.term(index)
	return ok && stored == term
}

// upToDate reports whether a log that ends at index and term is at least as
// up to date as this one.
func (l *replicatedLog) upToDate(index, term uint64) bool {
	last := l.lastTerm()
	return term > last || term == last && index >= l.lastIndex()
}

// slice returns the entries from first to last, inclusive.
func (l *replicatedLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	if first <= l.baseIndex || last > l.lastIndex() {
		panic(fmt.Sprintf("consensus: entries %d to %d are outside the log %d to %d", first, last, l.baseIndex+1, l.lastIndex()))
	}
	return l.entries[first-l.baseIndex-1 : last-l.baseIndex]
}

// merge appends entries that follow a matching entry. Stored entries that
// conflict with them are removed.
func (l *replicatedLog) merge(entries []Entry) {
	for i, entry := range entries {
		if entry.Index <= l.baseIndex || l.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= l.commit {
			panic(fmt.Sprintf("consensus: entry %d of term %d conflicts with a committed entry (commit %d)", entry.Index, entry.Term, l.commit))
		}
		l.truncate(entry.Index - 1)
		l.entries = append(l.entries, entries[i:]...)
		return
	}
}

func (l *replicatedLog) truncate(last uint64) {
	if last > l.lastIndex() {
		panic(fmt.Sprintf("consensus: gap in the log after entry %d, next entry is %d", l.lastIndex(), last+1))
	}
	if last == l.lastIndex() {
		return // limiting the capacity would make the next append copy the whole log
	}
	// The capacity is limited so that the next append does not overwrite the old
	// entries, which storage or the transport may still be reading.
	keep := last - l.baseIndex
	l.entries = l.entries[:keep:keep]
	l.stored = min(l.stored, last)
}

func (l *replicatedLog) commitTo(index uint64) {
	if index <= l.commit {
		return
	}
	if index > l.lastIndex() {
		panic(fmt.Sprintf("consensus: commit index %d is beyond the last entry %d", index, l.lastIndex()))
	}
	l.commit = index
}

// restore replaces the whole log with a snapshot.
func (l *replicatedLog) restore(s snapshot) {
	*l = replicatedLog{
		snapshot:  s,
		baseIndex: s.Index,
		baseTerm:  s.Term,
		stored:    s.Index,
		commit:    s.Index,
		applied:   s.Index,
	}
}

// compact sets a newer snapshot and removes the entries that it covers. For
// members that lag only a little, it keeps the last of these entries, at most
// keep entries and keepBytes bytes.
func (l *replicatedLog) compact(s snapshot, keep uint64, keepBytes int) {
	if s.Index > l.applied || s.Index <= l.snapshot.Index {
		panic(fmt.Sprintf("consensus: snapshot index %d is not between the applied index %d and the previous snapshot %d", s.Index, l.applied, l.snapshot.Index))
	}
	l.snapshot = s
	l.bytesSinceSnapshot = 0
	base := s.Index
	keptBytes := 0
	for base > l.baseIndex && s.Index-base < keep {
		keptBytes += l.entries[base-l.baseIndex-1].size()
		if keptBytes > keepBytes {
			break
		}
		base--
	}
	term, _ := l.term(base)
	l.entries = append([]Entry(nil), l.entries[base-l.baseIndex:]...)
	l.baseIndex = base
	l.baseTerm = term
}
