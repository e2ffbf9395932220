// Package entry is the front of the fleet: it takes requests of callers and of
// other entries, finds the owner of the service and passes the request on.
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

// Headers between entries. Those that a caller sends are removed.
const (
	fleetPrefix  = "Sequoialane-"
	headerPlan   = "Sequoialane-Plan"   // JSON of planHeader
	headerMode   = "Sequoialane-Mode"   // how the receiver handles the request
	headerTarget = "Sequoialane-Target" // name of the entry to relay to
	// headerClaimChecked marks an answer whose effect the owner stated after it
	// held the claim.
	headerClaimChecked = "Sequoialane-Claim-Checked"
)

// Paths of the peer port.
const (
	peerRequestPath = "/peer/v1/requests/"
	peerProbePath   = "/peer/v1/probes"
)

// mode tells an entry what to do with a request of another entry. Since each
// mode leads to a mode of a lower rank, a request passes three entries at most
// in its region and one more in another region.
type mode string

const (
	modeRun   mode = "run"   // run the request here
	modeRelay mode = "relay" // pass the request to the named entry, which runs it
	modeLast  mode = "last"  // run the request here and pass it to no other entry
)

var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeConnectionHeaders deletes headers that concern one connection only.
func removeConnectionHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range connectionHeaders {
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

// headerBytes is the size of the request head as the limit counts it.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + 4 // ": " and the line end
		}
	}
	return n
}
