package schedule

import "time"

// Load is the capacity of a service and the work queued before a new request.
type Load struct {
	Slots          int           // slots that may be used
	Free           int           // slots that are free now
	TimeToFreeSlot time.Duration // expected time until the next slot is free
	Backlogs       []Backlog
}

// Arrival is a request that admission is decided for.
type Arrival struct {
	Plan        string
	Weight      int
	Concurrency int
	Estimate    TimeEstimate
}

// ExpectedWait returns how long the arrival would wait for a slot: the time to
// serve the queued work of its plan, while each other plan is served its queued
// work or its fair share, whichever is less.
func ExpectedWait(load Load, a Arrival) time.Duration {
	own, inFlight := ownBacklog(load, a.Plan)
	if load.Slots < 1 {
		return time.Hour
	}
	limited := a.Concurrency > 0 && inFlight >= a.Concurrency
	if load.Free > 0 && own.Queued == 0 && !limited {
		return 0
	}
	slots := float64(load.Slots)
	if a.Estimate.Class == Long {
		slots = float64(LongSlots(load.Slots))
	}
	weight := float64(max(a.Weight, 1))
	workAhead := own.Work
	for _, b := range load.Backlogs {
		if b.Plan != a.Plan {
			share := time.Duration(float64(own.Work+a.Estimate.Mean) * b.Weight / weight)
			workAhead += min(b.Work, share)
		}
	}
	wait := time.Duration(float64(workAhead)/slots) + load.TimeToFreeSlot
	if a.Concurrency > 0 {
		wait = max(wait, concurrencyWait(own, inFlight, a))
	}
	return wait
}

func ownBacklog(load Load, plan string) (Backlog, int) {
	for _, b := range load.Backlogs {
		if b.Plan == plan {
			return b, b.InFlight
		}
	}
	return Backlog{}, 0
}

// concurrencyWait returns the wait caused by the plan's concurrency limit.
func concurrencyWait(own Backlog, inFlight int, a Arrival) time.Duration {
	if inFlight < a.Concurrency && own.Queued == 0 {
		return 0
	}
	return (own.Work + a.Estimate.Mean/2) / time.Duration(a.Concurrency)
}

// MayAdmit reports whether a request with the given expected wait may be
// admitted. It must get its response before its deadline in nine of ten cases,
// and its wait must not exceed 1/maxWaitDivisor of the time left. A longer
// queue would not serve more requests, but would make each straggler late and
// leave no margin for later work of plans with a larger share. If not, MayAdmit
// returns the time after which a retry may be admitted.
func MayAdmit(wait, left time.Duration, estimate TimeEstimate) (ok bool, retryAfter time.Duration) {
	needed := max(wait+estimate.P90, wait*maxWaitDivisor)
	if needed <= left {
		return true, 0
	}
	return false, min(max(needed-left, minRetryAfter), wait+minRetryAfter)
}

const (
	minRetryAfter  = 50 * time.Millisecond
	maxWaitDivisor = 4 // a request waits for at most 1/4 of the time to its deadline
)
