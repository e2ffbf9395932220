package wal

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/disk/fakedisk"
)

var seeds = flag.Int("wal.seeds", 200, "seeds of each randomised test")

func openLog(t *testing.T, dir *fakedisk.Dir) (*Log, State) {
	t.Helper()
	l, state, err := Open(dir, Options{SegmentBytes: 300})
	require.NoError(t, err)
	return l, state
}

func newEntries(first uint64, texts ...string) []Entry {
	var made []Entry
	for i, text := range texts {
		made = append(made, Entry{Index: first + uint64(i), Data: []byte(text)})
	}
	return made
}

func TestSaveAndReopen(t *testing.T) {
	dir := fakedisk.New()
	l, state := openLog(t, dir)
	assert.Equal(t, State{}, state)
	require.NoError(t, l.Save([]byte("h1"), newEntries(1, "a", "b", "c"), true))
	require.NoError(t, l.Save([]byte("h2"), newEntries(2, "B"), true))
	require.NoError(t, l.Save([]byte("h3"), newEntries(3, "lost"), false))
	dir.Crash(nil)
	l, state = openLog(t, dir)
	assert.Equal(t, State{HardState: []byte("h2"), Entries: newEntries(1, "a", "B")}, state)

	require.NoError(t, l.SaveSnapshot(1, []byte("snap"), []byte("h4"), newEntries(2, "B")))
	require.NoError(t, l.Save(nil, newEntries(3, "C"), true))
	dir.Crash(nil)
	_, state = openLog(t, dir)
	assert.Equal(t, State{HardState: []byte("h4"), SnapshotIndex: 1, Snapshot: []byte("snap"), Entries: newEntries(2, "B", "C")}, state)
}

// Guards against a directory that grows without limit.
func TestSnapshotRemovesObsoleteFiles(t *testing.T) {
	dir := fakedisk.New()
	l, _ := openLog(t, dir)
	for i := uint64(1); i <= 60; i++ {
		require.NoError(t, l.Save(nil, newEntries(i, strings.Repeat("x", 50)), true))
		if i%20 == 0 {
			names, err := dir.List()
			require.NoError(t, err)
			assert.Greater(t, len(names), 3)
			require.NoError(t, l.SaveSnapshot(i, []byte("s"), []byte("h"), nil))
			names, err = dir.List()
			require.NoError(t, err)
			assert.Len(t, names, 2)
		}
	}
	_, state := openLog(t, dir)
	assert.Equal(t, State{HardState: []byte("h"), SnapshotIndex: 60, Snapshot: []byte("s")}, state)
}

// Guards against torn writes that lose synced data, that restore unsynced data
// altered or with gaps, or that prevent the log from opening.
func TestTornTailIsTruncated(t *testing.T) {
	for seed := range uint64(*seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		dir := fakedisk.New()
		l, _ := openLog(t, dir)
		var synced, written []Entry
		snapshot := uint64(0)
		for range 40 {
			next := snapshot + uint64(len(written)) + 1
			made := newEntries(next, strings.Repeat("y", 1+random.IntN(80)), "z")
			switch {
			case random.IntN(8) == 0:
				snapshot = next - 1
				require.NoError(t, l.SaveSnapshot(snapshot, []byte(fmt.Sprint(snapshot)), nil, nil))
				synced, written = nil, nil
			case random.IntN(3) == 0:
				require.NoError(t, l.Save([]byte("h"), made, true))
				written = append(written, made...)
				synced = written
			case random.IntN(4) == 0:
				require.NoError(t, l.Save(nil, made, false))
				written = append(written, made...)
			case random.IntN(8) == 0:
				dir.Crash(random)
				var state State
				l, state = openLog(t, dir)
				require.GreaterOrEqual(t, len(state.Entries), len(synced), "seed %d", seed)
				require.LessOrEqual(t, len(state.Entries), len(written), "seed %d", seed)
				if len(state.Entries) > 0 {
					require.Equal(t, written[:len(state.Entries)], state.Entries, "seed %d", seed)
				}
				require.Equal(t, snapshot, state.SnapshotIndex, "seed %d", seed)
				synced, written = state.Entries, state.Entries
			}
		}
	}
}

