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

// newOutgoing returns the request that is sent to the target.
func (e *exchange) newOutgoing(ctx context.Context, r *http.Request) (*http.Request, error) {
	out := &http.Request{
		Method: r.Method,
		URL: &url.URL{
			Scheme:   "http",
			Host:     e.target.Address,
			Path:     r.URL.Path,
			RawPath:  r.URL.RawPath,
			RawQuery: r.URL.RawQuery,
		},
		Host:          e.target.Address,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        requestHeader(r.Header, e.opt, e.client.clock.Now()),
		ContentLength: r.ContentLength,
	}
	telemetry.Inject(ctx, out.Header)
	if err := e.attachBody(out, r); err != nil {
		return nil, err
	}
	return out.WithContext(httptrace.WithClientTrace(ctx, e.clientTrace(r.Method))), nil
}

func (e *exchange) attachBody(out, r *http.Request) error {
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
	e.body = &requestBody{ReadCloser: body}
	out.Body = e.body
	return nil
}

// requestBody records whether reading the request body failed, which is caused by
// the caller and not by the target.
type requestBody struct {
	io.ReadCloser
	readFailed atomic.Bool
}

func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.readFailed.Store(true)
	}
	return n, err
}

func (b *requestBody) failed() bool { return b != nil && b.readFailed.Load() }
