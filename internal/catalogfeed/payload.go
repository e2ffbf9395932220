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

// ErrPayload reports a delta that cannot be read.
var ErrPayload = errors.New("catalogfeed: payload cannot be read")

var compressors = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// Compress returns the delta in the form that Decompress reads.
func Compress(d plan.Delta) ([]byte, error) {
	var buffer bytes.Buffer
	compressor := compressors.Get().(*gzip.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(&buffer)
	if err := d.Write(compressor); err != nil {
		return nil, err
	}
	if err := compressor.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Decompress reads a compressed delta. The reader must end with the payload.
func Decompress(r io.Reader) (plan.Delta, error) {
	decompressor, err := gzip.NewReader(r)
	if err != nil {
		return plan.Delta{}, fmt.Errorf("%w: %w", ErrPayload, err)
	}
	limited := io.LimitReader(decompressor, maxDeltaBytes)
	decoder := json.NewDecoder(bufio.NewReader(limited))
	d, err := plan.ReadDelta(decoder)
	if err != nil {
		return plan.Delta{}, fmt.Errorf("%w: %w", ErrPayload, err)
	}
	// Reading to the end makes the decompressor compare its checksum.
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return plan.Delta{}, fmt.Errorf("%w: data after the delta", ErrPayload)
	}
	return d, nil
}

// fullCopy keeps the compressed full copy of the latest version, so that many
// entries that start at the same time share one compression.
type fullCopy struct {
	mu      sync.Mutex
	version uint64
	digest  uint64
	payload []byte
}

func (f *fullCopy) get(d plan.Delta) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.payload != nil && f.version == d.To && f.digest == d.Digest {
		return f.payload, nil
	}
	payload, err := Compress(d)
	if err != nil {
		return nil, err
	}
	f.version, f.digest, f.payload = d.To, d.Digest, payload
	return payload, nil
}
