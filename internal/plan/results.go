package plan

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// maxResults is the number of results kept for resends. The oldest is dropped
// first; a resend after that finds its base version outdated, so it cannot
// take effect twice.
const maxResults = 120_000

// storedResult is the first answer to a change id.
type storedResult struct {
	ID      string     `json:"id"`
	Content contentSum `json:"content"`
	Result  Result     `json:"result"`
}

// contentSum is the truncated SHA-256 of a change in its canonical encoding.
type contentSum [16]byte

// MarshalText implements encoding.TextMarshaler.
func (c contentSum) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, c[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *contentSum) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(c) {
		return fmt.Errorf("content sum of %d bytes", len(text))
	}
	_, err := hex.Decode(c[:], text)
	return err
}

// results keeps the latest results, by change id and in order of arrival.
type results struct {
	ring  []storedResult
	lines [][]byte // encoded form of each item of ring
	next  int      // position in ring that is written next, once the ring is full
	byID  map[string]int
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
		r.lines = append(r.lines, encodeLine(s))
		return
	}
	delete(r.byID, r.ring[r.next].ID)
	r.ring[r.next] = s
	r.lines[r.next] = encodeLine(s)
	r.byID[s.ID] = r.next
	r.next = (r.next + 1) % maxResults
}

// writeTo writes the encoded results, the oldest first.
func (r *results) writeTo(buffer *bytes.Buffer) {
	for _, line := range r.lines[r.next:] {
		buffer.Write(line)
	}
	for _, line := range r.lines[:r.next] {
		buffer.Write(line)
	}
}

func contentOf(ch Change) contentSum {
	sum := sha256.Sum256(ch.Encode())
	return contentSum(sum[:len(contentSum{})])
}
