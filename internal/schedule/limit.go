package schedule

import "time"

// Parameters of target limits.
const (
	coldDivisor  = 4 // a cold target starts with 1/4 of its slots, at least 1
	shedFactor   = 0.7
	shedRest     = 100 * time.Millisecond // no work after a shed answer on the last slot, doubled each time
	maxShedRest  = 2 * time.Second
	shedRecovery = time.Second // no growth after a shed answer
)

// Limit is the number of slots of a target that may be used. It grows with
// each good answer after a cold start, and follows shed answers down.
type Limit struct {
	value     float64
	streak    int // shed answers in a row at the lowest limit
	restUntil time.Time
	growFrom  time.Time
}

// Start sets the limit of a target that starts: all slots if it is warm.
func (l *Limit) Start(slots int, warm bool) {
	*l = Limit{value: float64(slots)}
	if !warm {
		l.value = max(1, float64(slots)/coldDivisor)
	}
}

// Good takes in a good answer.
func (l *Limit) Good(slots int, now time.Time) {
	l.streak = 0
	if !now.Before(l.growFrom) {
		l.value = min(l.value+1, float64(slots))
	}
}

// Shed takes in a shed answer that came while inFlight attempts were running,
// this one included.
func (l *Limit) Shed(inFlight int, now time.Time) {
	l.value = max(1, min(l.value, float64(inFlight))*shedFactor)
	l.growFrom = now.Add(shedRecovery)
	if inFlight > 1 {
		return
	}
	rest := min(shedRest<<min(l.streak, 10), maxShedRest)
	l.restUntil = now.Add(rest)
	l.streak++
}

// Slots returns how many slots may be used now.
func (l *Limit) Slots(slots int, now time.Time) int {
	if now.Before(l.restUntil) {
		return 0
	}
	return min(max(int(l.value), 1), slots)
}
