package sys

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against wake-ups that are delivered early, twice or out of order.
func TestManualClockDeliversInOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	clock := NewManualClock(start)
	once := clock.After(3 * time.Second)
	ticker := clock.NewTicker(2 * time.Second)

	clock.Advance(2 * time.Second)
	assert.Equal(t, start.Add(2*time.Second), <-ticker.C())
	assert.Empty(t, once)

	clock.Advance(2 * time.Second)
	assert.Equal(t, start.Add(3*time.Second), <-once)
	assert.Equal(t, start.Add(4*time.Second), <-ticker.C())

	ticker.Stop()
	clock.Advance(time.Minute)
	assert.Empty(t, once)
	assert.Empty(t, ticker.C())
}
