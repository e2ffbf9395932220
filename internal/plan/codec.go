package plan

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxListLength bounds the item count that the header of an encoded list may
// state.
const maxListLength = 1 << 22

// ErrEncoding reports an encoded delta or snapshot that cannot be read.
var ErrEncoding = errors.New("plan: encoded catalog cannot be read")

// deltaHeader is the first line of an encoded delta. Its counts make a
// truncated delta detectable.
type deltaHeader struct {
	Full    bool   `json:"full"`
	From    uint64 `json:"from"`
	To      uint64 `json:"to"`
	Digest  uint64 `json:"digest,string"`
	Records int    `json:"records"`
	Removed int    `json:"removed"`
}

// Write encodes the delta as JSON lines: a header, the records, and the ids of
// removed plans.
func (d *Delta) Write(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	if err := encoder.Encode(d.header()); err != nil {
		return err
	}
	if err := encodeList(encoder, d.Records); err != nil {
		return err
	}
	if err := encodeList(encoder, d.Removed); err != nil {
		return err
	}
	return buffered.Flush()
}

func (d *Delta) header() deltaHeader {
	return deltaHeader{Full: d.Full, From: d.From, To: d.To, Digest: d.Digest, Records: len(d.Records), Removed: len(d.Removed)}
}

// ReadDelta decodes a delta that Write encoded, one record at a time. The
// decoder may buffer bytes beyond the delta, so a caller that expects more data
// must go on with the same decoder.
func ReadDelta(decoder *json.Decoder) (Delta, error) {
	var header deltaHeader
	if err := decoder.Decode(&header); err != nil {
		return Delta{}, fmt.Errorf("%w: header: %w", ErrEncoding, err)
	}
	records, err := decodeList[*Record](decoder, header.Records)
	if err != nil {
		return Delta{}, err
	}
	for _, r := range records {
		if r == nil {
			return Delta{}, fmt.Errorf("%w: null record", ErrEncoding)
		}
		r.intern()
	}
	removed, err := decodeList[string](decoder, header.Removed)
	if err != nil {
		return Delta{}, err
	}
	return Delta{Full: header.Full, From: header.From, To: header.To, Digest: header.Digest, Records: records, Removed: removed}, nil
}

// encodeLine returns item as a line of JSON. It panics if item cannot be
// encoded, which does not happen for the types of this package.
func encodeLine(item any) []byte {
	encoded, err := json.Marshal(item)
	if err != nil {
		panic("plan: item cannot be encoded: " + err.Error())
	}
	return append(encoded, '\n')
}

func encodeList[T any](encoder *json.Encoder, list []T) error {
	for _, item := range list {
		if err := encoder.Encode(item); err != nil {
			return err
		}
	}
	return nil
}

func decodeList[T any](decoder *json.Decoder, count int) ([]T, error) {
	if count < 0 || count > maxListLength {
		return nil, fmt.Errorf("%w: list of %d", ErrEncoding, count)
	}
	var list []T
	for range count {
		var item T
		if err := decoder.Decode(&item); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrEncoding, err)
		}
		list = append(list, item)
	}
	return list, nil
}
