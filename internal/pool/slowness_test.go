package pool

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// observeDurations makes the target respond to requests, to each after the time.
func (r *testPool) observeDurations(t *testing.T, target string, requests int, took time.Duration) {
	t.Helper()
	q := newRequest()
	for _, other := range r.targets {
		if other.record.ID != target {
			q.Avoid = append(q.Avoid, other.record.ID)
		}
	}
	for range requests {
		g := r.mustAcquire(t, q)
		r.clock.Advance(took)
		r.Release(g.LeaseID, Outcome{Kind: OK, Took: took})
	}
}

// Guards against requests that wait for full targets beside a free one that was slow
// long ago, and against ones that go to a target which is slow now.
func TestWaitForOthersEndsWithSlowness(t *testing.T) {
	for _, c := range []struct {
		desc  string
		pause time.Duration // since the target was slow
		used  bool
	}{
		{"now", 0, false},
		{"a minute ago", time.Minute, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			r := newTestPool(4, 2)
			r.cfg.Settings.FloorShare = -1 // otherwise the floor would send t0 a request
			for _, target := range []string{"t1", "t2", "t3"} {
				r.observeDurations(t, target, 60, 150*time.Millisecond)
			}
			r.observeDurations(t, "t0", 6, 1200*time.Millisecond)
			r.clock.Advance(c.pause)
			received := map[string]int{}
			for range 4 * (2 + queuePerTarget) {
				if g, err := r.Acquire(context.Background(), newRequest(), 0); err == nil {
					received[g.Target]++
				}
			}
			assert.Equal(t, c.used, received["t0"] > 0, "%v", received)
		})
	}
}
