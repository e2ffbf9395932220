package pool

import (
	"maps"
	"slices"
	"time"
)

// withdrawnMemory is how long a withdrawn call is remembered that has not arrived
// yet. A paused process may read it after its withdrawal.
const withdrawnMemory = 15 * time.Second

// callKey identifies a call for a grant.
type callKey struct {
	sender Sender
	call   uint64
}

func (r Request) callKey() callKey { return callKey{r.Sender, r.Call} }

// Withdraw ends what a call for a grant has led to: its sender does not know the
// result and will not use it. A grant ends, a waiting request leaves the queue, and
// a call that arrives later is rejected.
func (p *Pool) Withdraw(sender Sender, call uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	key := callKey{sender, call}
	if p.endCall(key) {
		p.dispatch(now)
		return
	}
	maps.DeleteFunc(p.withdrawn, func(_ callKey, until time.Time) bool { return now.After(until) })
	p.withdrawn[key] = now.Add(withdrawnMemory)
}

// endCall ends the grant or the wait of a call. It returns false if there is none.
func (p *Pool) endCall(key callKey) bool {
	for id, l := range p.leases {
		if l.request.callKey() == key {
			p.removeLease(id, l)
			return true
		}
	}
	waiting := len(p.waiters)
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool { return w.request.callKey() == key })
	return len(p.waiters) < waiting
}

// takeWithdrawn reports whether the call of the request was withdrawn before it
// arrived, and forgets that.
func (p *Pool) takeWithdrawn(r Request, now time.Time) bool {
	until, ok := p.withdrawn[r.callKey()]
	delete(p.withdrawn, r.callKey())
	return ok && !now.After(until)
}
