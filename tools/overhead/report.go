package main

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
)

// Bounds, from the targets stated on the design page.
const (
	maxAddedP99   = 1600 * time.Microsecond // 99th percentile of the added latency at light load
	maxChangeTime = 2 * time.Second         // until a change is active on all entries
)

// quantiles is the distribution of a duration in microseconds.
type quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

func quantilesOf(h *hdrhistogram.Histogram) quantiles {
	return quantiles{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max()}
}

// report is the result of one run.
type report struct {
	Direct         quantiles `json:"direct"`          // caller to target
	ThroughOwner   quantiles `json:"through_owner"`   // caller to owner to target
	ThroughForward quantiles `json:"through_forward"` // caller to entry to owner to target
	Keyed          quantiles `json:"keyed"`           // through the owner, with a claim
	Change         quantiles `json:"change"`          // from the request until active on all entries

	RequestsPerCPUSecond float64 `json:"requests_per_cpu_second"` // of the owner, with requests sent directly to it
	OwnerMemoryBytes     int64   `json:"owner_memory_bytes"`      // resident, after the load
	IdleCPUShare         float64 `json:"idle_cpu_share"`          // of one core, of an entry without requests
	Errors               int     `json:"errors"`
}

func (r report) print(w io.Writer) {
	row := func(name string, q quantiles, base quantiles) {
		fmt.Fprintf(w, "%-28s %6d  p50 %6d us  p99 %6d us  max %7d us  added p50 %6d us  p99 %6d us\n",
			name, q.Count, q.P50, q.P99, q.Max, q.P50-base.P50, q.P99-base.P99)
	}
	row("direct", r.Direct, r.Direct)
	row("through the owner", r.ThroughOwner, r.Direct)
	row("through another entry", r.ThroughForward, r.Direct)
	row("with a claim", r.Keyed, r.Direct)
	fmt.Fprintf(w, "%-28s %6d  p50 %6d us  p99 %6d us  max %7d us\n", "change active everywhere", r.Change.Count, r.Change.P50, r.Change.P99, r.Change.Max)
	fmt.Fprintf(w, "requests per CPU second of the owner: %.0f\n", r.RequestsPerCPUSecond)
	fmt.Fprintf(w, "resident memory of the owner after the load: %.1f MB\n", float64(r.OwnerMemoryBytes)/1e6)
	fmt.Fprintf(w, "CPU time of an idle entry: %.2f%% of a core\n", 100*r.IdleCPUShare)
	fmt.Fprintf(w, "errors: %d\n", r.Errors)
}

// check returns an error that names the first bound that is not met.
func (r report) check() error {
	if r.Errors > 0 {
		return trace.Errorf("%d requests failed although no fault was injected", r.Errors)
	}
	added := time.Duration(r.ThroughOwner.P99-r.Direct.P99) * time.Microsecond
	if added > maxAddedP99 {
		return trace.Errorf("the fleet adds %s at the 99th percentile, want at most %s", added, maxAddedP99)
	}
	if worst := time.Duration(r.Change.Max) * time.Microsecond; worst > maxChangeTime {
		return trace.Errorf("a change was active on all entries after %s, want at most %s", worst, maxChangeTime)
	}
	return nil
}
