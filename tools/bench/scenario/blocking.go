package scenario

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sequoialane/sequoialane/tools/bench/fleet"
)

// Blocking is the latency of short work behind stragglers, at 85% load.
type Blocking struct {
	Service    string        `json:"service"`
	Policy     string        `json:"policy"`
	Stragglers float64       `json:"stragglers"` // part of the requests
	P50        time.Duration `json:"p50_ns"`
	P99        time.Duration `json:"p99_ns"` // of requests that are not stragglers
	InTime     float64       `json:"in_time"`
}

const (
	blockingLoad   = 0.85
	blockingWarmUp = 3 * time.Second
)

// withinDue are plans that offer what they are due, so that no request waits
// for the sake of another plan's share.
var withinDue = []fleet.PlanLoad{
	{Plan: "large", Weight: 4, Share: 0.5},
	{Plan: "middle", Weight: 2, Share: 0.25},
	{Plan: "small", Weight: 1, Share: 0.125},
	{Plan: "other", Weight: 1, Share: 0.125},
}

// RunBlocking measures the latency of requests that are not stragglers.
func RunBlocking(engine Engine, spec fleet.Spec, short time.Duration, idempotent, stragglers float64, length time.Duration, name string, seed uint64) Blocking {
	m := mix(short, idempotent, stragglers)
	m.Timeout = 10 * time.Second
	m.Plans = withinDue
	load := fleet.NewGenerator(spec, m, fleet.Constant(blockingLoad), length, seed)
	record := engine(spec, nil, load, Policies()[name](), seed)
	histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	isShort := func(e *fleet.RequestRecord) bool {
		return !e.Request.Straggler && e.Request.Offset >= blockingWarmUp
	}
	for _, e := range record.Requests {
		if isShort(e) && (e.Result == fleet.InTime || e.Result == fleet.Late) {
			_ = histogram.RecordValue(e.Latency.Microseconds()) // cannot exceed the range: the deadline bounds it
		}
	}
	at := func(q float64) time.Duration {
		return time.Duration(histogram.ValueAtQuantile(q)) * time.Microsecond
	}
	return Blocking{spec.Name, name, stragglers, at(50), at(99), share(record, isShort)}
}
