package wal

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/internal/disk"
)

// A checkpoint may hold more entries than the default limit of the decoder.
const maxStoredEntries = 1 << 30

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxStoredEntries}.DecMode()
	if err != nil {
		panic("wal: decoder options: " + err.Error())
	}
	return mode
}

type loaded struct {
	state    State
	sequence uint64 // of the last segment; 0: the folder is empty
}

type segment struct {
	sequence uint64
	name     string
	content  []byte
}

func load(dir disk.Dir) (loaded, error) {
	segments, err := readSegments(dir)
	if err != nil {
		return loaded{}, err
	}
	segments, err = dropUnfinishedSegment(dir, segments)
	if err != nil || len(segments) == 0 {
		return loaded{}, err
	}
	start, err := lastCheckpoint(segments)
	if err != nil {
		return loaded{}, err
	}
	result := loaded{sequence: segments[len(segments)-1].sequence}
	for i := start; i < len(segments); i++ {
		if i > start && segments[i].sequence != segments[i-1].sequence+1 {
			return loaded{}, fmt.Errorf("%w: segment before %s is missing", ErrCorrupt, segments[i].name)
		}
		last := i == len(segments)-1
		if err := replaySegment(segments[i], last, &result.state); err != nil {
			return loaded{}, err
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

// dropUnfinishedSegment removes the last segment if its first record was never
// written whole. Such a segment held nothing that was reported as durable: its
// first record is synced before any other, and before older segments go.
func dropUnfinishedSegment(dir disk.Dir, segments []segment) ([]segment, error) {
	if len(segments) == 0 {
		return segments, nil
	}
	last := segments[len(segments)-1]
	if _, _, _, ok := readRecord(last.content); ok {
		return segments, nil
	}
	if hasRecord(last.content, kindSynced) {
		return nil, fmt.Errorf("%w: first record of %s", ErrCorrupt, last.name)
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

func lastCheckpoint(segments []segment) (int, error) {
	for i := len(segments) - 1; i >= 0; i-- {
		kind, _, _, ok := readRecord(segments[i].content)
		if ok && kind == kindCheckpoint {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%w: no segment holds a checkpoint", ErrCorrupt)
}

// replaySegment stops at damage in the last segment that no sync has covered:
// after a loss of power each write since the last sync may be missing, so whole
// records may follow the damage. A marker behind it shows that all before the
// marker were synced, so that the damage is not the trace of such a write.
func replaySegment(s segment, last bool, state *State) error {
	for offset := 0; offset < len(s.content); {
		kind, payload, n, ok := readRecord(s.content[offset:])
		if !ok && last && !hasRecord(s.content[offset+1:], kindSynced) {
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
	case kindSegment, kindSynced:
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
	if b.Hard != nil {
		state.Hard = b.Hard
	}
	for _, entry := range b.Entries {
		if err := state.append(entry); err != nil {
			return err
		}
	}
	return nil
}

func (s *State) append(entry Entry) error {
	first := s.SnapshotIndex + 1
	if len(s.Entries) > 0 {
		first = s.Entries[0].Index
	}
	next := first + uint64(len(s.Entries))
	if entry.Index < first || entry.Index > next {
		return fmt.Errorf("entry %d does not fit the stored entries %d to %d", entry.Index, first, next-1)
	}
	s.Entries = append(s.Entries[:entry.Index-first], entry)
	return nil
}
