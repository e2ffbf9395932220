package bodybuffer

import (
	"math"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
)

// largeBuffer is the size in bytes from which on a buffer is allocated only after
// looking at the heap. A collection runs beside the program, so a few buffers of this
// size, allocated while the smaller ones that they replace are not collected yet,
// take the heap over its limit.
const largeBuffer = 1 << 20

// collecting is held during a collection that a large buffer needs.
var collecting sync.Mutex

// collectBefore collects garbage if a buffer of n bytes would otherwise take the heap
// over its limit.
func collectBefore(n int) {
	limit := debug.SetMemoryLimit(-1)
	if n < largeBuffer || limit == math.MaxInt64 || heapInUse()+int64(n) <= limit {
		return
	}
	collecting.Lock()
	defer collecting.Unlock()
	if heapInUse()+int64(n) > limit {
		runtime.GC()
	}
}

// heapInUse returns the bytes that count towards the heap limit and that are not free
// for a new buffer.
func heapInUse() int64 {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}, {Name: "/memory/classes/heap/free:bytes"},
	}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64()) - int64(samples[1].Value.Uint64()) - int64(samples[2].Value.Uint64())
}
