package pool

import (
	"math"
	"time"

	"github.com/sequoialane/sequoialane/internal/workload"
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

// choice is the target that a request should get.
type choice struct {
	target   *target // nil: the request waits
	risk     float64
	expected workload.Cost
}

// choose selects the target with the lowest cost. If that target is full, the
// request waits for it rather than use one that costs much more. A target that
// fails requests immediately always has capacity, and would otherwise receive
// all requests that exceed the capacity of the others. It reserves nothing; see, if
// set, is called with the costs of each target that is compared.
func (p *Pool) choose(r Request, now time.Time, see func(*target, costs, float64)) choice {
	c := choice{expected: p.work.Predict(r.workRequest())}
	bestCost := 0.0
	full := math.Inf(1) // lowest cost among full targets
	for _, t := range p.targets {
		if !t.isEligible(r, now) || now.Before(t.backoffUntil) {
			continue
		}
		parts, risk := p.costsAt(t, r, c.expected, now)
		if see != nil {
			see(t, parts, risk)
		}
		switch cost := parts.total(); {
		case !t.assessment.hasCapacity:
			full = min(full, cost)
		case c.target == nil || cost < bestCost:
			c.target, bestCost, c.risk = t, cost, risk
		}
	}
	worthWaiting := !r.AcceptAny && bestCost > full+waitAdvantage
	if worthWaiting || r.IsRetry && !p.credit.allows(now) {
		c.target = nil
	}
	return c
}

// grant grants the request the chosen target, if there is one now.
func (p *Pool) grant(r Request, now time.Time) (Grant, bool) {
	chosen := p.choose(r, now, nil)
	best := chosen.target
	if best == nil {
		return Grant{}, false
	}
	seen := *p.assess(best, now)
	p.countGrant(r, now)
	p.shares.charge(r.Tenant, r.weight(), chosen.expected.RunTime.Seconds())
	p.lastLeaseID++
	l := &lease{
		id: p.lastLeaseID, target: best, request: r, started: now, expires: now.Add(r.LeaseTime()),
		cost: chosen.expected, route: p.work.KeepRoute(r.Route), slowness: seen.slowness, wait: seen.wait,
	}
	if seen.occupancy < seen.slots {
		l.runsSince = now
	}
	p.leases[p.lastLeaseID] = l
	best.leases[p.lastLeaseID] = l
	best.inFlight++
	best.lastGrantAt = now
	p.granted.Inc()
	best.assessment.look = 0
	p.updateLook(now)
	return Grant{
		LeaseID: p.lastLeaseID, Target: best.record.ID, Address: best.record.Address,
		HedgeDelay: p.hedgeDelay(l, now), Risk: chosen.risk, RunTime: scale(chosen.expected.RunTime, l.slowness),
	}, true
}

// hedgeDelay returns the time after which a granted request should be hedged. The
// expected wait for a slot of its target is no delay of the response.
func (p *Pool) hedgeDelay(l *lease, now time.Time) time.Duration {
	plentiful := p.credit.spentShare(now) < hedgeBudgetShare
	delay := p.durations.hedgeDelayOf(l.request.Route, l.cost.Factor, plentiful)
	if p.cfg.Settings.UniformCost {
		return delay // the durations include the wait
	}
	return delay + time.Duration(l.wait)
}

// countGrant records a grant in the retry credit. A request earns credit once, with its
// first grant.
func (p *Pool) countGrant(r Request, now time.Time) {
	switch {
	case r.IsRetry:
		p.credit.recordRetry(now)
	case !r.Charged:
		p.credit.recordFirst(now)
	}
}
