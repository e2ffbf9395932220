package fleetstate

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
)

// maxCached limits the encoded updates that are cached between two changes.
const maxCached = 64

// EncodedUpdate is an encoded Update. It is shared and must not be modified.
type EncodedUpdate struct {
	Index uint64
	JSON  []byte
	Gzip  []byte // JSON compressed; nil if JSON is shorter than minCompressedBytes
}

// minCompressedBytes is the length from which updates are compressed.
const minCompressedBytes = 4 << 10

// updateCache holds the updates that were requested since the last change, by the
// index that they start from. Most entries wait at the same index, so a change is
// encoded once for all of them.
type updateCache struct{ byIndex map[uint64]EncodedUpdate }

// EncodedSince returns the encoded result of Since.
func (m *StateMachine) EncodedSince(index uint64) EncodedUpdate {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.updates.byIndex[index]; ok {
		return e
	}
	e := encodeUpdate(m.state.since(index))
	if m.updates.byIndex == nil {
		m.updates.byIndex = map[uint64]EncodedUpdate{}
	}
	if len(m.updates.byIndex) < maxCached {
		m.updates.byIndex[index] = e
	}
	return e
}

func encodeUpdate(u Update) EncodedUpdate {
	raw, err := json.Marshal(u)
	if err != nil {
		panic("fleetstate: update cannot be encoded: " + err.Error())
	}
	e := EncodedUpdate{Index: u.Index, JSON: raw}
	if len(raw) >= minCompressedBytes {
		e.Gzip = Compress(raw)
	}
	return e
}

// Compress returns the bytes as a gzip member. Several members in a row form one
// gzip stream.
func Compress(raw []byte) []byte {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		panic("fleetstate: compression level: " + err.Error())
	}
	_, _ = w.Write(raw) // a bytes.Buffer accepts all writes
	_ = w.Close()
	return b.Bytes()
}
