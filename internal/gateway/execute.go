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
	// waitShare of the time that is left may pass before a request is sent.
	waitShare = 0.6
	// minWait is waited for a target even if the objective is shorter.
	minWait = 300 * time.Millisecond
	// hedgeWait is the longest wait for a target for a second attempt beside one
	// that is under way.
	hedgeWait = 20 * time.Millisecond
	// underWay is logged of an attempt that had not ended with its request.
	underWay pool.OutcomeKind = "under_way"
	// maxGrants bounds the grants of a request, used or not.
	maxGrants = 6

	retryBusy     = 250 * time.Millisecond
	retryNoTarget = 500 * time.Millisecond
)

// result is what the caller gets: an answer of a target, or a refusal.
type result struct {
	answer  *targetconn.Answer
	refused *fault.Error
}

// execution is a request while it is sent to targets. A request that may not be
// repeated has one attempt under way at most, and another one only if the one
// before proved that the request was not run.
type execution struct {
	g *Gateway
	q *request

	caller context.Context // ends when the caller leaves
	work   context.Context // ends when the work for the request should end
	cancel context.CancelFunc

	ends     chan attemptEnd // room for all attempts
	inFlight int
	grants   int
	sent     int      // attempts that reached a target, or may have
	ran      bool     // a target may have run the request
	tried    []string // ids of targets
	last     *targetconn.Answer
	hedge    <-chan time.Time
}

type attemptEnd struct {
	index  int // in request.attempts
	result targetconn.Result
}

func (g *Gateway) execute(ctx context.Context, q *request) result {
	x := &execution{g: g, q: q, caller: ctx, ends: make(chan attemptEnd, maxGrants)}
	base := ctx
	if !q.route.Kind.Repeatable() {
		// The work goes on when the caller leaves: it may not be repeated.
		base = context.WithoutCancel(ctx)
	}
	left := q.final.Sub(g.options.Clock.Now())
	x.work, x.cancel = context.WithTimeout(base, left)
	defer x.cancel()
	if refused := x.startNext(x.waitLimit()); refused != nil {
		return result{refused: refused}
	}
	return x.loop()
}

func (x *execution) loop() result {
	left := x.caller.Done()
	for {
		select {
		case end := <-x.ends:
			x.inFlight--
			if r, done := x.take(end); done {
				return r
			}
		case <-x.hedge:
			x.hedge = nil
			if x.mayRepeat() {
				// A refusal leaves the attempt under way as it is.
				_ = x.startNext(hedgeWait)
			}
		case <-x.work.Done():
			return result{refused: x.late()}
		case <-left:
			if x.q.route.Kind.Repeatable() {
				return result{refused: x.late()}
			}
			left = nil
		}
	}
}

// waitLimit is how long the request may wait for a target.
func (x *execution) waitLimit() time.Duration {
	now := x.g.options.Clock.Now()
	left := x.q.final.Sub(now)
	limit := time.Duration(waitShare * float64(left))
	if x.q.route.Objective > 0 {
		beyond := x.q.started.Add(time.Duration(waitShare * float64(x.q.route.Objective))).Sub(now)
		limit = min(limit, max(beyond, minWait))
	}
	return limit
}

// startNext gets a grant and starts an attempt with it.
func (x *execution) startNext(wait time.Duration) *fault.Error {
	for x.grants < maxGrants {
		x.grants++
		l, err := x.g.options.Broker.Acquire(x.caller, x.q.service, x.poolRequest(), wait)
		if err != nil {
			return refusal(err)
		}
		x.tried = append(x.tried, l.Target)
		if !x.stillUsable(l) {
			x.note(l)
			l.Release(pool.Outcome{Kind: pool.Unsent})
			continue
		}
		x.start(l)
		return nil
	}
	return refusal(pool.ErrBusy)
}

// stillUsable reports whether this entry's own copy of the state, which may be
// newer than the owner's, still holds the target.
func (x *execution) stillUsable(l *grants.Lease) bool {
	return slices.ContainsFunc(x.g.options.View().Targets, func(t fleetstate.Target) bool {
		return t.ID == l.Target && t.Address == l.Address && t.Service == x.q.service && t.Usable()
	})
}

func (x *execution) poolRequest() pool.Request {
	now := x.g.options.Clock.Now()
	route := x.q.route
	return pool.Request{
		ID: x.q.id, Class: route.Name, Repeatable: route.Kind.Repeatable() && x.sent+x.inFlight+1 < route.MaxAttempts, Priority: route.Priority,
		Bytes: len(x.q.outgoing.Body), Objective: max(x.q.started.Add(route.Objective).Sub(now), 0),
		TimeLeft: x.q.final.Sub(now), DataCentre: x.g.options.DataCentre, Tried: x.tried, Repeat: x.sent+x.inFlight > 0,
	}
}

