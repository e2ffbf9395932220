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
	// maxHedgeWait is how long a hedge may wait for a grant.
	maxHedgeWait = 20 * time.Millisecond
	// outcomeInFlight is the logged outcome of an attempt that was still
	// running when its request ended.
	outcomeInFlight pool.OutcomeKind = "under_way"
	// maxGrantRequests limits how often a request asks for a grant, whether or
	// not the grants are used.
	maxGrantRequests = 6

	// Retry-After values of rejected requests.
	retryAfterBusy     = 250 * time.Millisecond
	retryAfterNoTarget = 500 * time.Millisecond
)

// result is what the caller gets: either the response of a target or a rejection.
type result struct {
	response  *targetconn.Response
	rejection *fault.Error
}

// execution runs the attempts of one request. A request that is not idempotent
// has at most one attempt in flight, and gets another one only if the outcome of
// the previous one proves that the target did not run the request.
type execution struct {
	g *Gateway
	q *request

	caller context.Context // done when the caller leaves
	work   context.Context // done at the deadline; for idempotent requests also when the caller leaves
	cancel context.CancelFunc

	ends            chan attemptEnd // buffered for all attempts, so that a late one does not block
	inFlight        int
	grantRequests   int
	countedAttempts int      // finished attempts that count against MaxAttempts: all but failed connects
	mayHaveRun      bool     // a target may have run the request
	tried           []string // ids of the granted targets
	lastFailure     *targetconn.Response
	hedgeTimer      <-chan time.Time
}

type attemptEnd struct {
	index  int // in request.attempts
	result targetconn.Result
}

func (g *Gateway) execute(ctx context.Context, q *request) result {
	x := &execution{g: g, q: q, caller: ctx, ends: make(chan attemptEnd, maxGrantRequests)}
	base := ctx
	if !q.route.Kind.IsIdempotent() {
		// The request must not be sent again, so it continues when the caller
		// leaves.
		base = context.WithoutCancel(ctx)
	}
	remaining := q.deadline.Sub(g.options.Clock.Now())
	x.work, x.cancel = context.WithTimeout(base, remaining)
	defer x.cancel()
	if rejection := x.startNextAttempt(x.maxWait()); rejection != nil {
		return result{rejection: rejection}
	}
	return x.await()
}

// await handles finished attempts, the hedge timer and cancellation until there
// is a result.
func (x *execution) await() result {
	callerDone := x.caller.Done()
	for {
		select {
		case end := <-x.ends:
			x.inFlight--
			if r, done := x.handleEnd(end); done {
				return r
			}
		case <-x.hedgeTimer:
			x.hedgeTimer = nil
			if x.mayRetry() {
				// If no grant is available, the attempt in flight continues
				// alone.
				_ = x.startNextAttempt(maxHedgeWait)
			}
		case <-x.work.Done():
			return result{rejection: x.timeoutRejection()}
		case <-callerDone:
			if x.q.route.Kind.IsIdempotent() {
				return result{rejection: x.timeoutRejection()}
			}
			callerDone = nil
		}
	}
}

// maxWait returns how long the request may wait for a grant.
func (x *execution) maxWait() time.Duration {
	now := x.g.options.Clock.Now()
	remaining := x.q.deadline.Sub(now)
	limit := time.Duration(maxWaitShare * float64(remaining))
	if x.q.route.Objective > 0 {
		objectiveLimit := x.q.started.Add(time.Duration(maxWaitShare * float64(x.q.route.Objective))).Sub(now)
		limit = min(limit, max(objectiveLimit, minWait))
	}
	return limit
}

// startNextAttempt acquires a grant and starts an attempt with it. It skips
// grants for targets that this entry knows to be unusable.
func (x *execution) startNextAttempt(wait time.Duration) *fault.Error {
	for x.grantRequests < maxGrantRequests {
		x.grantRequests++
		l, err := x.g.options.Broker.Acquire(x.caller, x.q.service, x.poolRequest(), wait)
		if err != nil {
			return acquireRejection(err)
		}
		x.tried = append(x.tried, l.Target)
		if !x.stillUsable(l) {
			x.recordAttempt(l)
			l.Release(pool.Outcome{Kind: pool.Unsent})
			continue
		}
		x.startAttempt(l)
		return nil
	}
	return acquireRejection(pool.ErrBusy)
}

// stillUsable reports whether the granted target is usable in this entry's copy
// of the fleet state, which may be newer than that of the owner.
func (x *execution) stillUsable(l *grants.Lease) bool {
	return slices.ContainsFunc(x.g.options.View().Targets, func(t fleetstate.Target) bool {
		return t.ID == l.Target && t.Address == l.Address && t.Service == x.q.service && t.Usable()
	})
}

func (x *execution) poolRequest() pool.Request {
	now := x.g.options.Clock.Now()
	route := x.q.route
	return pool.Request{
		ID: x.q.id, Route: route.Name, Retryable: route.Kind.IsIdempotent() && x.countedAttempts+x.inFlight+1 < route.MaxAttempts, Priority: route.Priority,
		Bytes: len(x.q.outgoing.Body), Objective: max(x.q.started.Add(route.Objective).Sub(now), 0),
		TimeLeft: x.q.deadline.Sub(now), DataCentre: x.g.options.DataCentre, Tried: x.tried, IsRetry: x.countedAttempts+x.inFlight > 0,
	}
}

