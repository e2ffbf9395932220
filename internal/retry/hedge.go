package retry

import "time"

// HedgeCase is the state in which a hedge is asked for.
type HedgeCase struct {
	Idempotent bool
	Waiting    int // queued requests
	Slots      int
	FreeSlots  int
	Attempts   int // attempts of the request in flight
}

// hedgeReserve: one in so many slots must be free. The second attempt of a
// straggler takes as long as the first, and stragglers fill much slot time.
const hedgeReserve = 4

// MayHedge reports whether a second attempt may be sent. It must not delay
// other requests, and at most two attempts of a request run at once.
func MayHedge(c HedgeCase) bool {
	free := c.FreeSlots > 0 && c.FreeSlots*hedgeReserve >= c.Slots
	return c.Idempotent && c.Waiting == 0 && free && c.Attempts == 1
}

// Limits of the time to hear nothing before a hedge. A short request must be
// back within a second when its connection is silent.
const (
	minHedgeDelay = 20 * time.Millisecond
	maxShortDelay = 500 * time.Millisecond
)

// HedgeDelay returns how long an attempt may hear nothing, given the 90th
// percentile of the service time of its size.
func HedgeDelay(high time.Duration, short bool) time.Duration {
	delay := max(2*high, minHedgeDelay)
	if short {
		return min(delay, maxShortDelay)
	}
	return delay
}
