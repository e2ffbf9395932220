package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against retries that multiply the load on failing targets.
func TestBudgetLimitsRetriesToRatioOfSuccesses(t *testing.T) {
	var b Budget
	for range initialBudget {
		assert.True(t, b.Take())
	}
	assert.False(t, b.Take())
	for range 200 {
		b.RecordSuccess()
	}
	taken := 0
	for b.Take() {
		taken++
	}
	assert.InDelta(t, 20, taken, 1)
}

// Guards against retries that are unlikely to complete before the deadline.
func TestNoRetryCloseToDeadline(t *testing.T) {
	arrived := time.Unix(0, 0)
	deadline := arrived.Add(time.Second)
	assert.True(t, MayRetry(arrived.Add(899*time.Millisecond), arrived, deadline))
	assert.False(t, MayRetry(arrived.Add(900*time.Millisecond), arrived, deadline))
}

// Guards against hedges that delay other requests, and against hedging requests
// that are not idempotent or already hedged.
func TestMayHedge(t *testing.T) {
	good := HedgeConditions{Idempotent: true, FreeSlots: 1, Attempts: 1}
	assert.True(t, MayHedge(good))
	for _, bad := range []HedgeConditions{
		{FreeSlots: 1, Attempts: 1},
		{Idempotent: true, Waiting: 1, FreeSlots: 1, Attempts: 1},
		{Idempotent: true, Attempts: 1},
		{Idempotent: true, Slots: 24, FreeSlots: 5, Attempts: 1},
		{Idempotent: true, FreeSlots: 1, Attempts: 2},
	} {
		assert.False(t, MayHedge(bad), "%+v", bad)
	}
	assert.Equal(t, maxShortDelay, HedgeDelay(time.Minute, true))
	assert.Equal(t, 2*time.Minute, HedgeDelay(time.Minute, false))
}
