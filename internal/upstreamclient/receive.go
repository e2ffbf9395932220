package upstreamclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sequoialane/sequoialane/internal/owner"
)

// receive reads a response of up to MaxBuffered bytes completely, and returns a
// larger one as a stream.
func (e *exchange) receive(ctx context.Context, cancel context.CancelCauseFunc, resp *http.Response) (*http.Response, owner.Outcome, error) {
	head, err := io.ReadAll(io.LimitReader(resp.Body, MaxBuffered+1))
	if err != nil {
		failed := e.failureOutcome(ctx, err)
		cancel(err)
		_ = resp.Body.Close()
		return nil, failed, err
	}
	if len(head) <= MaxBuffered {
		_ = resp.Body.Close()
		cancel(nil)
		resp.Body = io.NopCloser(bytes.NewReader(head))
		if len(head) > 0 || resp.ContentLength < 0 && resp.Request.Method != http.MethodHead {
			resp.ContentLength = int64(len(head))
		}
		return resp, e.completeOutcome(resp), nil
	}
	stream := &responseStream{head: bytes.NewReader(head), rest: resp.Body, cancel: cancel, now: e.client.clock.Now, readAt: e.client.clock.Now()}
	stream.onEnd = func(err error) { e.finishStream(ctx, resp, err, stream.unread >= slowCaller) }
	resp.Body = stream
	return resp, owner.Outcome{BytesSent: true}, nil
}

// completeOutcome returns the outcome of a complete response.
func (e *exchange) completeOutcome(resp *http.Response) owner.Outcome {
	kind, notRun := classifyResponse(resp.StatusCode, resp.Header)
	return owner.Outcome{
		Kind: kind, ServiceTime: e.serviceTime(), BytesSent: true, NotRun: notRun,
		Leaving: resp.Header.Get(HeaderLeaving) == "1", RetryAfter: statedRetryAfter(resp),
	}
}

// slowCaller is the time without a read after which a target may have aborted the
// response because it remained unread. Targets allow some seconds for it.
const slowCaller = time.Second

// finishStream reports the outcome of a streamed response to Options.Finished. A target
// that aborted a response which the caller has left unread is not at fault.
func (e *exchange) finishStream(ctx context.Context, resp *http.Response, err error, unread bool) {
	var o owner.Outcome
	switch {
	case errors.Is(err, io.EOF):
		o = e.completeOutcome(resp)
	case errors.Is(err, errClosed), unread:
		o = owner.Outcome{Kind: owner.Canceled, BytesSent: true, ServiceTime: e.serviceTime()}
	default:
		o = e.failureOutcome(ctx, err)
	}
	if e.opt.Finished != nil && !e.replaced.Load() {
		e.opt.Finished(o)
	}
}

var errClosed = errors.New("upstreamclient: the answer was closed before its end")

// responseStream is the body of a response that is too large to be buffered.
type responseStream struct {
	head   *bytes.Reader
	rest   io.ReadCloser
	cancel context.CancelCauseFunc
	onEnd  func(error)
	once   sync.Once
	now    func() time.Time
	readAt time.Time     // end of the last read
	unread time.Duration // longest time between two reads, in which the caller was written to
}

// Read returns io.EOF only at the verified end of the response.
func (s *responseStream) Read(p []byte) (int, error) {
	if s.head.Len() > 0 {
		return s.head.Read(p)
	}
	s.unread = max(s.unread, s.now().Sub(s.readAt))
	n, err := s.rest.Read(p)
	s.readAt = s.now()
	if err != nil {
		s.finish(err)
	}
	return n, err
}

// Close ends the exchange. If the response was not read to its end, the connection
// is closed.
func (s *responseStream) Close() error {
	s.finish(errClosed)
	return s.rest.Close()
}

func (s *responseStream) finish(err error) {
	s.once.Do(func() {
		s.onEnd(err)
		s.cancel(err)
	})
}