// note adds an attempt to the request's log line.
func (x *execution) note(l *grants.Lease) int {
	x.q.attempts = append(x.q.attempts, attempt{Target: l.Target, Owner: l.Owner, Risk: l.Risk, Outcome: pool.Unsent, StartMS: x.sinceArrival()})
	return len(x.q.attempts) - 1
}

func (x *execution) sinceArrival() float64 {
	return float64(x.g.options.Clock.Now().Sub(x.q.started).Microseconds()) / 1000
}

func (x *execution) start(l *grants.Lease) {
	index := x.note(l)
	x.q.attempts[index].Outcome = underWay
	x.inFlight++
	if x.hedge == nil && x.q.route.Kind.Repeatable() {
		x.hedge = x.g.options.Clock.After(l.HedgeAfter)
	}
	started := x.g.options.Clock.Now()
	outgoing := x.q.outgoing
	outgoing.TimeLeft = x.q.final.Sub(started)
	go func() {
		ctx, span := telemetry.Start(x.work, "gateway.attempt")
		defer span.End()
		r := x.g.options.Sender.Send(ctx, targetconn.Target{ID: l.Target, Address: l.Address}, outgoing)
		l.Release(pool.Outcome{Kind: r.Outcome, Took: x.g.options.Clock.Now().Sub(started), Load: r.Load})
		x.ends <- attemptEnd{index: index, result: r}
	}()
}

// take decides what follows the end of an attempt.
func (x *execution) take(end attemptEnd) (result, bool) {
	r := end.result
	x.describe(end)
	if r.Sent {
		x.ran = true
	}
	if r.Outcome != pool.ConnectFailed {
		x.sent++
	}
	if r.Outcome == pool.OK {
		return result{answer: r.Answer}, true
	}
	if r.Outcome == pool.Failed {
		x.last = r.Answer
	}
	if x.inFlight > 0 {
		return result{}, false
	}
	if x.mayRepeat() {
		refused := x.startNext(x.waitLimit())
		if refused == nil {
			return result{}, false
		}
		x.q.noRepeat = refused.Detail
	}
	return x.ended(r), true
}

func (x *execution) describe(end attemptEnd) {
	a := &x.q.attempts[end.index]
	a.Outcome, a.Sent, a.Reused = end.result.Outcome, end.result.Sent, end.result.Reused
	a.EndMS = x.sinceArrival()
	if end.result.Err != nil {
		a.Error = end.result.Err.Error()
	}
}

// mayRepeat reports whether the request may go to another target.
func (x *execution) mayRepeat() bool {
	if x.work.Err() != nil || x.caller.Err() != nil {
		return false
	}
	if x.ran && !x.q.route.Kind.Repeatable() {
		return false
	}
	return x.sent+x.inFlight < max(x.q.route.MaxAttempts, 1)
}

// ended is the result of a request whose last attempt has failed.
func (x *execution) ended(r targetconn.Result) result {
	switch {
	case x.last != nil:
		return x.failedAnswer()
	case !x.ran:
		return result{refused: fault.New(fault.NoUpstream, "no target took the request: "+string(r.Outcome)).WithRetryAfter(retryBusy)}
	case x.work.Err() != nil:
		return result{refused: x.late()}
	default:
		return result{refused: fault.New(fault.OutcomeUnknown, "the target gave no whole answer: "+string(r.Outcome))}
	}
}

// failedAnswer passes on that a target failed. A status that promises "not run"
// is not passed on, since the target did not say so.
func (x *execution) failedAnswer() result {
	if x.last.Status == 503 {
		return result{refused: fault.New(fault.UpstreamFailed, "the target failed with status 503")}
	}
	return result{answer: x.last}
}

func (x *execution) late() *fault.Error {
	if x.ran || x.inFlight > 0 {
		return fault.New(fault.DeadlineExceeded, "no whole answer in time")
	}
	return fault.New(fault.Overloaded, "no target was free in time").WithRetryAfter(retryBusy)
}

// refusal says why there is no grant.
func refusal(err error) *fault.Error {
	switch {
	case errors.Is(err, pool.ErrNoTarget):
		return fault.New(fault.NoUpstream, "the service has no target that may get the request").WithRetryAfter(retryNoTarget)
	case errors.Is(err, grants.ErrGaveUp):
		return fault.New(fault.Overloaded, "the caller left while the request waited").WithRetryAfter(retryBusy)
	default:
		return fault.New(fault.Overloaded, err.Error()).WithRetryAfter(retryBusy)
	}
}
