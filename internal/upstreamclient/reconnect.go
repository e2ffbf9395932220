package upstreamclient

import (
	"context"
	"errors"
	"net/http"

	"github.com/sequoialane/sequoialane/internal/owner"
)

// errQuiet ends an exchange on a reused connection that heard nothing.
var errQuiet = errors.New("upstreamclient: nothing heard on a reused connection")

type result struct {
	resp    *http.Response
	outcome owner.Outcome
	err     error
}

// tryQuiet runs an exchange of an idempotent request. If a reused connection
// hears nothing for the quiet time, or breaks before an answer began, the
// request goes to the same target once more on a new connection. Only then
// does silence say anything about the target. All idle connections of the
// target are closed, since what silenced one may have silenced the others.
func (s *sending) tryQuiet(ctx context.Context, r *http.Request) (*http.Response, owner.Outcome, error) {
	done := make(chan result, 1)
	go func() {
		resp, o, err := s.try(ctx, r)
		done <- result{resp, o, err}
	}()
	first, ended := s.firstOrQuiet(done)
	if !ended {
		s.replaced.Store(true)
		s.cancel(errQuiet)
		first = <-done
	}
	if !s.tryAgain(ctx, first, ended) {
		return first.resp, first.outcome, first.err
	}
	s.conns.idempotent.CloseIdleConnections()
	second := &sending{client: s.client, target: s.target, opt: s.opt, conns: s.conns, fresh: true}
	resp, o, err := second.try(ctx, r)
	o.BytesSent = o.BytesSent || first.outcome.BytesSent
	return resp, o, err
}

// tryAgain decides whether the request goes to a new connection after the end
// of its first exchange.
func (s *sending) tryAgain(ctx context.Context, first result, ended bool) bool {
	if ended {
		return first.err != nil && s.deadConnection(ctx, first)
	}
	if first.err == nil && first.outcome.Kind == "" {
		// The answer began as it was given up; its rest will not come.
		_ = first.resp.Body.Close()
		return true
	}
	return first.err != nil && ctx.Err() == nil
}

// firstOrQuiet waits for the end of the first exchange. It returns false if a
// reused connection has heard nothing for the quiet time.
func (s *sending) firstOrQuiet(done <-chan result) (first result, ended bool) {
	select {
	case first = <-done:
		return first, true
	case <-s.client.clock.After(s.opt.Quiet):
	}
	if s.reused.Load() && !s.answering.Load() {
		return result{}, false
	}
	return <-done, true
}

func (s *sending) deadConnection(ctx context.Context, first result) bool {
	return ctx.Err() == nil && s.reused.Load() && !s.answering.Load() && !errors.Is(first.err, ErrWrongID)
}
