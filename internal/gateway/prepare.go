package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/targetconn"
)

const (
	retryUnknownRoutes = 300 * time.Millisecond // until a document has probably arrived
	retryMemory        = 200 * time.Millisecond
)

// connectionHeaders concern one connection and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// prepare finds the route and reads the body. The returned function must be
// called once the request has ended.
func (g *Gateway) prepare(w http.ResponseWriter, r *http.Request, q *request) (release func(), refused *fault.Error) {
	release = func() {}
	v := g.options.View()
	if v.Routes == nil {
		return release, fault.New(fault.ControlUnavailable, "no routing document is known yet").WithRetryAfter(retryUnknownRoutes)
	}
	q.version = v.Version()
	q.route = v.Routes.Match(r.Host, r.URL.Path)
	if q.route == nil {
		return release, fault.New(fault.NotFound, "no route")
	}
	if q.id == "" {
		return release, fault.New(fault.BadRequest, "the request carries no id")
	}
	if refused := g.setTimes(r, q); refused != nil {
		return release, refused
	}
	if limit := v.Routes.Document.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		return release, fault.Newf(fault.HeaderTooLarge, "the header is over the limit of %d bytes", limit)
	}
	g.choosePart(v, r.Host, q)
	body, refused := g.readBody(w, r, q, v.Routes.Document.Limits.MaxBodyBytes)
	if refused != nil {
		return release, refused
	}
	size := int64(len(body))
	q.outgoing = targetconn.Request{
		ID: q.id, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: g.passedHeader(r.Header), Body: body,
	}
	return func() { g.bodies.Add(-size) }, nil
}

// headerBytes returns the length of the request line and the header fields.
func headerBytes(r *http.Request) int64 {
	total := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("Host: ") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(": ") + len(value) + len("\r\n")
		}
	}
	return int64(total)
}

// setTimes sets when the final answer is due.
func (g *Gateway) setTimes(r *http.Request, q *request) *fault.Error {
	timeout := q.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if text := r.Header.Get(g.options.Names.Deadline); text != "" {
		milliseconds, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
		if err != nil {
			return fault.New(fault.BadRequest, "the time left is not a whole number of milliseconds")
		}
		timeout = min(timeout, time.Duration(max(milliseconds, 0))*time.Millisecond)
	}
	q.final = q.started.Add(timeout - min(finalMargin, timeout/4))
	if timeout <= 0 {
		return fault.New(fault.DeadlineExceeded, "no time is left").WithEffect(fault.NotRun)
	}
	return nil
}

// choosePart sets the service of a request whose route is split.
func (g *Gateway) choosePart(v *fleetview.View, host string, q *request) {
	if g.splitsOf.Swap(v.Version()) != v.Version() {
		g.splits.Reset()
	}
	q.service = g.splits.Next(host, q.route, g.phase)
}

func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, q *request, limit int64) ([]byte, *fault.Error) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, fault.New(fault.BodyTooLarge, "the body is over the limit")
	}
	if limit <= 0 {
		limit = g.options.BodyMemory
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(q.final); err != nil {
		return nil, fault.Newf(fault.Internal, "no read deadline: %v", err).WithEffect(fault.NotRun)
	}
	body, refused := g.takeBody(r.Body, max(r.ContentLength, 0), limit)
	_ = control.SetReadDeadline(time.Time{}) // as above, which succeeded
	return body, refused
}

// takeBody reads the body into memory, which is counted while it grows.
func (g *Gateway) takeBody(from io.Reader, stated, limit int64) ([]byte, *fault.Error) {
	body := make([]byte, 0, min(max(stated, 512), 64<<10))
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if held := g.bodies.Add(int64(n)); held > g.options.BodyMemory {
			g.bodies.Add(-int64(len(body)))
			return nil, fault.New(fault.Overloaded, "too many bodies are held").WithRetryAfter(retryMemory)
		}
		switch {
		case int64(len(body)) > limit:
			g.bodies.Add(-int64(len(body)))
			return nil, fault.New(fault.BodyTooLarge, "the body is over the limit")
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			g.bodies.Add(-int64(len(body)))
			return nil, bodyFault(err)
		}
	}
}

func bodyFault(err error) *fault.Error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fault.New(fault.SlowSender, "the body did not arrive in time")
	}
	return fault.Newf(fault.BadRequest, "the body cannot be read: %v", err)
}

// passedHeader returns the header as targets get it.
func (g *Gateway) passedHeader(from http.Header) http.Header {
	passed := from.Clone()
	dropConnectionHeaders(passed)
	passed.Del(g.options.Names.Deadline)
	passed.Del(g.options.Names.Instance)
	return passed
}

func dropConnectionHeaders(h http.Header) {
	for _, listed := range h["Connection"] {
		for name := range strings.SplitSeq(listed, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}
