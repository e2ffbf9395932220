package bodybuffer

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/membudget"
)

// Guards against decoded values that are not counted, or not given back, and against
// a rejection for good of what fits at another time.
func TestReserve(t *testing.T) {
	memory := membudget.New(1000)
	read := func() *Buffer {
		b, err := Read(context.Background(), memory, strings.NewReader("0123456789"), 10, 0)
		require.NoError(t, err)
		return b
	}
	first, second := read(), read()
	require.ErrorIs(t, first.Reserve(991), ErrTooLarge)
	require.NoError(t, first.Reserve(900))
	require.ErrorIs(t, second.Reserve(100), ErrNoMemory)
	first.Release()
	assert.Equal(t, int64(10), memory.Used())
	require.NoError(t, second.Reserve(990))
	second.Release()
	assert.Zero(t, memory.Used())
}
