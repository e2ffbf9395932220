package wal

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/internal/disk"
)

// maxDecodedEntries replaces the default limit of the decoder, because a
// checkpoint may hold more entries.
const maxDecodedEntries = 1 << 30

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxDecodedEntries}.DecMode()
	if err != nil {
		panic("wal: decoder options: " + err.Error())
	}
	return mode
}

type loadedLog struct {
	state        State
	lastSequence uint64 // sequence number of the last segment; 0: the directory is empty
}

type segment struct {
	sequence uint64
	name     string
	content  []byte
}

func load(dir disk.Dir) (loadedLog, error) {
	segments, err := readSegments(dir)
	if err != nil {
		return loadedLog{}, err
	}
	segments, err = removeUnfinishedSegment(dir, segments)
	if err != nil || len(segments) == 0 {
		return loadedLog{}, err
	}
	start, err := lastCheckpointSegment(segments)
	if err != nil {
		return loadedLog{}, err
	}
	result := loadedLog{lastSequence: segments[len(segments)-1].sequence}
	for i := start; i < len(segments); i++ {
		if i > start && segments[i].sequence != segments[i-1].sequence+1 {
			return loadedLog{}, fmt.Errorf("%w: segment before %s is missing", ErrCorrupt, segments[i].name)
		}
		last := i == len(segments)-1
		if err := replaySegment(segments[i], last, &result.state); err != nil {
			return loadedLog{}, err
		}
	}
	if result.state.SnapshotIndex > 0 {
		result.state.Snapshot, err = readSnapshot(dir, result.state.SnapshotIndex)
	}
	return result, err
}

func readSegments(dir disk.Dir) ([]segment, error) {
	names, err := dir.List()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var segments []segment
	for _, name := range names {
		digits, ok := strings.CutPrefix(name, segmentPrefix)
		if !ok {
			continue
		}
		sequence, err := strconv.ParseUint(digits, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("%w: %s is not a segment name", ErrCorrupt, name)
		}
		content, err := dir.ReadFile(name)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		segments = append(segments, segment{sequence: sequence, name: name, content: content})
	}
	return segments, nil
}

// removeUnfinishedSegment removes the last segment if its first record was not
// written completely. Such a segment holds nothing that was reported as durable:
// its first record is synced before any other record is written and before older
// segments are removed.
func removeUnfinishedSegment(dir disk.Dir, segments []segment) ([]segment, error) {
	if len(segments) == 0 {
		return segments, nil
	}
	last := segments[len(segments)-1]
	if _, _, _, ok := readRecord(last.content); ok {
		return segments, nil
	}
	if hasRecord(last.content, kindSyncMarker) {
		return nil, fmt.Errorf("%w: first record of segment %s", ErrCorrupt, last.name)
	}
	if len(segments) == 1 && last.sequence > 1 {
		return nil, fmt.Errorf("%w: first record of the only segment %s", ErrCorrupt, last.name)
	}
	if err := dir.Remove(last.name); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := dir.Sync(); err != nil {
		return nil, trace.Wrap(err)
	}
	return segments[:len(segments)-1], nil
}

// lastCheckpointSegment returns the position of the last segment that starts
// with a checkpoint.
func lastCheckpointSegment(segments []segment) (int, error) {
	for i := len(segments) - 1; i >= 0; i-- {
		kind, _, _, ok := readRecord(segments[i].content)
		if ok && kind == kindCheckpoint {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%w: no segment starts with a checkpoint", ErrCorrupt)
}

// replaySegment applies the records of a segment to state. In the last segment
// it stops at a damaged record that no sync has covered: after a power failure
// any write since the last sync may be missing, so intact records may follow the
// damage. A sync marker after the damage shows that the damaged record was
// synced, so it is an error.
func replaySegment(s segment, last bool, state *State) error {
	for offset := 0; offset < len(s.content); {
		kind, payload, n, ok := readRecord(s.content[offset:])
		if !ok && last && !hasRecord(s.content[offset+1:], kindSyncMarker) {
			return nil
		}
		if !ok {
			return fmt.Errorf("%w: %s at byte %d of %d", ErrCorrupt, s.name, offset, len(s.content))
		}
		if err := replayRecord(kind, payload, state); err != nil {
			return fmt.Errorf("%w: %s at byte %d: %w", ErrCorrupt, s.name, offset, err)
		}
		offset += n
	}
	return nil
}

func replayRecord(kind recordKind, payload []byte, state *State) error {
	switch kind {
	case kindContinuation, kindSyncMarker:
		return nil
	case kindCheckpoint, kindBatch:
	default:
		return fmt.Errorf("record kind %d is unknown", kind)
	}
	var b batch
	if err := decoder.Unmarshal(payload, &b); err != nil {
		return err
	}
	if kind == kindCheckpoint {
		*state = State{SnapshotIndex: b.SnapshotIndex}
	}
	if b.HardState != nil {
		state.HardState = b.HardState
	}
	for _, entry := range b.Entries {
		if err := state.appendEntry(entry); err != nil {
			return err
		}
	}
	return nil
}

func (s *State) appendEntry(entry Entry) error {
	first := s.SnapshotIndex + 1
	if len(s.Entries) > 0 {
		first = s.Entries[0].Index
	}
	next := first + uint64(len(s.Entries))
	if entry.Index < first || entry.Index > next {
		return fmt.Errorf("entry %d neither follows nor replaces the stored entries %d to %d", entry.Index, first, next-1)
	}
	s.Entries = append(s.Entries[:entry.Index-first], entry)
	return nil
}
