package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against rejected requests that all return at the same time, or before the time
// at which they may be served.
func TestRetryAfterIsSpread(t *testing.T) {
	const base, count, parts = time.Second, 10_000, 10
	var returns [parts]int
	for range count {
		extra := spreadRetryAfter(base) - base
		assert.GreaterOrEqual(t, extra, time.Duration(0))
		returns[int(float64(parts)*float64(extra)/(retryAfterSpread*float64(base)))]++
	}
	for _, n := range returns {
		assert.InDelta(t, count/parts, n, count/parts/4)
	}
}
