package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/grants"
)

// retryAfterDraining is when a request that a stopping entry rejects may be repeated:
// other entries serve it at once.
const retryAfterDraining = minRetryAfter

// stop is how far the entry has stopped. Its steps follow one another: responses close
// their connections, then new requests are rejected, then requests that wait for a
// target are. Attempts in flight are left to end by themselves.
type stop struct {
	draining  atomic.Bool
	rejecting atomic.Bool
	waits     context.Context // done once no request may wait for a target any more
	endWaits  context.CancelFunc
}

func newStop() *stop {
	s := &stop{}
	s.waits, s.endWaits = context.WithCancel(context.Background())
	return s
}

// Drain makes every response that is begun from now on close its connection, so that
// callers reconnect to other entries.
func (g *Gateway) Drain() { g.stop.draining.Store(true) }

// RejectNew rejects the requests that begin from now on: the rest of the grace period
// might be too short for them.
func (g *Gateway) RejectNew() { g.stop.rejecting.Store(true) }

// EndWaits ends all waits for a target. A request without an attempt in flight then
// gets its response: it has not run, or its last attempt failed.
func (g *Gateway) EndWaits() { g.stop.endWaits() }

// closeWhenDraining is called when the header of a response is complete: the drain may
// have begun while the request was in flight.
func (g *Gateway) closeWhenDraining(h http.Header) {
	if g.stop.draining.Load() {
		h.Set("Connection", "close")
	}
}

// rejection returns the error of a request that begins now; nil: it is served.
func (s *stop) rejection() *fault.Error {
	if !s.rejecting.Load() {
		return nil
	}
	return stoppingError()
}

func stoppingError() *fault.Error {
	return fault.New(fault.Draining, "the entry is stopping").WithRetryAfter(retryAfterDraining)
}

// errStopping is returned instead of a grant once no request may wait for one.
var errStopping = errors.New("gateway: the entry is stopping")

// acquire waits for a grant for at most maxWait, until the caller leaves or waits end.
func (e *execution) acquire(maxWait time.Duration) (*grants.Lease, error) {
	ctx, cancel := context.WithCancel(e.callerCtx)
	defer cancel()
	defer context.AfterFunc(e.g.stop.waits, cancel)()
	l, err := e.g.options.Broker.Acquire(ctx, e.req.service, e.poolRequest(), maxWait)
	if errors.Is(err, grants.ErrCanceled) && e.callerCtx.Err() == nil {
		return nil, errStopping
	}
	return l, err
}
