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

// runKeyed runs a non-idempotent request, which must carry an idempotency key.
func (d *Dispatcher) runKeyed(ctx context.Context, s Scheduler, r Request) Result {
	ctx, cancel := d.callerContext(ctx, r)
	defer cancel()
	if rejection := d.checkKey(r.Key); rejection != nil {
		return Result{Err: rejection}
	}
	body, rejection := readKeyedBody(ctx, r)
	if rejection != nil {
		return Result{Err: rejection}
	}
	claimReq := r.claimRequest(requestDigest(r, body.data), d.cfg.NewAttemptID(), d.cfg.Holder)
	claim, err := d.acquireClaim(ctx, claimReq)
	if err != nil {
		return Result{Err: claimsError(ctx, err)}
	}
	if claim.State == claims.Granted {
		return d.runClaimed(ctx, s, r, claimReq, body)
	}
	return claimResult(r, claim)
}

// checkKey rejects a key that cannot be claimed. The effect of a key from the
// future is unknown, because an entry whose clock is ahead may have accepted it.
func (d *Dispatcher) checkKey(text string) *fault.Error {
	if text == "" {
		return fault.New(fault.KeyRequired, "a non-idempotent request needs the header Idempotency-Key, a UUID version 7")
	}
	key, err := claims.ParseKey(text)
	if err != nil {
		return fault.New(fault.KeyInvalid, "the idempotency key is not a UUID version 7")
	}
	return keyError(d.cfg.Limits.KeyState(key, d.cfg.Clock.Now()))
}

func keyError(state claims.State) *fault.Error {
	switch state {
	case claims.Expired:
		return fault.New(fault.KeyExpired, "the idempotency key is older than the retention time")
	case claims.TooNew:
		return fault.New(fault.KeyInvalid, "the idempotency key was created in the future").WithEffect(fault.Unknown)
	}
	return nil
}

// acquireClaim requests the claim of the key, and waits while another attempt
// holds it.
func (d *Dispatcher) acquireClaim(ctx context.Context, req claims.Request) (claims.Result, error) {
	ctx, span := telemetry.StartSpan(ctx, "claim")
	defer span.End()
	for {
		result, err := d.tryClaim(ctx, req)
		if err != nil {
			return claims.Result{}, err
		}
		if result.State == claims.Running {
			result, err = d.awaitHolder(ctx, req, result)
		}
		if err != nil || result.State != claims.Released || ctx.Err() != nil {
			return result, err
		}
	}
}

// tryClaim calls Claim once. After an error, the claim may have been granted or
// may be granted later. Nothing was sent under it, so it is released.
func (d *Dispatcher) tryClaim(ctx context.Context, req claims.Request) (claims.Result, error) {
	begin := d.cfg.Clock.Now()
	result, err := d.cfg.Claims.Claim(ctx, req)
	took := d.cfg.Clock.Now().Sub(begin)
	if err != nil {
		countClaim("claim", "error", took)
		d.release(req)
		return claims.Result{}, err
	}
	countClaim("claim", string(result.State), took)
	return result, nil
}

// awaitHolder waits for the end of the attempt that holds the claim. A holder
// that died can no longer report its outcome, so the outcome is unknown.
func (d *Dispatcher) awaitHolder(ctx context.Context, req claims.Request, held claims.Result) (claims.Result, error) {
	for held.State == claims.Running && ctx.Err() == nil {
		if d.cfg.HolderDead(held.Holder) {
			d.markHolderDead(req, held.Holder)
			return claims.Result{State: claims.Unknown}, nil
		}
		waitCtx, cancel := context.WithTimeout(ctx, d.cfg.HolderCheckInterval)
		next, err := d.cfg.Claims.Wait(waitCtx, req)
		timedOut := waitCtx.Err() != nil
		cancel()
		if err != nil && !timedOut {
			return claims.Result{}, err
		}
		if err == nil {
			held = next
		}
	}
	return held, nil
}

// markHolderDead reports the outcome of any attempt of a dead holder as unknown.
func (d *Dispatcher) markHolderDead(req claims.Request, holder string) {
	req.Attempt = ""
	req.Holder = holder
	d.reportToClaims("unknown", func(ctx context.Context) error { return d.cfg.Claims.MarkUnknown(ctx, req) })
}

func (d *Dispatcher) release(req claims.Request) {
	d.reportToClaims("release", func(ctx context.Context) error { return d.cfg.Claims.Release(ctx, req) })
}

func (d *Dispatcher) markUnknown(req claims.Request) {
	d.reportToClaims("unknown", func(ctx context.Context) error { return d.cfg.Claims.MarkUnknown(ctx, req) })
}

func (d *Dispatcher) complete(req claims.Request, answer claims.Answer) {
	d.reportToClaims("complete", func(ctx context.Context) error { return d.cfg.Claims.Complete(ctx, req, answer) })
}

// reportToClaims reports the end of an attempt to the claim group in the
// background. The claims client retries failed calls.
func (d *Dispatcher) reportToClaims(call string, report func(ctx context.Context) error) {
	d.background(func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimReportTimeout)
		defer cancel()
		begin := d.cfg.Clock.Now()
		result := "ok"
		if err := report(ctx); err != nil {
			result = "error"
			if errors.Is(err, claims.ErrNotHolder) {
				result = "not_holder"
			}
		}
		countClaim(call, result, d.cfg.Clock.Now().Sub(begin))
	})
}

func claimsError(ctx context.Context, err error) *fault.Error {
	if ctx.Err() != nil {
		return fault.New(fault.DeadlineExceeded, "the claim was not decided before the deadline")
	}
	detail := "the claim group did not answer: " + err.Error()
	return fault.New(fault.ClaimsUnavailable, detail).WithRetryAfter(time.Second)
}

// claimResult returns the result for the caller if the claim was not granted.
func claimResult(r Request, claim claims.Result) Result {
	switch claim.State {
	case claims.Completed:
		return replayAnswer(r, claim.Answer)
	case claims.Running:
		return Result{Err: fault.New(fault.StillRunning, "the first request with this key is still running").WithRetryAfter(time.Second)}
	case claims.Conflict:
		return Result{Err: fault.New(fault.KeyConflict, "the idempotency key was used for a request with other content")}
	case claims.Expired, claims.TooNew:
		return Result{Err: keyError(claim.State)}
	default:
		return Result{Err: fault.New(fault.OutcomeUnknown, "a request with this key was sent and its outcome is not known")}
	}
}

// replayAnswer returns the stored response under the id of the resent request.
func replayAnswer(r Request, answer *claims.Answer) Result {
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
