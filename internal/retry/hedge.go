package retry

import "time"

// HedgeConditions holds the conditions that MayHedge decides on.
type HedgeConditions struct {
	Idempotent bool
	Waiting    int // queued requests
	Slots      int
	FreeSlots  int
	Attempts   int // attempts of this request in flight
}

// hedgeFreeSlotsDivisor limits hedges: at least one in hedgeFreeSlotsDivisor slots
// must be free. The second attempt of a straggler takes as long as the first, and
// stragglers take up much slot time.
const hedgeFreeSlotsDivisor = 4

// MayHedge reports whether a second attempt of an idempotent request may be sent.
// It must not delay other requests, and at most two attempts of a request run at
// the same time.
func MayHedge(c HedgeConditions) bool {
	free := c.FreeSlots > 0 && c.FreeSlots*hedgeFreeSlotsDivisor >= c.Slots
	return c.Idempotent && c.Waiting == 0 && free && c.Attempts == 1
}

// Limits of the time without a response before a hedge. A short request must
// complete within a second even if nothing arrives on its connection.
const (
	minHedgeDelay = 20 * time.Millisecond
	maxShortDelay = 500 * time.Millisecond
)

// HedgeDelay returns the time without a response after which an attempt is hedged.
// p90 is the 90th percentile of the service time, and short tells whether the
// request is of the short class.
func HedgeDelay(p90 time.Duration, short bool) time.Duration {
	delay := max(2*p90, minHedgeDelay)
	if short {
		return min(delay, maxShortDelay)
	}
	return delay
}
