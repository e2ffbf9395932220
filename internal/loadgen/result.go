package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of recorded Latencies, in microseconds.
const (
	minLatency = 1
	maxLatency = 120_000_000
	digits     = 3
)

const maxDetails = 20 // kept for each stream

// result collects the outcomes of a stream.
type result struct {
	name string

	mu       sync.Mutex
	sent     int
	dropped  int
	outcomes map[string]int
	broken   int
	resent   int
	all      *hdrhistogram.Histogram // answers without an error
	short    *hdrhistogram.Histogram // the same without stragglers
	refused  *hdrhistogram.Histogram // errors of the fleet
	keys     []UsedKey
	details  []string
}

func newResult(name string) *result {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(minLatency, maxLatency, digits) }
	return &result{name: name, outcomes: map[string]int{}, all: histogram(), short: histogram(), refused: histogram()}
}

func (r *result) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.dropped++
}

func (r *result) add(o outcome, key string, p planned) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.outcomes[o.name]++
	r.broken += o.broken
	r.resent += max(o.tries-1, 0)
	if o.detail != "" && len(r.details) < maxDetails {
		r.details = append(r.details, o.name+": "+o.detail)
	}
	if key != "" {
		r.keys = append(r.keys, UsedKey{key, o.name, o.effect, o.effects})
	}
	micros := min(max(o.latency.Microseconds(), minLatency), maxLatency)
	switch {
	case o.name == "ok" || o.name == "late":
		_ = r.all.RecordValue(micros)
		if !p.straggler {
			_ = r.short.RecordValue(micros)
		}
	case o.refused:
		_ = r.refused.RecordValue(micros)
	}
}

// Summary is what all streams saw.
type Summary struct {
	Streams []StreamSummary `json:"streams"`
}

// StreamSummary is what one stream saw.
type StreamSummary struct {
	Name     string         `json:"name"`
	Sent     int            `json:"sent"`
	Dropped  int            `json:"dropped"` // not sent because too many were in flight
	Outcomes map[string]int `json:"outcomes"`
	Broken   int            `json:"broken"` // attempts cut after they were sent
	Resent   int            `json:"resent"` // attempts beyond the first
	Latency  Latencies      `json:"latency_ms"`
	Short    Latencies      `json:"short_latency_ms"` // without stragglers
	Refused  Latencies      `json:"refused_latency_ms"`
	Details  []string       `json:"details,omitempty"` // of the first failures
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

func quantiles(h *hdrhistogram.Histogram) Latencies {
	at := func(q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	return Latencies{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: at(100)}
}

// Summary returns what was seen so far.
func (g *Generator) Summary() Summary {
	var s Summary
	for _, r := range g.results {
		r.mu.Lock()
		s.Streams = append(s.Streams, StreamSummary{
			Name: r.name, Sent: r.sent, Dropped: r.dropped, Outcomes: r.outcomes, Broken: r.broken, Resent: r.resent,
			Latency: quantiles(r.all), Short: quantiles(r.short), Refused: quantiles(r.refused), Details: r.details,
		})
		r.mu.Unlock()
	}
	return s
}
