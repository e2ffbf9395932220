package upstreamclient

import (
	"context"
	"errors"
	"net/http"

	"github.com/sequoialane/sequoialane/internal/owner"
)

// errSilentConn ends an exchange on a reused connection that received nothing.
var errSilentConn = errors.New("upstreamclient: no response on a reused connection")

type result struct {
	resp    *http.Response
	outcome owner.Outcome
	err     error
}

// sendWithReconnect runs the exchange of an idempotent request. If a reused
// connection receives nothing for Options.SilenceTimeout, or breaks before the
// response starts, the request is sent once more to the same target on a new
// connection. Only silence on a new connection is evidence against the target.
// All idle connections of the target are closed, because whatever silenced one
// may have silenced the others.
func (e *exchange) sendWithReconnect(ctx context.Context, r *http.Request) (*http.Response, owner.Outcome, error) {
	done := make(chan result, 1)
	go func() {
		resp, o, err := e.send(ctx, r)
		done <- result{resp, o, err}
	}()
	first, ended := e.awaitFirst(done)
	if !ended {
		e.replaced.Store(true)
		e.cancel(errSilentConn)
		first = <-done
	}
	if !e.shouldReconnect(ctx, first, ended) {
		return first.resp, first.outcome, first.err
	}
	e.pools.idempotent.CloseIdleConnections()
	second := &exchange{client: e.client, target: e.target, opt: e.opt, pools: e.pools, requireNewConn: true}
	resp, o, err := second.send(ctx, r)
	o.BytesSent = o.BytesSent || first.outcome.BytesSent
	return resp, o, err
}

// shouldReconnect reports whether the request is sent again on a new connection
// after its first exchange. ended is false if that exchange was cancelled because
// of silence.
func (e *exchange) shouldReconnect(ctx context.Context, first result, ended bool) bool {
	if ended {
		return first.err != nil && e.connectionBroke(ctx, first)
	}
	if first.err == nil && first.outcome.Kind == "" {
		// The response started while the exchange was being cancelled, so the
		// rest of it will not arrive.
		_ = first.resp.Body.Close()
		return true
	}
	return first.err != nil && ctx.Err() == nil
}

// awaitFirst waits for the end of the first exchange. It returns false if a reused
// connection received nothing for Options.SilenceTimeout.
func (e *exchange) awaitFirst(done <-chan result) (first result, ended bool) {
	select {
	case first = <-done:
		return first, true
	case <-e.client.clock.After(e.opt.SilenceTimeout):
	}
	if e.reused.Load() && !e.responseStarted.Load() {
		return result{}, false
	}
	return <-done, true
}

// connectionBroke reports whether the exchange failed because a reused connection
// broke before the response started.
func (e *exchange) connectionBroke(ctx context.Context, first result) bool {
	return ctx.Err() == nil && e.reused.Load() && !e.responseStarted.Load() && !errors.Is(first.err, ErrWrongID)
}
