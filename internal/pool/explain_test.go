package pool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an explanation that differs from the grant which follows, that reserves
// something, or whose parts do not add up.
func TestExplanationIsWhatIsGranted(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	r := newTestPool(6, 2)
	r.useVirtualWakes()
	var granted []Grant
	for n := range 2000 {
		q := newRequest()
		q.Tenant, q.Retryable, q.AcceptAny = fmt.Sprint(n%3), n%2 == 0, true
		e := r.Explain(q)
		leases, firsts := len(r.leases), len(r.credit.firsts)
		require.Equal(t, e.Target, r.Explain(q).Target)
		require.Equal(t, []int{leases, firsts, 0}, []int{len(r.leases), len(r.credit.firsts), len(r.waiters)}, "it changes nothing")
		require.LessOrEqual(t, len(e.Targets), maxExplained)
		for _, target := range e.Targets {
			require.InDelta(t, target.Cost, target.FailureCost+target.OccupancyCost+target.TimeCost+target.BytesCost+target.FloorCost, 1e-9)
		}
		g, w, err := r.queue(q)
		require.NoError(t, err)
		if w != nil {
			require.Empty(t, e.Target, e.Reason)
			r.removeWaiter(w)
		} else {
			require.Equal(t, g.Target, e.Target)
			require.True(t, slices.ContainsFunc(e.Targets, func(t ExplainedTarget) bool { return t.ID == g.Target && math.Abs(t.Risk-g.Risk) < 1e-9 && !t.Full }))
			granted = append(granted, g)
		}
		r.clock.Advance(time.Duration(random.IntN(30)) * time.Millisecond)
		for len(granted) > 0 && random.IntN(3) > 0 {
			kind := OK
			if random.IntN(10) == 0 {
				kind = Reset
			}
			r.Release(granted[0].LeaseID, Outcome{Kind: kind, Took: time.Duration(50*(1+n%3)) * time.Millisecond})
			granted = granted[1:]
		}
	}
	q := newRequest()
	for _, target := range r.targets {
		q.Avoid = append(q.Avoid, target.record.ID)
	}
	e := r.Explain(q)
	assert.Empty(t, e.Targets)
	assert.Equal(t, 6, e.Excluded)
	assert.Contains(t, e.Reason, "excluded")
}
