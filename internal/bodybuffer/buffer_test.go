package bodybuffer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/membudget"
)

// Guards against bodies that are changed, accepted over a limit, or whose memory is not
// given back.
func TestRead(t *testing.T) {
	broken := errors.New("broken")
	cases := []struct {
		desc                 string
		size                 int
		declared, limit, mem int64
		end                  error // of the source; nil: end of file
		want                 error
	}{
		{desc: "declared", size: 200_000, declared: 200_000, limit: 200_000, mem: 200_000},
		{desc: "unknown length", size: 200_000, declared: -1, limit: 200_000, mem: 1 << 20},
		{desc: "empty", size: 0, declared: -1, limit: 10, mem: 10},
		{desc: "no limit", size: 70_000, declared: -1, mem: 1 << 20},
		{desc: "declared over the limit", size: 11, declared: 11, limit: 10, mem: 100, want: ErrTooLarge},
		{desc: "over the limit", size: 11, declared: -1, limit: 10, mem: 100, want: ErrTooLarge},
		{desc: "never fits", size: 0, declared: 200_000, limit: 200_000, mem: 199_999, want: ErrNoMemory},
		{desc: "no memory left", size: 200_000, declared: -1, limit: 200_000, mem: 100_000, want: ErrNoMemory},
		{desc: "breaks off", size: 100, declared: 200, limit: 200, mem: 200, end: broken, want: broken},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			sent := strings.Repeat("0123456789", tc.size/10+1)[:tc.size]
			var source io.Reader = strings.NewReader(sent)
			if tc.end != nil {
				source = io.MultiReader(source, iotest.ErrReader(tc.end))
			}
			memory := membudget.New(tc.mem)
			b, err := Read(context.Background(), memory, source, tc.declared, tc.limit)
			assert.ErrorIs(t, err, tc.want)
			if tc.want == nil {
				require.NoError(t, err)
				assert.Equal(t, sent, string(b.Bytes()))
				assert.GreaterOrEqual(t, memory.Used(), int64(tc.size))
			}
			b.Release()
			b.Release()
			assert.Zero(t, memory.Used())
		})
	}
}

// Guards against buffers that replace each other faster than they are collected, so
// that the heap exceeds its limit.
func TestLargeBuffersStayWithinHeapLimit(t *testing.T) {
	const bodySize, readers = 4<<20 - 1, 4 // fills a buffer but for the room for the end
	body := bytes.Repeat([]byte("x"), bodySize)
	debug.FreeOSMemory()
	limit := heapInUse() + 3*readers*bodySize/2 // the bodies, and half of them for the buffers that they replace
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(limit))
	var peak atomic.Int64
	var all sync.WaitGroup
	for range readers {
		all.Go(func() {
			for range 10 {
				b, err := Read(context.Background(), membudget.New(0), bytes.NewReader(body), -1, 0)
				assert.NoError(t, err)
				if used := heapInUse(); used > peak.Load() {
					peak.Store(used)
				}
				b.Release()
			}
		})
	}
	all.Wait()
	t.Logf("peak %d of %d", peak.Load(), limit)
	assert.LessOrEqual(t, peak.Load(), limit+bodySize) // one buffer may be allocated at the same time
}
