package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/grants"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/quota"
	"github.com/sequoialane/sequoialane/internal/targetconn"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

const (
	// maxWaitShare is the share of the remaining time that a request may wait
	// for a grant.
	maxWaitShare = 0.6
	// minWait is the time that a request may wait for a grant even if its latency
	// objective is shorter.
	minWait = 300 * time.Millisecond
	// outcomeInFlight is the logged outcome of an attempt that was still
	// running when its request ended.
	outcomeInFlight pool.OutcomeKind = "under_way"
	// maxGrants limits how many grants a request gets, whether or not they are
	// used.
	maxGrants = 6

	// Retry-After values of rejected requests.
	retryAfterBusy     = 250 * time.Millisecond
	retryAfterNoTarget = 500 * time.Millisecond
	minRetryAfter      = 10 * time.Millisecond // shorter ones are written as 0
)

// result is what the caller gets: either the response of a target or an error.
type result struct {
	response *targetconn.Response
	err      *fault.Error
}

// execution runs the attempts of one request. A request that is not idempotent
// has at most one attempt in flight, and gets another one only if the outcome of
// the previous one proves that the target did not run the request.
type execution struct {
	g   *Gateway
	req *request

	callerCtx context.Context // done when the caller disconnects
	workCtx   context.Context // done at the deadline; for idempotent requests also when the caller disconnects
	cancel    context.CancelFunc

	ends            chan attemptEnd // buffered for all attempts, so that a late one does not block
	inFlight        int
	grants          int      // received so far
	countedAttempts int      // finished attempts that count against MaxAttempts: all but those that were not sent
	mayHaveRun      bool     // a target may have run the request
	tried           []string // ids of the granted targets
	lastFailure     *targetconn.Response
	lastEnd         targetconn.Result // of the last attempt that ended
	denied          *fault.Error      // why the request may not be sent any more; nil: it may
	hedge           hedge
}

type attemptEnd struct {
	index  int // in request.attempts
	result targetconn.Result
}

func (g *Gateway) execute(ctx context.Context, req *request) result {
	e := &execution{g: g, req: req, callerCtx: ctx, ends: make(chan attemptEnd, maxGrants)}
	base := ctx
	if !req.route.Kind.IsIdempotent() {
		// The request must not be sent again, so it continues when the caller
		// disconnects.
		base = context.WithoutCancel(ctx)
	}
	remaining := req.deadline.Sub(g.options.Clock.Now())
	e.workCtx, e.cancel = context.WithTimeout(base, remaining)
	defer e.cancel()
	if err := e.startNextAttempt(e.maxWait()); err != nil {
		return result{err: err}
	}
	r := e.await()
	e.hedge.abandon()
	e.closeUnused(r)
	return r
}

// closeUnused closes the responses that the caller does not get, also those of
// attempts that are still in flight.
func (e *execution) closeUnused(r result) {
	if e.lastFailure != nil && e.lastFailure != r.response {
		e.lastFailure.Close()
	}
	if e.inFlight == 0 {
		return
	}
	go func() {
		for range e.inFlight {
			if end := <-e.ends; end.result.Response != nil {
				end.result.Response.Close()
			}
		}
	}()
}

// await handles finished attempts, the hedge timer and cancellation until there
// is a result.
func (e *execution) await() result {
	callerDone := e.callerCtx.Done()
	for {
		select {
		case end := <-e.ends:
			e.inFlight--
			if r, done := e.handleEnd(end); done {
				return r
			}
		case <-e.hedge.timer:
			e.hedge.timer = nil
			e.requestHedge()
		case granted := <-e.hedge.granted:
			if r, done := e.handleHedgeGrant(granted); done {
				return r
			}
		case <-e.workCtx.Done():
			if e.inFlight == 0 {
				return e.failure(e.lastEnd)
			}
			return result{err: e.timeoutError()}
		case <-callerDone:
			if e.req.route.Kind.IsIdempotent() {
				return result{err: e.timeoutError()}
			}
			callerDone = nil
		}
	}
}

// maxWait returns how long the request may wait for a grant.
func (e *execution) maxWait() time.Duration {
	now := e.g.options.Clock.Now()
	remaining := e.req.deadline.Sub(now)
	limit := time.Duration(maxWaitShare * float64(remaining))
	if e.req.route.Objective > 0 && !e.g.isStarting() {
		objectiveLimit := e.req.started.Add(time.Duration(maxWaitShare * float64(e.req.route.Objective))).Sub(now)
		limit = min(limit, max(objectiveLimit, minWait))
	}
	return limit
}

// startNextAttempt acquires a grant and starts an attempt with it. It skips
// grants for targets that this entry knows to be unusable.
func (e *execution) startNextAttempt(wait time.Duration) *fault.Error {
	limit := e.g.options.Clock.Now().Add(wait)
	for e.grants < maxGrants {
		l, err := e.acquire(limit.Sub(e.g.options.Clock.Now()))
		if err != nil && e.awaitCredit(err, limit) {
			continue
		}
		if err != nil {
			return acquireError(err)
		}
		if e.useGrant(l) {
			return nil
		}
	}
	return acquireError(pool.ErrBusy)
}

