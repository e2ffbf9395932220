package loadgen

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/fault"
)

// Guards against checks of keys that see other attempts than those made.
func TestKeysAreReadAsWritten(t *testing.T) {
	want := []UsedKey{
		{Key: "a", Outcome: "ok", Effect: fault.Ran, Effects: []fault.Effect{fault.NotRun, fault.Unknown, fault.Ran}},
		{Key: "b", Outcome: "overloaded", Effect: fault.NotRun, Effects: []fault.Effect{fault.NotRun}},
		{Key: "c", Outcome: "unreachable", Effect: fault.NotRun},
	}
	g := &Generator{results: []*result{{keys: want}}}
	name := filepath.Join(t.TempDir(), "keys")
	require.NoError(t, g.WriteKeys(name))
	got, err := ReadKeys(name)
	require.NoError(t, err)
	assert.Equal(t, want, got)
}
