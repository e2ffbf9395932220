package targetconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"github.com/sequoialane/sequoialane/internal/httphead"
	"github.com/sequoialane/sequoialane/internal/membudget"
	"github.com/sequoialane/sequoialane/internal/pool"
)

// Bounds on what is read from a target for one request. Package http bounds chunk
// lines and trailers by the size of the read buffer.
const (
	// maxHeadBytes bounds the heads of the response, of interim responses and of
	// late responses to other requests together.
	maxHeadBytes = 64 << 10
	// maxSkippedResponses limits how many responses to other requests are
	// skipped, and maxSkippedBytes the length of each body.
	maxSkippedResponses = 2
	maxSkippedBytes     = 1 << 20
	// maxInterimResponses limits how many responses with status 1xx are skipped.
	maxInterimResponses = 16
	// maxBufferedBody is the size in bytes up to which a response body is read
	// completely before any of it is passed on.
	maxBufferedBody = 1 << 20
	// minBodyBuffer is the initial size in bytes of the buffer of a response body
	// of unknown length.
	minBodyBuffer = 4 << 10
)

var (
	errOtherRequest   = errors.New("the response belongs to another request")
	errNoRequestID    = errors.New("the response carries no request id")
	errNoSignature    = errors.New("the success response carries no signature of the target")
	errHeadTooLarge   = errors.New("the target sent too many bytes before the body of a response")
	errInterimFlood   = errors.New("the target sent too many interim responses")
	errSkippedTooLong = errors.New("the response to another request is too long")
)

// Response is the response of a target. Its user must call Close.
type Response struct {
	Status int
	Header http.Header
	Body   []byte    // the part of the body that was buffered
	Rest   io.Reader // the body after Body; nil if Body is complete
	Length int64     // length of the complete body; -1: unknown

	rest   *restBody
	memory *membudget.Budget
	held   int64 // bytes taken from memory
	onEnd  func(pool.OutcomeKind)
}

// OnEnd sets a function that Close calls with the outcome of reading Rest: OK if
// the body was read to its end.
func (r *Response) OnEnd(f func(pool.OutcomeKind)) { r.onEnd = f }

// Close frees the memory of the body and closes the connection if the body is not
// buffered completely. A further call has no effect.
func (r *Response) Close() {
	if r.rest != nil {
		_ = r.rest.conn.Close()
	}
	if r.memory != nil {
		r.memory.Give(r.held)
	}
	if r.onEnd != nil {
		r.onEnd(r.rest.outcome())
	}
	r.rest, r.memory, r.onEnd = nil, nil, nil
}

// restBody reads the rest of a body from its connection, which is not reused.
type restBody struct {
	io.Reader
	conn   *conn
	now    func() time.Time
	err    error         // of the last read
	readAt time.Time     // end of the last read
	unread time.Duration // longest time between two reads, in which the caller was written to
}

// slowCaller is the time without a read after which a target may have aborted the
// response because it remained unread. Targets allow some seconds for it.
const slowCaller = time.Second

// Read implements io.Reader.
func (b *restBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	b.unread = max(b.unread, b.now().Sub(b.readAt))
	n, err := b.Reader.Read(p)
	b.err, b.readAt = err, b.now()
	return n, err
}

// endCheckedBody is a body that ends with its connection. It returns io.EOF only
// if the response is complete.
type endCheckedBody struct {
	io.ReadCloser
	conn    *conn
	request bodyWrite
}

// Read implements io.Reader.
func (b *endCheckedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if failed := b.conn.checkEnd(b.request); failed != nil {
			return n, failed
		}
	}
	return n, err
}

// endsWithConnection reports whether only the end of the connection delimits the
// body of the response.
func endsWithConnection(method string, raw *http.Response) bool {
	return raw.ContentLength < 0 && len(raw.TransferEncoding) == 0 && method != http.MethodHead
}

// outcome returns how reading the body ended.
func (b *restBody) outcome() pool.OutcomeKind {
	switch {
	case errors.Is(b.err, io.EOF):
		return pool.OK
	case errors.Is(b.err, os.ErrDeadlineExceeded):
		return pool.Timeout
	case b.err != nil && b.unread >= slowCaller:
		return pool.Canceled // no fault of the target
	case b.err != nil:
		return pool.InvalidResponse
	default:
		return pool.Canceled
	}
}

// limitRest bounds the reading of a body that was not buffered by the deadline of
// the request.
func limitRest(ctx context.Context, cn *conn) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	// An error means that the connection is closed, which the next read reports.
	_ = cn.SetReadDeadline(deadline)
}

// responseHead is the head of the response to a request.
type responseHead struct {
	*http.Response
	advice Advice
}

