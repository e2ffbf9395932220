package upstreamclient

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/sequoialane/sequoialane/internal/telemetry"
)

// outgoing returns the request as it goes to the target.
func (s *sending) outgoing(ctx context.Context, r *http.Request) (*http.Request, error) {
	out := &http.Request{
		Method: r.Method,
		URL: &url.URL{
			Scheme:   "http",
			Host:     s.target.Address,
			Path:     r.URL.Path,
			RawPath:  r.URL.RawPath,
			RawQuery: r.URL.RawQuery,
		},
		Host:          s.target.Address,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        outbound(r.Header, s.opt, s.client.clock.Now()),
		ContentLength: r.ContentLength,
	}
	telemetry.Inject(ctx, out.Header)
	if err := s.attachBody(out, r); err != nil {
		return nil, err
	}
	return out.WithContext(httptrace.WithClientTrace(ctx, s.hooks())), nil
}

func (s *sending) attachBody(out, r *http.Request) error {
	if r.Body == nil || r.Body == http.NoBody {
		out.Body = http.NoBody
		return nil
	}
	body := r.Body
	if r.GetBody != nil {
		fresh, err := r.GetBody()
		if err != nil {
			return err
		}
		body = fresh
		out.GetBody = r.GetBody
	}
	s.body = &requestBody{ReadCloser: body}
	out.Body = s.body
	return nil
}

// requestBody notes whether reading the request body failed, which is the
// caller's fault and not the target's.
type requestBody struct {
	io.ReadCloser
	broken atomic.Bool
}

func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.broken.Store(true)
	}
	return n, err
}

func (b *requestBody) failed() bool { return b != nil && b.broken.Load() }
