package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strings"

	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/internal/disk"
)

const (
	segmentPrefix       = "log-"
	snapshotPrefix      = "snapshot-"
	temporarySuffix     = ".tmp"
	snapshotMagic       = 0x53514c53
	snapshotHeaderBytes = 16 // magic, CRC-32C of the content, length (8 bytes)
)

func segmentName(sequence uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, sequence) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// writeSnapshot writes the file under a temporary name first, so that a file
// with the final name is always complete.
func (l *Log) writeSnapshot(index uint64, content []byte) error {
	header := make([]byte, snapshotHeaderBytes)
	binary.LittleEndian.PutUint32(header[0:], snapshotMagic)
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(content, castagnoli))
	binary.LittleEndian.PutUint64(header[8:], uint64(len(content)))
	name := snapshotName(index)
	file, err := l.dir.Create(name + temporarySuffix)
	if err != nil {
		return trace.Wrap(err)
	}
	defer file.Close()
	for _, part := range [][]byte{header, content} {
		if _, err := file.Write(part); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := file.Sync(); err != nil {
		return trace.Wrap(err)
	}
	if err := l.dir.Rename(name+temporarySuffix, name); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(l.dir.Sync())
}

func readSnapshot(dir disk.Dir, index uint64) ([]byte, error) {
	name := snapshotName(index)
	stored, err := dir.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("%w: snapshot %s cannot be read: %w", ErrCorrupt, name, err)
	}
	if len(stored) < snapshotHeaderBytes || binary.LittleEndian.Uint32(stored) != snapshotMagic {
		return nil, fmt.Errorf("%w: snapshot %s has no valid header", ErrCorrupt, name)
	}
	content := stored[snapshotHeaderBytes:]
	if uint64(len(content)) != binary.LittleEndian.Uint64(stored[8:]) ||
		crc32.Checksum(content, castagnoli) != binary.LittleEndian.Uint32(stored[4:]) {
		return nil, fmt.Errorf("%w: snapshot %s has a wrong length or checksum", ErrCorrupt, name)
	}
	return content, nil
}

// removeObsoleteFiles removes the segments before the current one and all
// snapshots except the one at index current.
func (l *Log) removeObsoleteFiles(current uint64) error {
	names, err := l.dir.List()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, name := range names {
		obsolete := strings.HasPrefix(name, segmentPrefix) && name < segmentName(l.segmentSequence) ||
			strings.HasPrefix(name, snapshotPrefix) && name != snapshotName(current)
		if !obsolete {
			continue
		}
		if err := l.dir.Remove(name); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(l.dir.Sync())
}
