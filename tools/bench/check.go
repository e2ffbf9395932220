package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/tools/bench/scenario"
)

// Bounds are the targets of section 1.3 of the design.
type Bounds struct {
	DetectionMedianS  float64 `json:"detection_median_s"`
	DetectionWorstS   float64 `json:"detection_worst_s"`
	FalseEjections    int     `json:"false_ejections"`
	ProbeShare        float64 `json:"probe_share"`
	OfCapacity        float64 `json:"in_time_of_healthy_capacity"`
	PlanOfDue         float64 `json:"plan_of_due"`
	RefusedWithin50ms float64 `json:"refused_within_50ms"`
	P99OfPowerOfTwo   float64 `json:"p99_of_power_of_two"`
	P99OfIdealQueue   float64 `json:"p99_of_ideal_queue"`
	P99WithStragglers float64 `json:"p99_with_of_without_stragglers"`
}

func readBounds(name string) (Bounds, error) {
	var b Bounds
	encoded, err := os.ReadFile(name)
	if err != nil {
		return b, trace.Wrap(err)
	}
	return b, trace.Wrap(json.Unmarshal(encoded, &b))
}

// checker prints each figure with its bound and counts those past it.
type checker struct {
	w      io.Writer
	bounds Bounds
	missed int
}

func (c *checker) atMost(what string, value, bound float64) {
	c.check(what, value, bound, value <= bound)
}

func (c *checker) atLeast(what string, value, bound float64) {
	c.check(what, value, bound, value >= bound)
}

func (c *checker) check(what string, value, bound float64, ok bool) {
	verdict := "met"
	if !ok {
		verdict = "MISSED"
		c.missed++
	}
	_, _ = fmt.Fprintf(c.w, "%-6s %-72s %9.4f (bound %.4f)\n", verdict, what, value, bound)
}

func (c *checker) results(engine string, r Results) {
	for _, d := range r.Detections {
		name := fmt.Sprintf("%s detection %s %s at load %.2f", engine, d.Service, d.Fault, d.Load)
		c.atMost(name+": missed", float64(d.Missed), 0)
		c.atMost(name+": median s", d.Median.Seconds(), c.bounds.DetectionMedianS)
		c.atMost(name+": worst s", d.Worst.Seconds(), c.bounds.DetectionWorstS)
		c.atMost(name+": probe share", d.ProbeShare, c.bounds.ProbeShare)
	}
	for _, q := range r.Quiets {
		name := fmt.Sprintf("%s without faults %s", engine, q.Service)
		c.atMost(name+": false ejections", float64(q.False), float64(c.bounds.FalseEjections))
		c.atMost(name+": probe share", q.ProbeShare, c.bounds.ProbeShare)
	}
	for _, crest := range r.Crests {
		if crest.Policy != ours {
			continue
		}
		name := fmt.Sprintf("%s crest %s", engine, crest.Service)
		c.atLeast(name+": in time of healthy capacity", crest.OfCapacity, c.bounds.OfCapacity)
		c.atLeast(name+": worst plan of its due", crest.WorstPlan, c.bounds.PlanOfDue)
		c.atLeast(name+": refused within 50 ms", crest.RefusedQuickly, c.bounds.RefusedWithin50ms)
	}
	for _, b := range r.Blockings {
		c.blocking(engine, r, b)
	}
}

func (c *checker) blocking(engine string, r Results, b scenario.Blocking) {
	if b.Policy != ours || b.Stragglers == 0 {
		return
	}
	name := fmt.Sprintf("%s p99 of short work %s", engine, b.Service)
	for _, other := range r.Blockings {
		if other.Service != b.Service {
			continue
		}
		value := ratio(b.P99.Seconds(), other.P99.Seconds())
		switch {
		case other.Policy == "power_of_two" && other.Stragglers > 0:
			c.atMost(name+": by power of two", value, c.bounds.P99OfPowerOfTwo)
		case other.Policy == "ideal_queue" && other.Stragglers > 0:
			c.atMost(name+": by ideal queue", value, c.bounds.P99OfIdealQueue)
		case other.Policy == ours && other.Stragglers == 0:
			c.atMost(name+": with by without stragglers", value, c.bounds.P99WithStragglers)
		}
	}
}

// check compares the last report with the bounds and fails past any of them.
func check(folder, boundsFile string, w io.Writer) error {
	report, err := readReport(folder)
	if err != nil {
		return trace.Wrap(err)
	}
	bounds, err := readBounds(boundsFile)
	if err != nil {
		return trace.Wrap(err)
	}
	c := &checker{w: w, bounds: bounds}
	c.results("virtual", report.Virtual)
	c.results("loopback", report.Loopback)
	if c.missed > 0 {
		return trace.LimitExceeded("%d figures are past their bounds", c.missed)
	}
	return nil
}
