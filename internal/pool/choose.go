package pool

import (
	"math"
	"time"
)

const (
	// waitAdvantage is how much cheaper a full target must be than the best target
	// with capacity for a request to wait for it.
	waitAdvantage = 0.08
	// hedgeBudgetShare is the used share of the retry budget up to which requests
	// are hedged early.
	hedgeBudgetShare = 0.4
	maxLeaseTime     = time.Hour
	leaseGrace       = time.Second // lifetime of a lease beyond the deadline of its request
)

// beginLook prepares what the costs of targets for all waiting requests depend on.
func (p *Pool) beginLook(now time.Time) {
	p.looks++
	p.updateLook(now)
}

// updateLook updates what a grant changes for the other waiting requests.
func (p *Pool) updateLook(now time.Time) {
	p.floorBreached = p.belowFloor(now)
	p.retryableWeight = p.currentRetryableWeight(now)
}

// grant selects the target with the lowest cost. If that target is full, the
// request waits for it rather than use one that costs much more. A target that
// fails requests immediately always has capacity, and would otherwise receive
// all requests that exceed the capacity of the others.
func (p *Pool) grant(r Request, now time.Time) (Grant, bool) {
	expected := p.work.Predict(r.workRequest())
	var best *target
	bestCost, bestRisk := 0.0, 0.0
	full := math.Inf(1) // lowest cost among full targets
	for _, t := range p.targets {
		if !t.isEligible(r, now) || now.Before(t.backoffUntil) {
			continue
		}
		cost, risk := p.cost(t, r, expected, now)
		switch {
		case !t.hasCapacity(now):
			full = min(full, cost)
		case best == nil || cost < bestCost:
			best, bestCost, bestRisk = t, cost, risk
		}
	}
	worthWaiting := !r.AcceptAny && bestCost > full+waitAdvantage
	if best == nil || worthWaiting || r.IsRetry && !p.budget.allows(now, r.SlackShare) {
		return Grant{}, false
	}
	p.countGrant(r, now)
	p.lastLeaseID++
	l := &lease{
		id: p.lastLeaseID, target: best, request: r, started: now, expires: now.Add(r.LeaseTime()),
		cost: expected, slowness: best.slowness(now), wait: p.waitAt(best, now),
	}
	if best.hasFreeSlot(now) {
		l.runsSince = now
	}
	p.leases[p.lastLeaseID] = l
	best.leases[p.lastLeaseID] = l
	best.inFlight++
	best.lastGrantAt = now
	p.granted.Inc()
	best.risk.look, best.wait.look = 0, 0
	p.updateLook(now)
	return Grant{
		LeaseID: p.lastLeaseID, Target: best.record.ID, Address: best.record.Address,
		HedgeDelay: p.hedgeDelay(l, now), Risk: bestRisk, RunTime: scale(expected.RunTime, l.slowness),
	}, true
}

// hedgeDelay returns the time after which a granted request should be hedged. The
// expected wait for a slot of its target is no delay of the response.
func (p *Pool) hedgeDelay(l *lease, now time.Time) time.Duration {
	plentiful := p.budget.spentShare(now) < hedgeBudgetShare
	delay := p.durations.hedgeDelayOf(l.request.Route, l.cost.Factor, plentiful)
	if p.cfg.Settings.UniformCost {
		return delay // the durations include the wait
	}
	return delay + time.Duration(l.wait)
}

// countGrant records a grant in the retry budget. A rejected request that asks
// again is counted only once, when it is granted.
func (p *Pool) countGrant(r Request, now time.Time) {
	if r.IsRetry {
		p.budget.recordRetry(now)
		return
	}
	p.budget.recordFirst(now)
}
