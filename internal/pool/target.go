package pool

import (
	"math"
	"slices"
	"time"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
)

const (
	queuePerTarget = 1   // requests that may queue at a target beyond its slots
	coldSlowness   = 2.0 // assumed duration ratio of a target that has just started
	// loadDecayTime is the time constant with which the reported number of requests
	// from other pools decays.
	loadDecayTime = 300 * time.Millisecond
	// slownessDecayTime is the time constant with which the measured slowness of a
	// target decays: while others suffice, a slow target gets no requests that would
	// show that it has recovered.
	slownessDecayTime = 10 * time.Second
)

// target is the state that the pool keeps of a target.
type target struct {
	record           fleetstate.Target
	region           string
	inOwnRegion      bool // is in the region of the pool
	estimate         estimate
	otherRequests    int       // requests of other pools at the last load report
	otherRequestsAt  time.Time // time of that report; zero: none
	inFlight         int
	lastGrantAt      time.Time
	lastFailureAt    time.Time
	leases           map[uint64]*lease
	durationRatio    float64   // moving average of run time to expected run time; 0: unknown
	durationRatioAt  time.Time // time of the last change of durationRatio
	assessment       assessment
	backoffUntil     time.Time
	coldUntil        time.Time
	leaving          bool      // it has said in a response that it is about to stop
	misdirectedUntil time.Time // a different target has responded at its address; until then it is taken to be gone
}

// isMisdirected reports whether a different target has recently responded at the
// address.
func (t *target) isMisdirected(now time.Time) bool { return now.Before(t.misdirectedUntil) }

// isEligible reports whether the request may be sent to the target, now or once it
// has capacity.
func (t *target) isEligible(r Request, now time.Time) bool {
	return !t.isMisdirected(now) && !t.leaving && !slices.Contains(r.Tried, t.record.ID) && !slices.Contains(r.Avoid, t.record.ID)
}

// hasCapacity reports whether the target can take a request now.
func (t *target) hasCapacity(now time.Time) bool {
	return t.occupancy(now) < float64(t.record.Slots+queuePerTarget) && !now.Before(t.backoffUntil)
}

// occupancy returns the number of requests at the target: those of this pool, and
// those of other pools by its last load report, decayed by age.
func (t *target) occupancy(now time.Time) float64 {
	own := float64(t.inFlight)
	if t.otherRequestsAt.IsZero() {
		return own
	}
	return own + float64(t.otherRequests)*math.Exp(-now.Sub(t.otherRequestsAt).Seconds()/loadDecayTime.Seconds())
}

// slowness returns the expected ratio of the target's run times to those expected
// of a target of usual speed.
func (t *target) slowness(now time.Time) float64 {
	ratio := t.measuredSlowness(now)
	if now.Before(t.coldUntil) {
		ratio = max(ratio, coldSlowness)
	}
	return ratio
}

// speed returns the inverse of the slowness.
func (t *target) speed(now time.Time) float64 { return 1 / max(t.slowness(now), 1/maxDurationRatio) }

// measuredSlowness returns the moving average of the ratio of run times to expected
// ones, decayed towards 1 by its age if the target was slow.
func (t *target) measuredSlowness(now time.Time) float64 {
	switch {
	case t.durationRatio == 0:
		return 1
	case t.durationRatio <= 1:
		return t.durationRatio
	}
	age := now.Sub(t.durationRatioAt)
	return 1 + (t.durationRatio-1)*math.Exp(-age.Seconds()/slownessDecayTime.Seconds())
}
