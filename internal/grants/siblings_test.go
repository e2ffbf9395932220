package grants

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/pool"
)

// newTwoRegions returns a region of one entry and 64 targets, and 32 targets of
// another region: a service that is split into groups.
func newTwoRegions(t *testing.T) *testRegion {
	t.Helper()
	r := newTestRegion(t, 1, 64)
	for n := range 32 {
		r.view.Targets = append(r.view.Targets, fleetstate.Target{
			ID: fmt.Sprint("far", n), Service: "s", Address: fmt.Sprint("10.0.0.2:", n+1), DataCentre: "d2", Slots: 2, State: fleetstate.Ready, StartedAtMS: 1,
		})
	}
	r.brokers[0].options.Regions = map[string]string{"d": "r", "d2": "r2"}
	return r
}

func firstGroup(r *testRegion, id string) Group {
	own := lo.Filter(r.view.Targets, func(t fleetstate.Target, _ int) bool { return t.DataCentre == "d" })
	return groupFor(r.view.Targets, own, 2, "s", id, 0)
}

func (r *testRegion) dataCentreOf(id string) string {
	target, _ := lo.Find(r.view.Targets, func(t fleetstate.Target) bool { return t.ID == id })
	return target.DataCentre
}

// Guards against the pattern of a fleet with several groups in each region, of
// which one has only failing or full targets: a third of its requests went to
// other regions, whose targets it knows badly, while other groups of the region
// had good ones.
func TestOtherGroupBeforeOtherRegion(t *testing.T) {
	for _, desc := range []string{"failing", "full"} {
		t.Run(desc, func(t *testing.T) {
			r := newTwoRegions(t)
			group := firstGroup(r, "q")
			require.Greater(t, group.Shards, 1)
			p := r.brokers[0].pool(group)
			for _, target := range group.targets(r.view) {
				switch {
				case target.DataCentre != "d":
				case desc == "failing":
					p.Observe(target.ID, request("x"), pool.Outcome{Kind: pool.Reset})
				default:
					p.Observe(target.ID, request("x"), pool.Outcome{Kind: pool.OK, Took: time.Millisecond, Load: &pool.Load{Running: 2, Waiting: 8}})
				}
			}
			l, err := r.brokers[0].Acquire(context.Background(), "s", request("q"), time.Second)
			require.NoError(t, err)
			assert.Equal(t, "d", r.dataCentreOf(l.Target))
		})
	}
}

// Guards against requests that are refused, or wait, although another region could
// serve them when no group of their own region can.
func TestOtherRegionWhenTheOwnHasNone(t *testing.T) {
	r := newTwoRegions(t)
	reached := map[string]int{}
	for n := range 64*3 + 1 { // two slots and one queued request at each target of the region
		l, err := r.brokers[0].Acquire(context.Background(), "s", request(fmt.Sprint("q", n)), time.Second)
		require.NoError(t, err)
		reached[r.dataCentreOf(l.Target)]++
	}
	assert.Positive(t, reached["d2"])
	assert.Greater(t, reached["d"], 64*2, "the own region is filled first")
}
