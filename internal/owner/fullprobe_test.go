package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/sequoialane/sequoialane/internal/health"
	"github.com/sequoialane/sequoialane/internal/schedule"
)

// Guards against a probe that waited behind stragglers and is held against its
// target, and against a silent target that is found late because probes of
// full targets never count.
func TestProbeOfAFullTarget(t *testing.T) {
	const typical = 20 * time.Millisecond
	good := func(f *fullProbes, n int) {
		for range n {
			f.judge(&probe{target: &target{}, busy: true}, health.Good, start)
		}
	}
	slowAnswer := func(f *fullProbes, took time.Duration) {
		full := &target{}
		f.judge(&probe{target: full, busy: true}, health.Unreachable, start.Add(time.Millisecond))
		for range 2 { // the answers of one target count once
			f.requestAnswered(&attempt{target: full, started: start, size: schedule.Size{Typical: typical}}, took)
		}
	}
	for _, c := range []struct {
		name    string
		prepare func(*fullProbes)
		probe   probe
		waited  bool
	}{
		{"nothing known", func(*fullProbes) {}, probe{}, true},
		{"too few answers", func(f *fullProbes) { good(f, fullProbesNeeded-1) }, probe{}, true},
		{"answers by full targets", func(f *fullProbes) { good(f, fullProbesNeeded) }, probe{}, false},
		{"a slot became free", func(f *fullProbes) { good(f, fullProbesNeeded) }, probe{ended: -1}, true},
		{"one target was a straggler's", func(f *fullProbes) {
			good(f, maxFullProbes)
			slowAnswer(f, 20*typical)
		}, probe{}, false},
		{"probes wait now", func(f *fullProbes) {
			good(f, 2*maxFullProbes)
			for range 3 {
				slowAnswer(f, 20*typical)
			}
		}, probe{}, true},
		{"silences ended", func(f *fullProbes) {
			good(f, fullProbesNeeded)
			for range 3 {
				slowAnswer(f, stragglerRatio*typical)
			}
		}, probe{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fullProbes{}
			c.prepare(f)
			c.probe.target, c.probe.busy = &target{}, true
			assert.Equal(t, c.waited, f.judge(&c.probe, health.Unreachable, start))
		})
	}
}
