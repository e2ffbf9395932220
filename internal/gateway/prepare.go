package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/pool"
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

// prepare matches the route, identifies the tenant, sets the deadline and reads the
// body. The caller must call release once the request has ended; it frees the memory of
// the body.
func (g *Gateway) prepare(w http.ResponseWriter, r *http.Request, req *request) (release func(), rejection *fault.Error) {
	release = func() {}
	if rejection := g.stop.rejection(); rejection != nil {
		return release, rejection
	}
	g.awaitRoutes(r)
	confirmed := g.isConfirmed() // before the view is loaded, so that it holds for that view
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
	var denial denial
	req.identity, denial = identify(v.Routes, req.route, callerKey(r.Header, g.options.HeaderNames.Key), confirmed)
	if rejection := g.keys.count(denial); rejection != nil {
		return release, rejection
	}
	if rejection := g.setDeadline(r, req); rejection != nil {
		return release, rejection
	}
	if limit := v.Routes.Document.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		return release, fault.Newf(fault.HeaderTooLarge, "the header is over the limit of %d bytes", limit)
	}
	g.chooseService(v, r.Host, req)
	g.awaitTargets(r, req.service)
	req.pathHash = pool.PathHash(req.route.PathPrefix, r.URL.Path)
	body, rejection := g.readBody(w, r, req, v.Routes.Document.Limits.MaxBodyBytes)
	if rejection != nil {
		return release, rejection
	}
	req.outgoing = targetconn.Request{
		ID: req.id, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: g.forwardedHeader(r.Header), Body: body.Bytes(),
	}
	if len(v.Routes.Document.Tenants) > 0 {
		g.setTenantHeader(req.outgoing.Header, req.identity)
	}
	return body.Release, nil
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
