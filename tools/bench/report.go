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

// Report holds the results of a bench, by engine.
type Report struct {
	Virtual  Results `json:"virtual"`
	Loopback Results `json:"loopback"`
}

// Results holds the results of one engine.
type Results struct {
	Detections []scenario.Detection `json:"detections"`
	Quiets     []scenario.Quiet     `json:"quiets"`
	Crests     []scenario.Crest     `json:"crests"`
	Blockings  []scenario.Blocking  `json:"blockings"`
}

const reportName = "bench.json"

func (r *Report) write(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return trace.Wrap(err)
	}
	encoded, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(os.WriteFile(filepath.Join(folder, reportName), append(encoded, '\n'), 0o644))
}

func readReport(folder string) (*Report, error) {
	encoded, err := os.ReadFile(filepath.Join(folder, reportName))
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
	for _, q := range r.Quiets {
		line("%-9s %5.1f min  false ejections %d (%.1f/h)  suspicions %d  probes %.3f%%",
			q.Service, q.Minutes, q.False, q.FalsePerHour, q.Suspected, 100*q.ProbeShare)
	}
	line("\n== %s: crest, 2x overload, a third of the targets half broken ==", engine)
	for _, c := range r.Crests {
		line("%-9s %-12s of healthy capacity %.3f (%.2f of best baseline)  of offered %.3f  worst plan of due %.3f (%.2f of best baseline)  refused within 50 ms %.4f  failed %d",
			c.Service, c.Policy, c.OfCapacity, r.crestRatio(c, capacityOf), c.InTime, c.WorstPlan, r.crestRatio(c, worstPlanOf),
			c.RefusedQuickly, c.Failed)
	}
	line("\n== %s: p99 of short work at 85%% load ==", engine)
	for _, b := range r.Blockings {
		line("%-9s %-12s stragglers %.2f  p50 %7.1f ms  p99 %7.1f ms (%.2f of best baseline)",
			b.Service, b.Policy, b.Stragglers, ms(b.P50.Seconds()), ms(b.P99.Seconds()), r.blockingRatio(b))
	}
}

func ms(seconds float64) float64 { return seconds * 1000 }

func capacityOf(c scenario.Crest) float64  { return c.OfCapacity }
func worstPlanOf(c scenario.Crest) float64 { return c.WorstPlan }

// crestRatio returns the figure by the best baseline of the same service.
func (r *Results) crestRatio(c scenario.Crest, of func(scenario.Crest) float64) float64 {
	best := 0.0
	for _, other := range r.Crests {
		if other.Service == c.Service && other.Policy != ours {
			best = max(best, of(other))
		}
	}
	return ratio(of(c), best)
}

// blockingRatio returns the p99 by the best baseline of the same load.
func (r *Results) blockingRatio(b scenario.Blocking) float64 {
	best := 0.0
	for _, other := range r.Blockings {
		same := other.Service == b.Service && other.Stragglers == b.Stragglers && other.Policy != ours
		if same && (best == 0 || other.P99.Seconds() < best) {
			best = other.P99.Seconds()
		}
	}
	return ratio(b.P99.Seconds(), best)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
