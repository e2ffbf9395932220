package pool

import (
	"slices"
	"time"
)

// maxRecheckInterval is how long a request waits at most before the targets are
// looked at again: estimates, loads and costs change with time alone.
const maxRecheckInterval = 50 * time.Millisecond

// wake is the next time at which the waiting requests are looked at although no
// outcome arrives.
type wake struct {
	at   time.Time // zero: not scheduled
	stop func() bool
}

// dispatch grants targets to waiting requests, in queue order.
func (p *Pool) dispatch(now time.Time) {
	p.expireLeases(now)
	if p.hasFreeTarget(now) {
		p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
			g, ok := p.grant(w.request, now)
			if ok {
				w.granted <- g
			}
			return ok
		})
	}
	p.scheduleWake(now)
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
