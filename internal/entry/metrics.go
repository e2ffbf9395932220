package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics of requests. Both sides of a connection between entries count the same
// requests (side peer_out at the sender, peer_in at the receiver), so that a
// difference shows requests lost between them.
var (
	requestDuration     = metrics.NewHistogram(`sequoialane_request_duration_seconds`)
	forwardDuration     = metrics.NewHistogram(`sequoialane_peer_request_duration_seconds`)
	silentReused        = metrics.NewCounter(`sequoialane_peer_silent_total{connection="reused"}`)
	silentNew           = metrics.NewCounter(`sequoialane_peer_silent_total{connection="fresh"}`)
	relayedRequests     = metrics.NewCounter(`sequoialane_relayed_requests_total`)
	secondRankRequests  = metrics.NewCounter(`sequoialane_second_rank_requests_total`)
	spilledRequests     = metrics.NewCounter(`sequoialane_spilled_requests_total`)
	wrongIDResponses    = metrics.NewCounter(`sequoialane_peer_wrong_id_total`)
	abortedResponses    = metrics.NewCounter(`sequoialane_aborted_answers_total`)
	crossRegionSent     = metrics.NewCounter(`sequoialane_cross_region_bytes_total{direction="sent"}`)
	crossRegionReceived = metrics.NewCounter(`sequoialane_cross_region_bytes_total{direction="received"}`)
)

const (
	sideCaller  = "caller"   // requests of callers
	sidePeerIn  = "peer_in"  // requests of other entries
	sidePeerOut = "peer_out" // requests to other entries
	sideLocal   = "local"    // requests run by this entry as owner
)

func countRequest(side, outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`sequoialane_requests_total{side=%q,outcome=%q}`, side, outcome)).Inc()
}

func countAction(kind string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`sequoialane_target_actions_total{kind=%q}`, kind)).Inc()
}

func secondsSince(start time.Time) float64 { return time.Since(start).Seconds() }
