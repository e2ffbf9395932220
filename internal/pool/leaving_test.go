package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against further requests at a target that has said that it is leaving,
// queued ones included, and against the news staying in one region.
func TestLeavingTargetGetsNoGrant(t *testing.T) {
	r := newTestPool(2, 1)
	told := ""
	r.cfg.OnLeaving = func(target string) { told = target }
	w := r.useVirtualWakes()
	first := r.mustAcquire(t, newRequest())
	for range 3 {
		r.mustAcquire(t, newRequest())
	}
	_, waiting, err := r.queue(newRequest())
	require.NoError(t, err)
	r.Release(first.LeaseID, Outcome{Kind: OK, Took: time.Millisecond, Leaving: true})
	assert.Equal(t, first.Target, told)
	r.advance(w, time.Second)
	assert.Empty(t, waiting.granted, "the other target is full")
	report := r.Report(time.Second)
	require.Equal(t, []LeavingTarget{{Target: first.Target, StartedAtMS: 1}}, report.Leaving)
	elsewhere := newTestPool(2, 1)
	elsewhere.Merge(report)
	for range 1 + queuePerTarget {
		assert.NotEqual(t, first.Target, elsewhere.mustAcquire(t, newRequest()).Target)
	}
}

// Guards against a target that restarts and is still taken for leaving.
func TestRestartedTargetIsNotLeaving(t *testing.T) {
	r := newTestPool(1, 1)
	r.Merge(Report{Region: "r2", Leaving: []LeavingTarget{{Target: "t0", StartedAtMS: 0}}})
	r.mustAcquire(t, newRequest())
	r.Merge(Report{Region: "r2", Leaving: []LeavingTarget{{Target: "t0", StartedAtMS: 1}}})
	_, _, err := r.queue(newRequest())
	assert.ErrorIs(t, err, ErrNoTarget)
}

// Guards against Retry-After that counts as a failure of the target, and against a
// target that a request must avoid.
func TestPostponedIsNoFailure(t *testing.T) {
	r := newTestPool(2, 1)
	g := r.mustAcquire(t, newRequest())
	before := r.Status()
	r.Release(g.LeaseID, Outcome{Kind: Postponed})
	assert.Equal(t, before[0].FailingProbability, r.Status()[0].FailingProbability)
	r.clock.Advance(shedBackoff)
	q := newRequest()
	q.Avoid = []string{g.Target}
	assert.NotEqual(t, g.Target, r.mustAcquire(t, q).Target)
}
