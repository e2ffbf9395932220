// Package fakedisk is a disk.Dir in memory for tests. It keeps apart what was
// written from what is durable, and fails on request.
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

// Errors of injected faults.
var (
	ErrFull       = errors.New("fakedisk: no space left")
	ErrSyncFailed = errors.New("fakedisk: sync failed")
	ErrCrashed    = errors.New("fakedisk: file handle is from before the crash")
)

// Dir is a folder in memory. It is safe for concurrent use.
type Dir struct {
	mu         sync.Mutex
	names      map[string]*content // as written
	durable    map[string]*content // names as of the last Sync of the folder
	generation int
	space      int // bytes that may still be written; negative: no limit
	failSyncs  int // number of Syncs that fail from now on
	syncs      int
}

type content struct {
	written []byte
	synced  []byte
	ends    []int // of the writes since the last sync, in written
}

var _ disk.Dir = (*Dir)(nil)

// New returns an empty folder without a size limit.
func New() *Dir {
	return &Dir{names: map[string]*content{}, durable: map[string]*content{}, space: -1}
}

// SetSpace limits the bytes that may still be written. A negative number
// removes the limit. A write over the limit stores the part that fits.
func (d *Dir) SetSpace(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.space = bytes
}

// FailSyncs lets the next n Syncs of files or of the folder fail. The written
// bytes are then dropped from the written state too, as kernels may do.
func (d *Dir) FailSyncs(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSyncs = n
}

// Syncs returns the number of Syncs that succeeded.
func (d *Dir) Syncs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncs
}

// Crash drops all that is not durable. If random is set, each write since the
// last sync of its file is present, missing or torn, each name since the last
// sync of the folder is as before or after, independently of the others, and
// the last byte of a file may be damaged. Open files fail from then on.
func (d *Dir) Crash(random *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	durable := d.durable
	if random != nil {
		durable = d.survivingNames(random)
	}
	d.names = map[string]*content{}
	d.durable = map[string]*content{}
	for _, name := range sortedNames(durable) {
		c := durable[name]
		survived := append([]byte(nil), c.synced...)
		if random != nil {
			survived = append(survived, tornTail(c, random)...)
		}
		kept := &content{written: survived, synced: append([]byte(nil), survived...)}
		d.names[name] = kept
		d.durable[name] = kept
	}
}

func tornTail(c *content, random *rand.Rand) []byte {
	if len(c.written) <= len(c.synced) {
		return nil
	}
	tail := make([]byte, len(c.written)-len(c.synced)) // zeros where a write is missing
	length, start := 0, len(c.synced)
	for _, end := range c.ends {
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

// survivingNames returns the names after a crash.
func (d *Dir) survivingNames(random *rand.Rand) map[string]*content {
	survived := map[string]*content{}
	all := map[string]*content{}
	maps.Copy(all, d.durable)
	maps.Copy(all, d.names)
	for _, name := range sortedNames(all) {
		from := d.durable
		if random.IntN(2) == 0 {
			from = d.names
		}
		if c := from[name]; c != nil {
			survived[name] = c
		}
	}
	return survived
}

// FlipBit inverts one bit of a file, in its written and durable state.
func (d *Dir) FlipBit(name string, offset int, bit uint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.names[name]
	c.written[offset] ^= 1 << bit
	if offset < len(c.synced) {
		c.synced[offset] ^= 1 << bit
	}
}

// Wipe removes all files, as a replaced disk does.
func (d *Dir) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.names = map[string]*content{}
	d.durable = map[string]*content{}
}

// Create opens an empty file.
func (d *Dir) Create(name string) (disk.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.space == 0 {
		return nil, ErrFull
	}
	c := &content{}
	d.names[name] = c
	return &file{dir: d, content: c, generation: d.generation}, nil
}

// OpenAppend opens an existing file for writing at its end.
func (d *Dir) OpenAppend(name string) (disk.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &file{dir: d, content: c, generation: d.generation}, nil
}

// ReadFile returns the written content of a file.
func (d *Dir) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), c.written...), nil
}

// List returns the names of all files in ascending order.
func (d *Dir) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sortedNames(d.names), nil
}

// Rename gives a file another name.
func (d *Dir) Rename(old, new string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.names[old]
	if !ok {
		return fs.ErrNotExist
	}
	delete(d.names, old)
	d.names[new] = c
	return nil
}

// Remove deletes a file.
func (d *Dir) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.names[name]; !ok {
		return fs.ErrNotExist
	}
	delete(d.names, name)
	return nil
}

// Truncate cuts a file to size bytes, durably.
func (d *Dir) Truncate(name string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.names[name]
	if !ok {
		return fs.ErrNotExist
	}
	c.written = append([]byte(nil), c.written[:size]...)
	c.synced = append([]byte(nil), c.written...)
	return nil
}

// Sync makes the names durable.
func (d *Dir) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countSync(); err != nil {
		return err
	}
	d.durable = make(map[string]*content, len(d.names))
	for name, c := range d.names {
		d.durable[name] = c
	}
	return nil
}

func (d *Dir) countSync() error {
	if d.failSyncs > 0 {
		d.failSyncs--
		return ErrSyncFailed
	}
	d.syncs++
	return nil
}

func sortedNames(files map[string]*content) []string {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

type file struct {
	dir        *Dir
	content    *content
	generation int
}

func (f *file) Write(p []byte) (int, error) {
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	if f.generation != f.dir.generation {
		return 0, ErrCrashed
	}
	n := len(p)
	if f.dir.space >= 0 && n > f.dir.space {
		n = f.dir.space
	}
	f.content.written = append(f.content.written, p[:n]...)
	f.content.ends = append(f.content.ends, len(f.content.written))
	if f.dir.space >= 0 {
		f.dir.space -= n
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
		return ErrCrashed
	}
	if err := f.dir.countSync(); err != nil {
		f.content.written = append([]byte(nil), f.content.synced...)
		f.content.ends = nil
		return err
	}
	f.content.synced = append([]byte(nil), f.content.written...)
	f.content.ends = nil
	return nil
}

func (f *file) Close() error { return nil }