// readResponse reads the response to the request. It skips late responses to
// earlier requests.
func (c *Client) readResponse(t Target, cn *conn, r Request, written bodyWrite) (*Response, responseHead, error) {
	headBytes := int64(maxHeadBytes)
	for range maxSkippedResponses + 1 {
		raw, err := cn.readHead(r.Method, &headBytes)
		if err != nil {
			return nil, responseHead{}, err
		}
		a := c.handleAdvice(t, raw)
		id := raw.Header.Get(c.names.RequestID)
		if id == r.ID {
			if endsWithConnection(r.Method, raw) {
				raw.Body = &endCheckedBody{ReadCloser: raw.Body, conn: cn, request: written}
			}
			response, err := c.readBody(cn, raw)
			if err != nil {
				return nil, responseHead{}, &invalidResponseError{err}
			}
			return response, responseHead{Response: raw, advice: a}, nil
		}
		if id == "" {
			return nil, responseHead{}, &invalidResponseError{errNoRequestID}
		}
		if err := skipBody(raw); err != nil {
			return nil, responseHead{}, &invalidResponseError{err}
		}
	}
	return nil, responseHead{}, &invalidResponseError{errOtherRequest}
}

// skipBody reads the body of a response to another request.
func skipBody(raw *http.Response) error {
	if raw.Close {
		return errOtherRequest
	}
	n, err := io.Copy(io.Discard, io.LimitReader(raw.Body, maxSkippedBytes+1))
	if err == nil && n > maxSkippedBytes {
		err = errSkippedTooLong
	}
	return err
}

// readHead reads the head of the next final response; it skips interim ones. It
// reads at most headBytes bytes from the connection and subtracts them from it.
func (cn *conn) readHead(method string, headBytes *int64) (*http.Response, error) {
	cn.limit.remaining = *headBytes
	defer func() {
		*headBytes = cn.limit.remaining
		cn.limit.remaining = math.MaxInt64
	}()
	for range maxInterimResponses + 1 {
		if err := cn.validateHead(); err != nil {
			return nil, err
		}
		raw, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, &invalidResponseError{err}
		}
		if raw.StatusCode >= http.StatusOK {
			return raw, nil
		}
	}
	return nil, &invalidResponseError{errInterimFlood}
}

// validateHead waits for the next head and validates it without consuming it. A
// head that is longer than the read buffer enlarges that, up to the limit of the
// connection.
func (cn *conn) validateHead() error {
	if _, err := cn.reader.Peek(1); err != nil {
		return err // no byte of a response arrived
	}
	var head httphead.Parser
	for parsed := 0; ; {
		received, _ := cn.reader.Peek(cn.reader.Buffered())
		if _, err := head.Parse(received[parsed:]); err != nil {
			return &invalidResponseError{err}
		}
		if head.Done() {
			return nil
		}
		parsed = len(received)
		switch {
		case parsed >= maxHeadBytes:
			return &invalidResponseError{errHeadTooLarge}
		case parsed == cn.reader.Size():
			cn.reader = bufio.NewReaderSize(cn.reader, min(2*parsed, maxHeadBytes))
		}
		if _, err := cn.reader.Peek(parsed + 1); err != nil {
			return &invalidResponseError{err}
		}
	}
}

// limitedReader reads from a connection and fails once remaining bytes were read.
type limitedReader struct {
	source    io.Reader
	remaining int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.source.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}

// newReader returns the buffered reader of a connection and its limit.
func newReader(source io.Reader) (*bufio.Reader, *limitedReader) {
	limit := &limitedReader{source: source, remaining: math.MaxInt64}
	return bufio.NewReaderSize(limit, readBufferSize), limit
}

// readBody buffers the body, up to maxBufferedBody and as far as the memory for
// responses allows.
func (c *Client) readBody(cn *conn, raw *http.Response) (*Response, error) {
	r := &Response{Status: raw.StatusCode, Header: raw.Header, Length: raw.ContentLength, memory: c.memory}
	for {
		if len(r.Body) == cap(r.Body) && !r.grow() {
			r.rest = &restBody{Reader: raw.Body, conn: cn, now: c.clock.Now, readAt: c.clock.Now()}
			r.Rest = r.rest
			return r, nil
		}
		n, err := raw.Body.Read(r.Body[len(r.Body):cap(r.Body)])
		r.Body = r.Body[:len(r.Body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return r, nil
		case err != nil:
			r.Close()
			return nil, err
		}
	}
}

// grow enlarges the buffer of the body. It returns false if the buffer has its
// largest size or the memory for responses is used up.
func (r *Response) grow() bool {
	size := max(2*cap(r.Body), minBodyBuffer)
	if cap(r.Body) == 0 && r.Length >= 0 {
		size = int(min(r.Length+1, maxBufferedBody)) // one more byte, so that the end is read without growing
	}
	size = min(size, maxBufferedBody)
	more := int64(size - cap(r.Body))
	if more <= 0 || !r.memory.Take(more) {
		return false
	}
	r.held += more
	r.Body = append(make([]byte, 0, size), r.Body...)
	return true
}
