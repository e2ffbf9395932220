package plan

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// maxResults is the number of results kept for resends. The oldest is evicted
// first. A change that is resent after that has an outdated base version, so it
// cannot take effect twice.
const maxResults = 120_000

// storedResult is the result of the first change with an id.
type storedResult struct {
	ID         string     `json:"id"`
	ChangeHash changeHash `json:"content"`
	Result     Result     `json:"result"`
}

// changeHash is the truncated SHA-256 of the canonical encoding of a change.
type changeHash [16]byte

// MarshalText implements encoding.TextMarshaler.
func (c changeHash) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, c[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *changeHash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(c) {
		return fmt.Errorf("content sum of %d bytes", len(text))
	}
	_, err := hex.Decode(c[:], text)
	return err
}

// results is a ring buffer of the latest results, with an index by change id.
type results struct {
	ring    []storedResult
	encoded [][]byte // encoded form of each element of ring
	next    int      // position of the oldest result, which is overwritten next; 0 until the ring is full
	byID    map[string]int
}

func newResults() results { return results{byID: make(map[string]int)} }

func (r *results) get(id string) (storedResult, bool) {
	i, found := r.byID[id]
	if !found {
		return storedResult{}, false
	}
	return r.ring[i], true
}

func (r *results) add(s storedResult) {
	if len(r.ring) < maxResults {
		r.byID[s.ID] = len(r.ring)
		r.ring = append(r.ring, s)
		r.encoded = append(r.encoded, encodeLine(s))
		return
	}
	delete(r.byID, r.ring[r.next].ID)
	r.ring[r.next] = s
	r.encoded[r.next] = encodeLine(s)
	r.byID[s.ID] = r.next
	r.next = (r.next + 1) % maxResults
}

// writeTo writes the encoded results, oldest first.
func (r *results) writeTo(buffer *bytes.Buffer) {
	for _, item := range r.encoded[r.next:] {
		buffer.Write(item)
	}
	for _, item := range r.encoded[:r.next] {
		buffer.Write(item)
	}
}

func hashChange(ch Change) changeHash {
	digest := sha256.Sum256(ch.Encode())
	return changeHash(digest[:len(changeHash{})])
}
