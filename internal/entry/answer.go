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
	maxBufferedAnswer = 64 << 10 // bytes read whole before the first byte is passed on
	maxErrorBody      = 64 << 10 // bytes
	copyBuffer        = 64 << 10 // bytes
	writePause        = 30 * time.Second
)

// Answer is the answer of an upstream on its way to the caller.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // bytes of the body; -1: unknown
	Body   io.Reader
	Close  func() // called once, may be nil
	// Whole says that Body is held in memory and cannot break off.
	Whole bool
}

func (a *Answer) close() {
	if a.Close != nil {
		a.Close()
	}
}

// refusal is an error on its way to the caller.
type refusal struct {
	err     *fault.Error
	checked bool // the owner stated the effect after it held the claim
}

func refuse(err *fault.Error) *refusal { return &refusal{err: err} }

// settle reads the first part of an answer. A short answer is then whole; one
// that breaks off in this part returns an error and can be tried again.
func settle(a *Answer) error {
	if a.Whole || a.Length > maxBufferedAnswer {
		return nil
	}
	var first bytes.Buffer
	n, err := io.Copy(&first, io.LimitReader(a.Body, maxBufferedAnswer+1))
	if err != nil {
		return err
	}
	if n <= maxBufferedAnswer {
		a.Whole = true
		a.Length = n
		a.Body = &first
		return nil
	}
	a.Body = io.MultiReader(&first, a.Body)
	return nil
}

// writeError writes an error to the caller or to another entry. It is the only
// function that does so. A request with an idempotency key may be a resend of
// one that ran, so a refusal that did not consult the claims is not called
// not-run.
func writeError(w http.ResponseWriter, q *request, refused *refusal) {
	e := refused.err
	if q.keyed && !refused.checked && e.Effect == fault.NotRun && !neverAccepted(e.Kind) {
		e = e.WithEffect(fault.Unknown)
	}
	if refused.checked {
		w.Header().Set(headerClaimChecked, "1")
	}
	fault.Write(w, q.id, e)
}

// neverAccepted reports whether no entry ever accepts a request that is
// refused with this kind, so that an earlier one cannot have run either.
func neverAccepted(k fault.Kind) bool {
	return k == fault.KeyRequired || k == fault.KeyConflict || k == fault.KeyInvalid
}

// errAnswerBroke says that an answer broke off after its first bytes were
// passed on.
var errAnswerBroke = errors.New("entry: the answer broke off")

// writeAnswer passes an answer on. If it breaks off, the connection must be
// aborted, so that it is not taken for a short answer.
func writeAnswer(w http.ResponseWriter, q *request, a *Answer) (written int64, err error) {
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	removeConnectionHeaders(h)
	h.Set(headerRequestID, q.id)
	if a.Length >= 0 && bodyAllowed(q.method, a.Status) {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)
	if !bodyAllowed(q.method, a.Status) {
		return 0, nil
	}
	out := &pacedWriter{target: w, control: http.NewResponseController(w)}
	written, err = io.CopyBuffer(out, onlyReader{a.Body}, make([]byte, copySize(a)))
	if err != nil {
		return written, err
	}
	if a.Length >= 0 && written != a.Length {
		return written, errAnswerBroke
	}
	return written, nil
}

// bodyAllowed reports whether an answer may have a body. The Content-Length of
// one that may not describes the body of another answer and is left as it is.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func copySize(a *Answer) int {
	if a.Length >= 0 && a.Length < copyBuffer {
		return max(int(a.Length), 512)
	}
	return copyBuffer
}

// onlyReader hides WriteTo, which would pass a whole answer in one write and
// keep the write deadline from being extended.
type onlyReader struct{ io.Reader }

// pacedWriter limits the time that one part of the answer takes.
type pacedWriter struct {
	target  io.Writer
	control *http.ResponseController
}

func (p *pacedWriter) Write(b []byte) (int, error) {
	_ = p.control.SetWriteDeadline(time.Now().Add(writePause))
	return p.target.Write(b)
}
