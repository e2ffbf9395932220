package targetconn

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/tcpalive"
)

const (
	// maxInlineBody is the body size in bytes up to which header and body are
	// sent in one write.
	maxInlineBody   = 16 << 10
	pastUnixSeconds = 1 // a past time in Unix seconds; as a deadline it ends reads and writes at once
)

// HeaderNames are the names of the headers that targets understand.
type HeaderNames struct {
	RequestID string // id of the request; the target repeats it in the response
	Deadline  string // milliseconds left for the request
	TargetID  string // id of the intended target
	NotRun    string // in a response: the target did not run the request
	Signature string // in a response: proves that the target itself responded
	Leaving   string // in a response: 1 if the target is about to stop; empty: targets do not say so
	Load      string // in a response: running requests, waiting requests and slots, separated by commas
	Key       string // key of the caller's tenant; never sent to a target
	Tenant    string // name of the caller's tenant, set by the gateway
}

// Request is a request to a target.
type Request struct {
	ID       string
	Method   string
	URI      string // path and query, unchanged
	Host     string
	Header   http.Header // without hop-by-hop fields
	Body     []byte
	TimeLeft time.Duration
	// Permit is called immediately before the request is sent. With an error, which
	// the result holds, the request is not sent, and its outcome is pool.Unsent. It may
	// be nil.
	Permit func() error
}

// Result is the result of an attempt.
type Result struct {
	Response   *Response // nil without a usable response
	Outcome    pool.OutcomeKind
	Load       *pool.Load // load that the target reported; nil: none
	MayHaveRun bool       // the target may have run the request
	Leaving    bool       // the target is about to stop
	Reused     bool       // the connection was used before
	Err        error
}

// Send sends the request to the target and reads its response.
func (c *Client) Send(ctx context.Context, t Target, r Request) Result {
	cn, err := c.connect(ctx, t)
	if err != nil {
		outcome := pool.ConnectFailed
		if ctx.Err() != nil {
			outcome = pool.Canceled
		}
		return Result{Outcome: outcome, Err: err}
	}
	if r.Permit != nil {
		if err := r.Permit(); err != nil {
			_ = cn.Close()
			return Result{Outcome: pool.Unsent, Err: err}
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(pastUnixSeconds, 0)) })
	result, keepAlive, reusable := c.exchange(t, cn, r)
	result.Reused = cn.reused
	// Once stop has returned true, nothing sets a deadline on the connection any
	// more, so it can be kept.
	stopped := stop()
	switch {
	case result.Response != nil && result.Response.Rest != nil:
		if stopped {
			limitRest(ctx, cn)
		}
	case reusable && stopped:
		c.putIdle(t, cn, keepAlive)
	default:
		_ = cn.Close()
	}
	if !stopped && result.Response == nil && !isInvalid(result.Err) {
		result.Outcome = pool.Canceled
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			result.Outcome = pool.Timeout
		}
	}
	if result.Outcome == pool.Reset && cn.reused {
		c.lowerIdleLimit(cn.idleFor)
	}
	return result
}

// exchange writes the request and reads the response. It reports whether the
// connection can be reused, and for how long the target keeps it open while idle;
// 0: not stated.
func (c *Client) exchange(t Target, cn *conn, r Request) (result Result, keepAlive time.Duration, reusable bool) {
	if len(r.Body) > maxInlineBody {
		// The target may be at work before it reads the rest of the body. The
		// deadline of the request bounds that.
		defer tcpalive.AllowClosedWindow(cn.Conn, r.TimeLeft, userTimeout)()
	}
	written, err := cn.writeRequest(c.encodeHead(t, r), r.Body)
	if err != nil {
		return Result{Outcome: pool.Reset, MayHaveRun: true, Err: fmt.Errorf("the request was not written completely: %w", err)}, 0, false
	}
	response, head, err := c.readResponse(t, cn, r, written)
	if err != nil {
		return Result{Outcome: outcomeOfError(err), MayHaveRun: true, Err: err}, 0, false
	}
	raw := head.Response
	reusable = !raw.Close && response.Rest == nil && cn.reader.Buffered() == 0 && written.done() && cn.reader.Size() <= maxKeptBuffer
	result = c.classify(response, head.advice)
	result.Leaving = head.advice.Leaving
	result.Load = parseLoad(raw.Header.Get(c.names.Load))
	return result, keepAliveTimeout(raw.Header), reusable
}