// useGrant starts an attempt with the grant. It returns false, and gives the grant
// back, if this entry knows that its target is not usable.
func (e *execution) useGrant(l *grants.Lease) bool {
	e.grants++
	e.tried = append(e.tried, l.Target)
	record, usable := e.usableTarget(l)
	if !usable {
		e.recordAttempt(l)
		l.Release(pool.Outcome{Kind: pool.Unsent, Leaving: e.g.options.Advice.IsLeaving(record)})
		return false
	}
	e.startAttempt(l, record)
	return true
}

// usableTarget returns the record of the granted target in this entry's copy of the
// fleet state, which may be newer than that of the owner. It reports false if the
// target is not usable any more, or wants no request of this entry now.
func (e *execution) usableTarget(l *grants.Lease) (fleetstate.Target, bool) {
	targets := e.g.options.View().Targets
	i := slices.IndexFunc(targets, func(t fleetstate.Target) bool {
		return t.ID == l.Target && t.Address == l.Address && t.Service == e.req.service && t.Usable()
	})
	if i < 0 {
		return fleetstate.Target{}, false
	}
	return targets[i], e.g.options.Advice.Allows(targets[i])
}

func (e *execution) poolRequest() pool.Request {
	now := e.g.options.Clock.Now()
	route := e.req.route
	return pool.Request{
		ID: e.req.id, Route: route.Name, Retryable: route.Kind.IsIdempotent() && e.countedAttempts+e.inFlight+1 < route.MaxAttempts, Priority: e.req.priority(), Tenant: e.req.tenantName(),
		Bytes: len(e.req.outgoing.Body), Objective: max(e.req.started.Add(route.Objective).Sub(now), 0),
		TimeLeft: e.req.deadline.Sub(now), DataCentre: e.g.options.DataCentre, Tried: e.tried, IsRetry: e.countedAttempts+e.inFlight > 0, Charged: e.grants > 0,
		Path: e.req.pathHash,
	}
}

// recordAttempt adds an attempt to the request's log line and returns its index.
func (e *execution) recordAttempt(l *grants.Lease) int {
	e.req.attempts = append(e.req.attempts, attempt{
		Target: l.Target, Owner: l.Owner, Risk: l.Risk, RunMS: milliseconds(l.RunTime), Outcome: pool.Unsent, StartMS: e.sinceArrival(),
	})
	return len(e.req.attempts) - 1
}

