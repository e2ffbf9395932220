// Package fakedisk implements a disk.Dir in memory for tests. It distinguishes
// written data from durable data and can inject faults.
package fakedisk

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"sort"
	"sync"

	"github.com/sequoialane/sequoialane/internal/disk"
)

// Errors returned for injected faults.
var (
	ErrFull       = errors.New("fakedisk: no space left")
	ErrSyncFailed = errors.New("fakedisk: sync failed")
	ErrStaleFile  = errors.New("fakedisk: file was opened before the last crash")
)

// Dir is a directory in memory. It is safe for concurrent use.
type Dir struct {
	mu           sync.Mutex
	files        map[string]*fileContent // by name, as written
	syncedFiles  map[string]*fileContent // by name, as of the last Sync of the directory
	generation   int                     // number of crashes and wipes; files opened before the last one fail
	freeSpace    int                     // bytes that may still be written; negative: no limit
	failingSyncs int                     // number of following syncs that fail
	syncCount    int
}

type fileContent struct {
	written   []byte
	synced    []byte
	writeEnds []int // end offsets, in written, of the writes since the last sync
}

var _ disk.Dir = (*Dir)(nil)

// New returns an empty directory without a size limit.
func New() *Dir {
	return &Dir{files: map[string]*fileContent{}, syncedFiles: map[string]*fileContent{}, freeSpace: -1}
}

// SetFreeSpace limits the number of bytes that may still be written. A negative
// number removes the limit. A write over the limit stores the part that fits and
// returns ErrFull.
func (d *Dir) SetFreeSpace(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freeSpace = bytes
}

// FailSyncs makes the next n syncs of files or of the directory fail. A failed
// sync of a file also drops the unsynced bytes from the written state, as
// kernels may do.
func (d *Dir) FailSyncs(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failingSyncs = n
}

// SyncCount returns the number of successful syncs.
func (d *Dir) SyncCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncCount
}

// Crash drops all data that is not durable. If random is set, each write since
// the last sync of its file may survive completely, partly or not at all, each
// change of a file name since the last sync of the directory may survive or be
// lost, independently of the others, and the last surviving byte of an unsynced
// write may be damaged. Files opened before the crash fail from then on.
func (d *Dir) Crash(random *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	durable := d.syncedFiles
	if random != nil {
		durable = d.survivingFiles(random)
	}
	d.files = map[string]*fileContent{}
	d.syncedFiles = map[string]*fileContent{}
	for _, name := range sortedNames(durable) {
		c := durable[name]
		survived := append([]byte(nil), c.synced...)
		if random != nil {
			survived = append(survived, survivingTail(c, random)...)
		}
		kept := &fileContent{written: survived, synced: append([]byte(nil), survived...)}
		d.files[name] = kept
		d.syncedFiles[name] = kept
	}
}

// survivingTail returns the unsynced data of a file that survives a crash.
func survivingTail(c *fileContent, random *rand.Rand) []byte {
	if len(c.written) <= len(c.synced) {
		return nil
	}
	tail := make([]byte, len(c.written)-len(c.synced)) // a lost write reads as zeros
	length, start := 0, len(c.synced)
	for _, end := range c.writeEnds {
		survived := 0
		switch random.IntN(3) {
		case 0:
			survived = end - start
		case 1:
			survived = random.IntN(end - start + 1)
		}
		if survived > 0 {
			copy(tail[start-len(c.synced):], c.written[start:start+survived])
			length = start - len(c.synced) + survived
		}
		start = end
	}
	torn := tail[:length]
	if length > 0 && random.IntN(2) == 0 {
		torn[length-1] ^= 0x5a
	}
	return torn
}

// survivingFiles returns the files by name after a crash.
func (d *Dir) survivingFiles(random *rand.Rand) map[string]*fileContent {
	survived := map[string]*fileContent{}
	all := map[string]*fileContent{}
	maps.Copy(all, d.syncedFiles)
	maps.Copy(all, d.files)
	for _, name := range sortedNames(all) {
		from := d.syncedFiles
		if random.IntN(2) == 0 {
			from = d.files
		}
		if c := from[name]; c != nil {
			survived[name] = c
		}
	}
	return survived
}

// FlipBit inverts one bit of a file in its written and, if already synced, its
// durable state.
func (d *Dir) FlipBit(name string, offset int, bit uint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.files[name]
	c.written[offset] ^= 1 << bit
	if offset < len(c.synced) {
		c.synced[offset] ^= 1 << bit
	}
}

// Wipe removes all files, as if the disk had been replaced.
func (d *Dir) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.files = map[string]*fileContent{}
	d.syncedFiles = map[string]*fileContent{}
}

// Create opens an empty file, replacing an existing one.
func (d *Dir) Create(name string) (disk.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.freeSpace == 0 {
		return nil, ErrFull
	}
	c := &fileContent{}
	d.files[name] = c
	return &file{dir: d, content: c, generation: d.generation}, nil
}

// OpenAppend opens an existing file for writing at its end.
func (d *Dir) OpenAppend(name string) (disk.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &file{dir: d, content: c, generation: d.generation}, nil
}

// ReadFile returns the written content of a file.
func (d *Dir) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), c.written...), nil
}

// List returns the names of all files in ascending order.
func (d *Dir) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sortedNames(d.files), nil
}

// Rename renames a file, replacing an existing file with the new name.
func (d *Dir) Rename(old, new string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.files[old]
	if !ok {
		return fs.ErrNotExist
	}
	delete(d.files, old)
	d.files[new] = c
	return nil
}

// Remove deletes a file.
func (d *Dir) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.files[name]; !ok {
		return fs.ErrNotExist
	}
	delete(d.files, name)
	return nil
}

// Truncate shortens a file to size bytes, durably.
func (d *Dir) Truncate(name string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.files[name]
	if !ok {
		return fs.ErrNotExist
	}
	c.written = append([]byte(nil), c.written[:size]...)
	c.synced = append([]byte(nil), c.written...)
	return nil
}

// Sync makes the file names durable.
func (d *Dir) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.recordSync(); err != nil {
		return err
	}
	d.syncedFiles = make(map[string]*fileContent, len(d.files))
	for name, c := range d.files {
		d.syncedFiles[name] = c
	}
	return nil
}

func (d *Dir) recordSync() error {
	if d.failingSyncs > 0 {
		d.failingSyncs--
		return ErrSyncFailed
	}
	d.syncCount++
	return nil
}

func sortedNames(files map[string]*fileContent) []string {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

type file struct {
	dir        *Dir
	content    *fileContent
	generation int
}

func (f *file) Write(p []byte) (int, error) {
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	if f.generation != f.dir.generation {
		return 0, ErrStaleFile
	}
	n := len(p)
	if f.dir.freeSpace >= 0 && n > f.dir.freeSpace {
		n = f.dir.freeSpace
	}
	f.content.written = append(f.content.written, p[:n]...)
	f.content.writeEnds = append(f.content.writeEnds, len(f.content.written))
	if f.dir.freeSpace >= 0 {
		f.dir.freeSpace -= n
	}
	if n < len(p) {
		return n, ErrFull
	}
	return n, nil
}

func (f *file) Sync() error {
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	if f.generation != f.dir.generation {
		return ErrStaleFile
	}
	if err := f.dir.recordSync(); err != nil {
		f.content.written = append([]byte(nil), f.content.synced...)
		f.content.writeEnds = nil
		return err
	}
	f.content.synced = append([]byte(nil), f.content.written...)
	f.content.writeEnds = nil
	return nil
}

func (f *file) Close() error { return nil }
