package consensus

import "fmt"

// replicatedLog holds the entries behind a base in memory. The base is at or
// before the last snapshot, so that slow members can often be served entries
// instead of the snapshot.
type replicatedLog struct {
	snapshot  snapshot
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	stored    uint64 // last entry in storage
	commit    uint64
	applied   uint64
	grown     int // bytes of the entries applied since the snapshot
}

func (l *replicatedLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *replicatedLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term reports false for an index that is compacted or not yet in the log.
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

// upToDate reports whether a candidate's log holds at least what this one does.
func (l *replicatedLog) upToDate(index, term uint64) bool {
	last := l.lastTerm()
	return term > last || term == last && index >= l.lastIndex()
}

// slice returns the entries from first to last.
func (l *replicatedLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	if first <= l.baseIndex || last > l.lastIndex() {
		panic(fmt.Sprintf("consensus: entries %d to %d are outside of the log %d to %d", first, last, l.baseIndex+1, l.lastIndex()))
	}
	return l.entries[first-l.baseIndex-1 : last-l.baseIndex]
}

// merge appends the entries that follow a matching entry. Entries that conflict
// with them are removed.
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
		panic(fmt.Sprintf("consensus: gap in the log behind entry %d, next is %d", l.lastIndex(), last+1))
	}
	if last == l.lastIndex() {
		return // a limited capacity would make the next append copy the whole log
	}
	// The capacity is limited because slices of the old entries may still be
	// on their way to storage or to other members.
	keep := last - l.baseIndex
	l.entries = l.entries[:keep:keep]
	l.stored = min(l.stored, last)
}

func (l *replicatedLog) commitTo(index uint64) {
	if index <= l.commit {
		return
	}
	if index > l.lastIndex() {
		panic(fmt.Sprintf("consensus: commit %d is behind the last entry %d", index, l.lastIndex()))
	}
	l.commit = index
}

// restore replaces the whole log by a snapshot.
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

// compact sets a newer snapshot and keeps up to keep entries before it, of up to
// keepBytes, for members that are a little behind.
func (l *replicatedLog) compact(s snapshot, keep uint64, keepBytes int) {
	if s.Index > l.applied || s.Index <= l.snapshot.Index {
		panic(fmt.Sprintf("consensus: snapshot at %d, applied %d, previous snapshot %d", s.Index, l.applied, l.snapshot.Index))
	}
	l.snapshot = s
	l.grown = 0
	base := s.Index
	size := 0
	for base > l.baseIndex && s.Index-base < keep {
		size += l.entries[base-l.baseIndex-1].size()
		if size > keepBytes {
			break
		}
		base--
	}
	term, _ := l.term(base)
	l.entries = append([]Entry(nil), l.entries[base-l.baseIndex:]...)
	l.baseIndex = base
	l.baseTerm = term
}
