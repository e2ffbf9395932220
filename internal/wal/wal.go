// Package wal implements a write-ahead log with checksummed records in segment
// files and with snapshot files, on top of package disk. It stores log entries,
// an opaque hard state and snapshots.
//
// After each sync a marker record is written, which is not synced itself. A
// damaged record in the last segment without a marker after it is the remainder
// of writes that were never synced: it is dropped with all records after it. Any
// other damaged record is ErrCorrupt.
//
// After the first failed write or sync the log refuses all further writes with
// ErrFailed, because the state of the written bytes is then unknown. A kernel
// may even return such bytes to later reads without ever storing them, so Open
// writes everything it has read to a new segment and syncs it.
package wal

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/internal/disk"
)

// Errors returned by the log.
var (
	ErrCorrupt = errors.New("wal: stored data is corrupt")
	ErrFailed  = errors.New("wal: a write failed earlier, the log accepts no more")
)

// DefaultSegmentBytes is the default size at which a new segment is started.
const DefaultSegmentBytes = 16 << 20

// Entry is a log entry. Saving an entry removes all stored entries with the
// same or a higher index.
type Entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint,omitempty"`
}

// State is the content of the log when it is opened.
type State struct {
	HardState     []byte // nil: never saved
	SnapshotIndex uint64 // 0: no snapshot
	Snapshot      []byte
	Entries       []Entry // entries after the snapshot, without gaps
}

// Options configures a log.
type Options struct {
	SegmentBytes int // 0: DefaultSegmentBytes
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	dir             disk.Dir
	options         Options
	file            disk.File
	segmentSequence uint64 // sequence number of the current segment
	segmentBytes    int    // size of the current segment
	unsynced        bool   // data was written since the last sync
	failure         error
}

// Open reads the directory and returns the log and its state. A directory
// without files is an empty log. The error is ErrCorrupt if stored data is
// damaged.
func Open(dir disk.Dir, options Options) (*Log, State, error) {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	l := &Log{dir: dir, options: options}
	stored, err := load(dir)
	if err != nil {
		return nil, State{}, err
	}
	state := stored.state
	l.segmentSequence = stored.lastSequence
	first := batch{SnapshotIndex: state.SnapshotIndex, HardState: state.HardState, Entries: state.Entries}
	if err := l.startSegment(kindCheckpoint, first); err != nil {
		return nil, State{}, err
	}
	if err := l.removeObsoleteFiles(state.SnapshotIndex); err != nil {
		return nil, State{}, err
	}
	return l, state, nil
}

// Save appends the hard state (nil: unchanged) and the entries. If sync is set,
// they are durable when Save returns.
func (l *Log) Save(hard []byte, entries []Entry, sync bool) error {
	if l.failure != nil {
		return l.refusalError()
	}
	if hard != nil || len(entries) > 0 {
		l.writeRecord(kindBatch, batch{HardState: hard, Entries: entries})
	}
	if sync && l.failure == nil && l.unsynced {
		l.syncFile()
	}
	if l.failure == nil && !l.unsynced && l.segmentBytes >= l.options.SegmentBytes {
		l.recordFailure(l.startSegment(kindContinuation, batch{}))
	}
	return l.failure
}

// SaveSnapshot durably stores a snapshot up to and including index, the hard
// state and the entries after the snapshot, and removes the files that they
// replace.
func (l *Log) SaveSnapshot(index uint64, snapshot, hard []byte, entries []Entry) error {
	if l.failure != nil {
		return l.refusalError()
	}
	err := l.writeSnapshot(index, snapshot)
	if err == nil {
		err = l.startSegment(kindCheckpoint, batch{SnapshotIndex: index, HardState: hard, Entries: entries})
	}
	if err == nil {
		err = l.removeObsoleteFiles(index)
	}
	l.recordFailure(err)
	return l.failure
}

// Close closes the files without syncing.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return trace.Wrap(l.file.Close())
}

func (l *Log) refusalError() error {
	return fmt.Errorf("%w: %w", ErrFailed, l.failure)
}

func (l *Log) recordFailure(err error) {
	if err != nil && l.failure == nil {
		l.failure = trace.Wrap(err)
	}
}

func (l *Log) writeRecord(kind recordKind, b batch) {
	payload, err := cbor.Marshal(b)
	if err != nil {
		panic("wal: batch cannot be encoded: " + err.Error())
	}
	if len(payload) > maxPayloadBytes {
		l.recordFailure(trace.LimitExceeded("record of %d bytes is over the limit of %d", len(payload), maxPayloadBytes))
		return
	}
	n, err := l.file.Write(appendRecord(nil, kind, payload))
	l.segmentBytes += n
	l.unsynced = true
	l.recordFailure(err)
}

func (l *Log) syncFile() {
	if err := l.file.Sync(); err != nil {
		l.recordFailure(err)
		return
	}
	l.unsynced = false
	n, err := l.file.Write(appendRecord(nil, kindSyncMarker, nil))
	l.segmentBytes += n
	l.recordFailure(err)
}

// startSegment creates the next segment and syncs its first record.
func (l *Log) startSegment(kind recordKind, first batch) error {
	if l.file != nil {
		if err := l.file.Sync(); err != nil {
			return trace.Wrap(err)
		}
		if err := l.file.Close(); err != nil {
			return trace.Wrap(err)
		}
	}
	file, err := l.dir.Create(segmentName(l.segmentSequence + 1))
	if err != nil {
		return trace.Wrap(err)
	}
	l.file = file
	l.segmentSequence++
	l.segmentBytes = 0
	l.writeRecord(kind, first)
	if l.failure == nil {
		l.syncFile()
	}
	if l.failure != nil {
		return l.failure
	}
	return trace.Wrap(l.dir.Sync())
}
