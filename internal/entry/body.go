package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
)

// Limits of request bodies.
const (
	maxKeyedBody  = 1 << 20   // bytes; also the part that is buffered
	maxStreamBody = 256 << 20 // bytes
	bufferedBody  = 64 << 10  // bytes buffered of a body without a key
	readPause     = 5 * time.Second
)

// body is the body of a request: buffered, so that it can be sent again, or a
// buffered first part and a stream.
type body struct {
	buffered []byte
	stream   io.Reader // nil if all is buffered
	length   int64     // -1: unknown
	started  atomic.Bool
	failed   atomic.Pointer[fault.Error] // why the stream ended early
}

func bufferLimit(keyed bool) int64 {
	if keyed {
		return maxKeyedBody
	}
	return bufferedBody
}

// readBody reads the first part of the body.
func readBody(w http.ResponseWriter, r *http.Request, keyed bool) (*body, *fault.Error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &body{}, nil
	}
	if r.ContentLength > maxStreamBody {
		return nil, fault.New(fault.BodyTooLarge, "the body has more than 256 MiB")
	}
	limit := bufferLimit(keyed)
	source := &pacedReader{source: http.MaxBytesReader(w, r.Body, maxStreamBody), control: http.NewResponseController(w)}
	var first bytes.Buffer
	if r.ContentLength > 0 {
		first.Grow(int(min(r.ContentLength, limit)) + bytes.MinRead)
	}
	n, err := io.Copy(&first, io.LimitReader(source, limit+1))
	if err != nil {
		return nil, bodyFault(err)
	}
	b := &body{buffered: first.Bytes(), length: r.ContentLength}
	if n > limit {
		b.stream = source
		allowDuplex(source.control)
		return b, nil
	}
	b.length = n
	return b, nil
}

// allowDuplex lets an answer begin while the body still arrives; net/http would
// drop the rest of the body otherwise.
func allowDuplex(control *http.ResponseController) { _ = control.EnableFullDuplex() }

// replayable reports whether the body can still be sent from its start.
func (b *body) replayable() bool { return b.stream == nil || !b.started.Load() }

// limitRest bounds the time that net/http waits for the rest of a body that
// was refused unread.
func limitRest(w http.ResponseWriter, r *http.Request) {
	if r.Body != nil && r.Body != http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readPause))
	}
}

// reader returns the whole body. A streamed body has one reader only.
func (b *body) reader() io.Reader {
	if b.stream == nil {
		return bytes.NewReader(b.buffered)
	}
	return &startedReader{body: b, source: io.MultiReader(bytes.NewReader(b.buffered), b.stream)}
}

// startedReader notes the first read of a streamed body.
type startedReader struct {
	body   *body
	source io.Reader
}

func (s *startedReader) Read(p []byte) (int, error) {
	s.body.started.Store(true)
	n, err := s.source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		// Part of the body may have reached the upstream.
		s.body.failed.Store(bodyFault(err).WithEffect(fault.Unknown))
	}
	return n, err
}

// pacedReader limits the time between two parts of the body. The limit is
// lifted at the end of the body, since net/http watches the connection for its
// end then. It stays after an error, so that net/http, which reads on to the
// end of a refused body, does not wait for a stalled sender.
type pacedReader struct {
	source  io.Reader
	control *http.ResponseController
}

func (p *pacedReader) Read(b []byte) (int, error) {
	_ = p.control.SetReadDeadline(time.Now().Add(readPause))
	n, err := p.source.Read(b)
	if errors.Is(err, io.EOF) {
		_ = p.control.SetReadDeadline(time.Time{})
		return n, err
	}
	if err != nil {
		return n, bodyFault(err)
	}
	return n, nil
}

// bodyFault maps an error of reading the caller's body.
func bodyFault(err error) *fault.Error {
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
