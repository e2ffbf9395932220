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
)

// Guards against regions that together rest more targets than the service may,
// and against rounding in each region that lets small regions rest none.
func TestRestAllowed(t *testing.T) {
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
			got := restAllowed(tc.idle, 1-0.7)
			assert.Equal(t, tc.want, got)
			assert.Equal(t, int(lo.Sum(lo.Values(tc.idle))*0.3), lo.Sum(lo.Values(got)))
		})
	}
}

// Guards against a panic over a report that holds no possible number.
func TestRestAllowedOfWrongReports(t *testing.T) {
	for _, idle := range []float64{-5, 1e300, 0.1} {
		assert.NotPanics(t, func() { restAllowed(map[string]float64{"a": 3, "b": idle}, 0.3) }, "%g", idle)
	}
}

// Guards against a failing target that is tried again as soon as it may be
// sound, because its region alone may rest no target, although the service may.
// Without word from the other regions the region keeps the floor by itself.
func TestFloorIsSharedByRegions(t *testing.T) {
	tries := func(joint bool) int {
		r := newRig(3, 2)
		failing, tries := "t1", 0
		for range 400 {
			r.Report(time.Second)
			if joint {
				r.Merge(Report{Region: "r2", Idle: 2})
				r.Merge(Report{Region: "r3", Idle: 2})
			}
			g := r.mustAcquire(t, once())
			r.clock.Advance(50 * time.Millisecond)
			kind := OK
			if g.Target == failing {
				kind = Reset
				tries++
			}
			r.Release(g.Lease, Outcome{Kind: kind, Took: 50 * time.Millisecond})
		}
		return tries
	}
	// Alone it is due again 2 s after each failure, over 20 s.
	assert.GreaterOrEqual(t, tries(false), 8)
	assert.LessOrEqual(t, tries(true), 4)
}

// moment is what a loss of power would leave: the sound targets, and those of
// them that got a request in the last two seconds.
type moment struct{ sound, got float64 }

// momentsUnderLoad plays a service of which a third of the targets is in a spell
// of failure. At each request it counts what would be left if all requests in
// flight failed.
func momentsUnderLoad(t *testing.T) []moment {
	const (
		targets  = 20
		interval = 14 * time.Millisecond // between requests
		work     = 380 * time.Millisecond
	)
	t.Helper()
	random := rand.New(rand.NewPCG(7, 7))
	r := newRig(targets, 6)
	start := r.clock.Now()
	ends := map[uint64]time.Time{}
	targetOf := map[uint64]string{}
	used, failed, spell := map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
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
			if now.Before(spell[id]) {
				failed[id] = now
				r.Release(lease, Outcome{Kind: Reset})
			} else {
				r.Release(lease, Outcome{Kind: OK, Took: work})
			}
		}
		if n%32 == 0 { // a third of the targets is in a spell of 3 s
			spell[fmt.Sprint("t", random.IntN(targets))] = now.Add(3 * time.Second)
		}
		if n%100 == 0 {
			r.Report(time.Second)
		}
		if g, err := r.Acquire(context.Background(), once(), 0); err == nil {
			targetOf[g.Lease], used[g.Target] = g.Target, now
			ends[g.Lease] = now.Add(time.Duration((0.4 + 1.2*random.Float64()) * float64(work)))
			if now.Before(spell[g.Target]) {
				ends[g.Lease] = now.Add(time.Millisecond)
			}
		}
		if now.Sub(start) < 5*time.Second {
			continue
		}
		busy := lo.Uniq(lo.Map(lo.Keys(ends), func(l uint64, _ int) string { return targetOf[l] }))
		var m moment
		for i := range targets {
			id := fmt.Sprint("t", i)
			if slices.Contains(busy, id) || now.Sub(failed[id]) <= 2200*time.Millisecond {
				continue
			}
			m.sound++
			if now.Sub(used[id]) <= 2*time.Second {
				m.got++
			}
		}
		moments = append(moments, m)
	}
	return moments
}

// Guards against a service that rests on few of its sound targets when the
// entries lose power: the requests in flight fail then, and the idle targets are
// the sound ones that are left.
func TestFloorAtLossOfPower(t *testing.T) {
	moments := momentsUnderLoad(t)
	sound := lo.SumBy(moments, func(m moment) float64 { return m.sound })
	got := lo.SumBy(moments, func(m moment) float64 { return m.got })
	assert.GreaterOrEqual(t, got, 0.7*sound, "over all moments")
}

// Guards against the same at any one moment.
func TestFloorAtEachLossOfPower(t *testing.T) {
	below := lo.CountBy(momentsUnderLoad(t), func(m moment) bool { return m.got < 0.7*m.sound })
	assert.Zero(t, below, "moments at which a loss of power would leave the service below its floor")
}