// parseLoad parses the load header of a target. It returns nil if there is none
// or it is malformed.
func parseLoad(text string) *pool.Load {
	parts := strings.Split(text, ",")
	if len(parts) < 2 {
		return nil
	}
	running, err := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(parts[1]))
	if err != nil || err2 != nil || running < 0 || waiting < 0 {
		return nil
	}
	return &pool.Load{Running: running, Waiting: waiting}
}

// classify returns the result for a response.
func (c *Client) classify(resp *Response, a Advice) Result {
	notRun := resp.Header.Get(c.names.NotRun) != ""
	switch {
	case a.RetryAfter > 0:
		return Result{Outcome: pool.Postponed, MayHaveRun: !notRun, Response: resp}
	case resp.Status == http.StatusMisdirectedRequest:
		return Result{Outcome: pool.Misdirected, Response: resp}
	case notRun:
		return Result{Outcome: pool.Shed, Response: resp}
	case resp.Status/100 == 2 && resp.Header.Get(c.names.Signature) == "":
		resp.Close()
		return Result{Outcome: pool.InvalidResponse, MayHaveRun: true, Err: errNoSignature}
	case resp.Status >= http.StatusInternalServerError:
		return Result{Outcome: pool.Failed, MayHaveRun: true, Response: resp}
	default:
		return Result{Outcome: pool.OK, MayHaveRun: true, Response: resp}
	}
}

// outcomeOfError distinguishes a connection that ended before any response from a
// response that cannot be used.
func outcomeOfError(err error) pool.OutcomeKind {
	if isInvalid(err) {
		return pool.InvalidResponse
	}
	return pool.Reset
}

// invalidResponseError is the error for a response that began but cannot be used.
type invalidResponseError struct{ err error }

func (e *invalidResponseError) Error() string { return "invalid response: " + e.err.Error() }
func (e *invalidResponseError) Unwrap() error { return e.err }

// isInvalid reports whether the error says that the target sent bytes that are no
// usable response. An end by a deadline does not say so.
func isInvalid(err error) bool {
	var invalid *invalidResponseError
	return errors.As(err, &invalid) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// encodeHead returns the request line and the header.
func (c *Client) encodeHead(t Target, r Request) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	b.WriteString(c.names.Deadline + ": " + strconv.FormatInt(max(r.TimeLeft.Milliseconds(), 1), 10) + "\r\n")
	b.WriteString(c.names.TargetID + ": " + t.ID + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// bodyWrite is a request body that is written while the response is awaited,
// since a target may respond before it has read the complete body.
type bodyWrite struct {
	ended chan struct{} // closed when the write has returned; nil: it had before
	err   *error        // of the write, once it has returned
}

// done reports whether the body was written completely.
func (w bodyWrite) done() bool {
	if w.ended == nil {
		return true
	}
	select {
	case <-w.ended:
		return *w.err == nil
	default:
		return false
	}
}

// wait returns the error of the write after it has returned.
func (w bodyWrite) wait() error {
	if w.ended == nil {
		return nil
	}
	<-w.ended
	return *w.err
}

// writeRequest writes the head and starts to write the body. A long body is
// written in the background.
func (cn *conn) writeRequest(head, body []byte) (bodyWrite, error) {
	if len(body) <= maxInlineBody {
		_, err := cn.Conn.Write(append(head, body...))
		return bodyWrite{}, err
	}
	if _, err := cn.Conn.Write(head); err != nil {
		return bodyWrite{}, err
	}
	w := bodyWrite{ended: make(chan struct{}), err: new(error)}
	go func() {
		defer close(w.ended)
		_, *w.err = cn.Conn.Write(body)
	}()
	return w, nil
}

// keepAliveTimeout returns the timeout of the Keep-Alive header, after which the
// target closes the idle connection; 0: none.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}
