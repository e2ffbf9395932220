package upstreamclient

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
)

// Headers that targets and the fleet exchange.
const (
	HeaderRequestTimeout = "Request-Timeout" // remaining time, such as "1500ms"
	HeaderNotRun         = "X-Not-Run"       // "1": the target did not run the request
	HeaderShed           = "X-Shed"          // "1": the target rejected the request because it is full
	HeaderLeaving        = "Server-Leaving"  // "1": the target is about to stop
	HeaderIdempotencyKey = "Idempotency-Key"
	fleetHeaderPrefix    = "Sequoialane-"
)

var hopByHopHeaders = []string{
	"Connection",
	"Proxy-Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// RemoveHopByHopHeaders deletes the hop-by-hop headers, which apply to one
// connection only.
func RemoveHopByHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// removeFleetHeaders deletes the headers that only the fleet may set. Otherwise
// a target could make its response look like a rejection that the fleet has
// checked.
func removeFleetHeaders(h http.Header) {
	for name := range h {
		if len(name) >= len(fleetHeaderPrefix) && strings.EqualFold(name[:len(fleetHeaderPrefix)], fleetHeaderPrefix) {
			delete(h, name)
		}
	}
}

// requestHeader returns the header of the request to the target.
func requestHeader(in http.Header, opt Options, now time.Time) http.Header {
	h := in.Clone()
	if h == nil {
		h = http.Header{}
	}
	RemoveHopByHopHeaders(h)
	removeFleetHeaders(h)
	h.Del("Expect")
	h.Del("Authorization") // the token of the plan must not leave the fleet
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	h.Set(fault.HeaderRequestID, opt.RequestID)
	h.Del(HeaderRequestTimeout)
	if !opt.Deadline.IsZero() {
		left := max(opt.Deadline.Sub(now).Milliseconds(), 1)
		h.Set(HeaderRequestTimeout, strconv.FormatInt(left, 10)+"ms")
	}
	hideIdempotencyKey(h)
	return h
}

// hideIdempotencyKey changes the header name to lower case, which is equivalent on
// the wire. net/http retries a request by itself after the connection breaks if
// it finds the header in its canonical form.
func hideIdempotencyKey(h http.Header) {
	for _, name := range []string{HeaderIdempotencyKey, "X-Idempotency-Key"} {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}

// cleanResponseHeader deletes the headers of a response that must not reach the
// caller.
func cleanResponseHeader(h http.Header) {
	RemoveHopByHopHeaders(h)
	removeFleetHeaders(h)
}
