package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/quota"
)

// An entry that has just started has no copy of the fleet state. After a loss of power
// of the whole fleet all entries are in this state for the second or two that control
// needs to elect a leader, and callers that do not retry would lose every request. Until
// then members may serve an old copy with a routing document and no targets. So a request
// waits for routes and for a target of its service, within these bounds.
const (
	// maxStartupWait bounds each of the two waits.
	maxStartupWait = 2500 * time.Millisecond
	// startupWaitShare is the share of the time that the caller states that a wait may
	// take. The rest is left for running the request.
	startupWaitShare = 0.4
	// startupPeriod is the time after the start of the process in which requests wait.
	// If there is no copy by then, control is out of reach, and more requests are
	// rejected at once.
	startupPeriod = 5 * time.Second
	// maxStartupWaiters bounds the requests that wait, and with them their memory.
	maxStartupWaiters = 512
)

// awaitRoutes waits for a view with routes if there is none yet. If the routing
// document has tenants, it waits for the proof that the view is recent, too.
func (g *Gateway) awaitRoutes(r *http.Request) {
	g.awaitView(r, func(v *fleetview.View) bool {
		return v.Routes != nil && (len(v.Routes.Document.Tenants) == 0 || g.isConfirmed())
	})
}

// awaitTargets waits for a view with a usable target of the service if there is none
// yet.
func (g *Gateway) awaitTargets(r *http.Request, service string) {
	g.awaitView(r, func(v *fleetview.View) bool { return len(v.UsableTargets(service)) > 0 })
}

func (g *Gateway) awaitView(r *http.Request, suffices func(*fleetview.View) bool) {
	if suffices(g.options.View()) || g.options.ViewChanged == nil || !g.isStarting() {
		return
	}
	defer g.startupWaiters.Add(-1)
	if g.startupWaiters.Add(1) > maxStartupWaiters {
		return
	}
	g.startupWaits.Inc()
	ctx, cancel := context.WithTimeout(r.Context(), g.startupWait(r))
	defer cancel()
	defer context.AfterFunc(g.stop.waits, cancel)()
	for {
		changed := g.options.ViewChanged() // before the view is loaded, so that no change is missed
		if suffices(g.options.View()) {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// isStarting reports whether the process has started lately.
func (g *Gateway) isStarting() bool { return g.options.Clock.Now().Sub(g.started) <= startupPeriod }

// awaitCredit waits until the request may be repeated if its tenant has no credit and
// the process has started lately. After a restart of all entries the buckets of tenants
// are empty, and the requests that arrived meanwhile come all at once. It returns false
// if the request should be rejected.
func (e *execution) awaitCredit(err error, limit time.Time) bool {
	var exceeded *quota.ExceededError
	if !errors.As(err, &exceeded) || !e.g.isStarting() {
		return false
	}
	clock := e.g.options.Clock
	wait := max(exceeded.RetryAfter, minRetryAfter)
	if !clock.Now().Add(wait).Before(limit) {
		return false
	}
	ctx, cancel := context.WithCancel(e.callerCtx)
	defer cancel()
	defer context.AfterFunc(e.g.stop.waits, cancel)()
	return clock.Sleep(ctx, wait) == nil
}

// startupWait returns how long a request may wait for a view.
func (g *Gateway) startupWait(r *http.Request) time.Duration {
	milliseconds, err := strconv.ParseInt(r.Header.Get(g.options.HeaderNames.Deadline), 10, 64)
	if err != nil {
		return maxStartupWait
	}
	left := time.Duration(max(milliseconds, 0)) * time.Millisecond
	return min(time.Duration(startupWaitShare*float64(left)), maxStartupWait)
}
