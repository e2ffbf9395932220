package pool

import (
	"math"
	"time"

	"github.com/samber/lo"
)

const (
	shedBackoff    = 150 * time.Millisecond // no requests for this long after a shed request
	connectBackoff = 400 * time.Millisecond // no requests for this long after a failed connection
	// misdirectedTime is how long a target gets no requests after a different one has
	// responded at its address. The record of a target that is gone is replaced soon.
	misdirectedTime     = 5 * time.Second
	durationRatioWeight = 0.25 // weight of a new ratio in the moving average
	maxDurationRatio    = 8.0  // so that one very long response does not count for more
)

// Release ends a grant and records its outcome. A second call has no effect.
func (p *Pool) Release(id uint64, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	l, ok := p.leases[id]
	if !ok {
		return
	}
	ran := o.Took
	if !p.cfg.Settings.UniformCost {
		ran = l.runTimeOf(o.Took)
	}
	p.removeLease(id, l)
	p.observe(l.target, l.request, o, ran, now)
	p.dispatch(now)
}

// Observe records the outcome of an attempt that another pool granted.
func (p *Pool) Observe(targetID string, r Request, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	for _, t := range p.targets {
		if t.record.ID == targetID {
			o.Leaving = false // it may concern an earlier incarnation
			p.observe(t, r, o, observedRunTime(t, o), now)
			return
		}
	}
}

// observe records the outcome of an attempt on which the target worked for ran.
func (p *Pool) observe(t *target, r Request, o Outcome, ran time.Duration, now time.Time) {
	switch o.Kind {
	case OK:
		p.learnCost(t, r, ran, o.Bytes, now)
	case Shed, Postponed:
		t.backoffUntil = now.Add(shedBackoff)
	case Failed, Reset, Timeout, InvalidResponse:
		t.lastFailureAt = now
	case ConnectFailed:
		t.lastFailureAt = now
		t.backoffUntil = now.Add(connectBackoff)
	case Misdirected:
		t.misdirectedUntil = now.Add(misdirectedTime)
	}
	if o.Leaving && !t.leaving {
		p.setLeaving(t)
	}
	if o.Load != nil {
		t.otherRequests = max(o.Load.Running+o.Load.Waiting-1-t.inFlight, 0) // the request of this response counts as running
		t.otherRequestsAt = now
	}
	if o.Kind == Shed && t.inFlight >= t.record.Slots {
		return // rejecting at full slots is no evidence of a fault
	}
	before := p.failingProbability(t, now)
	t.estimate.observe(o.Kind, now, p.failingShare.value, &p.weights)
	if after := p.failingProbability(t, now); math.Abs(after-before) > notableChange && p.cfg.OnNotableChange != nil {
		p.cfg.OnNotableChange(Change{Target: t.record.ID, Request: r.ID, Outcome: o.Kind, Before: before, After: after})
	}
	p.failingShare.update(lo.Map(p.targets, func(t *target, _ int) estimate { return t.estimate }), &p.weights, now)
}

// failingProbability returns the probability that the target is in the failing
// state.
func (p *Pool) failingProbability(t *target, now time.Time) float64 {
	return p.weights.mean(t.estimate.probabilitiesAt(now, p.failingShare.value))
}

func (p *Pool) removeLease(id uint64, l *lease) {
	delete(p.leases, id)
	delete(l.target.leases, id)
	l.target.inFlight--
	l.target.startQueued(p.cfg.Clock.Now())
}

// expireLeases removes leases whose sender did not report an outcome in time.
func (p *Pool) expireLeases(now time.Time) {
	for id, l := range p.leases {
		if now.After(l.expires) {
			p.removeLease(id, l)
		}
	}
}

// DropGrants ends the grants of senders for which gone returns true, since their
// requests ended with them. Outcomes reported later have no effect.
func (p *Pool) DropGrants(gone func(Sender) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.leases {
		if gone(l.request.Sender) {
			p.removeLease(id, l)
		}
	}
	p.dispatch(p.cfg.Clock.Now())
}
