package pool

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/workload"
)

// minRemaining is the least remaining run time of a request that is expected, in
// nanoseconds.
const minRemaining = float64(time.Millisecond)

// minRunShare bounds the run time that is left of an attempt after its wait, as a share
// of what was expected. The outcome that ended the wait may have been reported late.
const minRunShare = 0.25

// usualSlownessAge is how long the slowness of a target counts for what is usual in the
// service.
const usualSlownessAge = time.Minute

// workRequest returns the properties of a request that its cost is predicted from.
func (r Request) workRequest() workload.Request {
	return workload.Request{Route: r.Route, Tenant: r.Tenant, Bytes: r.Bytes, Path: r.Path}
}

// waitAt returns the nanoseconds that a further request is expected to wait for a slot of
// the target, given the remaining work there. Slots become free at the sum of the rates at
// which the running requests end; a further request gets one after those
// that queue before it. Requests of other pools are taken for ones of the service that
// have just begun.
func (p *Pool) waitAt(t *target, now time.Time) float64 {
	slots := float64(max(t.record.Slots, 1))
	queued := t.occupancy(now) + 1 - slots
	if queued <= 0 {
		return 0
	}
	slowness := t.slowness(now)
	mean := p.meanWork(slowness)
	running := t.occupancy(now) - float64(t.inFlight)
	rate := running / mean
	for _, l := range t.leases {
		if !l.runsSince.IsZero() {
			running++
			rate += 1 / l.remaining(slowness, now)
		}
	}
	if rate == 0 {
		return queued * mean / slots
	}
	return queued / (rate * min(1, slots/running))
}

// remainingWork returns the nanoseconds of slot time that the requests at a target are
// expected to take still.
func (p *Pool) remainingWork(t *target, now time.Time) float64 {
	slowness := t.slowness(now)
	work := (t.occupancy(now) - float64(t.inFlight)) * p.meanWork(slowness)
	for _, l := range t.leases {
		work += l.remaining(slowness, now)
	}
	return work
}

// meanWork returns the mean run time of the requests of the service on a target, in
// nanoseconds.
func (p *Pool) meanWork(slowness float64) float64 {
	return max(float64(p.work.Service().Mean())*slowness, minRemaining)
}

// remaining returns the expected remaining run time of a granted request in
// nanoseconds.
func (l *lease) remaining(slowness float64, now time.Time) float64 {
	if l.runsSince.IsZero() {
		return max(float64(l.cost.RunTime)*slowness, minRemaining)
	}
	pace := l.cost.Factor * slowness
	left := l.route.Remaining(scale(now.Sub(l.runsSince), 1/pace))
	return max(float64(left)*pace, minRemaining)
}

// startQueued marks the requests of this pool as running that have got a slot of
// the target because another one has ended. Targets run requests in their order.
func (t *target) startQueued(now time.Time) {
	running := t.occupancy(now) - float64(t.inFlight)
	for _, l := range t.leases {
		if !l.runsSince.IsZero() {
			running++
		}
	}
	for running < float64(max(t.record.Slots, 1)) {
		var next *lease
		for _, l := range t.leases {
			if l.runsSince.IsZero() && (next == nil || l.id < next.id) {
				next = l
			}
		}
		if next == nil {
			return
		}
		next.runsSince = now
		running++
	}
}

// runTimeOf returns for how long the target has worked on a request that took the
// time in all: without its wait for a slot.
func (l *lease) runTimeOf(took time.Duration) time.Duration {
	expected := float64(l.cost.RunTime) * l.slowness
	usual := scale(took, expected/max(expected+l.wait, 1))
	if l.runsSince.IsZero() { // other pools held the slots, so the end of the wait was not seen
		return usual
	}
	return max(took-l.runsSince.Sub(l.started), scale(usual, minRunShare))
}

// observedRunTime returns the run time of a request that another pool granted. Of
// its wait only the load that its target reported is known.
func observedRunTime(t *target, o Outcome) time.Duration {
	if o.Load == nil {
		return o.Took
	}
	return scale(o.Took, 1/(1+max(float64(o.Load.Waiting), 0)/float64(max(t.record.Slots, 1))))
}

// usualSlowness returns the median slowness of the targets that were measured lately.
// Where all of them have become slower, the requests have become longer. Targets that
// get no requests, such as those of other regions, would hold the median at 1, and the
// run times at what was assumed before the first response.
func (p *Pool) usualSlowness(now time.Time) float64 {
	measured := lo.FilterMap(p.targets, func(t *target, _ int) (float64, bool) {
		return t.measuredSlowness(now), t.durationRatio != 0 && now.Sub(t.durationRatioAt) < usualSlownessAge
	})
	if len(measured) == 0 {
		return 1
	}
	slices.Sort(measured)
	return max(measured[(len(measured)-1)/2], 1/maxDurationRatio)
}

// learnCost learns the run time and the response bytes of a successful request, and
// the speed of its target. Each is corrected by what is known of the other. The
// figures come from another process and may be malformed.
func (p *Pool) learnCost(t *target, r Request, ran time.Duration, bytes int64, now time.Time) {
	ran = min(max(ran, 0), maxLeaseTime)
	slowness := 1.0
	if !p.cfg.Settings.UniformCost {
		slowness = t.measuredSlowness(now) / p.usualSlowness(now) // that of a cold target is assumed
	}
	expected := p.work.Predict(r.workRequest())
	ratio := min(float64(ran)/float64(max(expected.RunTime, 1)), maxDurationRatio)
	p.workload.observe(ran, expected, slowness)
	previous := t.measuredSlowness(now)
	t.durationRatio = previous + durationRatioWeight*(ratio-previous)
	t.durationRatioAt = now
	p.work.Learn(workload.Observation{Request: r.workRequest(), RunTime: ran, Slowness: slowness, Body: bytes})
	p.workload.count(p.work)
}
