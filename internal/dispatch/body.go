package dispatch

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/sequoialane/sequoialane/internal/fault"
)

// payload is the body of a request. A whole one can be sent again; a streamed
// one only as long as nothing was read from it.
type payload struct {
	whole  bool
	data   []byte
	stream *onceBody
	length int64
}

// onceBody notes whether anything was read. Close does nothing: the body
// belongs to the server, and the transport closes it even if it sent nothing.
type onceBody struct {
	io.Reader
	touched atomic.Bool
}

func (b *onceBody) Read(p []byte) (int, error) {
	b.touched.Store(true)
	return b.Reader.Read(p)
}

func (b *onceBody) Close() error { return nil }

// replayable reports whether the body can be sent once more.
func (p *payload) replayable() bool { return p.whole || !p.stream.touched.Load() }

// attach sets the body of a request to the target.
func (p *payload) attach(r *http.Request) {
	r.ContentLength = p.length
	if !p.whole {
		r.Body = p.stream
		return
	}
	if len(p.data) == 0 {
		r.Body = http.NoBody
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(p.data))
	r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(p.data)), nil }
}

// readIdempotent keeps a small body for retries and streams a larger one.
func readIdempotent(ctx context.Context, r Request) (*payload, *fault.Error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &payload{whole: true}, nil
	}
	if r.ContentLength > MaxReplayedBody {
		return &payload{stream: &onceBody{Reader: r.Body}, length: r.ContentLength}, nil
	}
	head, err := io.ReadAll(io.LimitReader(r.Body, MaxReplayedBody+1))
	if err != nil {
		return nil, bodyError(ctx, err)
	}
	if len(head) <= MaxReplayedBody {
		return &payload{whole: true, data: head, length: int64(len(head))}, nil
	}
	rest := &onceBody{Reader: io.MultiReader(bytes.NewReader(head), r.Body)}
	return &payload{stream: rest, length: r.ContentLength}, nil
}

// readKeyed reads the whole body of a non-idempotent request.
func readKeyed(ctx context.Context, r Request) (*payload, *fault.Error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &payload{whole: true}, nil
	}
	tooLarge := fault.Newf(fault.BodyTooLarge, "the body of a non-idempotent request is limited to %d bytes", MaxKeyedBody)
	if r.ContentLength > MaxKeyedBody {
		return nil, tooLarge
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, MaxKeyedBody+1))
	if err != nil {
		return nil, bodyError(ctx, err)
	}
	if len(data) > MaxKeyedBody {
		return nil, tooLarge
	}
	return &payload{whole: true, data: data, length: int64(len(data))}, nil
}

func bodyError(ctx context.Context, err error) *fault.Error {
	var known *fault.Error
	if errors.As(err, &known) {
		return known
	}
	var limit *http.MaxBytesError
	if errors.As(err, &limit) {
		return fault.Newf(fault.BodyTooLarge, "the body is limited to %d bytes", limit.Limit)
	}
	if ctx.Err() != nil {
		return fault.New(fault.SlowSender, "the body did not arrive in time")
	}
	return fault.New(fault.SlowSender, "the body broke off")
}

// digest covers everything that makes two requests the same. Each part is
// preceded by its length, so that no two requests give the same input.
func digest(r Request, body []byte) [32]byte {
	h := sha256.New()
	for _, part := range []string{r.Service, r.Method, r.URL.EscapedPath(), r.URL.RawQuery} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part)))
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(body)
	return [32]byte(h.Sum(nil))
}

// outgoing returns the request for one attempt.
func (r Request) outgoing(p *payload) *http.Request {
	out := &http.Request{Method: r.Method, URL: r.URL, Header: r.Header}
	p.attach(out)
	return out
}
