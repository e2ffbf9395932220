package scenario

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sequoialane/sequoialane/tools/bench/fleet"
)

// HeadOfLineBlocking is the latency of regular requests, those that are not
// stragglers, at 85% load with a given share of stragglers.
type HeadOfLineBlocking struct {
	Service    string        `json:"service"`
	Policy     string        `json:"policy"`
	Stragglers float64       `json:"stragglers"` // share of the requests
	P50        time.Duration `json:"p50_ns"`     // of regular requests
	P99        time.Duration `json:"p99_ns"`     // of regular requests
	InTime     float64       `json:"in_time"`    // share of the regular requests
}

const (
	blockingLoad   = 0.85
	blockingWarmUp = 3 * time.Second // requests that arrive earlier are not measured
)

// plansWithinFairShare offer exactly their fair share each, so that no request
// waits because another plan has precedence.
var plansWithinFairShare = []fleet.PlanLoad{
	{Plan: "large", Weight: 4, Share: 0.5},
	{Plan: "middle", Weight: 2, Share: 0.25},
	{Plan: "small", Weight: 1, Share: 0.125},
	{Plan: "other", Weight: 1, Share: 0.125},
}

// RunBlocking measures head-of-line blocking with the named policy.
func RunBlocking(engine Engine, spec fleet.Spec, serviceTime time.Duration, idempotentShare, stragglerShare float64, length time.Duration, policyName string, seed uint64) HeadOfLineBlocking {
	m := mix(serviceTime, idempotentShare, stragglerShare)
	m.Timeout = 10 * time.Second
	m.Plans = plansWithinFairShare
	load := fleet.NewGenerator(spec, m, fleet.Constant(blockingLoad), length, seed)
	record := engine(spec, nil, load, Policies()[policyName](), seed)
	histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	isRegular := func(e *fleet.RequestRecord) bool {
		return !e.Request.Straggler && e.Request.Offset >= blockingWarmUp
	}
	for _, e := range record.Requests {
		if isRegular(e) && (e.Result == fleet.InTime || e.Result == fleet.Late) {
			_ = histogram.RecordValue(e.Latency.Microseconds()) // cannot fail: the deadline of 10 s keeps the latency within the range
		}
	}
	percentile := func(q float64) time.Duration {
		return time.Duration(histogram.ValueAtQuantile(q)) * time.Microsecond
	}
	return HeadOfLineBlocking{spec.Name, policyName, stragglerShare, percentile(50), percentile(99), inTimeShare(record, isRegular)}
}
