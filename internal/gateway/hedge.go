package gateway

import (
	"context"
	"time"

	"github.com/sequoialane/sequoialane/internal/grants"
	"github.com/sequoialane/sequoialane/internal/pool"
)

// maxHedgeWait is how long a hedge may wait for a grant at an owner that responds.
const maxHedgeWait = 20 * time.Millisecond

// hedge is the state of the further attempt of an idempotent request whose attempt
// in flight takes long.
type hedge struct {
	delay   time.Duration      // before a hedge is tried, and before it is tried again; 0: no hedge
	timer   <-chan time.Time   // nil: none is scheduled
	granted chan hedgeGrant    // capacity 1; nil: no grant is being requested
	cancel  context.CancelFunc // ends the request for a grant
}

// hedgeGrant is the result of a request for the grant of a hedge.
type hedgeGrant struct {
	lease *grants.Lease
	err   error
}

// scheduleHedge schedules a hedge after the delay, unless one is scheduled or being
// requested already, or the request is not to be hedged.
func (e *execution) scheduleHedge(delay time.Duration) {
	h := &e.hedge
	if h.delay > 0 && h.timer == nil && h.granted == nil {
		h.timer = e.g.options.Clock.After(delay)
	}
}

// requestHedge requests a grant for a hedge in the background. An owner that does
// not respond would hold back a response that arrives meanwhile.
func (e *execution) requestHedge() {
	if !e.mayRetry() || e.grants >= maxGrants {
		return
	}
	ctx, cancel := context.WithCancel(e.callerCtx)
	granted := make(chan hedgeGrant, 1)
	e.hedge.granted, e.hedge.cancel = granted, cancel
	r := e.poolRequest()
	go func() {
		l, err := e.g.options.Broker.Acquire(ctx, e.req.service, r, maxHedgeWait)
		granted <- hedgeGrant{lease: l, err: err}
	}()
}

// handleHedgeGrant starts the hedge. Without a usable grant the attempt in flight
// continues alone and a hedge is tried again later; if that attempt has ended
// meanwhile, the request is retried. It returns the result of the request and true
// if there is one.
func (e *execution) handleHedgeGrant(g hedgeGrant) (result, bool) {
	e.hedge.cancel()
	e.hedge.granted = nil
	if g.err == nil && e.mayRetry() {
		if e.useGrant(g.lease) {
			return result{}, false
		}
	} else if g.err == nil {
		g.lease.Release(pool.Outcome{Kind: pool.Unsent})
	}
	if e.inFlight == 0 {
		return e.retryOrFail(e.lastEnd)
	}
	e.scheduleHedge(e.hedge.delay)
	return result{}, false
}

// abandon ends a request for a grant and gives back what it is granted.
func (h *hedge) abandon() {
	if h.granted == nil {
		return
	}
	h.cancel()
	go func() {
		if g := <-h.granted; g.lease != nil {
			g.lease.Release(pool.Outcome{Kind: pool.Unsent})
		}
	}()
}
