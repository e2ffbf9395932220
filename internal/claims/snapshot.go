package claims

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// snapshot is the whole state of a table.
type snapshot struct {
	WallMS  int64         `cbor:"1,keyasint"`
	FenceMS int64         `cbor:"2,keyasint"`
	Records []savedRecord `cbor:"3,keyasint"`
	Answers []id          `cbor:"4,keyasint"`
	Leases  leaseTable    `cbor:"5,keyasint"`
}

type savedRecord struct {
	ID     id      `cbor:"1,keyasint"`
	Record *record `cbor:"2,keyasint"`
}

// Snapshot returns the state in a form that is equal on all members.
func (t *Table) Snapshot() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := snapshot{WallMS: t.wallMS, FenceMS: t.fenceMS, Answers: t.answers, Leases: t.leases}
	s.Records = make([]savedRecord, 0, len(t.records))
	for key, r := range t.records {
		s.Records = append(s.Records, savedRecord{ID: key, Record: r})
	}
	slices.SortFunc(s.Records, func(a, b savedRecord) int { return a.ID.compare(b.ID) })
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(s)
}

// Restore replaces the state. An empty snapshot stands for the initial state.
func (t *Table) Restore(encoded []byte) error {
	if len(encoded) == 0 {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.reset()
		t.notifyAll()
		return nil
	}
	var s snapshot
	decoder, err := cbor.DecOptions{MaxArrayElements: maxSnapshotRecords}.DecMode()
	if err != nil {
		return err
	}
	if err := decoder.Unmarshal(encoded, &s); err != nil {
		return fmt.Errorf("claims: snapshot cannot be read: %w", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reset()
	t.wallMS = s.WallMS
	t.fenceMS = s.FenceMS
	t.answers = s.Answers
	t.leases = s.Leases
	if t.leases.Leases == nil {
		t.leases.Leases = map[string]lease{}
	}
	for _, saved := range s.Records {
		t.restoreRecord(saved)
	}
	t.notifyAll()
	return nil
}

// maxSnapshotRecords lifts the default limit of the decoder, 131,072 elements.
const maxSnapshotRecords = 1 << 30

func (t *Table) restoreRecord(saved savedRecord) {
	key := id{Plan: t.intern(saved.ID.Plan), Key: saved.ID.Key}
	saved.Record.Holder = t.intern(saved.Record.Holder)
	t.records[key] = saved.Record
	t.bytes += saved.Record.Answer.size()
	t.enlist(key)
}

func (k id) compare(other id) int {
	return cmp.Or(cmp.Compare(k.Plan, other.Plan), bytes.Compare(k.Key[:], other.Key[:]))
}
