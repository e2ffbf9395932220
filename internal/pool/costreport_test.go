package pool

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// learnRoutes makes the pool learn the costs of routes.
func (r *testPool) learnRoutes(t *testing.T, took time.Duration, routes ...string) {
	for _, route := range routes {
		q := newRequest()
		q.Route = route
		for range 2 * minReportedCount {
			g := r.mustAcquire(t, q)
			r.clock.Advance(took)
			r.Release(g.LeaseID, Outcome{Kind: OK, Took: took, Bytes: downloadBytes})
		}
	}
}

// Guards against a region that starts a route as if its downloads were short, against
// costs that replace what a region has learned itself, and against a report that repeats
// them all the time.
func TestCostsOfOtherRegions(t *testing.T) {
	r, other := newTestPool(3, 2), newTestPool(3, 2)
	r.learnRoutes(t, 400*time.Millisecond, "list-orders", "find-order", "add-order", "download")
	other.learnRoutes(t, 100*time.Millisecond, "find-order")
	report := r.Report(time.Hour)
	require.Len(t, report.Costs, 4)
	other.Merge(report)
	q := newRequest()
	q.Route = "download"
	assert.InEpsilon(t, downloadBytes, other.work.Predict(q.workRequest()).Bytes, 0.1)
	assert.InEpsilon(t, float64(400*time.Millisecond), float64(other.durations.mean("download")), 0.2)
	assert.InEpsilon(t, float64(100*time.Millisecond), float64(other.durations.mean("find-order")), 0.1)
	assert.Empty(t, r.Report(time.Hour).Costs, "nothing has changed")
	encoded, err := cbor.Marshal(report)
	require.NoError(t, err)
	report.Costs = nil
	without, err := cbor.Marshal(report)
	require.NoError(t, err)
	t.Logf("the costs of four routes take %d bytes", len(encoded)-len(without))
	assert.LessOrEqual(t, len(encoded)-len(without), 99, "some tens of bytes")
	r.clock.Advance(costRepeatTime)
	assert.Len(t, r.Report(time.Hour).Costs, 4)
	r.learnRoutes(t, 800*time.Millisecond, "download")
	assert.Len(t, r.Report(time.Hour).Costs, 1)
}

// Guards against a report of another process that spoils the costs, or fills the memory
// with routes.
func TestMalformedCosts(t *testing.T) {
	r := newTestPool(3, 2)
	var means []RouteMean
	for n := range 1000 {
		means = append(means, RouteMean{Route: fmt.Sprint(n), RunTimeMS: math.MaxInt64 - int64(n%2)*math.MaxInt64*2, Bytes: math.MinInt64 + int64(n)})
	}
	r.Merge(Report{Region: "r2", Costs: means})
	assert.LessOrEqual(t, len(r.work.Routes()), maxReportedCosts)
	for name, route := range r.work.Routes() {
		assert.True(t, route.Mean() > 0 && route.Mean() <= maxLeaseTime && route.Bytes() > 0, name)
	}
	q := newRequest()
	q.Route = "0"
	r.mustAcquire(t, q)
}
