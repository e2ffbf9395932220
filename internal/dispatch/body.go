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

// requestBody is the body of a request. A buffered body can be sent again; a
// streamed body only while nothing has been read from it.
type requestBody struct {
	buffered bool
	data     []byte
	stream   *streamBody
	length   int64
}

// streamBody records whether anything was read from it. Close does nothing,
// because the HTTP server owns the body and the transport closes it even if it
// sent nothing.
type streamBody struct {
	io.Reader
	readStarted atomic.Bool
}

func (b *streamBody) Read(p []byte) (int, error) {
	b.readStarted.Store(true)
	return b.Reader.Read(p)
}

func (b *streamBody) Close() error { return nil }

// replayable reports whether the body can be sent again.
func (p *requestBody) replayable() bool { return p.buffered || !p.stream.readStarted.Load() }

// attachTo sets the body of the outgoing request r.
func (p *requestBody) attachTo(r *http.Request) {
	r.ContentLength = p.length
	if !p.buffered {
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

// readIdempotentBody buffers a body of up to MaxReplayedBody bytes for retries,
// and streams a larger one.
func readIdempotentBody(ctx context.Context, r Request) (*requestBody, *fault.Error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &requestBody{buffered: true}, nil
	}
	if r.ContentLength > MaxReplayedBody {
		return &requestBody{stream: &streamBody{Reader: r.Body}, length: r.ContentLength}, nil
	}
	head, err := io.ReadAll(io.LimitReader(r.Body, MaxReplayedBody+1))
	if err != nil {
		return nil, bodyError(ctx, err)
	}
	if len(head) <= MaxReplayedBody {
		return &requestBody{buffered: true, data: head, length: int64(len(head))}, nil
	}
	rest := &streamBody{Reader: io.MultiReader(bytes.NewReader(head), r.Body)}
	return &requestBody{stream: rest, length: r.ContentLength}, nil
}

// readKeyedBody reads the whole body of a non-idempotent request. It returns an
// error of kind BodyTooLarge above MaxKeyedBody bytes.
func readKeyedBody(ctx context.Context, r Request) (*requestBody, *fault.Error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &requestBody{buffered: true}, nil
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
	return &requestBody{buffered: true, data: data, length: int64(len(data))}, nil
}

// bodyError returns the rejection for an error while the request body was read.
func bodyError(ctx context.Context, err error) *fault.Error {
	var rejection *fault.Error
	if errors.As(err, &rejection) {
		return rejection
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.Newf(fault.BodyTooLarge, "the body is limited to %d bytes", tooLarge.Limit)
	}
	if ctx.Err() != nil {
		return fault.New(fault.SlowSender, "the body did not arrive in time")
	}
	return fault.New(fault.SlowSender, "the body broke off")
}

// requestDigest returns the hash by which a resend is recognised as the same
// request. Each part is preceded by its length, so that different requests never
// hash the same input.
func requestDigest(r Request, body []byte) [32]byte {
	h := sha256.New()
	for _, part := range []string{r.Service, r.Method, r.URL.EscapedPath(), r.URL.RawQuery} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part)))
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(body)
	return [32]byte(h.Sum(nil))
}

// outgoing returns the request for one attempt.
func (r Request) outgoing(p *requestBody) *http.Request {
	out := &http.Request{Method: r.Method, URL: r.URL, Header: r.Header}
	p.attachTo(out)
	return out
}
