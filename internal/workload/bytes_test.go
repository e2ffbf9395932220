package workload

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a route whose long responses are taken for typical ones, and
// against one route that takes over the size of another.
func TestBytesByRoute(t *testing.T) {
	var b Bytes
	assert.InDelta(t, InitialBytes, b.Mean("download"), 0)
	for range 200 {
		b.Learn("download", 90_000)
		b.Learn("order", 5_000)
	}
	assert.InDelta(t, 90_000, b.Mean("download"), 5_000)
	assert.InDelta(t, 5_000, b.Mean("order"), 500)
	unknown := b.Mean("unknown")
	assert.True(t, unknown > 5_000 && unknown < 90_000, "the value of the service: %v", unknown)
}

// Guards against malformed lengths of other processes that spoil the mean.
func TestMalformedBytes(t *testing.T) {
	var b Bytes
	for _, n := range []int64{0, -1, math.MinInt64, math.MaxInt64} {
		b.Learn("r", n)
		assert.True(t, b.Mean("r") >= 0 && b.Mean("r") <= maxBytes+headBytes, "%d: %v", n, b.Mean("r"))
	}
}
