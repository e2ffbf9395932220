package loadgen

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/fault"
)

// Guards against key checks that work on other attempts than those made: keys must
// be read back as they were written.
func TestKeysAreReadAsWritten(t *testing.T) {
	want := []UsedKey{
		{Key: "a", Outcome: "ok", Effect: fault.Ran, Effects: []fault.Effect{fault.NotRun, fault.Unknown, fault.Ran}},
		{Key: "b", Outcome: "overloaded", Effect: fault.NotRun, Effects: []fault.Effect{fault.NotRun}},
		{Key: "c", Outcome: "unreachable", Effect: fault.NotRun},
	}
	g := &Generator{results: []*streamResult{{keys: want}}}
	name := filepath.Join(t.TempDir(), "keys")
	require.NoError(t, g.WriteKeys(name))
	got, err := ReadKeys(name)
	require.NoError(t, err)
	assert.Equal(t, want, got)
}
