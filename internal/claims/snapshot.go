package claims

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// snapshotHeader is the first item of a snapshot, which is a sequence of CBOR
// items. The records follow.
type snapshotHeader struct {
	WallMS    int64      `cbor:"1,keyasint"`
	FenceMS   int64      `cbor:"2,keyasint"`
	Completed uint64     `cbor:"3,keyasint"`
	Leases    leaseTable `cbor:"4,keyasint"`
}

// Snapshot returns the state in a form that is equal on all members.
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
	saved := make([]byte, 0, len(header)+t.store.encoded)
	saved = append(saved, header...)
	t.store.inOrder(func(held *slot) { saved = append(saved, held.saved...) })
	return saved, nil
}

// Restore replaces the state. An empty snapshot stands for the initial state.
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
	var done []completion
	for len(encoded) > 0 {
		var r record
		rest, err := cbor.UnmarshalFirst(encoded, &r)
		if err != nil {
			return fmt.Errorf("claims: a record of the snapshot cannot be read: %w", err)
		}
		held := t.store.add(r.ID)
		held.saved = bytes.Clone(encoded[:len(encoded)-len(rest)])
		t.store.encoded += len(held.saved)
		held.answer = int32(r.Answer.size())
		t.store.bytes += int64(held.answer)
		if held.answer > 0 {
			done = append(done, completion{r.Completed, held})
		}
		encoded = rest
	}
	slices.SortFunc(done, func(a, b completion) int { return cmp.Compare(a.number, b.number) })
	for _, c := range done {
		t.store.answers = append(t.store.answers, c.held)
	}
	return nil
}

// completion is a slot with its place in the order of completions.
type completion struct {
	number uint64
	held   *slot
}
