package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// Guards against regions that together rest more targets than the service may,
// and against rounding in each region that lets small regions rest none.
func TestRestAllowed(t *testing.T) {
	cases := []struct {
		desc  string
		sound map[string]int
		want  map[string]int
	}{
		{"whole parts", map[string]int{"a": 10, "b": 20}, map[string]int{"a": 3, "b": 6}},
		{"small regions", map[string]int{"a": 3, "b": 3, "c": 3}, map[string]int{"a": 1, "b": 1, "c": 0}},
		{"largest remainder first", map[string]int{"a": 4, "b": 5, "c": 3}, map[string]int{"a": 1, "b": 1, "c": 1}},
		{"a region alone", map[string]int{"a": 3}, map[string]int{"a": 0}},
		{"no targets", map[string]int{}, map[string]int{}},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			got := restAllowed(tc.sound, 1-0.7)
			assert.Equal(t, tc.want, got)
			assert.Equal(t, lo.Sum(lo.Values(tc.sound))*3/10, lo.Sum(lo.Values(got)))
		})
	}
}

// Guards against a failing target that is tried again as soon as it may be
// sound, because its region alone may rest no target, although the service may.
// Without word from the other regions the region keeps the floor by itself.
func TestFloorIsSharedByRegions(t *testing.T) {
	tries := func(joint bool) int {
		clock := sys.NewManualClock(time.Unix(1000, 0))
		p := New(Config{Service: "s", Region: "a", Clock: clock, Settings: Settings{FloorShare: 0.7}})
		var records []fleetstate.Target
		var heard []Evidence
		for n := range 9 {
			dc := []string{"a", "b", "c"}[n/3]
			records = append(records, fleetstate.Target{ID: fmt.Sprint("t", n), Service: "s", Address: fmt.Sprint("10.0.0.1:", n+1), DataCentre: dc, Slots: 2, State: fleetstate.Ready, Born: 1})
			if dc == "b" {
				heard = append(heard, Evidence{Target: fmt.Sprint("t", n), Bad: 0.02})
			}
		}
		p.SetTargets(records, func(dc string) string { return dc })
		failing, tries := "t1", 0
		for range 400 {
			if joint {
				p.Merge("b", heard)
				p.Merge("c", nil)
			}
			q := once()
			q.DataCentre = "a"
			g, _, err := p.grantOrQueue(q, clock.Now())
			require.NoError(t, err)
			clock.Advance(50 * time.Millisecond)
			kind := OK
			if g.Target == failing {
				kind = Reset
				tries++
			}
			p.Release(g.Lease, Outcome{Kind: kind, Took: 50 * time.Millisecond})
		}
		return tries
	}
	// Alone it is due again 2 s after each failure, over 20 s.
	assert.GreaterOrEqual(t, tries(false), 8)
	assert.LessOrEqual(t, tries(true), 4)
}

// Guards against a region that does not hear of failures elsewhere and so counts
// targets as sound that are not.
func TestFailuresReachOtherRegions(t *testing.T) {
	r := newRig(3, 2)
	r.Merge("r2", []Evidence{{Target: "t1", Bad: 0.8, Failed: 500 * time.Millisecond}})
	assert.False(t, r.targets[1].sound(r.clock.Now()))
	r.clock.Advance(1500 * time.Millisecond)
	assert.False(t, r.targets[1].sound(r.clock.Now()))
	r.clock.Advance(time.Millisecond)
	assert.True(t, r.targets[1].sound(r.clock.Now()))

	g := r.mustAcquire(t, once())
	r.Release(g.Lease, Outcome{Kind: Reset})
	r.clock.Advance(300 * time.Millisecond)
	told, ok := lo.Find(r.Evidence(time.Second), func(e Evidence) bool { return e.Target == g.Target })
	require.True(t, ok)
	assert.Equal(t, 300*time.Millisecond, told.Failed)
}
