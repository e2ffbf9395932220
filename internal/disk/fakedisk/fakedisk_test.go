package fakedisk

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a fake that keeps data which a real disk may lose.
func TestCrashLosesUnsyncedData(t *testing.T) {
	d := New()
	f, err := d.Create("a")
	require.NoError(t, err)
	_, err = f.Write([]byte("synced"))
	require.NoError(t, err)
	require.NoError(t, f.Sync())
	require.NoError(t, d.Sync())
	_, err = f.Write([]byte(" lost"))
	require.NoError(t, err)
	_, err = d.Create("name not synced")
	require.NoError(t, err)
	require.NoError(t, d.Rename("a", "b"))

	d.Crash(nil)
	names, err := d.List()
	require.NoError(t, err)
	assert.Equal(t, []string{"a"}, names)
	content, err := d.ReadFile("a")
	require.NoError(t, err)
	assert.Equal(t, "synced", string(content))
	_, err = f.Write([]byte("x"))
	assert.ErrorIs(t, err, ErrStaleFile)
}

func TestTornWriteKeepsSyncedData(t *testing.T) {
	lengths := map[int]bool{}
	for seed := range uint64(50) {
		d := New()
		f, err := d.Create("a")
		require.NoError(t, err)
		require.NoError(t, d.Sync())
		_, err = f.Write([]byte("synced"))
		require.NoError(t, err)
		require.NoError(t, f.Sync())
		_, err = f.Write([]byte("0123456789"))
		require.NoError(t, err)
		d.Crash(rand.New(rand.NewPCG(seed, 0)))
		content, err := d.ReadFile("a")
		require.NoError(t, err)
		assert.True(t, strings.HasPrefix(string(content), "synced"))
		lengths[len(content)] = true
	}
	assert.Greater(t, len(lengths), 5)
}

func TestInjectedFaults(t *testing.T) {
	d := New()
	f, err := d.Create("a")
	require.NoError(t, err)
	d.SetFreeSpace(3)
	n, err := f.Write([]byte("12345"))
	assert.Equal(t, 3, n)
	assert.ErrorIs(t, err, ErrFull)
	d.SetFreeSpace(-1)
	require.NoError(t, f.Sync())
	d.FlipBit("a", 0, 0)
	content, err := d.ReadFile("a")
	require.NoError(t, err)
	assert.Equal(t, "023", string(content))

	d.FailSyncs(1)
	_, err = f.Write([]byte("x"))
	require.NoError(t, err)
	assert.ErrorIs(t, f.Sync(), ErrSyncFailed)
	content, err = d.ReadFile("a")
	require.NoError(t, err)
	assert.Equal(t, "023", string(content))
}
