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

// allocating is held while a large buffer is allocated, so that each one sees those
// before it.
var allocating sync.Mutex

// allocate returns a buffer of n bytes, all of them used. It collects garbage first if
// a large buffer would otherwise take the heap over its limit.
func allocate(n int) []byte {
	limit := debug.SetMemoryLimit(-1)
	if n < largeBuffer || limit == math.MaxInt64 {
		return make([]byte, n)
	}
	allocating.Lock()
	defer allocating.Unlock()
	if heapInUse()+int64(n) > limit {
		runtime.GC()
	}
	return make([]byte, n)
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
