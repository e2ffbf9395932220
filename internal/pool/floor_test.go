package pool

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against regions that together leave more targets unused than the service
// allows, and against rounding that allows small regions none.
func TestSplitUnusedTargets(t *testing.T) {
	cases := []struct {
		desc string
		idle map[string]float64
		want map[string]int
	}{
		{"whole parts", map[string]float64{"a": 10, "b": 20}, map[string]int{"a": 3, "b": 6}},
		{"small regions", map[string]float64{"a": 3, "b": 3, "c": 3}, map[string]int{"a": 1, "b": 1, "c": 0}},
		{"largest remainder first", map[string]float64{"a": 4, "b": 5, "c": 3}, map[string]int{"a": 1, "b": 1, "c": 1}},
		{"a region alone", map[string]float64{"a": 3.3}, map[string]int{"a": 0}},
		{"no targets", map[string]float64{}, map[string]int{}},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			got := splitUnusedTargets(tc.idle, 1-0.7)
			assert.Equal(t, tc.want, got)
			assert.Equal(t, int(lo.Sum(lo.Values(tc.idle))*0.3), lo.Sum(lo.Values(got)))
		})
	}
}

// Guards against a panic on a report with an impossible number of idle targets.
func TestSplitUnusedTargetsOfInvalidReports(t *testing.T) {
	for _, idle := range []float64{-5, 1e300, 0.1} {
		assert.NotPanics(t, func() { splitUnusedTargets(map[string]float64{"a": 3, "b": idle}, 0.3) }, "%g", idle)
	}
}

// Guards against a failing target that is retried as soon as recoveryTime has
// passed, because its region alone may leave no target unused although the
// service may. Without reports of other regions the region keeps the floor alone.
func TestFloorIsSharedByRegions(t *testing.T) {
	tries := func(joint bool) int {
		r := newTestPool(3, 2)
		failing, tries := "t1", 0
		for range 400 {
			r.Report(time.Second)
			if joint {
				r.Merge(Report{Region: "r2", MeanIdle: 2})
				r.Merge(Report{Region: "r3", MeanIdle: 2})
			}
			g := r.mustAcquire(t, newRequest())
			r.clock.Advance(50 * time.Millisecond)
			kind := OK
			if g.Target == failing {
				kind = Reset
				tries++
			}
			r.Release(g.LeaseID, Outcome{Kind: kind, Took: 50 * time.Millisecond})
		}
		return tries
	}
	// Without reports the failing target is retried 2 s after each failure, over 20 s.
	assert.GreaterOrEqual(t, tries(false), 8)
	assert.LessOrEqual(t, tries(true), 4)
}

// moment counts the targets that a loss of power at one moment would leave
// healthy, and those of them that got a request in the last two seconds.
type moment struct{ healthy, served float64 }

// momentsUnderLoad simulates a service with a third of its targets in the failing
// state. At each request it counts the targets that would be left healthy if all
// requests in flight failed.
func momentsUnderLoad(t *testing.T) []moment {
	const (
		targets  = 20
		interval = 14 * time.Millisecond // between requests
		work     = 380 * time.Millisecond
	)
	t.Helper()
	random := rand.New(rand.NewPCG(7, 7))
	r := newTestPool(targets, 6)
	start := r.clock.Now()
	ends := map[uint64]time.Time{}
	targetOf := map[uint64]string{}
	grantedAt, failedAt, failingUntil := map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
	var moments []moment
	for n := range 6000 {
		r.clock.Advance(interval)
		now := r.clock.Now()
		for _, lease := range slices.Sorted(maps.Keys(ends)) {
			if ends[lease].After(now) {
				continue
			}
			id := targetOf[lease]
			delete(ends, lease)
			if now.Before(failingUntil[id]) {
				failedAt[id] = now
				r.Release(lease, Outcome{Kind: Reset})
			} else {
				r.Release(lease, Outcome{Kind: OK, Took: work})
			}
		}
		if n%32 == 0 { // keeps a third of the targets failing, each for 3 s
			failingUntil[fmt.Sprint("t", random.IntN(targets))] = now.Add(3 * time.Second)
		}
		if n%100 == 0 {
			r.Report(time.Second)
		}
		if g, err := r.Acquire(context.Background(), newRequest(), 0); err == nil {
			targetOf[g.LeaseID], grantedAt[g.Target] = g.Target, now
			ends[g.LeaseID] = now.Add(time.Duration((0.4 + 1.2*random.Float64()) * float64(work)))
			if now.Before(failingUntil[g.Target]) {
				ends[g.LeaseID] = now.Add(time.Millisecond)
			}
		}
		if now.Sub(start) < 5*time.Second {
			continue
		}
		busy := lo.Uniq(lo.Map(lo.Keys(ends), func(l uint64, _ int) string { return targetOf[l] }))
		var m moment
		for i := range targets {
			id := fmt.Sprint("t", i)
			if slices.Contains(busy, id) || now.Sub(failedAt[id]) <= 2200*time.Millisecond {
				continue
			}
			m.healthy++
			if now.Sub(grantedAt[id]) <= 2*time.Second {
				m.served++
			}
		}
		moments = append(moments, m)
	}
	return moments
}

// Guards against a service that uses few of its healthy targets when the entries
// lose power: the requests in flight fail, and only idle targets are still healthy.
func TestFloorAtLossOfPower(t *testing.T) {
	moments := momentsUnderLoad(t)
	healthy := lo.SumBy(moments, func(m moment) float64 { return m.healthy })
	served := lo.SumBy(moments, func(m moment) float64 { return m.served })
	assert.GreaterOrEqual(t, served, 0.7*healthy, "over all moments")
}

// Guards against the same failure at each single moment.
func TestFloorAtEachLossOfPower(t *testing.T) {
	below := lo.CountBy(momentsUnderLoad(t), func(m moment) bool { return m.served < 0.7*m.healthy })
	assert.Zero(t, below, "moments at which a loss of power would leave the service below its floor")
}

// Guards against a service that uses few of its healthy targets while others work on
// long requests: their silence is evidence against them, but they are not failing,
// and count for the floor like idle ones.
func TestFloorCountsTargetsWithLongRequests(t *testing.T) {
	const (
		targets  = 10
		long     = 5 // targets that work on one long request each
		interval = 25 * time.Millisecond
		work     = 50 * time.Millisecond
		settle   = 4 * time.Second
		window   = 2 * time.Second
	)
	r := newTestPool(targets, 6)
	start := r.clock.Now()
	grantedAt, isLong := map[string]time.Time{}, map[string]bool{}
	for r.clock.Now().Sub(start) < 20*time.Second {
		request := newRequest()
		request.TimeLeft = time.Minute
		g := r.mustAcquire(t, request)
		grantedAt[g.Target] = r.clock.Now()
		r.clock.Advance(interval)
		if len(isLong) < long && !isLong[g.Target] {
			isLong[g.Target] = true
			continue
		}
		r.Release(g.LeaseID, Outcome{Kind: OK, Took: work})
		if now := r.clock.Now(); now.Sub(start) > settle {
			used := lo.CountBy(lo.Values(grantedAt), func(at time.Time) bool { return now.Sub(at) <= window })
			require.GreaterOrEqual(t, used, 7, "targets with a request within %v, at %v", window, now.Sub(start))
		}
	}
}