// sinceArrival returns the milliseconds since the request arrived.
func (e *execution) sinceArrival() float64 {
	return milliseconds(e.g.options.Clock.Now().Sub(e.req.started))
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// startAttempt sends the request to the granted target in the background, and
// schedules a hedge if the request is idempotent.
func (e *execution) startAttempt(l *grants.Lease, record fleetstate.Target) {
	index := e.recordAttempt(l)
	e.req.attempts[index].Outcome = outcomeInFlight
	e.inFlight++
	if e.req.route.Kind.IsIdempotent() {
		e.hedge.delay = l.HedgeDelay
		e.scheduleHedge(l.HedgeDelay)
	}
	started := e.g.options.Clock.Now()
	outgoing := e.req.outgoing
	outgoing.TimeLeft = e.req.deadline.Sub(started)
	outgoing.Permit = func() error { return e.g.checkAgain(e.req) }
	go func() {
		ctx, span := telemetry.StartSpan(e.workCtx, "gateway.attempt")
		defer span.End()
		r := e.g.options.Sender.Send(ctx, targetconn.Target{ID: l.Target, Address: l.Address, StartedAtMS: record.StartedAtMS}, outgoing)
		e.reportOutcome(l, r, started)
		e.ends <- attemptEnd{index: index, result: r}
	}()
}

// reportOutcome releases the grant with the outcome of the attempt: at once, or
// once the rest of a response has been read.
func (e *execution) reportOutcome(l *grants.Lease, r targetconn.Result, started time.Time) {
	// How fast the caller reads a streamed response says nothing about the target.
	took := e.g.options.Clock.Now().Sub(started)
	release := func(kind pool.OutcomeKind, bytes int64) {
		l.Release(pool.Outcome{Kind: kind, Took: took, Load: r.Load, Leaving: r.Leaving, Bytes: bytes})
	}
	if r.Response == nil {
		release(r.Outcome, 0)
		return
	}
	buffered := max(int64(len(r.Response.Body)), 1) // 0 would mean that the length is not known
	if r.Response.Rest == nil {
		release(r.Outcome, buffered)
		return
	}
	rest := &countingReader{source: r.Response.Rest}
	r.Response.Rest = rest
	r.Response.OnEnd(func(reading pool.OutcomeKind) {
		if reading == pool.OK {
			reading = r.Outcome
		}
		release(reading, buffered+rest.count)
	})
}

// handleEnd processes the end of an attempt. It returns the result of the request
// and true, or false while another attempt is in flight.
func (e *execution) handleEnd(end attemptEnd) (result, bool) {
	r := end.result
	e.lastEnd = r
	e.recordEnd(end)
	if r.MayHaveRun {
		e.mayHaveRun = true
	}
	if r.Outcome == pool.Unsent {
		e.denied = fault.From(r.Err)
	} else if r.Outcome != pool.ConnectFailed {
		e.countedAttempts++
	}
	if r.Outcome == pool.OK {
		return result{response: r.Response}, true
	}
	e.keepFailure(r)
	if e.hedge.granted != nil {
		return result{}, false // the grant of the hedge serves as a retry
	}
	if e.inFlight > 0 {
		e.hedge.timer = nil
		e.scheduleHedge(0) // the remaining attempt may get no response at all
		return result{}, false
	}
	return e.retryOrFail(r)
}

// retryOrFail starts the next attempt of a request without one in flight, whose
// last one ended with r. If it may not get one, it returns the result of the
// request and true.
func (e *execution) retryOrFail(r targetconn.Result) (result, bool) {
	if e.mayRetry() {
		err := e.startNextAttempt(e.maxWait())
		if err == nil {
			return result{}, false
		}
		e.req.retryDenied = err.Detail
	}
	return e.failure(r), true
}

// keepFailure keeps the error response of a target for the case that no other
// target responds, and closes any other response.
func (e *execution) keepFailure(r targetconn.Result) {
	switch {
	case r.Response == nil:
	case !isFailureResponse(r):
		r.Response.Close()
	default:
		if e.lastFailure != nil {
			e.lastFailure.Close()
		}
		e.lastFailure = r.Response
	}
}

// isFailureResponse reports whether the target may have run the request and
// responded with an error.
func isFailureResponse(r targetconn.Result) bool {
	return r.Outcome == pool.Failed || r.Outcome == pool.Postponed && r.MayHaveRun
}

func (e *execution) recordEnd(end attemptEnd) {
	a := &e.req.attempts[end.index]
	a.Outcome, a.Sent, a.Reused = end.result.Outcome, end.result.MayHaveRun, end.result.Reused
	a.EndMS = e.sinceArrival()
	if end.result.Err != nil {
		a.Error = end.result.Err.Error()
	}
}

// mayRetry reports whether the request may be sent to another target.
func (e *execution) mayRetry() bool {
	if e.denied != nil || e.workCtx.Err() != nil || e.callerCtx.Err() != nil {
		return false
	}
	if e.mayHaveRun && !e.req.route.Kind.IsIdempotent() {
		return false
	}
	return e.countedAttempts+e.inFlight < max(e.req.route.MaxAttempts, 1)
}

// failure returns the result of a request whose last attempt failed with r.
func (e *execution) failure(r targetconn.Result) result {
	switch {
	case e.denied != nil && !e.mayHaveRun:
		return result{err: e.denied}
	case e.lastFailure != nil:
		return e.failureResponse()
	case !e.mayHaveRun:
		return result{err: fault.New(fault.NoUpstream, "no target took the request: "+string(r.Outcome)).WithRetryAfter(retryAfterBusy)}
	case e.workCtx.Err() != nil:
		return result{err: e.timeoutError()}
	default:
		return result{err: fault.New(fault.OutcomeUnknown, "the target gave no whole answer: "+string(r.Outcome))}
	}
}

// failureResponse returns the error response of a target. Status 503 is replaced,
// since to the caller it means "not run", which the target did not state.
func (e *execution) failureResponse() result {
	if e.lastFailure.Status == 503 {
		return result{err: fault.New(fault.UpstreamFailed, "the target failed with status 503")}
	}
	return result{response: e.lastFailure}
}

// timeoutError returns the error of a request whose time ran out.
func (e *execution) timeoutError() *fault.Error {
	if e.mayHaveRun || e.inFlight > 0 {
		return fault.New(fault.DeadlineExceeded, "no whole answer in time")
	}
	return fault.New(fault.Overloaded, "no target was free in time").WithRetryAfter(retryAfterBusy)
}

// acquireError translates an error of Broker.Acquire.
func acquireError(err error) *fault.Error {
	var postponed *grants.PostponedError
	var exceeded *quota.ExceededError
	switch {
	case errors.As(err, &exceeded):
		return fault.New(fault.RateLimited, "the tenant exceeds its limit").WithRetryAfter(max(exceeded.RetryAfter, minRetryAfter))
	case errors.As(err, &postponed):
		return fault.New(fault.Overloaded, err.Error()).WithRetryAfter(postponed.RetryAfter)
	case errors.Is(err, pool.ErrNoTarget):
		return fault.New(fault.NoUpstream, "the service has no target that may get the request").WithRetryAfter(retryAfterNoTarget)
	case errors.Is(err, errStopping):
		return stoppingError()
	case errors.Is(err, grants.ErrCanceled):
		return fault.New(fault.Overloaded, "the caller left while the request waited").WithRetryAfter(retryAfterBusy)
	default:
		return fault.New(fault.Overloaded, err.Error()).WithRetryAfter(retryAfterBusy)
	}
}
