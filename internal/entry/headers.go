// Package entry implements the entry process of the fleet. It accepts requests
// from callers and other entries, determines the owner of the service, and
// forwards the request to the owner or, on the owner, to an upstream. It is used
// by sequoialane-entry; package fleetentry is the entry of sequoialane-platform.
package entry

import (
	"net/http"
	"strings"

	"github.com/sequoialane/sequoialane/internal/fault"
)

// Headers between callers and entries.
const (
	headerTimeout   = "Request-Timeout"
	headerKey       = "Idempotency-Key"
	headerRequestID = fault.HeaderRequestID
)

// Headers between entries. They are removed from requests of callers.
const (
	fleetPrefix   = "Sequoialane-"
	headerPlan    = "Sequoialane-Plan"   // JSON of planHeader
	headerMode    = "Sequoialane-Mode"   // how the receiver handles the request
	headerRelayTo = "Sequoialane-Target" // name of the entry to relay to
	// headerClaimChecked marks an error whose effect the owner determined while
	// it held the claim.
	headerClaimChecked = "Sequoialane-Claim-Checked"
)

// Paths of the peer port.
const (
	peerRequestPath = "/peer/v1/requests/"
	peerProbePath   = "/peer/v1/probes"
)

// mode tells an entry how to handle a request from another entry. Relay may be
// followed by run and run by last, but not in reverse, so a request passes
// through at most three entries of its region and one of another region.
type mode string

const (
	modeRun     mode = "run"   // run the request here
	modeRelay   mode = "relay" // forward the request to the entry in headerRelayTo, which runs it
	modeRunOnly mode = "last"  // run the request here and forward it to no other entry
)

var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHopHeaders deletes the hop-by-hop headers, including those listed
// in Connection.
func removeHopByHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// removeFleetHeaders deletes headers that only entries may set.
func removeFleetHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, fleetPrefix) {
			delete(h, name)
		}
	}
}

// headerBytes returns the size of the request head that is checked against
// httpserver.MaxHeaderBytes.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + 4 // ": " and the line end
		}
	}
	return n
}