// Guards against a flipped bit that is read as data, or that drops the synced
// entries after it.
func TestFlippedBitIsReported(t *testing.T) {
	build := func() *fakedisk.Dir {
		dir := fakedisk.New()
		l, _ := openLog(t, dir)
		require.NoError(t, l.SaveSnapshot(1, []byte("snapshot"), []byte("h"), nil))
		for i := uint64(2); i < 14; i++ {
			require.NoError(t, l.Save([]byte("hard"), newEntries(i, fmt.Sprint("entry ", i)), true))
		}
		return dir
	}
	names, err := build().List()
	require.NoError(t, err)
	require.Greater(t, len(names), 2)
	last := names[len(names)-2] // the last segment; the snapshot sorts after the segments
	for _, name := range names {
		content, err := build().ReadFile(name)
		require.NoError(t, err)
		for offset := range content {
			if name == last && offset >= len(content)-recordHeaderBytes {
				continue // the last marker, which is not synced
			}
			dir := build()
			dir.FlipBit(name, offset, uint(offset%8))
			_, _, err := Open(dir, Options{})
			require.ErrorIs(t, err, ErrCorrupt, "%s byte %d", name, offset)
		}
	}
}

// Guards against a write or sync that is attempted after a failed one.
func TestWritesAreRefusedAfterFailure(t *testing.T) {
	cases := []struct {
		desc  string
		fault func(*fakedisk.Dir)
		want  error
	}{
		{"failed sync", func(d *fakedisk.Dir) { d.FailSyncs(1) }, fakedisk.ErrSyncFailed},
		{"full disk", func(d *fakedisk.Dir) { d.SetFreeSpace(5) }, fakedisk.ErrFull},
		{"no space at all", func(d *fakedisk.Dir) { d.SetFreeSpace(0) }, fakedisk.ErrFull},
	}
	calls := []struct {
		desc string
		call func(*Log) error
	}{
		{"save", func(l *Log) error { return l.Save(nil, newEntries(2, "b"), true) }},
		{"snapshot", func(l *Log) error { return l.SaveSnapshot(1, []byte("s"), nil, nil) }},
	}
	for _, tc := range cases {
		for _, call := range calls {
			t.Run(tc.desc+" in "+call.desc, func(t *testing.T) {
				dir := fakedisk.New()
				l, _ := openLog(t, dir)
				require.NoError(t, l.Save([]byte("h"), newEntries(1, "a"), true))
				tc.fault(dir)
				require.ErrorIs(t, call.call(l), tc.want)
				dir.SetFreeSpace(-1)
				syncs := dir.SyncCount()
				for _, again := range calls {
					err := again.call(l)
					require.ErrorIs(t, err, ErrFailed)
					require.ErrorIs(t, err, tc.want)
				}
				assert.Equal(t, syncs, dir.SyncCount())
				dir.Crash(nil)
				_, state := openLog(t, dir)
				assert.Equal(t, newEntries(1, "a"), state.Entries)
			})
		}
	}
}

// Guards against invalid input that makes Open panic.
func FuzzOpen(f *testing.F) {
	f.Add([]byte("not a log"))
	f.Add(appendRecord(nil, kindCheckpoint, []byte{0xa0}))
	f.Add(appendRecord(appendRecord(nil, kindCheckpoint, []byte{0xa0}), kindBatch, []byte{0xff}))
	f.Fuzz(func(t *testing.T, content []byte) {
		dir := fakedisk.New()
		file, err := dir.Create(segmentName(1))
		require.NoError(t, err)
		_, err = file.Write(content)
		require.NoError(t, err)
		_, _, err = Open(dir, Options{})
		if err != nil {
			require.ErrorIs(t, err, ErrCorrupt)
		}
	})
}
