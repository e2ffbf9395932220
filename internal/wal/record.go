package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A record consists of magic (4 bytes), payload length (4), CRC-32C of kind and
// payload (4), kind (1) and payload. Integers are little endian. The magic lets
// the reader find records after a damaged one.
const (
	recordMagic       = 0x53514c57
	recordHeaderBytes = 13
	maxPayloadBytes   = 1 << 30
)

type recordKind byte

const (
	kindContinuation recordKind = 1 // first record of a segment that continues the previous one
	kindCheckpoint   recordKind = 2 // first record of a segment that holds the whole state
	kindBatch        recordKind = 3 // hard state and entries of one write
	kindSyncMarker   recordKind = 4 // all records before it were synced
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendRecord(dst []byte, kind recordKind, payload []byte) []byte {
	var header [recordHeaderBytes]byte
	binary.LittleEndian.PutUint32(header[0:], recordMagic)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(payload)))
	header[12] = byte(kind)
	sum := crc32.Update(0, castagnoli, header[12:13])
	sum = crc32.Update(sum, castagnoli, payload)
	binary.LittleEndian.PutUint32(header[8:], sum)
	dst = append(dst, header[:]...)
	return append(dst, payload...)
}

// readRecord returns the record at the start of b and its size in bytes. It
// reports false if b does not start with a complete and undamaged record.
func readRecord(b []byte) (kind recordKind, payload []byte, size int, ok bool) {
	if len(b) < recordHeaderBytes || binary.LittleEndian.Uint32(b) != recordMagic {
		return 0, nil, 0, false
	}
	length := int(binary.LittleEndian.Uint32(b[4:]))
	if length > maxPayloadBytes || len(b)-recordHeaderBytes < length {
		return 0, nil, 0, false
	}
	body := b[12 : recordHeaderBytes+length]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return 0, nil, 0, false
	}
	return recordKind(b[12]), body[1:], recordHeaderBytes + length, true
}

// hasRecord reports whether an undamaged record of the kind starts anywhere in b.
func hasRecord(b []byte, wanted recordKind) bool {
	for i := 0; i+recordHeaderBytes <= len(b); i++ {
		if binary.LittleEndian.Uint32(b[i:]) != recordMagic {
			continue
		}
		if kind, _, _, ok := readRecord(b[i:]); ok && kind == wanted {
			return true
		}
	}
	return false
}

// batch is the payload of kindBatch and, with the index of its snapshot, of
// kindCheckpoint.
type batch struct {
	SnapshotIndex uint64  `cbor:"1,keyasint,omitempty"` // 0: none
	HardState     []byte  `cbor:"2,keyasint,omitempty"`
	Entries       []Entry `cbor:"3,keyasint,omitempty"`
}
