package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
)

const (
	downloadBytes = 90_000
	downloadWork  = 300 * time.Millisecond
)

// newDownloadPool returns a pool of 25 targets in 6 data centres and 3 regions that
// knows the size of downloads.
func newDownloadPool(t *testing.T) *testPool {
	t.Helper()
	r := newTestPool(0, 0)
	r.cfg.Settings.FloorShare = -1 // otherwise the floor sends requests to failing targets
	var records []fleetstate.Target
	for n := range 25 {
		records = append(records, fleetstate.Target{
			ID: fmt.Sprint("t", n), Service: "s", Address: fmt.Sprint("10.0.0.", n, ":80"), DataCentre: fmt.Sprint("d", n%6),
			Slots: 6, State: fleetstate.Ready, StartedAtMS: 1,
		})
	}
	r.SetTargets(records, func(dataCentre string) string {
		return map[string]string{"d0": "r", "d1": "r", "d2": "r2", "d3": "r2", "d4": "r3", "d5": "r3"}[dataCentre]
	})
	for range 200 {
		g := r.mustAcquire(t, newDownload())
		r.clock.Advance(downloadWork)
		r.Release(g.LeaseID, Outcome{Kind: OK, Took: downloadWork, Bytes: downloadBytes})
	}
	return r
}

func newDownload() Request {
	q := newRequest()
	q.Route, q.DataCentre, q.Retryable = "download", "d0", true
	return q
}

// placeOf returns the data centre and the region of a granted target.
func (r *testPool) placeOf(g Grant) (dataCentre, region string) {
	for _, t := range r.targets {
		if t.record.ID == g.Target {
			return t.record.DataCentre, t.region
		}
	}
	return "", ""
}

// Guards against downloads that cross data centres or regions for a small
// advantage, as if their responses were short.
func TestDownloadStaysNear(t *testing.T) {
	r := newDownloadPool(t)
	for n := range 5 { // all targets of the data centre but one have a load
		g := r.mustAcquire(t, newDownload())
		dataCentre, region := r.placeOf(g)
		assert.Equal(t, "r", region, "download %d", n)
		assert.Equal(t, "d0", dataCentre, "download %d", n)
	}
	failing := Report{Region: "r2"}
	for _, target := range r.targets {
		if target.inOwnRegion {
			failing.Targets = append(failing.Targets, TargetEstimate{Target: target.record.ID, FailingProbability: 0.15})
		}
	}
	r.clock.Advance(time.Millisecond)
	r.Merge(failing)
	once := newDownload()
	once.Retryable = false
	_, region := r.placeOf(r.mustAcquire(t, once))
	assert.Equal(t, "r", region, "the risk is low")
}

// Guards against downloads that stay in a region whose targets fail or are full:
// 25 targets leave only 9 to a region.
func TestDownloadLeavesItsRegion(t *testing.T) {
	t.Run("failing", func(t *testing.T) {
		r := newDownloadPool(t)
		failing := Report{Region: "r2"}
		for _, target := range r.targets {
			if target.inOwnRegion {
				failing.Targets = append(failing.Targets, TargetEstimate{Target: target.record.ID, FailingProbability: 0.95})
			}
		}
		r.clock.Advance(time.Millisecond)
		r.Merge(failing)
		once := newDownload()
		once.Retryable = false
		_, region := r.placeOf(r.mustAcquire(t, once))
		assert.NotEqual(t, "r", region)
	})
	t.Run("full", func(t *testing.T) {
		r := newDownloadPool(t)
		w := r.useVirtualWakes()
		last := newDownload()
		last.AcceptAny = true
		region, granted := "r", 0
		for ; region == "r"; granted++ {
			_, region = r.placeOf(r.mustAcquire(t, last))
		}
		assert.Equal(t, 9*(6+queuePerTarget), granted-1, "until the region is full")
		atOthers := func() int {
			return lo.SumBy(r.targets, func(t *target) int { return lo.Ternary(t.inOwnRegion, 0, t.inFlight) })
		}
		queued := 0
		for ; atOthers() == 1 && queued < 400; queued++ { // the expected wait grows with the queue
			_, _, err := r.queue(newDownload())
			require.NoError(t, err)
			r.advance(w, time.Millisecond)
		}
		assert.Greater(t, queued, 10, "a short queue is no reason")
		assert.Greater(t, atOthers(), 1, "before the end of the wait")
	})
}
