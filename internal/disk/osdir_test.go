package disk

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func writeAndClose(t *testing.T, f File, text string) {
	t.Helper()
	_, err := f.Write([]byte(text))
	require.NoError(t, err)
	require.NoError(t, f.Sync())
	require.NoError(t, f.Close())
}

func TestOSDirFiles(t *testing.T) {
	d, err := Open(filepath.Join(t.TempDir(), "a", "b"))
	require.NoError(t, err)
	created, err := d.Create("one")
	require.NoError(t, err)
	writeAndClose(t, created, "hello")
	appended, err := d.OpenAppend("one")
	require.NoError(t, err)
	writeAndClose(t, appended, " world")
	require.NoError(t, d.Truncate("one", 7))
	require.NoError(t, d.Rename("one", "two"))
	require.NoError(t, d.Sync())

	names, err := d.List()
	require.NoError(t, err)
	assert.Equal(t, []string{"two"}, names)
	content, err := d.ReadFile("two")
	require.NoError(t, err)
	assert.Equal(t, "hello w", string(content))
	require.NoError(t, d.Remove("two"))
	_, err = d.ReadFile("two")
	assert.True(t, trace.IsNotFound(err), "%v", err)
	_, err = d.OpenAppend("two")
	assert.True(t, trace.IsNotFound(err), "%v", err)
}

// Guards against writes outside the data folder.
func TestOSDirRejectsPaths(t *testing.T) {
	root := t.TempDir()
	d, err := Open(filepath.Join(root, "data"))
	require.NoError(t, err)
	for _, name := range []string{"", ".", "..", "../x", "a/b", "/x"} {
		_, err := d.Create(name)
		assert.Error(t, err, name)
		assert.Error(t, d.Remove(name), name)
		assert.Error(t, d.Rename("a", name), name)
	}
	items, err := os.ReadDir(root)
	require.NoError(t, err)
	assert.Len(t, items, 1)
}
