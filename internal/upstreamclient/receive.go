package upstreamclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/sequoialane/sequoialane/internal/owner"
)

// receive reads a small answer whole, and returns a larger one as a stream.
func (s *sending) receive(ctx context.Context, cancel context.CancelCauseFunc, resp *http.Response) (*http.Response, owner.Outcome, error) {
	head, err := io.ReadAll(io.LimitReader(resp.Body, MaxBuffered+1))
	if err != nil {
		failed := s.failure(ctx, err)
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
		return resp, s.whole(resp), nil
	}
	resp.Body = &stream{
		head:   bytes.NewReader(head),
		rest:   resp.Body,
		cancel: cancel,
		end:    func(err error) { s.finish(ctx, resp, err) },
	}
	return resp, owner.Outcome{BytesSent: true}, nil
}

func (s *sending) whole(resp *http.Response) owner.Outcome {
	kind, notRun := classifyAnswer(resp.StatusCode, resp.Header)
	return owner.Outcome{Kind: kind, ServiceTime: s.serviceTime(), BytesSent: true, NotRun: notRun}
}

// finish reports the outcome of a streamed answer.
func (s *sending) finish(ctx context.Context, resp *http.Response, err error) {
	var o owner.Outcome
	switch {
	case errors.Is(err, io.EOF):
		o = s.whole(resp)
	case errors.Is(err, errClosed):
		o = owner.Outcome{Kind: owner.Canceled, BytesSent: true, ServiceTime: s.serviceTime()}
	default:
		o = s.failure(ctx, err)
	}
	if s.opt.Finished != nil && !s.replaced.Load() {
		s.opt.Finished(o)
	}
}

var errClosed = errors.New("upstreamclient: the answer was closed before its end")

// stream is the body of an answer that is not read whole in advance.
type stream struct {
	head   *bytes.Reader
	rest   io.ReadCloser
	cancel context.CancelCauseFunc
	end    func(error)
	once   sync.Once
}

// Read returns io.EOF only at the proven end of the answer.
func (s *stream) Read(p []byte) (int, error) {
	if s.head.Len() > 0 {
		return s.head.Read(p)
	}
	n, err := s.rest.Read(p)
	if err != nil {
		s.finish(err)
	}
	return n, err
}

// Close ends the exchange. If the answer was not read to its end, the
// connection is closed.
func (s *stream) Close() error {
	s.finish(errClosed)
	return s.rest.Close()
}

func (s *stream) finish(err error) {
	s.once.Do(func() {
		s.end(err)
		s.cancel(err)
	})
}
