package consensus

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/internal/disk"
	"github.com/sequoialane/sequoialane/internal/wal"
)

// Storage stores the state of one member. MemoryStorage and DiskStorage return
// the implementations.
type Storage interface {
	durable() bool
	open() (storedState, error)
	// save makes the hard state and the entries durable.
	save(hard hardState, entries []Entry) error
	// saveSnapshot replaces all stored state.
	saveSnapshot(hard hardState, s snapshot, entries []Entry) error
	close() error
}

// storedState is the state that was stored when the member starts.
type storedState struct {
	hardState hardState // zero: nothing was stored
	snapshot  snapshot  // Index 0: none
	entries   []Entry
}

// MemoryStorage returns a storage that keeps no state across a restart. A group
// with it forms a new epoch after it has lost its majority.
func MemoryStorage() Storage { return memoryStorage{} }

type memoryStorage struct{}

func (memoryStorage) durable() bool                                   { return false }
func (memoryStorage) open() (storedState, error)                      { return storedState{}, nil }
func (memoryStorage) save(hardState, []Entry) error                   { return nil }
func (memoryStorage) saveSnapshot(hardState, snapshot, []Entry) error { return nil }
func (memoryStorage) close() error                                    { return nil }

// DiskStorage returns a storage that keeps the state in a directory, which must
// hold no other files.
func DiskStorage(dir disk.Dir) Storage { return &diskStorage{dir: dir} }

type diskStorage struct {
	dir disk.Dir
	log *wal.Log
}

func (d *diskStorage) durable() bool { return true }

func (d *diskStorage) open() (storedState, error) {
	log, state, err := wal.Open(d.dir, wal.Options{})
	if err != nil {
		return storedState{}, trace.Wrap(err)
	}
	d.log = log
	stored, err := decodeState(state)
	if err != nil {
		_ = log.Close()
		return storedState{}, err
	}
	return stored, nil
}

func decodeState(state wal.State) (storedState, error) {
	var stored storedState
	if state.HardState != nil {
		if err := cbor.Unmarshal(state.HardState, &stored.hardState); err != nil {
			return stored, trace.Wrap(err, "decode stored hard state")
		}
	}
	if state.SnapshotIndex > 0 {
		if err := cbor.Unmarshal(state.Snapshot, &stored.snapshot); err != nil {
			return stored, trace.Wrap(err, "decode stored snapshot %d", state.SnapshotIndex)
		}
	}
	for _, raw := range state.Entries {
		var entry Entry
		if err := cbor.Unmarshal(raw.Data, &entry); err != nil {
			return stored, trace.Wrap(err, "decode stored entry %d", raw.Index)
		}
		stored.entries = append(stored.entries, entry)
	}
	if stored.snapshot.Index > 0 && stored.snapshot.Epoch != stored.hardState.Epoch {
		return storedState{hardState: stored.hardState.asBlank()}, nil
	}
	return stored, nil
}

// asBlank returns the hard state of a member that has discarded its epoch. Its
// snapshot and its entries stay in storage until the first snapshot of the next
// epoch replaces them.
func (h hardState) asBlank() hardState {
	return hardState{Incarnation: h.Incarnation, Promised: h.Promised, PromisedTo: h.PromisedTo, Earlier: h.Earlier}
}

func (d *diskStorage) save(hard hardState, entries []Entry) error {
	return d.log.Save(encode(hard), encodeEntries(entries), true)
}

func (d *diskStorage) saveSnapshot(hard hardState, s snapshot, entries []Entry) error {
	return d.log.SaveSnapshot(s.Index, encode(s), encode(hard), encodeEntries(entries))
}

func (d *diskStorage) close() error {
	if d.log == nil {
		return nil
	}
	return d.log.Close()
}

func encodeEntries(entries []Entry) []wal.Entry {
	raw := make([]wal.Entry, 0, len(entries))
	for _, entry := range entries {
		raw = append(raw, wal.Entry{Index: entry.Index, Data: encode(entry)})
	}
	return raw
}

func encode(value any) []byte {
	raw, err := cbor.Marshal(value)
	if err != nil {
		panic("consensus: value cannot be encoded: " + err.Error())
	}
	return raw
}
