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
	HeaderShed           = "X-Shed"          // "1": the target refused for lack of capacity
	HeaderIdempotencyKey = "Idempotency-Key"
	fleetPrefix          = "Sequoialane-"
)

var hopByHop = []string{
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

// RemoveHopByHop deletes the headers that concern one connection only.
func RemoveHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// removeFleetHeaders deletes the headers that only the fleet may set. A target
// could otherwise pass its answer off as a refusal that the fleet has checked.
func removeFleetHeaders(h http.Header) {
	for name := range h {
		if len(name) >= len(fleetPrefix) && strings.EqualFold(name[:len(fleetPrefix)], fleetPrefix) {
			delete(h, name)
		}
	}
}

// outbound returns the headers of the request to the target.
func outbound(in http.Header, opt Options, now time.Time) http.Header {
	h := in.Clone()
	if h == nil {
		h = http.Header{}
	}
	RemoveHopByHop(h)
	removeFleetHeaders(h)
	h.Del("Expect")
	h.Del("Authorization") // the token of the plan is for the fleet only
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

// hideIdempotencyKey renames the header to lower case, which means the same on
// the wire. net/http sends a request that has the header in its usual form a
// second time by itself if the connection breaks.
func hideIdempotencyKey(h http.Header) {
	for _, name := range []string{HeaderIdempotencyKey, "X-Idempotency-Key"} {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}

func inbound(h http.Header) {
	RemoveHopByHop(h)
	removeFleetHeaders(h)
}
