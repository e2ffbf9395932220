package callerconn

import (
	"math"
	"time"

	"golang.org/x/sys/unix"

	"github.com/sequoialane/sequoialane/internal/settings"
)

// Settings limit what the connections of callers take of a process.
type Settings struct {
	Connections    int               `json:"connections"`      // open connections of the callers' listener; 0: derived from the memory and the descriptors
	HeaderFields   int               `json:"header_fields"`    // fields of a request
	StallTime      settings.Duration `json:"stall_time"`       // without progress, after which the sender of a body may be closed if others need its memory or its connection
	WriteTimeout   settings.Duration `json:"write_timeout"`    // for the caller to read the next 16 KiB of a response
	SocketBufferKB int               `json:"socket_buffer_kb"` // buffers of the kernel for each direction of a connection; 0: as the kernel chooses
}

const (
	// defaultHeaderFields is more than the number of fields of any head of 16 KiB,
	// since the shortest field has four bytes.
	defaultHeaderFields = 4096
	// defaultStallTime keeps senders of 4 KiB per second, at a time at which others
	// are rejected for want of memory.
	defaultStallTime    = time.Second
	defaultWriteTimeout = 30 * time.Second
	// defaultSocketBufferKB is the size with which the kernel starts. It carries 4 MB/s
	// at a round trip of 16 ms.
	defaultSocketBufferKB = 64

	maxConnections = 1 << 20
	// connectionBytes is what an idle connection takes: the stack of its goroutine,
	// the buffers of net/http and the state of this package.
	connectionBytes = 20 << 10
	// connectionMemoryDivisor: the connections of the callers' listener may take this
	// part of the memory.
	connectionMemoryDivisor = 8
	// descriptorDivisor: the callers' listener may take this part of the descriptors;
	// the rest is for connections to targets and other processes.
	descriptorDivisor = 2
	// sideDivisor: a listener that serves a few short responses, such as the
	// directory, may take this part of the connections of the callers' listener.
	sideDivisor = 8
	// The heap may take heapShare of the memory at most, and leaves programBytes for the
	// program, of which 16 MiB are resident, and 1/kernelDivisor for buffers of the
	// kernel, but gets minHeapShare in any case.
	heapShare     = 0.8
	minHeapShare  = 0.5
	programBytes  = 20 << 20
	kernelDivisor = 8
	// minConnections keeps the smallest deployments usable.
	minConnections = 16
)

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		HeaderFields: defaultHeaderFields,
		StallTime:    settings.Duration(defaultStallTime), WriteTimeout: settings.Duration(defaultWriteTimeout), SocketBufferKB: defaultSocketBufferKB,
	}
}

// Check reports invalid settings.
func (s Settings) Check(report settings.Report) {
	settings.RequireIntRange(report, "connections", s.Connections, 0, maxConnections)
	settings.RequireIntRange(report, "header_fields", s.HeaderFields, 16, 1<<20)
	settings.RequireDurationRange(report, "stall_time", s.StallTime, 10*time.Millisecond, time.Hour)
	settings.RequireIntRange(report, "socket_buffer_kb", s.SocketBufferKB, 0, 64<<10)
	settings.RequireDurationRange(report, "write_timeout", s.WriteTimeout, time.Second, time.Hour)
}

// HeapLimit returns the bytes that the heap of a process with that much memory may
// take, its stacks included.
func HeapLimit(memoryMB int) int64 {
	memory := int64(memoryMB) << 20
	limit := min(int64(heapShare*float64(memory)), memory-programBytes-memory/kernelDivisor)
	return max(limit, int64(minHeapShare*float64(memory)))
}

// connections returns the limit of open connections of the callers' listener in a
// process with that much memory.
func (s Settings) connections(memoryBytes int64) int {
	if s.Connections > 0 {
		return s.Connections
	}
	byMemory := memoryBytes / connectionMemoryDivisor / connectionBytes
	return max(int(min(byMemory, descriptors()/descriptorDivisor, maxConnections)), minConnections)
}

// descriptors returns how many descriptors the process may open.
func descriptors() int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt64
	}
	return int64(min(limit.Cur, math.MaxInt64))
}
