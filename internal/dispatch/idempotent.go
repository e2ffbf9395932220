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

// idempotentRun is an idempotent request with up to two attempts in flight.
type idempotentRun struct {
	d       *Dispatcher
	s       Scheduler
	r       Request
	ticket  Ticket
	payload *payload
	delay   time.Duration // hedge delay

	ended    chan ending
	inFlight int
	cancels  []context.CancelFunc
	sent     bool   // a byte of any attempt may have reached a target
	last     ending // last attempt that failed
	won      int    // attempt whose answer is returned; -1: none
	hedge    <-chan time.Time
}

// ending is the end of an attempt, or the begin of its streamed answer.
type ending struct {
	number  int // index into cancels
	resp    *http.Response
	outcome owner.Outcome
	err     error
}

// streaming reports whether the answer is still arriving.
func (e ending) streaming() bool { return e.resp != nil && e.outcome.Kind == "" }

func (d *Dispatcher) runIdempotent(ctx context.Context, s Scheduler, r Request) Result {
	ctx, cancel := d.callerContext(ctx, r)
	body, refused := readIdempotent(ctx, r)
	if refused != nil {
		cancel()
		return Result{Err: refused}
	}
	request := r.ownerRequest()
	ticket, refused := s.Submit(request)
	if refused != nil {
		cancel()
		return Result{Err: refused}
	}
	run := &idempotentRun{
		d: d, s: s, r: r, ticket: ticket, payload: body,
		delay: s.HedgeDelay(request),
		ended: make(chan ending),
		won:   -1,
	}
	result := run.loop(ctx)
	ticket.Cancel()
	run.discardRest()
	if result.Response == nil {
		cancel()
		return result
	}
	result.Response.Body = &closeHook{ReadCloser: result.Response.Body, hook: cancel}
	return result
}

func (run *idempotentRun) loop(ctx context.Context) Result {
	granted := run.ticket.Granted()
	for {
		select {
		case g, ok := <-granted:
			if !ok && run.inFlight == 0 {
				return run.refused()
			}
			if !ok {
				granted = nil
				continue
			}
			run.start(ctx, g)
			run.armHedge(run.delay)
		case <-run.hedge:
			run.hedge = nil
			if g, ok := run.s.Hedge(run.ticket); ok {
				run.start(ctx, g)
			} else {
				run.armHedge(run.delay) // a slot may be free then
			}
		case e := <-run.ended:
			run.inFlight--
			if result, done := run.take(ctx, e); done {
				return result
			}
		case <-ctx.Done():
			return Result{Err: run.late()}
		}
	}
}

// armHedge asks for a hedge after the delay, unless one is due already or the
// body is gone with the first attempt.
func (run *idempotentRun) armHedge(delay time.Duration) {
	if run.hedge == nil && run.payload.whole {
		run.hedge = run.d.cfg.Clock.After(delay)
	}
}

// start sends an attempt in the background. It ends with Done, and with a
// message to the loop.
func (run *idempotentRun) start(ctx context.Context, g owner.Grant) {
	ctx, cancel := context.WithCancel(ctx)
	number := len(run.cancels)
	run.cancels = append(run.cancels, cancel)
	run.inFlight++
	run.d.background(func() {
		e := run.attempt(ctx, g)
		e.number = number
		run.ended <- e
	})
}

func (run *idempotentRun) attempt(ctx context.Context, g owner.Grant) ending {
	ctx, span := telemetry.Start(ctx, "attempt")
	defer span.End()
	opt := upstreamclient.Options{
		RequestID:  run.r.ID,
		Idempotent: true,
		Deadline:   run.r.Deadline,
		Quiet:      run.delay,
		Finished: func(o owner.Outcome) {
			countAttempt(o)
			run.s.Done(g, o)
		},
	}
	resp, o, err := run.d.cfg.Sender.Send(ctx, g.Target, run.r.outgoing(run.payload), opt)
	e := ending{resp: resp, outcome: o, err: err}
	if !e.streaming() {
		countAttempt(o)
		run.s.Done(g, o)
	}
	return e
}

// take decides what follows the end of an attempt.
func (run *idempotentRun) take(ctx context.Context, e ending) (Result, bool) {
	run.sent = run.sent || e.outcome.BytesSent
	if e.outcome.Kind == owner.OK || e.streaming() {
		run.won = e.number
		return Result{Response: e.resp}, true
	}
	if run.last.resp == nil || e.resp != nil {
		run.last = e
	}
	if run.inFlight > 0 {
		// The attempt that is left may hear nothing until the deadline.
		run.armHedge(0)
		return Result{}, false
	}
	if ctx.Err() == nil && run.payload.replayable() && run.s.Retry(run.ticket, e.outcome) {
		run.hedge = nil
		return Result{}, false
	}
	if ctx.Err() != nil {
		return Result{Err: run.late()}, true
	}
	if run.last.resp != nil {
		return Result{Response: run.last.resp}, true
	}
	return Result{Err: run.failed()}, true
}

// discardRest cancels the attempts that lost, and closes their answers.
func (run *idempotentRun) discardRest() {
	if run.inFlight == 0 {
		return
	}
	for number, cancel := range run.cancels {
		if number != run.won {
			cancel()
		}
	}
	rest := run.inFlight
	run.d.background(func() {
		for range rest {
			if e := <-run.ended; e.resp != nil {
				_ = e.resp.Body.Close()
			}
		}
	})
}

// refused is the result of a request whose ticket was closed.
func (run *idempotentRun) refused() Result {
	if run.last.resp != nil {
		return Result{Response: run.last.resp}
	}
	if run.last.err != nil {
		return Result{Err: run.failed()}
	}
	return Result{Err: run.ticket.Err()}
}

func (run *idempotentRun) late() *fault.Error {
	return run.withEffect(fault.New(fault.DeadlineExceeded, "no whole answer before the deadline"))
}

func (run *idempotentRun) failed() *fault.Error {
	detail := "no target gave a whole answer"
	if run.last.err != nil {
		detail += ": " + run.last.err.Error()
	}
	return run.withEffect(fault.New(fault.UpstreamFailed, detail).WithRetryAfter(time.Second))
}

func (run *idempotentRun) withEffect(e *fault.Error) *fault.Error {
	if run.sent || run.inFlight > 0 {
		return e.WithEffect(fault.Unknown)
	}
	return e.WithEffect(fault.NotRun)
}
