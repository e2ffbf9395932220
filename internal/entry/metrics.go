package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Counters of the two sides of each hop. The sender and the receiver count the
// same requests, so that a difference shows requests lost between them.
var (
	duration        = metrics.NewHistogram(`sequoialane_request_duration_seconds`)
	forwardDuration = metrics.NewHistogram(`sequoialane_peer_request_duration_seconds`)
	noAckReused     = metrics.NewCounter(`sequoialane_peer_silent_total{connection="reused"}`)
	noAckFresh      = metrics.NewCounter(`sequoialane_peer_silent_total{connection="fresh"}`)
	relayed         = metrics.NewCounter(`sequoialane_relayed_requests_total`)
	secondRank      = metrics.NewCounter(`sequoialane_second_rank_requests_total`)
	spilled         = metrics.NewCounter(`sequoialane_spilled_requests_total`)
	wrongID         = metrics.NewCounter(`sequoialane_peer_wrong_id_total`)
	aborted         = metrics.NewCounter(`sequoialane_aborted_answers_total`)
	crossedSent     = metrics.NewCounter(`sequoialane_cross_region_bytes_total{direction="sent"}`)
	crossedReceived = metrics.NewCounter(`sequoialane_cross_region_bytes_total{direction="received"}`)
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

func since(start time.Time) float64 { return time.Since(start).Seconds() }
