package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/tools/bench/scenario"
)

// Bounds are the limits that the figures must keep, as read from bounds.json.
// Shares and ratios are fractions of 1.
type Bounds struct {
	DetectionMedianS   float64 `json:"detection_median_s"`
	DetectionWorstS    float64 `json:"detection_worst_s"`
	FalseEjections     int     `json:"false_ejections"`
	ProbeShare         float64 `json:"probe_share"`
	CapacityShare      float64 `json:"in_time_of_healthy_capacity"`
	FairShareRatio     float64 `json:"plan_of_due"`
	RejectedWithin50ms float64 `json:"refused_within_50ms"`
	P99ToPowerOfTwo    float64 `json:"p99_of_power_of_two"`
	P99ToIdealQueue    float64 `json:"p99_of_ideal_queue"`
	P99ToNoStragglers  float64 `json:"p99_with_of_without_stragglers"`
}

func readBounds(name string) (Bounds, error) {
	var b Bounds
	encoded, err := os.ReadFile(name)
	if err != nil {
		return b, trace.Wrap(err)
	}
	return b, trace.Wrap(json.Unmarshal(encoded, &b))
}

// checker prints each figure with its bound and counts the figures outside.
type checker struct {
	w      io.Writer
	bounds Bounds
	missed int
}

func (c *checker) atMost(figure string, value, bound float64) {
	c.check(figure, value, bound, value <= bound)
}

func (c *checker) atLeast(figure string, value, bound float64) {
	c.check(figure, value, bound, value >= bound)
}

func (c *checker) check(figure string, value, bound float64, ok bool) {
	verdict := "met"
	if !ok {
		verdict = "MISSED"
		c.missed++
	}
	_, _ = fmt.Fprintf(c.w, "%-6s %-72s %9.4f (bound %.4f)\n", verdict, figure, value, bound)
}

func (c *checker) checkResults(engine string, r Results) {
	for _, d := range r.Detections {
		name := fmt.Sprintf("%s detection %s %s at load %.2f", engine, d.Service, d.Fault, d.Load)
		c.atMost(name+": faults not detected", float64(d.Missed), 0)
		c.atMost(name+": median detection time in s", d.Median.Seconds(), c.bounds.DetectionMedianS)
		c.atMost(name+": worst detection time in s", d.Worst.Seconds(), c.bounds.DetectionWorstS)
		c.atMost(name+": probe share", d.ProbeShare, c.bounds.ProbeShare)
	}
	for _, f := range r.FaultFree {
		name := fmt.Sprintf("%s without faults %s", engine, f.Service)
		c.atMost(name+": false ejections", float64(f.FalseEjections), float64(c.bounds.FalseEjections))
		c.atMost(name+": probe share", f.ProbeShare, c.bounds.ProbeShare)
	}
	for _, o := range r.Overloads {
		if o.Policy != ownerPolicy {
			continue
		}
		name := fmt.Sprintf("%s overload %s", engine, o.Service)
		c.atLeast(name+": in time, of healthy capacity", o.CapacityShare, c.bounds.CapacityShare)
		c.atLeast(name+": worst plan, of its fair share", o.WorstFairShareRatio, c.bounds.FairShareRatio)
		c.atLeast(name+": refusals within 50 ms", o.RejectedQuickly, c.bounds.RejectedWithin50ms)
	}
	for _, b := range r.Blockings {
		c.checkBlocking(engine, r, b)
	}
}

func (c *checker) checkBlocking(engine string, r Results, b scenario.HeadOfLineBlocking) {
	if b.Policy != ownerPolicy || b.Stragglers == 0 {
		return
	}
	name := fmt.Sprintf("%s p99 of regular requests %s", engine, b.Service)
	for _, other := range r.Blockings {
		if other.Service != b.Service {
			continue
		}
		value := ratio(b.P99.Seconds(), other.P99.Seconds())
		switch {
		case other.Policy == "power_of_two" && other.Stragglers > 0:
			c.atMost(name+": relative to power of two", value, c.bounds.P99ToPowerOfTwo)
		case other.Policy == "ideal_queue" && other.Stragglers > 0:
			c.atMost(name+": relative to ideal queue", value, c.bounds.P99ToIdealQueue)
		case other.Policy == ownerPolicy && other.Stragglers == 0:
			c.atMost(name+": with relative to without stragglers", value, c.bounds.P99ToNoStragglers)
		}
	}
}

// check compares the last report with the bounds. It returns an error if a figure
// is outside its bound.
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
	c.checkResults("virtual", report.Virtual)
	c.checkResults("loopback", report.Loopback)
	if c.missed > 0 {
		return trace.LimitExceeded("%d figures are outside their bounds", c.missed)
	}
	return nil
}
