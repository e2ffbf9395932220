package dispatch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sequoialane/sequoialane/internal/owner"
)

var attemptSeconds = metrics.NewHistogram("sequoialane_dispatch_attempt_seconds")

func countRequest(r Request, result Result) {
	path := "keyed"
	if r.Idempotent {
		path = "idempotent"
	}
	outcome := "answered"
	if result.Err != nil {
		outcome = string(result.Err.Kind)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("sequoialane_dispatch_requests_total{path=%q,result=%q}", path, outcome)).Inc()
}

func countAttempt(o owner.Outcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf("sequoialane_dispatch_attempts_total{outcome=%q}", o.Kind)).Inc()
	if o.ServiceTime > 0 {
		attemptSeconds.Update(o.ServiceTime.Seconds())
	}
}

func countClaim(call string, result string, took time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf("sequoialane_dispatch_claim_calls_total{call=%q,result=%q}", call, result)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf("sequoialane_dispatch_claim_call_seconds{call=%q}", call)).Update(took.Seconds())
}
