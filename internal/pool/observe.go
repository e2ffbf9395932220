package pool

import (
	"math"
	"time"

	"github.com/samber/lo"
)

const (
	shedRest     = 150 * time.Millisecond // a target that shed a request gets none for this long
	connectRest  = 400 * time.Millisecond // the same after a failed connection
	slownessStep = 0.25                   // weight of a new duration against the usual one
)

// Release ends a grant and takes in its outcome. A second call has no effect.
func (p *Pool) Release(id uint64, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	l, ok := p.leases[id]
	if !ok {
		return
	}
	p.drop(id, l)
	p.observe(l.target, l.request, o, now)
	p.dispatch(now)
}

// Observe takes in the outcome of an attempt that another pool granted.
func (p *Pool) Observe(targetID string, r Request, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	for _, t := range p.targets {
		if t.record.ID == targetID {
			p.observe(t, r, o, now)
			return
		}
	}
}

func (p *Pool) observe(t *target, r Request, o Outcome, now time.Time) {
	switch o.Kind {
	case OK:
		p.learnDuration(t, r, o.Took)
	case Shed:
		t.restUntil = now.Add(shedRest)
	case Failed, Reset, NoAnswer, Broken:
		t.failedAt = now
	case ConnectFailed:
		t.failedAt = now
		t.restUntil = now.Add(connectRest)
	case Misdirected:
		t.elsewhere = true
	}
	if o.Load != nil {
		t.others = max(o.Load.Running+o.Load.Waiting-1-t.inFlight, 0) // the answered request counts as running
		t.othersAt = now
	}
	if o.Kind == Shed && t.inFlight >= t.record.Slots {
		return // it is full, which says nothing about its health
	}
	before := p.bad(t, now)
	t.estimate.observe(o.Kind, now, p.share.value, &p.weights)
	if after := p.bad(t, now); math.Abs(after-before) > notable && p.cfg.Notable != nil {
		p.cfg.Notable(Change{Target: t.record.ID, Request: r.ID, Outcome: o.Kind, Before: before, After: after})
	}
	p.share.update(lo.Map(p.targets, func(t *target, _ int) estimate { return t.estimate }), &p.weights, now)
}

// bad returns the chance that the target is in a spell of failure.
func (p *Pool) bad(t *target, now time.Time) float64 {
	return p.weights.mean(t.estimate.now(now, p.share.value))
}

func (p *Pool) learnDuration(t *target, r Request, took time.Duration) {
	ratio := float64(took) / float64(p.durations.mean(r.Class))
	if t.ratio == 0 {
		t.ratio = 1
	}
	t.ratio += slownessStep * (min(ratio, 8) - t.ratio)
	p.durations.learn(r.Class, took)
}

func (p *Pool) drop(id uint64, l *lease) {
	delete(p.leases, id)
	delete(l.target.leases, id)
	l.target.inFlight--
}

// expireLeases drops grants whose sender does not answer any more.
func (p *Pool) expireLeases(now time.Time) {
	for id, l := range p.leases {
		if now.After(l.expires) {
			p.drop(id, l)
		}
	}
}

// DropGrants ends the grants of senders that are gone, whose requests ended with
// them. Outcomes that they report later have no effect.
func (p *Pool) DropGrants(gone func(Sender) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.leases {
		if gone(l.request.Sender) {
			p.drop(id, l)
		}
	}
	p.dispatch(p.cfg.Clock.Now())
}
