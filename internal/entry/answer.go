package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
)

const (
	maxBufferedResponse = 64 << 10 // bytes read before the first byte is forwarded
	maxErrorBody        = 64 << 10 // bytes
	maxCopyBuffer       = 16 << 10 // bytes; held while a caller reads slowly
	writeTimeout        = 30 * time.Second
)

// Response is the response of an upstream that is forwarded to the caller.
type Response struct {
	Status int
	Header http.Header
	Length int64 // bytes of the body; -1 if unknown
	Body   io.Reader
	Close  func() // called once; may be nil
	// Buffered is set if Body is held in memory, so that reading it cannot fail.
	Buffered bool
}

func (r *Response) close() {
	if r.Close != nil {
		r.Close()
	}
}

// errorResponse is an error that is returned to the caller or the sending entry.
type errorResponse struct {
	err          *fault.Error
	claimChecked bool // the owner determined the effect while it held the claim
}

func newErrorResponse(err *fault.Error) *errorResponse { return &errorResponse{err: err} }

// bufferPrefix buffers up to maxBufferedResponse bytes of the body. A body that
// fits is then fully buffered. If the body is truncated within these bytes, it
// returns an error and the request can be retried, since nothing was forwarded.
func bufferPrefix(r *Response) error {
	if r.Buffered || r.Length > maxBufferedResponse {
		return nil
	}
	var first bytes.Buffer
	n, err := io.Copy(&first, io.LimitReader(r.Body, maxBufferedResponse+1))
	if err != nil {
		return err
	}
	if n <= maxBufferedResponse {
		r.Buffered = true
		r.Length = n
		r.Body = &first
		return nil
	}
	r.Body = io.MultiReader(&first, r.Body)
	return nil
}

// writeError writes an error to the caller or to another entry. All error
// responses to requests go through it. A request with an idempotency key may be
// a resend of one that ran, so an error returned without consulting the claims
// must not report the effect not-run.
func writeError(w http.ResponseWriter, q *request, errResp *errorResponse) {
	e := errResp.err
	if q.keyed && !errResp.claimChecked && e.Effect == fault.NotRun && !neverAccepted(e.Kind) {
		e = e.WithEffect(fault.Unknown)
	}
	if errResp.claimChecked {
		w.Header().Set(headerClaimChecked, "1")
	}
	fault.Write(w, q.id, e)
}

// neverAccepted reports whether every entry rejects a request that fails with
// this kind, so that an earlier copy of it cannot have run either.
func neverAccepted(k fault.Kind) bool {
	return k == fault.KeyRequired || k == fault.KeyConflict || k == fault.KeyInvalid
}

// errResponseTruncated is returned if a response ends early after its first
// bytes were forwarded.
var errResponseTruncated = errors.New("entry: response body truncated")

// writeResponse forwards a response and returns the bytes of the body written.
// On an error the caller of writeResponse must abort the connection, so that a
// truncated response is not taken for a complete one.
func writeResponse(w http.ResponseWriter, q *request, r *Response) (written int64, err error) {
	h := w.Header()
	connection := h.Get("Connection")
	for name, values := range r.Header {
		h[name] = values
	}
	removeHopByHopHeaders(h)
	if connection != "" {
		h.Set("Connection", connection)
	}
	h.Set(headerRequestID, q.id)
	if r.Length >= 0 && bodyAllowed(q.method, r.Status) {
		h.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	w.WriteHeader(r.Status)
	if !bodyAllowed(q.method, r.Status) {
		return 0, nil
	}
	out := &timeoutWriter{target: w, controller: http.NewResponseController(w)}
	written, err = io.CopyBuffer(out, onlyReader{r.Body}, make([]byte, copyBufferSize(r)))
	if err != nil {
		return written, err
	}
	if r.Length >= 0 && written != r.Length {
		return written, errResponseTruncated
	}
	return written, nil
}

// bodyAllowed reports whether a response may have a body. The Content-Length of
// a response without one, as to a HEAD request, describes the body that another
// response would have, so it is forwarded unchanged.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func copyBufferSize(r *Response) int {
	if r.Length >= 0 && r.Length < maxCopyBuffer {
		return max(int(r.Length), 512)
	}
	return maxCopyBuffer
}

// onlyReader hides WriteTo, which would copy a whole response in one write, so
// that the write deadline could not be extended between parts.
type onlyReader struct{ io.Reader }

// timeoutWriter limits the duration of each write to writeTimeout.
type timeoutWriter struct {
	target     io.Writer
	controller *http.ResponseController
}

func (t *timeoutWriter) Write(b []byte) (int, error) {
	_ = t.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	return t.target.Write(b)
}
