package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/internal/telemetry"
	"github.com/sequoialane/sequoialane/internal/upstreamclient"
)

// idempotentCall is an idempotent request with up to two attempts in flight.
type idempotentCall struct {
	dispatcher *Dispatcher
	scheduler  Scheduler
	req        Request
	ticket     Ticket
	body       *requestBody
	hedgeDelay time.Duration

	results     chan attemptResult
	inFlight    int
	cancels     []context.CancelFunc
	bytesSent   bool          // a byte of any attempt may have reached a target
	lastFailure attemptResult // preferably one with a response
	winner      int           // index of the attempt whose response is returned; -1: none
	hedgeTimer  <-chan time.Time
}

// attemptResult is the end of an attempt, or the start of its streamed response.
type attemptResult struct {
	index   int // in idempotentCall.cancels
	resp    *http.Response
	outcome owner.Outcome
	err     error
}

// streaming reports whether the response is still arriving.
func (r attemptResult) streaming() bool { return r.resp != nil && r.outcome.Kind == "" }

func (d *Dispatcher) runIdempotent(ctx context.Context, s Scheduler, r Request) Result {
	ctx, cancel := d.callerContext(ctx, r)
	body, rejection := readIdempotentBody(ctx, r)
	if rejection != nil {
		cancel()
		return Result{Err: rejection}
	}
	ownerReq := r.ownerRequest()
	ticket, rejection := s.Submit(ownerReq)
	if rejection != nil {
		cancel()
		return Result{Err: rejection}
	}
	c := &idempotentCall{
		dispatcher: d, scheduler: s, req: r, ticket: ticket, body: body,
		hedgeDelay: s.HedgeDelay(ownerReq),
		results:    make(chan attemptResult),
		winner:     -1,
	}
	result := c.run(ctx)
	ticket.Cancel()
	c.discardLosers()
	if result.Response == nil {
		cancel()
		return result
	}
	result.Response.Body = &closeHookBody{ReadCloser: result.Response.Body, onClose: cancel}
	return result
}

// run handles grants, hedges and ended attempts until there is a result.
func (c *idempotentCall) run(ctx context.Context) Result {
	granted := c.ticket.Granted()
	for {
		select {
		case g, ok := <-granted:
			if !ok && c.inFlight == 0 {
				return c.resultWithoutGrant()
			}
			if !ok {
				granted = nil
				continue
			}
			c.startAttempt(ctx, g)
			c.scheduleHedge(c.hedgeDelay)
		case <-c.hedgeTimer:
			c.hedgeTimer = nil
			if g, ok := c.scheduler.Hedge(c.ticket); ok {
				c.startAttempt(ctx, g)
			} else {
				c.scheduleHedge(c.hedgeDelay) // a slot may be free by then
			}
		case res := <-c.results:
			c.inFlight--
			if result, done := c.handleResult(ctx, res); done {
				return result
			}
		case <-ctx.Done():
			return Result{Err: c.deadlineExceeded()}
		}
	}
}

// scheduleHedge schedules a hedge after the delay, unless one is scheduled
// already or the body is streamed and thus used up by the first attempt.
func (c *idempotentCall) scheduleHedge(delay time.Duration) {
	if c.hedgeTimer == nil && c.body.buffered {
		c.hedgeTimer = c.dispatcher.cfg.Clock.After(delay)
	}
}

// startAttempt runs an attempt in the background. Its result is sent to the
// results channel, after EndAttempt was called unless the response is streamed.
func (c *idempotentCall) startAttempt(ctx context.Context, g owner.Grant) {
	ctx, cancel := context.WithCancel(ctx)
	index := len(c.cancels)
	c.cancels = append(c.cancels, cancel)
	c.inFlight++
	c.dispatcher.background(func() {
		res := c.sendAttempt(ctx, g)
		res.index = index
		c.results <- res
	})
}

func (c *idempotentCall) sendAttempt(ctx context.Context, g owner.Grant) attemptResult {
	ctx, span := telemetry.StartSpan(ctx, "attempt")
	defer span.End()
	opt := upstreamclient.Options{
		RequestID:      c.req.ID,
		Idempotent:     true,
		Deadline:       c.req.Deadline,
		SilenceTimeout: c.hedgeDelay,
		Finished: func(o owner.Outcome) {
			countAttempt(o)
			c.scheduler.EndAttempt(g, o)
		},
	}
	resp, o, err := c.dispatcher.cfg.Sender.Send(ctx, g.Target, c.req.outgoing(c.body), opt)
	res := attemptResult{resp: resp, outcome: o, err: err}
	if !res.streaming() {
		countAttempt(o)
		c.scheduler.EndAttempt(g, o)
	}
	return res
}

// handleResult decides how to continue after an attempt has ended. It returns
// true with the result of the request if the request is finished.
func (c *idempotentCall) handleResult(ctx context.Context, res attemptResult) (Result, bool) {
	c.bytesSent = c.bytesSent || res.outcome.BytesSent
	if res.outcome.Kind == owner.OK || res.streaming() {
		c.winner = res.index
		return Result{Response: res.resp}, true
	}
	if c.lastFailure.resp == nil || res.resp != nil {
		c.lastFailure = res
	}
	if c.inFlight > 0 {
		// The remaining attempt may receive nothing until the deadline.
		c.scheduleHedge(0)
		return Result{}, false
	}
	if ctx.Err() == nil && c.body.replayable() && c.scheduler.Retry(c.ticket, res.outcome) {
		c.hedgeTimer = nil
		return Result{}, false
	}
	if ctx.Err() != nil {
		return Result{Err: c.deadlineExceeded()}, true
	}
	if c.lastFailure.resp != nil {
		return Result{Response: c.lastFailure.resp}, true
	}
	return Result{Err: c.upstreamFailed()}, true
}

// discardLosers cancels the attempts in flight other than the winner and closes
// their responses.
func (c *idempotentCall) discardLosers() {
	if c.inFlight == 0 {
		return
	}
	for index, cancel := range c.cancels {
		if index != c.winner {
			cancel()
		}
	}
	remaining := c.inFlight
	c.dispatcher.background(func() {
		for range remaining {
			if res := <-c.results; res.resp != nil {
				_ = res.resp.Body.Close()
			}
		}
	})
}

// resultWithoutGrant returns the result of a request that gets no further grant,
// because its ticket was closed: the response or failure of an earlier attempt, or
// else the rejection.
func (c *idempotentCall) resultWithoutGrant() Result {
	if c.lastFailure.resp != nil {
		return Result{Response: c.lastFailure.resp}
	}
	if c.lastFailure.err != nil {
		return Result{Err: c.upstreamFailed()}
	}
	return Result{Err: c.ticket.Err()}
}

func (c *idempotentCall) deadlineExceeded() *fault.Error {
	return c.withEffect(fault.New(fault.DeadlineExceeded, "no whole answer before the deadline"))
}

func (c *idempotentCall) upstreamFailed() *fault.Error {
	detail := "no target gave a whole answer"
	if c.lastFailure.err != nil {
		detail += ": " + c.lastFailure.err.Error()
	}
	return c.withEffect(fault.New(fault.UpstreamFailed, detail).WithRetryAfter(time.Second))
}

// withEffect sets the effect unknown if a target may have received any byte, and
// not-run otherwise.
func (c *idempotentCall) withEffect(e *fault.Error) *fault.Error {
	if c.bytesSent || c.inFlight > 0 {
		return e.WithEffect(fault.Unknown)
	}
	return e.WithEffect(fault.NotRun)
}
