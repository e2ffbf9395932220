package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const timeBetweenEvents = 2 * time.Millisecond

// Guards against a request that waits beside a target it would take, because many
// before it do not take that target: they rather wait for a better one.
func TestRequestBehindManyRefusalsIsServed(t *testing.T) {
	const targets, slots = 24, 2
	r := newTestPool(targets, slots)
	w := r.useVirtualWakes()
	r.makeFail(t, "t0")
	for n := range targets * (slots + queuePerTarget) {
		r.grantAt(t, fmt.Sprint("t", n%targets))
	}
	for range 3 * maxRefusals {
		_, waiting, err := r.queue(newRequest())
		require.NoError(t, err)
		require.NotNil(t, waiting)
	}
	q := newRequest()
	q.AcceptAny = true
	_, early, err := r.queue(q)
	require.NoError(t, err)
	require.NotNil(t, early, "both targets are full")
	r.endGrantAt("t0")
	r.advance(w, maxRecheckInterval)
	require.Len(t, early.granted, 1)
	assert.Equal(t, "t0", (<-early.granted).Target)
	r.endGrantAt("t0")
	g, late, err := r.queue(q)
	require.NoError(t, err)
	require.Nil(t, late, "it may wait for a short time only")
	assert.Equal(t, "t0", g.Target)
}

// BenchmarkOverload measures an arrival and the end of an earlier request while
// many requests wait, all targets but one are full, and that one fails so often
// that the requests rather wait.
func BenchmarkOverload(b *testing.B) {
	for _, waiting := range []int{0, 100, 1000} {
		b.Run(fmt.Sprint(waiting, " waiting"), func(b *testing.B) { benchmarkOverload(b, waiting) })
	}
}

func benchmarkOverload(b *testing.B, waiting int) {
	r := newTestPool(24, 2)
	r.useVirtualWakes()
	r.makeFail(b, "t0")
	var granted []Grant
	var queue []*waiter
	ask := func() {
		g, w, err := r.queue(newRequest())
		require.NoError(b, err)
		if w != nil {
			queue = append(queue, w)
		} else {
			granted = append(granted, g)
		}
	}
	for len(queue) < waiting {
		ask()
	}
	b.ResetTimer()
	for range b.N {
		r.clock.Advance(timeBetweenEvents)
		ask()
		if len(granted) > 0 {
			r.Release(granted[0].LeaseID, Outcome{Kind: OK, Took: 50 * time.Millisecond})
			granted = granted[1:]
		}
		for len(queue) > 0 && len(queue[0].granted) > 0 {
			granted = append(granted, <-queue[0].granted)
			queue = queue[1:]
		}
	}
}

// makeFail makes the pool take the target for a failing one.
func (r *testPool) makeFail(t testing.TB, target string) {
	for range 4 {
		r.Release(r.grantAt(t, target).LeaseID, Outcome{Kind: Reset})
	}
}

// grantAt returns a grant for the target, which is made the only eligible one.
func (r *testPool) grantAt(t testing.TB, target string) Grant {
	q := newRequest()
	for _, other := range r.targets {
		if other.record.ID != target {
			q.Avoid = append(q.Avoid, other.record.ID)
		}
	}
	g, w, err := r.queue(q)
	require.NoError(t, err)
	require.Nil(t, w, "no grant at %s", target)
	return g
}

// endGrantAt ends a grant for the target without evidence.
func (r *testPool) endGrantAt(target string) {
	for id, l := range r.leases {
		if l.target.record.ID == target {
			r.Release(id, Outcome{Kind: Canceled})
			return
		}
	}
}
