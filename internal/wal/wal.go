// Package wal is a checksummed log in segments with snapshot files, on top of
// package disk. It stores log entries, an opaque hard state and snapshots.
//
// Behind each sync an unsynced marker record is written. A damaged record in
// the last segment without a marker behind it is the trace of writes that were
// never synced: it is cut off with all that follows. Any other damaged record
// is ErrCorrupt.
//
// After the first failed write or sync the log refuses all further writes with
// ErrFailed, because the state of the written bytes is then unknown. A kernel
// may even serve such bytes to later reads without ever storing them, so Open
// writes all that it has read to a new segment and syncs that.
package wal

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/internal/disk"
)

// Errors of the log.
var (
	ErrCorrupt = errors.New("wal: stored data is damaged")
	ErrFailed  = errors.New("wal: a write failed earlier, the log accepts no more")
)

// DefaultSegmentBytes is the size at which a new segment is started.
const DefaultSegmentBytes = 16 << 20

// Entry is a log entry. Saving an entry removes all stored entries with the
// same or a higher index.
type Entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint,omitempty"`
}

// State is what the log holds when it is opened.
type State struct {
	Hard          []byte // nil: never saved
	SnapshotIndex uint64 // 0: no snapshot
	Snapshot      []byte
	Entries       []Entry // behind the snapshot, without gaps
}

// Options of a log.
type Options struct {
	SegmentBytes int // 0: DefaultSegmentBytes
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	dir      disk.Dir
	options  Options
	file     disk.File
	sequence uint64 // of the current segment
	size     int    // of the current segment, in bytes
	dirty    bool   // bytes were written since the last sync
	failed   error
}

// Open reads the folder and returns the log and its state. A folder without
// files is an empty log.
func Open(dir disk.Dir, options Options) (*Log, State, error) {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	l := &Log{dir: dir, options: options}
	loaded, err := load(dir)
	if err != nil {
		return nil, State{}, err
	}
	state := loaded.state
	l.sequence = loaded.sequence
	first := batch{SnapshotIndex: state.SnapshotIndex, Hard: state.Hard, Entries: state.Entries}
	if err := l.startSegment(kindCheckpoint, first); err != nil {
		return nil, State{}, err
	}
	if err := l.removeOld(state.SnapshotIndex); err != nil {
		return nil, State{}, err
	}
	return l, state, nil
}

// Save appends the hard state (nil: unchanged) and the entries. They are
// durable on return if sync is set.
func (l *Log) Save(hard []byte, entries []Entry, sync bool) error {
	if l.failed != nil {
		return l.refuse()
	}
	if hard != nil || len(entries) > 0 {
		l.write(kindBatch, batch{Hard: hard, Entries: entries})
	}
	if sync && l.failed == nil && l.dirty {
		l.sync()
	}
	if l.failed == nil && !l.dirty && l.size >= l.options.SegmentBytes {
		l.keepFailure(l.startSegment(kindSegment, batch{}))
	}
	return l.failed
}

// SaveSnapshot stores a snapshot up to and including index, the hard state and
// the entries behind the snapshot, durably, and removes all that they replace.
func (l *Log) SaveSnapshot(index uint64, snapshot, hard []byte, entries []Entry) error {
	if l.failed != nil {
		return l.refuse()
	}
	err := l.writeSnapshot(index, snapshot)
	if err == nil {
		err = l.startSegment(kindCheckpoint, batch{SnapshotIndex: index, Hard: hard, Entries: entries})
	}
	if err == nil {
		err = l.removeOld(index)
	}
	l.keepFailure(err)
	return l.failed
}

// Close closes the files without syncing.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return trace.Wrap(l.file.Close())
}

func (l *Log) refuse() error {
	return fmt.Errorf("%w: %w", ErrFailed, l.failed)
}

func (l *Log) keepFailure(err error) {
	if err != nil && l.failed == nil {
		l.failed = trace.Wrap(err)
	}
}

func (l *Log) write(kind recordKind, b batch) {
	payload, err := cbor.Marshal(b)
	if err != nil {
		panic("wal: batch cannot be encoded: " + err.Error())
	}
	if len(payload) > maxRecordLen {
		l.keepFailure(trace.LimitExceeded("record of %d bytes is over the limit of %d", len(payload), maxRecordLen))
		return
	}
	n, err := l.file.Write(appendRecord(nil, kind, payload))
	l.size += n
	l.dirty = true
	l.keepFailure(err)
}

func (l *Log) sync() {
	if err := l.file.Sync(); err != nil {
		l.keepFailure(err)
		return
	}
	l.dirty = false
	n, err := l.file.Write(appendRecord(nil, kindSynced, nil))
	l.size += n
	l.keepFailure(err)
}

// startSegment opens the next segment with a synced first record.
func (l *Log) startSegment(kind recordKind, first batch) error {
	if l.file != nil {
		if err := l.file.Sync(); err != nil {
			return trace.Wrap(err)
		}
		if err := l.file.Close(); err != nil {
			return trace.Wrap(err)
		}
	}
	file, err := l.dir.Create(segmentName(l.sequence + 1))
	if err != nil {
		return trace.Wrap(err)
	}
	l.file = file
	l.sequence++
	l.size = 0
	l.write(kind, first)
	if l.failed == nil {
		l.sync()
	}
	if l.failed != nil {
		return l.failed
	}
	return trace.Wrap(l.dir.Sync())
}
