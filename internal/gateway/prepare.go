package gateway

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/targetconn"
)

// Retry-After values of rejected requests.
const (
	retryAfterNoRoutes   = 300 * time.Millisecond // a routing document has probably arrived by then
	retryAfterBodyMemory = 200 * time.Millisecond
)

// hopByHopHeaders apply to a single connection and are not forwarded. The body is
// buffered, so Content-Length is set anew.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// prepare matches the route, sets the deadline and reads the body. The caller
// must call release once the request has ended; it frees the memory of the
// body.
func (g *Gateway) prepare(w http.ResponseWriter, r *http.Request, req *request) (release func(), rejection *fault.Error) {
	release = func() {}
	v := g.options.View()
	if v.Routes == nil {
		return release, fault.New(fault.ControlUnavailable, "no routing document is known yet").WithRetryAfter(retryAfterNoRoutes)
	}
	req.version = v.Version()
	req.route = v.Routes.Match(r.Host, r.URL.Path)
	if req.route == nil {
		return release, fault.New(fault.NotFound, "no route")
	}
	if req.id == "" {
		return release, fault.New(fault.BadRequest, "the request carries no id")
	}
	if rejection := g.setDeadline(r, req); rejection != nil {
		return release, rejection
	}
	if limit := v.Routes.Document.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		return release, fault.Newf(fault.HeaderTooLarge, "the header is over the limit of %d bytes", limit)
	}
	g.chooseService(v, r.Host, req)
	body, rejection := g.readBody(w, r, req, v.Routes.Document.Limits.MaxBodyBytes)
	if rejection != nil {
		return release, rejection
	}
	size := int64(len(body))
	req.outgoing = targetconn.Request{
		ID: req.id, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: g.forwardedHeader(r.Header), Body: body,
	}
	return func() { g.options.BodyMemory.Give(size) }, nil
}

// headerBytes returns the size of the request line and the header fields.
func headerBytes(r *http.Request) int64 {
	total := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("Host: ") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(": ") + len(value) + len("\r\n")
		}
	}
	return int64(total)
}

// setDeadline sets when the final response is due: the route's timeout, or the
// shorter time that the caller states, less deadlineMargin.
func (g *Gateway) setDeadline(r *http.Request, req *request) *fault.Error {
	timeout := req.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if value := r.Header.Get(g.options.HeaderNames.Deadline); value != "" {
		milliseconds, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		if err != nil {
			return fault.New(fault.BadRequest, "the time left is not a whole number of milliseconds")
		}
		timeout = min(timeout, time.Duration(max(milliseconds, 0))*time.Millisecond)
	}
	req.deadline = req.started.Add(timeout - min(deadlineMargin, timeout/4))
	if timeout <= 0 {
		return fault.New(fault.DeadlineExceeded, "no time is left").WithEffect(fault.NotRun)
	}
	return nil
}

// chooseService selects the service by the weights of the route's destinations.
func (g *Gateway) chooseService(v *fleetview.View, host string, req *request) {
	if g.splitsVersion.Swap(v.Version()) != v.Version() {
		g.splits.Reset()
	}
	req.service = g.splits.Next(host, req.route, g.phase)
}

// readBody reads the request body, which must arrive by the request's deadline.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, req *request, limit int64) ([]byte, *fault.Error) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, fault.New(fault.BodyTooLarge, "the body is over the limit")
	}
	if limit <= 0 {
		limit = math.MaxInt64
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(req.deadline); err != nil {
		return nil, fault.Newf(fault.Internal, "no read deadline: %v", err).WithEffect(fault.NotRun)
	}
	body, rejection := g.bufferBody(r.Body, max(r.ContentLength, 0), limit)
	_ = controller.SetReadDeadline(time.Time{}) // supported, since the call above succeeded
	return body, rejection
}

// bufferBody reads the body into memory and takes its bytes from the memory for
// bodies as it grows. On failure it gives them back. sizeHint is the declared
// length; 0 if it is unknown.
func (g *Gateway) bufferBody(src io.Reader, sizeHint, limit int64) ([]byte, *fault.Error) {
	memory := g.options.BodyMemory
	body := make([]byte, 0, min(max(sizeHint, 512), 64<<10))
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := src.Read(body[len(body):cap(body)])
		if !memory.Take(int64(n)) {
			memory.Give(int64(len(body)))
			return nil, fault.New(fault.Overloaded, "too many bodies are held").WithRetryAfter(retryAfterBodyMemory)
		}
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			memory.Give(int64(len(body)))
			return nil, fault.New(fault.BodyTooLarge, "the body is over the limit")
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			memory.Give(int64(len(body)))
			return nil, bodyError(err)
		}
	}
}

func bodyError(err error) *fault.Error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return fault.New(fault.SlowSender, "the body did not arrive in time")
	}
	return fault.Newf(fault.BadRequest, "the body cannot be read: %v", err)
}

// forwardedHeader returns the header without hop-by-hop fields and without fields
// that the gateway sets itself.
func (g *Gateway) forwardedHeader(original http.Header) http.Header {
	header := original.Clone()
	removeHopByHopHeaders(header)
	header.Del(g.options.HeaderNames.Deadline)
	header.Del(g.options.HeaderNames.TargetID)
	return header
}

func removeHopByHopHeaders(h http.Header) {
	for _, listed := range h["Connection"] {
		for name := range strings.SplitSeq(listed, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
