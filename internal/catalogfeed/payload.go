package catalogfeed

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/sequoialane/sequoialane/internal/plan"
)

// ErrPayload reports a response or a compressed delta that cannot be decoded.
var ErrPayload = errors.New("catalogfeed: payload cannot be read")

var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// Compress encodes and compresses the delta.
func Compress(d plan.Delta) ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(writer)
	writer.Reset(&buffer)
	if err := d.Write(writer); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Decompress decodes a delta that Compress returned. It reads r to the end, and
// fails with ErrPayload if other data follows the delta.
func Decompress(r io.Reader) (plan.Delta, error) {
	reader, err := gzip.NewReader(r)
	if err != nil {
		return plan.Delta{}, fmt.Errorf("%w: %w", ErrPayload, err)
	}
	limited := io.LimitReader(reader, maxUncompressedBytes)
	decoder := json.NewDecoder(bufio.NewReader(limited))
	d, err := plan.ReadDelta(decoder)
	if err != nil {
		return plan.Delta{}, fmt.Errorf("%w: %w", ErrPayload, err)
	}
	// gzip verifies its checksum only at the end of the input.
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return plan.Delta{}, fmt.Errorf("%w: data after the delta", ErrPayload)
	}
	return d, nil
}

// fullDeltaCache holds the compressed full delta of the latest version, so that
// it is compressed only once when many entries start at the same time.
type fullDeltaCache struct {
	mu      sync.Mutex
	version uint64
	digest  uint64
	payload []byte
}

func (c *fullDeltaCache) get(d plan.Delta) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.payload != nil && c.version == d.To && c.digest == d.Digest {
		return c.payload, nil
	}
	payload, err := Compress(d)
	if err != nil {
		return nil, err
	}
	c.version, c.digest, c.payload = d.To, d.Digest, payload
	return payload, nil
}
