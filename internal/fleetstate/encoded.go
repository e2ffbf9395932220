package fleetstate

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
)

// maxCached bounds the updates that are kept for one index of the state.
const maxCached = 64

// EncodedUpdate is an update as JSON. It is shared and must not be changed.
type EncodedUpdate struct {
	JSON []byte
	Gzip []byte // the same compressed; nil if it is short
}

// compressFrom is the length in bytes from which updates are compressed.
const compressFrom = 4 << 10

// updateCache holds the updates that were asked for since the last change, by
// the index that they start from. Most entries wait at the same index, so that
// a change is encoded once for all of them.
type updateCache struct{ since map[uint64]EncodedUpdate }

// EncodedSince returns the same as Since, encoded.
func (m *Machine) EncodedSince(index uint64) EncodedUpdate {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.updates.since[index]; ok {
		return e
	}
	e := encodeUpdate(m.state.since(index))
	if m.updates.since == nil {
		m.updates.since = map[uint64]EncodedUpdate{}
	}
	if len(m.updates.since) < maxCached {
		m.updates.since[index] = e
	}
	return e
}

func encodeUpdate(u Update) EncodedUpdate {
	raw, err := json.Marshal(u)
	if err != nil {
		panic("fleetstate: update cannot be encoded: " + err.Error())
	}
	e := EncodedUpdate{JSON: raw}
	if len(raw) >= compressFrom {
		e.Gzip = Compress(raw)
	}
	return e
}

// Compress returns the bytes as a member of a gzip stream.
func Compress(raw []byte) []byte {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		panic("fleetstate: compression level: " + err.Error())
	}
	_, _ = w.Write(raw) // a buffer takes all
	_ = w.Close()       // as above
	return b.Bytes()
}
