package pool

import (
	"math"
	"slices"
	"time"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
)

const (
	queuePerTarget = 1   // requests that may wait at a target beyond its slots
	coldSlowness   = 2.0 // of a target that has just started
	// loadMemory is the time in which knowledge of the requests of other pools
	// fades.
	loadMemory = 300 * time.Millisecond
)

// target is what the pool knows of a target beyond its record.
type target struct {
	record    fleetstate.Target
	region    string
	home      bool // in the region of the pool
	estimate  estimate
	others    int       // requests of other pools at the target, when it last told
	othersAt  time.Time // zero: it did not tell
	inFlight  int
	usedAt    time.Time // last grant
	failedAt  time.Time // last failure
	leases    map[uint64]*lease
	ratio     float64 // of its durations to the usual ones; 0: none known
	restUntil time.Time
	coldUntil time.Time
	elsewhere bool // another target answers at its address
}

// may reports whether the request may ever go to the target.
func (t *target) may(r Request) bool {
	return !t.elsewhere && !slices.Contains(r.Tried, t.record.ID)
}

// free reports whether the target can take a request now.
func (t *target) free(now time.Time) bool {
	return t.occupied(now) < float64(t.record.Slots+queuePerTarget) && !now.Before(t.restUntil)
}

// occupied returns the requests at the target: those of this pool, and those of
// others as far as the target told lately.
func (t *target) occupied(now time.Time) float64 {
	own := float64(t.inFlight)
	if t.othersAt.IsZero() {
		return own
	}
	return own + float64(t.others)*math.Exp(-now.Sub(t.othersAt).Seconds()/loadMemory.Seconds())
}

// slowness returns the ratio of the target's durations to the usual ones.
func (t *target) slowness(now time.Time) float64 {
	ratio := t.ratio
	if ratio == 0 {
		ratio = 1
	}
	if now.Before(t.coldUntil) {
		ratio = max(ratio, coldSlowness)
	}
	return ratio
}
