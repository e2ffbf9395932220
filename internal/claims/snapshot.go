package claims

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// snapshotHeader is the first item of a snapshot. A snapshot is a sequence of
// CBOR items, in which the records follow the header.
type snapshotHeader struct {
	WallMS    int64      `cbor:"1,keyasint"`
	FenceMS   int64      `cbor:"2,keyasint"`
	Completed uint64     `cbor:"3,keyasint"`
	Leases    leaseTable `cbor:"4,keyasint"`
}

// Snapshot returns the encoded state, which is byte for byte equal on all members.
func (t *Table) Snapshot() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	header, err := mode.Marshal(snapshotHeader{
		WallMS:    t.wallMS,
		FenceMS:   t.fenceMS,
		Completed: t.completed,
		Leases:    t.leases,
	})
	if err != nil {
		return nil, err
	}
	snapshot := make([]byte, 0, len(header)+t.store.encodedBytes)
	snapshot = append(snapshot, header...)
	t.store.forEachInOrder(func(stored *storedRecord) { snapshot = append(snapshot, stored.encoded...) })
	return snapshot, nil
}

// Restore replaces the state by a snapshot. An empty snapshot is the initial
// state.
func (t *Table) Restore(encoded []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reset()
	defer t.notifyAll()
	if len(encoded) == 0 {
		return nil
	}
	var header snapshotHeader
	rest, err := cbor.UnmarshalFirst(encoded, &header)
	if err != nil {
		return fmt.Errorf("claims: the header of the snapshot cannot be read: %w", err)
	}
	t.wallMS = header.WallMS
	t.fenceMS = header.FenceMS
	t.completed = header.Completed
	t.leases = header.Leases
	if t.leases.Leases == nil {
		t.leases.Leases = map[string]lease{}
	}
	return t.restoreRecords(rest)
}

func (t *Table) restoreRecords(encoded []byte) error {
	var completions []completion
	for len(encoded) > 0 {
		var r record
		rest, err := cbor.UnmarshalFirst(encoded, &r)
		if err != nil {
			return fmt.Errorf("claims: a record of the snapshot cannot be read: %w", err)
		}
		stored := t.store.add(r.ID)
		stored.encoded = bytes.Clone(encoded[:len(encoded)-len(rest)])
		t.store.encodedBytes += len(stored.encoded)
		stored.answerBytes = int32(r.Answer.size())
		t.store.answerBytes += int64(stored.answerBytes)
		if stored.answerBytes > 0 {
			completions = append(completions, completion{r.Completed, stored})
		}
		encoded = rest
	}
	slices.SortFunc(completions, func(a, b completion) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, c := range completions {
		t.store.withAnswer = append(t.store.withAnswer, c.stored)
	}
	return nil
}

// completion is a record with its place in the order of completions.
type completion struct {
	sequence uint64
	stored   *storedRecord
}
