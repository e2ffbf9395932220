package pool

import (
	"math"
	"slices"
	"time"
)

const (
	// waitAdvantage is how much cheaper a full target must be for a request to
	// wait for it.
	waitAdvantage = 0.08
	leaseGrace    = time.Second // of a grant beyond the time left of its request
)

// grant picks the target with the lowest cost. If that one is full, the request
// waits for it rather than go to one that costs much more: a target that fails
// requests at once is always free, and would take all that the others cannot.
func (p *Pool) grant(r Request, now time.Time) (Grant, bool) {
	p.below = p.belowFloor(now)
	p.repeatableWeight = p.weighRepeatable(now)
	var best *target
	bestCost, bestRisk := 0.0, 0.0
	full := math.Inf(1) // lowest cost of a full target
	for _, t := range p.targets {
		if !t.may(r) || now.Before(t.restUntil) {
			continue
		}
		cost, risk := p.cost(t, r, now)
		switch {
		case !t.free(now):
			full = min(full, cost)
		case best == nil || cost < bestCost:
			best, bestCost, bestRisk = t, cost, risk
		}
	}
	worthWaiting := !r.Settle && bestCost > full+waitAdvantage
	if best == nil || worthWaiting || r.Repeat && !p.budget.allows(now) {
		return Grant{}, false
	}
	p.count(r, now)
	p.lastLease++
	l := &lease{target: best, request: r, started: now, expires: now.Add(r.TimeLeft + leaseGrace)}
	p.leases[p.lastLease] = l
	best.leases[p.lastLease] = l
	best.inFlight++
	best.usedAt = now
	p.granted.Inc()
	return Grant{
		Lease: p.lastLease, Target: best.record.ID, Address: best.record.Address,
		HedgeAfter: p.durations.overdue(r.Class), Risk: bestRisk,
	}, true
}

// count enters a grant into the retry budget. Requests that are refused, and ask
// again, do not count until they are granted.
func (p *Pool) count(r Request, now time.Time) {
	if r.Repeat {
		p.budget.repeat(now)
		return
	}
	p.budget.first(now)
}

// dispatch grants targets to requests that wait.
func (p *Pool) dispatch(now time.Time) {
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
		g, ok := p.grant(w.request, now)
		if ok {
			w.granted <- g
		}
		return ok
	})
}
