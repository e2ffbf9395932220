package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 120_000_000
	significantDigits = 3
)

const maxDetails = 20 // failure details kept for each stream

// streamResult collects the outcomes of a stream.
type streamResult struct {
	name string

	mu              sync.Mutex
	sent            int
	dropped         int
	outcomes        map[string]int
	broken          int
	resent          int
	latency         *hdrhistogram.Histogram // of successful requests, also late ones
	shortLatency    *hdrhistogram.Histogram // of the same without stragglers
	rejectedLatency *hdrhistogram.Histogram // of error responses of the fleet itself
	keys            []UsedKey
	details         []string
}

func newStreamResult(name string) *streamResult {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
	}
	return &streamResult{name: name, outcomes: map[string]int{}, latency: histogram(), shortLatency: histogram(), rejectedLatency: histogram()}
}

func (r *streamResult) recordDropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.dropped++
}

func (r *streamResult) record(o outcome, key string, p plannedRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.outcomes[o.name]++
	r.broken += o.broken
	r.resent += max(o.attempts-1, 0)
	if o.detail != "" && len(r.details) < maxDetails {
		r.details = append(r.details, o.name+": "+o.detail)
	}
	if key != "" {
		r.keys = append(r.keys, UsedKey{key, o.name, o.effect, o.effects})
	}
	micros := min(max(o.latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	switch {
	case o.name == "ok" || o.name == "late":
		_ = r.latency.RecordValue(micros)
		if !p.straggler {
			_ = r.shortLatency.RecordValue(micros)
		}
	case o.rejected:
		_ = r.rejectedLatency.RecordValue(micros)
	}
}

// Summary holds the results of all streams.
type Summary struct {
	Streams []StreamSummary `json:"streams"`
}

// StreamSummary holds the results of one stream.
type StreamSummary struct {
	Name            string         `json:"name"`
	Sent            int            `json:"sent"`
	Dropped         int            `json:"dropped"` // not sent because too many were in flight
	Outcomes        map[string]int `json:"outcomes"`
	Broken          int            `json:"broken"` // attempts whose connection broke after the request was sent
	Resent          int            `json:"resent"` // attempts beyond the first
	Latency         Latencies      `json:"latency_ms"`
	ShortLatency    Latencies      `json:"short_latency_ms"` // without stragglers
	RejectedLatency Latencies      `json:"refused_latency_ms"`
	Details         []string       `json:"details,omitempty"` // of the first 20 failures
}

// Latencies are quantiles in milliseconds.
type Latencies struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// quantiles converts a histogram in microseconds to quantiles in milliseconds.
func quantiles(h *hdrhistogram.Histogram) Latencies {
	at := func(q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	return Latencies{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: at(100)}
}

// Summary returns the results so far.
func (g *Generator) Summary() Summary {
	var s Summary
	for _, r := range g.results {
		r.mu.Lock()
		s.Streams = append(s.Streams, StreamSummary{
			Name: r.name, Sent: r.sent, Dropped: r.dropped, Outcomes: r.outcomes, Broken: r.broken, Resent: r.resent,
			Latency: quantiles(r.latency), ShortLatency: quantiles(r.shortLatency), RejectedLatency: quantiles(r.rejectedLatency), Details: r.details,
		})
		r.mu.Unlock()
	}
	return s
}
