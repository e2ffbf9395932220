package sys

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a clock that stands or runs in another unit.
func TestRealBootClock(t *testing.T) {
	started, before := time.Now(), RealBootClock{}.SinceBoot()
	time.Sleep(10 * time.Millisecond)
	passed := RealBootClock{}.SinceBoot() - before
	assert.GreaterOrEqual(t, passed, 10*time.Millisecond)
	assert.LessOrEqual(t, passed, time.Since(started)+time.Minute)
}
