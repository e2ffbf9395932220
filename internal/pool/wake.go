package pool

import (
	"slices"
	"time"
)

// maxRecheckInterval is how long a request waits at most before the targets are
// looked at again: estimates, loads and costs change with time alone.
const maxRecheckInterval = 50 * time.Millisecond

// maxRefusals is the number of waiting requests in a row that find no target good
// enough after which the others are not looked at, except once in
// maxRecheckInterval. It bounds the work for each event while many requests wait
// beside a target that is free because it fails.
const maxRefusals = 16

// wake is the next time at which the waiting requests are looked at although no
// outcome arrives.
type wake struct {
	at   time.Time // zero: not scheduled
	stop func() bool
}

// dispatch grants targets to waiting requests, in queue order.
func (p *Pool) dispatch(now time.Time) {
	p.expireLeases(now)
	if len(p.waiters) > 0 && p.hasFreeTarget(now) {
		p.look(now)
	}
	p.scheduleWake(now)
}

// look offers the free targets to the waiting requests: to all of them once in
// maxRecheckInterval, and otherwise until maxRefusals in a row take none.
func (p *Pool) look(now time.Time) {
	limit := maxRefusals
	if now.Sub(p.lookedAtAll) >= maxRecheckInterval {
		p.lookedAtAll = now
		limit = len(p.waiters)
	}
	p.beginLook(now)
	p.shares.prune()
	if p.shares.order(p.waiters) {
		p.reordered.Inc()
	}
	refusals := 0
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
		if refusals >= limit {
			return false
		}
		refusals++
		granted := p.offer(w, now)
		if granted {
			refusals = 0
		}
		return granted
	})
}

// offer grants the waiting request a target if there is one for it now.
func (p *Pool) offer(w *waiter, now time.Time) bool {
	g, ok := p.grant(w.request, now)
	if ok {
		w.granted <- g
	}
	return ok
}

func (p *Pool) hasFreeTarget(now time.Time) bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool { return t.hasCapacity(now) })
}

// scheduleWake schedules the next look at the waiting requests, or cancels it if
// there are none.
func (p *Pool) scheduleWake(now time.Time) {
	if len(p.waiters) == 0 {
		p.cancelWake()
		return
	}
	next := p.nextChange(now)
	if p.wake.at.After(now) && !next.Before(p.wake.at) {
		return
	}
	p.cancelWake()
	p.wake = wake{at: next, stop: p.cfg.AfterFunc(next.Sub(now), p.wakeUp)}
}

func (p *Pool) cancelWake() {
	if p.wake.stop != nil {
		p.wake.stop()
	}
	p.wake = wake{}
}

func (p *Pool) wakeUp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake = wake{}
	p.dispatch(p.cfg.Clock.Now())
}

// nextChange returns when a condition that holds back waiting requests may end by
// time alone: a backoff, a lease, or at the latest the recheck interval.
func (p *Pool) nextChange(now time.Time) time.Time {
	next := now.Add(maxRecheckInterval)
	if due := p.lookedAtAll.Add(maxRecheckInterval); due.After(now) {
		next = due
	}
	earlier := func(at time.Time) {
		if at.After(now) && at.Before(next) {
			next = at
		}
	}
	for _, t := range p.targets {
		earlier(t.backoffUntil)
	}
	for _, l := range p.leases {
		earlier(l.expires)
	}
	return next
}
