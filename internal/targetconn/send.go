package targetconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sequoialane/sequoialane/internal/pool"
)

const (
	// inlineBody is the body size up to which header and body go out in one
	// write.
	inlineBody = 16 << 10
	// wholeAnswer is the size up to which an answer is read whole before any of
	// it is passed on.
	wholeAnswer = 1 << 20
	// maxForeign bounds the answers to other requests that are skipped.
	maxForeign = 2
	longAgo    = 1 // Unix seconds of a deadline that ends reads and writes at once
)

// HeaderNames are the names of the headers that targets understand.
type HeaderNames struct {
	RequestID   string // repeated in the answer
	Deadline    string // milliseconds that are left
	Instance    string // id of the target that is meant
	NotExecuted string // in an answer: the target did not run the request
	Signature   string // in an answer: the mark of the target
	Load        string // in an answer: running and waiting requests and slots, with commas
}

// Request is a request as it goes to a target.
type Request struct {
	ID       string
	Method   string
	URI      string // path and query, unchanged
	Host     string
	Header   http.Header // without those that concern one connection
	Body     []byte
	TimeLeft time.Duration
}

// Answer is the answer of a target.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte        // whole, if Rest is nil
	Rest   io.ReadCloser // what follows Body; nil: nothing
	Length int64         // of the whole body; -1: not stated
}

// Result is what is known after an attempt.
type Result struct {
	Answer  *Answer // nil: none
	Outcome pool.OutcomeKind
	Load    *pool.Load
	Sent    bool // bytes went out, so the target may run or have run it
	Reused  bool // on a connection that was used before
	Err     error
}

var (
	errForeign   = errors.New("the answer belongs to another request")
	errUnmarked  = errors.New("the answer does not carry the request id")
	errSignature = errors.New("a success without the target's mark")
)

// Send sends the request to the target and reads its answer.
func (c *Client) Send(ctx context.Context, t Target, r Request) Result {
	k, err := c.get(ctx, t)
	if err != nil {
		outcome := pool.ConnectFailed
		if ctx.Err() != nil {
			outcome = pool.Canceled
		}
		return Result{Outcome: outcome, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(longAgo, 0)) })
	result := c.exchange(ctx, t, k, r)
	result.Reused = k.reused
	if !stop() && result.Answer == nil && ctx.Err() != nil {
		result.Outcome = pool.Canceled
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			result.Outcome = pool.NoAnswer
		}
	}
	if result.Outcome == pool.Reset && k.reused {
		c.resetAfterIdle(k.idleFor)
	}
	return result
}

// exchange writes the request and reads the answer. It closes the connection or
// keeps it for the next request.
func (c *Client) exchange(ctx context.Context, t Target, k *conn, r Request) Result {
	written, err := k.write(c.encode(t, r), r.Body)
	if err != nil {
		_ = k.Close()
		return Result{Outcome: pool.Reset, Sent: true, Err: fmt.Errorf("the request was not written: %w", err)}
	}
	answer, response, err := c.read(k, r)
	if err != nil {
		_ = k.Close()
		return Result{Outcome: outcomeOf(err), Sent: true, Err: err}
	}
	keep := !response.Close && answer.Rest == nil && k.reader.Buffered() == 0 && written.done()
	switch {
	case answer.Rest != nil:
		answer.Rest = &restBody{ReadCloser: answer.Rest, conn: k}
	case keep && ctx.Err() == nil:
		c.put(t, k, statedIdle(response.Header))
	default:
		_ = k.Close()
	}
	result := c.judge(answer)
	result.Load = parseLoad(response.Header.Get(c.names.Load))
	return result
}

// parseLoad reads the load that a target tells; nil: none, or not readable.
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

// judge says what the answer means.
func (c *Client) judge(a *Answer) Result {
	notRun := a.Header.Get(c.names.NotExecuted) != ""
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		return Result{Outcome: pool.Misdirected, Answer: a}
	case notRun:
		return Result{Outcome: pool.Shed, Answer: a}
	case a.Status/100 == 2 && a.Header.Get(c.names.Signature) == "":
		a.close()
		return Result{Outcome: pool.Broken, Sent: true, Err: errSignature}
	case a.Status >= http.StatusInternalServerError:
		return Result{Outcome: pool.Failed, Sent: true, Answer: a}
	default:
		return Result{Outcome: pool.OK, Sent: true, Answer: a}
	}
}

func (a *Answer) close() {
	if a.Rest != nil {
		_ = a.Rest.Close()
	}
}

// outcomeOf tells an end of the connection before an answer from an answer that
// cannot be used.
func outcomeOf(err error) pool.OutcomeKind {
	var broken *brokenError
	if errors.As(err, &broken) {
		return pool.Broken
	}
	return pool.Reset
}

// brokenError is an answer that began and cannot be used.
type brokenError struct{ err error }

func (e *brokenError) Error() string { return "broken answer: " + e.err.Error() }
func (e *brokenError) Unwrap() error { return e.err }

func (c *Client) encode(t Target, r Request) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	b.WriteString(c.names.Deadline + ": " + strconv.FormatInt(max(r.TimeLeft.Milliseconds(), 1), 10) + "\r\n")
	b.WriteString(c.names.Instance + ": " + t.ID + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// writing is a body that goes out while the answer is awaited, since a target
// may answer before it has read all of it.
type writing struct{ ended chan struct{} }

func (w writing) done() bool {
	if w.ended == nil {
		return true
	}
	select {
	case <-w.ended:
		return true
	default:
		return false
	}
}

func (k *conn) write(head, body []byte) (writing, error) {
	if len(body) <= inlineBody {
		_, err := k.Conn.Write(append(head, body...))
		return writing{}, err
	}
	if _, err := k.Conn.Write(head); err != nil {
		return writing{}, err
	}
	w := writing{ended: make(chan struct{})}
	go func() {
		if _, err := k.Conn.Write(body); err == nil {
			close(w.ended)
		}
	}()
	return w, nil
}

// read reads the answer to the request. Answers to other requests, which come
// late, are skipped.
func (c *Client) read(k *conn, r Request) (*Answer, *http.Response, error) {
	for range maxForeign + 1 {
		response, err := readHeader(k.reader, r.Method)
		if err != nil {
			return nil, nil, err
		}
		answer, err := readBody(response)
		if err != nil {
			return nil, nil, &brokenError{err}
		}
		id := response.Header.Get(c.names.RequestID)
		if id == r.ID {
			return answer, response, nil
		}
		if id == "" {
			answer.close()
			return nil, nil, &brokenError{errUnmarked}
		}
		if answer.Rest != nil || response.Close {
			answer.close()
			return nil, nil, &brokenError{errForeign}
		}
	}
	return nil, nil, &brokenError{errForeign}
}

// readHeader reads the header of the next final answer.
func readHeader(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		if _, err := reader.Peek(1); err != nil {
			return nil, err // nothing of an answer arrived
		}
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, &brokenError{err}
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

func readBody(response *http.Response) (*Answer, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, wholeAnswer))
	if err != nil {
		return nil, err
	}
	a := &Answer{Status: response.StatusCode, Header: response.Header, Body: body, Length: response.ContentLength}
	if len(body) == wholeAnswer {
		a.Rest = response.Body
	}
	return a, nil
}

// restBody closes the connection after a long answer, which is not kept.
type restBody struct {
	io.ReadCloser
	conn *conn
}

func (b *restBody) Close() error { return b.conn.Close() }

// statedIdle returns the time for which the target keeps the idle connection.
func statedIdle(h http.Header) time.Duration {
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
