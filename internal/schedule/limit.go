package schedule

import "time"

// Parameters of the concurrency limits of targets.
const (
	coldDivisor    = 4                      // a cold target starts with 1/4 of its slots, at least 1
	shedFactor     = 0.7                    // the limit is multiplied by this after a shed response
	shedBackoff    = 100 * time.Millisecond // no requests for this long after a shed response with one request in flight; doubled each time
	maxShedBackoff = 2 * time.Second
	growthPause    = time.Second // no growth after a shed response
)

// Limit is the number of slots of a target that may be used. It starts low on a
// cold target, grows with each good response, and is reduced by shed responses.
type Limit struct {
	value            float64
	consecutiveSheds int // with one request in flight
	backoffUntil     time.Time
	growAfter        time.Time
}

// Start sets the limit for a started target: all slots if it is warm.
func (l *Limit) Start(slots int, warm bool) {
	*l = Limit{value: float64(slots)}
	if !warm {
		l.value = max(1, float64(slots)/coldDivisor)
	}
}

// RecordSuccess records a good response.
func (l *Limit) RecordSuccess(slots int, now time.Time) {
	l.consecutiveSheds = 0
	if !now.Before(l.growAfter) {
		l.value = min(l.value+1, float64(slots))
	}
}

// RecordShed records a shed response received while inFlight attempts were
// running, including this one.
func (l *Limit) RecordShed(inFlight int, now time.Time) {
	l.value = max(1, min(l.value, float64(inFlight))*shedFactor)
	l.growAfter = now.Add(growthPause)
	if inFlight > 1 {
		return
	}
	backoff := min(shedBackoff<<min(l.consecutiveSheds, 10), maxShedBackoff)
	l.backoffUntil = now.Add(backoff)
	l.consecutiveSheds++
}

// Slots returns how many of the target's slots may be used now.
func (l *Limit) Slots(slots int, now time.Time) int {
	if now.Before(l.backoffUntil) {
		return 0
	}
	return min(max(int(l.value), 1), slots)
}