// recordAttempt adds an attempt to the request's log line and returns its index.
func (x *execution) recordAttempt(l *grants.Lease) int {
	x.q.attempts = append(x.q.attempts, attempt{Target: l.Target, Owner: l.Owner, Risk: l.Risk, Outcome: pool.Unsent, StartMS: x.sinceArrival()})
	return len(x.q.attempts) - 1
}

// sinceArrival returns the milliseconds since the request arrived.
func (x *execution) sinceArrival() float64 {
	return float64(x.g.options.Clock.Now().Sub(x.q.started).Microseconds()) / 1000
}

// startAttempt sends the request to the granted target in the background. The
// first attempt of an idempotent request also starts the hedge timer.
func (x *execution) startAttempt(l *grants.Lease) {
	index := x.recordAttempt(l)
	x.q.attempts[index].Outcome = outcomeInFlight
	x.inFlight++
	if x.hedgeTimer == nil && x.q.route.Kind.IsIdempotent() {
		x.hedgeTimer = x.g.options.Clock.After(l.HedgeDelay)
	}
	started := x.g.options.Clock.Now()
	outgoing := x.q.outgoing
	outgoing.TimeLeft = x.q.deadline.Sub(started)
	go func() {
		ctx, span := telemetry.StartSpan(x.work, "gateway.attempt")
		defer span.End()
		r := x.g.options.Sender.Send(ctx, targetconn.Target{ID: l.Target, Address: l.Address}, outgoing)
		l.Release(pool.Outcome{Kind: r.Outcome, Took: x.g.options.Clock.Now().Sub(started), Load: r.Load})
		x.ends <- attemptEnd{index: index, result: r}
	}()
}

// handleEnd processes the end of an attempt. It returns the result of the request
// and true, or false while another attempt is in flight.
func (x *execution) handleEnd(end attemptEnd) (result, bool) {
	r := end.result
	x.recordEnd(end)
	if r.MayHaveRun {
		x.mayHaveRun = true
	}
	if r.Outcome != pool.ConnectFailed {
		x.countedAttempts++
	}
	if r.Outcome == pool.OK {
		return result{response: r.Response}, true
	}
	if r.Outcome == pool.Failed {
		x.lastFailure = r.Response
	}
	if x.inFlight > 0 {
		return result{}, false
	}
	if x.mayRetry() {
		rejection := x.startNextAttempt(x.maxWait())
		if rejection == nil {
			return result{}, false
		}
		x.q.retryDenied = rejection.Detail
	}
	return x.failure(r), true
}

func (x *execution) recordEnd(end attemptEnd) {
	a := &x.q.attempts[end.index]
	a.Outcome, a.Sent, a.Reused = end.result.Outcome, end.result.MayHaveRun, end.result.Reused
	a.EndMS = x.sinceArrival()
	if end.result.Err != nil {
		a.Error = end.result.Err.Error()
	}
}

// mayRetry reports whether the request may be sent to another target.
func (x *execution) mayRetry() bool {
	if x.work.Err() != nil || x.caller.Err() != nil {
		return false
	}
	if x.mayHaveRun && !x.q.route.Kind.IsIdempotent() {
		return false
	}
	return x.countedAttempts+x.inFlight < max(x.q.route.MaxAttempts, 1)
}

// failure returns the result of a request whose last attempt failed with r.
func (x *execution) failure(r targetconn.Result) result {
	switch {
	case x.lastFailure != nil:
		return x.failureResponse()
	case !x.mayHaveRun:
		return result{rejection: fault.New(fault.NoUpstream, "no target took the request: "+string(r.Outcome)).WithRetryAfter(retryAfterBusy)}
	case x.work.Err() != nil:
		return result{rejection: x.timeoutRejection()}
	default:
		return result{rejection: fault.New(fault.OutcomeUnknown, "the target gave no whole answer: "+string(r.Outcome))}
	}
}

// failureResponse returns the error response of a target. Status 503 is replaced,
// since to the caller it means "not run", which the target did not state.
func (x *execution) failureResponse() result {
	if x.lastFailure.Status == 503 {
		return result{rejection: fault.New(fault.UpstreamFailed, "the target failed with status 503")}
	}
	return result{response: x.lastFailure}
}

// timeoutRejection returns the rejection of a request whose time ran out.
func (x *execution) timeoutRejection() *fault.Error {
	if x.mayHaveRun || x.inFlight > 0 {
		return fault.New(fault.DeadlineExceeded, "no whole answer in time")
	}
	return fault.New(fault.Overloaded, "no target was free in time").WithRetryAfter(retryAfterBusy)
}

// acquireRejection translates an error of Broker.Acquire.
func acquireRejection(err error) *fault.Error {
	switch {
	case errors.Is(err, pool.ErrNoTarget):
		return fault.New(fault.NoUpstream, "the service has no target that may get the request").WithRetryAfter(retryAfterNoTarget)
	case errors.Is(err, grants.ErrCanceled):
		return fault.New(fault.Overloaded, "the caller left while the request waited").WithRetryAfter(retryAfterBusy)
	default:
		return fault.New(fault.Overloaded, err.Error()).WithRetryAfter(retryAfterBusy)
	}
}
