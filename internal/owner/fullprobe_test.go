package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/sequoialane/sequoialane/internal/health"
	"github.com/sequoialane/sequoialane/internal/schedule"
)

// Guards against a probe that waited for a slot behind stragglers counting
// against its target, and against late detection of a silent target because
// probes of full targets never count.
func TestUnansweredProbeOfFullTarget(t *testing.T) {
	const typical = 20 * time.Millisecond
	goodProbes := func(f *fullProbeTracker, n int) {
		for range n {
			f.observe(&probe{target: &target{}, targetFull: true}, health.Good, start)
		}
	}
	slowResponse := func(f *fullProbeTracker, took time.Duration) {
		full := &target{}
		f.observe(&probe{target: full, targetFull: true}, health.Unreachable, start.Add(time.Millisecond))
		for range 2 { // responses of one target count once
			f.observeResponse(&attempt{target: full, started: start, estimate: schedule.TimeEstimate{Median: typical}}, took)
		}
	}
	for _, c := range []struct {
		name    string
		prepare func(*fullProbeTracker)
		probe   probe
		waited  bool
	}{
		{"no responses yet", func(*fullProbeTracker) {}, probe{}, true},
		{"too few responses", func(f *fullProbeTracker) { goodProbes(f, minFullProbeResponses-1) }, probe{}, true},
		{"responses by full targets", func(f *fullProbeTracker) { goodProbes(f, minFullProbeResponses) }, probe{}, false},
		{"a slot became free during the probe", func(f *fullProbeTracker) { goodProbes(f, minFullProbeResponses) }, probe{endedAttemptsAtStart: -1}, true},
		{"one target held by a straggler", func(f *fullProbeTracker) {
			goodProbes(f, maxFullProbeResponses)
			slowResponse(f, 20*typical)
		}, probe{}, false},
		{"probes now wait for a slot", func(f *fullProbeTracker) {
			goodProbes(f, 2*maxFullProbeResponses)
			for range 3 {
				slowResponse(f, 20*typical)
			}
		}, probe{}, true},
		{"silent targets recovered", func(f *fullProbeTracker) {
			goodProbes(f, minFullProbeResponses)
			for range 3 {
				slowResponse(f, maxStragglerRatio*typical)
			}
		}, probe{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fullProbeTracker{}
			c.prepare(f)
			c.probe.target, c.probe.targetFull = &target{}, true
			assert.Equal(t, c.waited, f.observe(&c.probe, health.Unreachable, start))
		})
	}
}
