package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

func (d *Dispatcher) runKeyed(ctx context.Context, s Scheduler, r Request) Result {
	ctx, cancel := d.callerContext(ctx, r)
	defer cancel()
	if refused := d.checkKey(r.Key); refused != nil {
		return Result{Err: refused}
	}
	body, refused := readKeyed(ctx, r)
	if refused != nil {
		return Result{Err: refused}
	}
	request := r.claimRequest(digest(r, body.data), d.cfg.NewAttempt(), d.cfg.Holder)
	claim, err := d.claim(ctx, request)
	if err != nil {
		return Result{Err: claimsFault(ctx, err)}
	}
	if claim.State == claims.Granted {
		return d.runClaimed(ctx, s, r, request, body)
	}
	return answerOf(r, claim)
}

// checkKey refuses a key that cannot be claimed. A key from the future may
// have been accepted by an entry with a faster clock.
func (d *Dispatcher) checkKey(text string) *fault.Error {
	if text == "" {
		return fault.New(fault.KeyRequired, "a non-idempotent request needs the header Idempotency-Key, a UUID version 7")
	}
	key, err := claims.ParseKey(text)
	if err != nil {
		return fault.New(fault.KeyInvalid, "the idempotency key is not a UUID version 7")
	}
	return keyFault(d.cfg.Limits.KeyState(key, d.cfg.Clock.Now()))
}

func keyFault(state claims.State) *fault.Error {
	switch state {
	case claims.Expired:
		return fault.New(fault.KeyExpired, "the idempotency key is older than the retention time")
	case claims.TooNew:
		return fault.New(fault.KeyInvalid, "the idempotency key was created in the future").WithEffect(fault.Unknown)
	}
	return nil
}

// claim makes the claim, and waits while another attempt holds it.
func (d *Dispatcher) claim(ctx context.Context, request claims.Request) (claims.Result, error) {
	ctx, span := telemetry.Start(ctx, "claim")
	defer span.End()
	for {
		result, err := d.claimOnce(ctx, request)
		if err != nil {
			return claims.Result{}, err
		}
		if result.State == claims.Running {
			result, err = d.awaitOther(ctx, request, result)
		}
		if err != nil || result.State != claims.Released || ctx.Err() != nil {
			return result, err
		}
	}
}

// claimOnce calls Claim. If the outcome is not known, the claim may have been
// granted or may be later; nothing was sent under it, so it is released.
func (d *Dispatcher) claimOnce(ctx context.Context, request claims.Request) (claims.Result, error) {
	begin := d.cfg.Clock.Now()
	result, err := d.cfg.Claims.Claim(ctx, request)
	took := d.cfg.Clock.Now().Sub(begin)
	if err != nil {
		countClaim("claim", "error", took)
		d.release(request)
		return claims.Result{}, err
	}
	countClaim("claim", string(result.State), took)
	return result, nil
}

// awaitOther waits for the end of the attempt that holds the claim. A holder
// that died can report nothing any more, so its claim is unknown.
func (d *Dispatcher) awaitOther(ctx context.Context, request claims.Request, held claims.Result) (claims.Result, error) {
	for held.State == claims.Running && ctx.Err() == nil {
		if d.cfg.HolderDead(held.Holder) {
			d.markDead(request, held.Holder)
			return claims.Result{State: claims.Undecided}, nil
		}
		turn, cancel := context.WithTimeout(ctx, d.cfg.HolderCheck)
		next, err := d.cfg.Claims.Wait(turn, request)
		expired := turn.Err() != nil
		cancel()
		if err != nil && !expired {
			return claims.Result{}, err
		}
		if err == nil {
			held = next
		}
	}
	return held, nil
}

func (d *Dispatcher) markDead(request claims.Request, holder string) {
	request.Attempt = ""
	request.Holder = holder
	d.settle("unknown", func(ctx context.Context) error { return d.cfg.Claims.MarkUnknown(ctx, request) })
}

func (d *Dispatcher) release(request claims.Request) {
	d.settle("release", func(ctx context.Context) error { return d.cfg.Claims.Release(ctx, request) })
}

func (d *Dispatcher) markUnknown(request claims.Request) {
	d.settle("unknown", func(ctx context.Context) error { return d.cfg.Claims.MarkUnknown(ctx, request) })
}

func (d *Dispatcher) complete(request claims.Request, answer claims.Answer) {
	d.settle("complete", func(ctx context.Context) error { return d.cfg.Claims.Complete(ctx, request, answer) })
}

// settle reports the end of an attempt to the claim group in the background.
// The client retries calls that failed.
func (d *Dispatcher) settle(call string, f func(ctx context.Context) error) {
	d.background(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		begin := d.cfg.Clock.Now()
		result := "ok"
		if err := f(ctx); err != nil {
			result = "error"
			if errors.Is(err, claims.ErrNotHolder) {
				result = "not_holder"
			}
		}
		countClaim(call, result, d.cfg.Clock.Now().Sub(begin))
	})
}

func claimsFault(ctx context.Context, err error) *fault.Error {
	if ctx.Err() != nil {
		return fault.New(fault.DeadlineExceeded, "the claim was not decided before the deadline")
	}
	detail := "the claim group did not answer: " + err.Error()
	return fault.New(fault.ClaimsUnavailable, detail).WithRetryAfter(time.Second)
}

// answerOf is what the caller is told if the claim was not granted.
func answerOf(r Request, claim claims.Result) Result {
	switch claim.State {
	case claims.Completed:
		return replay(r, claim.Answer)
	case claims.Running:
		return Result{Err: fault.New(fault.StillRunning, "the first request with this key is still running").WithRetryAfter(time.Second)}
	case claims.Conflict:
		return Result{Err: fault.New(fault.KeyConflict, "the idempotency key was used for a request with other content")}
	case claims.Expired, claims.TooNew:
		return Result{Err: keyFault(claim.State)}
	default:
		return Result{Err: fault.New(fault.OutcomeUnknown, "a request with this key was sent and its outcome is not known")}
	}
}

func replay(r Request, answer *claims.Answer) Result {
	if answer == nil || answer.BodyOmitted {
		return Result{Err: fault.New(fault.AnswerNotKept, "the request ran, but its answer is not kept")}
	}
	header := answer.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(fault.HeaderRequestID, r.ID)
	return Result{Response: &http.Response{
		StatusCode:    answer.Status,
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(answer.Body)),
		ContentLength: int64(len(answer.Body)),
	}}
}
