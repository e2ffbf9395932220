package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/tools/bench/scenario"
)

// Report holds the results of a bench run, by engine.
type Report struct {
	Virtual  Results `json:"virtual"`
	Loopback Results `json:"loopback"`
}

// Results holds the results of one engine.
type Results struct {
	Detections []scenario.Detection          `json:"detections"`
	FaultFree  []scenario.FaultFree          `json:"quiets"`
	Overloads  []scenario.Overload           `json:"crests"`
	Blockings  []scenario.HeadOfLineBlocking `json:"blockings"`
}

const reportFile = "bench.json"

func (r *Report) write(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return trace.Wrap(err)
	}
	encoded, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(os.WriteFile(filepath.Join(folder, reportFile), append(encoded, '\n'), 0o644))
}

func readReport(folder string) (*Report, error) {
	encoded, err := os.ReadFile(filepath.Join(folder, reportFile))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var r Report
	return &r, trace.Wrap(json.Unmarshal(encoded, &r))
}

func (r *Report) print(w io.Writer) {
	r.Virtual.print(w, "virtual time")
	r.Loopback.print(w, "loopback HTTP")
}

func (r *Results) print(w io.Writer, engine string) {
	if len(r.Detections) == 0 {
		return
	}
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("\n== %s: detection ==", engine)
	for _, d := range r.Detections {
		line("%s", d)
	}
	line("\n== %s: no faults, 1%% stragglers, overload ==", engine)
	for _, f := range r.FaultFree {
		line("%-9s %5.1f min  false ejections %d (%.1f/h)  suspicions %d  probes %.3f%%",
			f.Service, f.Minutes, f.FalseEjections, f.FalsePerHour, f.Suspicions, 100*f.ProbeShare)
	}
	line("\n== %s: 2x overload, a third of the targets slow or with errors ==", engine)
	for _, o := range r.Overloads {
		line("%-9s %-12s in time: of healthy capacity %.3f (%.2f of best baseline)  of requests %.3f  worst plan, of its fair share %.3f (%.2f of best baseline)  refusals within 50 ms %.4f  failed %d",
			o.Service, o.Policy, o.CapacityShare, r.overloadRatio(o, capacityShare), o.InTime, o.WorstFairShareRatio, r.overloadRatio(o, worstFairShareRatio),
			o.RejectedQuickly, o.Failed)
	}
	line("\n== %s: latency of regular requests at 85%% load ==", engine)
	for _, b := range r.Blockings {
		line("%-9s %-12s stragglers %.2f  p50 %7.1f ms  p99 %7.1f ms (%.2f of best baseline)",
			b.Service, b.Policy, b.Stragglers, ms(b.P50.Seconds()), ms(b.P99.Seconds()), r.blockingRatio(b))
	}
}

func ms(seconds float64) float64 { return seconds * 1000 }

func capacityShare(o scenario.Overload) float64       { return o.CapacityShare }
func worstFairShareRatio(o scenario.Overload) float64 { return o.WorstFairShareRatio }

// overloadRatio returns the figure relative to that of the best baseline for the
// same service.
func (r *Results) overloadRatio(o scenario.Overload, figure func(scenario.Overload) float64) float64 {
	best := 0.0
	for _, other := range r.Overloads {
		if other.Service == o.Service && other.Policy != ownerPolicy {
			best = max(best, figure(other))
		}
	}
	return ratio(figure(o), best)
}

// blockingRatio returns the p99 relative to that of the best baseline for the same
// service and share of stragglers.
func (r *Results) blockingRatio(b scenario.HeadOfLineBlocking) float64 {
	best := 0.0
	for _, other := range r.Blockings {
		same := other.Service == b.Service && other.Stragglers == b.Stragglers && other.Policy != ownerPolicy
		if same && (best == 0 || other.P99.Seconds() < best) {
			best = other.P99.Seconds()
		}
	}
	return ratio(b.P99.Seconds(), best)
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
