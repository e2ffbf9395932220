package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoialane/sequoialane/internal/callerconn"
	"github.com/sequoialane/sequoialane/internal/fault"
)

// Limits of request bodies.
const (
	maxKeyedBody    = 1 << 20   // bytes; such a body is buffered as a whole
	maxStreamBody   = 256 << 20 // bytes
	maxBufferedBody = 64 << 10  // bytes buffered if the request has no key
	readTimeout     = 5 * time.Second
	firstBuffer     = 64 << 10 // bytes allocated at most before any byte has arrived
	growthOfBuffer  = 2
)

// body is the body of a request. It is fully buffered, so that it can be sent
// again, or consists of a buffered first part and a stream.
type body struct {
	buffered      []byte
	stream        io.Reader // rest of the body; nil if all is buffered
	length        int64     // bytes; -1 if unknown
	streamStarted atomic.Bool
	reading       sync.Mutex                  // held during each read of the stream
	readErr       atomic.Pointer[fault.Error] // error that ended the stream early
	release       func()                      // gives back the memory of the buffer; may be nil
}

// close gives back the memory of the buffer.
func (b *body) close() {
	if b != nil && b.release != nil {
		b.release()
	}
}

// heldReader reads from a source and reserves memory for the buffer that takes the
// bytes, which grows to twice their number.
type heldReader struct {
	source io.Reader
	ctx    context.Context // of the request
	taken  int64
}

// Read implements io.Reader.
func (h *heldReader) Read(p []byte) (int, error) {
	n, err := h.source.Read(p)
	if n > 0 {
		more := growthOfBuffer * int64(n)
		if !callerconn.TakeBody(h.ctx, callerconn.BodyMemory(h.ctx), more) {
			return 0, fault.New(fault.Overloaded, "too many bodies are held").WithRetryAfter(time.Second)
		}
		h.taken += more
	}
	return n, err
}

func (h *heldReader) release() {
	callerconn.GiveBody(h.ctx, callerconn.BodyMemory(h.ctx), h.taken)
	h.taken = 0
}

func bufferLimit(keyed bool) int64 {
	if keyed {
		return maxKeyedBody
	}
	return maxBufferedBody
}

// readBody buffers the first part of the body and keeps the rest as a stream.
func readBody(w http.ResponseWriter, r *http.Request, keyed bool) (*body, *fault.Error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &body{}, nil
	}
	if r.ContentLength > maxStreamBody {
		return nil, fault.New(fault.BodyTooLarge, "the body has more than 256 MiB")
	}
	limit := bufferLimit(keyed)
	source := &timeoutReader{source: http.MaxBytesReader(w, r.Body, maxStreamBody), control: http.NewResponseController(w)}
	var first bytes.Buffer
	if r.ContentLength > 0 {
		first.Grow(int(min(r.ContentLength, limit, firstBuffer)) + bytes.MinRead)
	}
	held := &heldReader{source: io.LimitReader(source, limit+1), ctx: r.Context()}
	n, err := io.Copy(&first, held)
	if err != nil {
		held.release()
		return nil, bodyError(err)
	}
	b := &body{buffered: first.Bytes(), length: r.ContentLength, release: held.release}
	if n > limit {
		b.stream = source
		enableFullDuplex(source.control)
		return b, nil
	}
	b.length = n
	return b, nil
}

// enableFullDuplex lets the response start while the request body still
// arrives. Without it, net/http drops the rest of the body.
func enableFullDuplex(control *http.ResponseController) { _ = control.EnableFullDuplex() }

// replayable reports whether the body can still be sent from its start.
func (b *body) replayable() bool { return b.stream == nil || !b.streamStarted.Load() }

// limitUnreadBody bounds the time that net/http spends on reading the rest of
// the body of a rejected request.
func limitUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.Body != nil && r.Body != http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTimeout))
	}
}

// reader returns a reader of the whole body. For a streamed body it may be used
// only once.
func (b *body) reader() io.Reader {
	if b.stream == nil {
		return bytes.NewReader(b.buffered)
	}
	return &streamReader{body: b, source: io.MultiReader(bytes.NewReader(b.buffered), b.stream)}
}

// streamError returns the error that ended the stream early, or nil. net/http
// cancels the context of a request whose body cannot be read before the read
// returns, so after a cancellation it waits for the end of the read.
func (b *body) streamError(ctx context.Context) *fault.Error {
	if errors.Is(ctx.Err(), context.Canceled) {
		b.reading.Lock()
		defer b.reading.Unlock()
	}
	return b.readErr.Load()
}

// streamReader records the first read and the read error of a streamed body.
type streamReader struct {
	body   *body
	source io.Reader
}

func (s *streamReader) Read(p []byte) (int, error) {
	s.body.reading.Lock()
	defer s.body.reading.Unlock()
	s.body.streamStarted.Store(true)
	n, err := s.source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		// Part of the body may have reached the upstream, so the status must not be one
		// that says that the request did not run.
		s.body.readErr.Store(fault.New(fault.OutcomeUnknown, bodyError(err).Detail))
	}
	return n, err
}

// timeoutReader limits the duration of each read to readTimeout. The deadline is
// removed at the end of the body, since net/http then reads in the background
// to notice a closed connection. It is kept after an error, so that net/http,
// which reads the body of a rejected request to its end, does not wait for a
// stalled sender.
type timeoutReader struct {
	source  io.Reader
	control *http.ResponseController
}

func (p *timeoutReader) Read(b []byte) (int, error) {
	_ = p.control.SetReadDeadline(time.Now().Add(readTimeout))
	n, err := p.source.Read(b)
	if errors.Is(err, io.EOF) {
		_ = p.control.SetReadDeadline(time.Time{})
		return n, err
	}
	if err != nil {
		return n, bodyError(err)
	}
	return n, nil
}

// bodyError converts an error from reading the caller's body.
func bodyError(err error) *fault.Error {
	var known *fault.Error
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &tooLarge):
		return fault.New(fault.BodyTooLarge, "the body has more than 256 MiB")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.New(fault.SlowSender, "the body stopped arriving for 5s").WithRetryAfter(time.Second)
	default:
		return fault.New(fault.BadRequest, "the body broke off")
	}
}
