package grants

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// testRegion is a set of entries with a broker each that share a view.
type testRegion struct {
	brokers []*Broker
	servers []*httptest.Server
	view    *fleetview.View
}

func newTestRegion(t *testing.T, entries, targets int) *testRegion {
	r := &testRegion{view: &fleetview.View{}}
	for n := range targets {
		r.view.Targets = append(r.view.Targets, fleetstate.Target{
			ID: fmt.Sprint("t", n), Service: "s", Address: fmt.Sprint("10.0.0.1:", n+1), DataCentre: "d", Slots: 2, State: fleetstate.Ready, StartedAtMS: 1,
		})
	}
	for n := range entries {
		server := httptest.NewUnstartedServer(nil)
		self := fleetstate.Entry{
			Name: fmt.Sprint("e", n), Region: "r", DataCentre: "d", State: fleetstate.Serving,
			PeerAddress: server.Listener.Addr().String(),
		}
		r.view.Entries = append(r.view.Entries, self)
		b := New(Options{
			Self: self, Settings: pool.DefaultSettings(), Regions: map[string]string{"d": "r"},
			View: func() *fleetview.View { return r.view }, Peers: peerhttp.New(nil), Clock: sys.RealClock{}, Log: zap.NewNop(),
		})
		server.Config.Handler = b.Handler()
		server.Start()
		t.Cleanup(server.Close)
		r.brokers = append(r.brokers, b)
		r.servers = append(r.servers, server)
	}
	return r
}

// useManualClock gives all brokers a clock that stands still.
func (r *testRegion) useManualClock() *sys.ManualClock {
	clock := sys.NewManualClock(time.Unix(1_700_000_000, 0))
	for _, b := range r.brokers {
		b.options.Clock = clock
	}
	return clock
}

func (r *testRegion) owner() int {
	name := r.view.Rank("s", "r")[0].Name
	var n int
	_, _ = fmt.Sscanf(name, "e%d", &n)
	return n
}

func request(id string) pool.Request {
	return pool.Request{ID: id, Route: "c", Objective: time.Second, TimeLeft: 2 * time.Second, DataCentre: "d"}
}

// Guards against entries that select targets independently, which would exceed
// the slots: the grants of all entries must count at one owner.
func TestEntriesShareThePool(t *testing.T) {
	r := newTestRegion(t, 3, 2)
	owner := r.view.Rank("s", "r")[0].Name
	for n := range 6 { // all slots, and one queued request at each target
		l, err := r.brokers[n%3].Acquire(context.Background(), "s", request(fmt.Sprint(n)), time.Second)
		require.NoError(t, err)
		assert.Equal(t, owner, l.Owner)
	}
	for n := range 3 {
		_, err := r.brokers[n].Acquire(context.Background(), "s", request("more"), 50*time.Millisecond)
		assert.ErrorIs(t, err, pool.ErrBusy)
	}
}

// Guards against a failure that is known only to the entry that saw it.
func TestOutcomesReachTheOwner(t *testing.T) {
	r := newTestRegion(t, 3, 2)
	sender := (r.owner() + 1) % 3
	l, err := r.brokers[sender].Acquire(context.Background(), "s", request("1"), time.Second)
	require.NoError(t, err)
	l.Release(pool.Outcome{Kind: pool.Reset})
	require.Eventually(t, func() bool {
		for _, s := range r.brokers[r.owner()].Status()["s"] {
			if s.ID == l.Target && s.FailingProbability > 0.8 && s.InFlight == 0 {
				return true
			}
		}
		return false
	}, 5*time.Second, 5*time.Millisecond)
}

// Guards against requests that fail because an owner is down: the next entry in
// rank makes the grant, and finally the entry itself.
func TestFallbackWhenOwnersAreDown(t *testing.T) {
	r := newTestRegion(t, 4, 2)
	ranked := r.view.Rank("s", "r")
	last := r.brokers[index(ranked[3].Name)]
	for gone, want := range ranked {
		if gone > 0 {
			server := r.servers[index(ranked[gone-1].Name)]
			server.CloseClientConnections()
			server.Close()
		}
		l, err := last.Acquire(context.Background(), "s", request(want.Name), 3*time.Second)
		require.NoError(t, err)
		assert.Equal(t, want.Name, l.Owner)
		l.Release(pool.Outcome{Kind: pool.OK, Took: time.Millisecond})
	}
}

func index(name string) int {
	var n int
	_, _ = fmt.Sscanf(strings.TrimPrefix(name, "e"), "%d", &n)
	return n
}

// Guards against waiting for a grant after the caller has cancelled the request.
func TestWaitEndsWhenCallerCancels(t *testing.T) {
	r := newTestRegion(t, 2, 1)
	for n := range 3 {
		_, err := r.brokers[0].Acquire(context.Background(), "s", request(fmt.Sprint(n)), time.Second)
		require.NoError(t, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := r.brokers[1].Acquire(ctx, "s", request("x"), time.Minute)
	assert.True(t, errors.Is(err, ErrCanceled), "%v", err)
}

// Guards against groups without targets, against too many groups, and against
// groups whose share of requests differs from their share of targets.
func TestGroupsGetRequestsInProportion(t *testing.T) {
	for _, count := range []int{1, 4, 23, 24, 64, 200} {
		var ownRegionTargets []fleetstate.Target
		for n := range count {
			ownRegionTargets = append(ownRegionTargets, fleetstate.Target{ID: fmt.Sprint("t", n)})
		}
		sizes, requests := map[Group]int{}, map[Group]int{}
		shards := groupFor(ownRegionTargets, ownRegionTargets, 1, "s", "1", 0, 0).Shards
		assert.LessOrEqual(t, shards*targetsPerGroup, max(count, targetsPerGroup))
		for _, target := range ownRegionTargets {
			sizes[Group{Service: "s", Shard: shardOf(target.ID, shards), Shards: shards}]++
		}
		const drawn = 4000
		for n := range drawn {
			requests[groupFor(ownRegionTargets, ownRegionTargets, 1, "s", fmt.Sprint("q", n), 0, 0)]++
		}
		assert.Len(t, requests, len(sizes))
		for group, size := range sizes {
			assert.InDelta(t, float64(size)/float64(count), float64(requests[group])/drawn, 0.05, "%d targets, %v", count, group)
		}
	}
}

// Guards against regions that split a service into different groups, whose owners
// could not exchange evidence, also for a region without targets of its own.
func TestRegionsHaveTheSameGroups(t *testing.T) {
	var all []fleetstate.Target
	for n := range 48 {
		all = append(all, fleetstate.Target{ID: fmt.Sprint("t", n)})
	}
	for desc, ownRegionTargets := range map[string][]fleetstate.Target{"none": nil, "a few": all[:10], "most": all[10:]} {
		assert.Equal(t, 2, groupFor(all, ownRegionTargets, 2, "s", "q", 0, 0).Shards, desc)
	}
}

// Guards against groups that each use the full slack of the retry budget.
func TestGroupsShareTheRetrySlack(t *testing.T) {
	r := newTestRegion(t, 1, 64)
	clock := r.useManualClock()
	for n := range 320 { // 64 requests in a window
		l, err := r.brokers[0].Acquire(context.Background(), "s", request(fmt.Sprint("first", n)), 20*time.Millisecond)
		require.NoError(t, err)
		l.Release(pool.Outcome{Kind: pool.OK})
		clock.Advance(pool.DefaultSettings().RetryWindow / 64)
	}
	granted := 0
	for n := range 200 {
		retry := request(fmt.Sprint("q", n))
		retry.IsRetry = true
		if _, err := r.brokers[0].Acquire(context.Background(), "s", retry, 20*time.Millisecond); err == nil {
			granted++
		}
	}
	assert.LessOrEqual(t, float64(granted), pool.DefaultSettings().RetrySlack)
	assert.Positive(t, granted)
}

// Guards against a request that waits for a full group of targets until it is
// rejected, beside free targets of the service's other groups.
func TestWaitingRequestIsOfferedToOtherGroups(t *testing.T) {
	r := newTestRegion(t, 1, 64)
	b := r.brokers[0]
	targets := r.view.UsableTargets("s")
	full := groupFor(targets, targets, 1, "s", "q", 0, 0)
	require.Greater(t, full.Shards, 1)
	for n := 0; ; n++ {
		_, err := b.pool(full).Acquire(context.Background(), request(fmt.Sprint("r", n)), 0)
		if err != nil {
			require.ErrorIs(t, err, pool.ErrBusy)
			break
		}
	}
	l, err := b.Acquire(context.Background(), "s", request("q"), 10*maxOwnerWait)
	require.NoError(t, err)
	assert.False(t, full.contains(l.Target))
}

// Guards against entries that are cut off from each other and each spend the retry
// slack of the whole group.
func TestCutOffEntriesShareTheRetrySlack(t *testing.T) {
	const entries = 8
	r := newTestRegion(t, entries, 20)
	clock := r.useManualClock()
	for _, server := range r.servers {
		server.CloseClientConnections()
		server.Close()
	}
	for _, b := range r.brokers {
		_, err := b.Acquire(context.Background(), "s", request("first"), time.Second)
		require.NoError(t, err)
	}
	clock.Advance(time.Hour)
	granted := 0
	for _, b := range r.brokers {
		var err error
		for n := 0; err == nil; n++ {
			retry := request(fmt.Sprint("q", n))
			retry.IsRetry = true
			if _, err = b.Acquire(context.Background(), "s", retry, time.Second); err == nil {
				granted++
			}
		}
		require.ErrorIs(t, err, pool.ErrBudget)
	}
	assert.LessOrEqual(t, float64(granted), pool.DefaultSettings().RetrySlack)
	assert.GreaterOrEqual(t, float64(granted), 0.3*pool.DefaultSettings().RetrySlack, "the owner has its part")
}

// Guards against an owner that is cut off from control, does not know that another entry
// owns the group by now, and goes on using the whole slack beside it.
func TestOwnerWithoutContactSharesTheRetrySlack(t *testing.T) {
	r := newTestRegion(t, 4, 20)
	owner := r.brokers[r.owner()]
	group := Group{Service: "s", Shards: 1}
	assert.InDelta(t, 1, owner.slackShare(group), 0)
	fresh := true
	owner.options.Fresh = func() bool { return fresh }
	assert.InDelta(t, 1, owner.slackShare(group), 0)
	fresh = false
	assert.InDelta(t, 0.25, owner.slackShare(group), 0)
}

// Guards against evidence that is not sent to other regions.
func TestEvidenceIsSentToOtherRegions(t *testing.T) {
	r := newTestRegion(t, 1, 2)
	far := fleetstate.Entry{Name: "far", Region: "r2", DataCentre: "d2", State: fleetstate.Serving}
	server := httptest.NewUnstartedServer(nil)
	far.PeerAddress = server.Listener.Addr().String()
	r.view.Entries = append(r.view.Entries, far)
	regions := map[string]string{"d": "r", "d2": "r2"}
	other := New(Options{
		Self: far, Settings: pool.DefaultSettings(), Regions: regions,
		View: func() *fleetview.View { return r.view }, Peers: peerhttp.New(nil), Clock: sys.RealClock{}, Log: zap.NewNop(),
	})
	server.Config.Handler = other.Handler()
	server.Start()
	defer server.Close()
	near := r.brokers[0]
	near.options.Regions = regions
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go near.Run(ctx)
	l, err := near.Acquire(ctx, "s", request("1"), time.Second)
	require.NoError(t, err)
	l.Release(pool.Outcome{Kind: pool.Reset})
	require.Eventually(t, func() bool {
		for _, s := range other.Status()["s"] {
			if s.ID == l.Target && s.FailingProbability > 0.8 {
				return true
			}
		}
		return false
	}, time.Second, 5*time.Millisecond, "a notable change is sent before the next periodic exchange")
}

// Guards against slots that stay taken after the entries that held the grants
// were killed: entries that are lost or were restarted hold no grants.
func TestGrantsEndWithTheirEntry(t *testing.T) {
	for desc, change := range map[string]func(*fleetstate.Entry){
		"lost":          func(e *fleetstate.Entry) { e.State = fleetstate.Lost },
		"started again": func(e *fleetstate.Entry) { e.Incarnation++ },
		"leaving":       func(e *fleetstate.Entry) { e.State = fleetstate.Leaving },
	} {
		r := newTestRegion(t, 3, 2)
		owner := r.owner()
		sender := (owner + 1) % 3
		l, err := r.brokers[sender].Acquire(context.Background(), "s", request("1"), time.Second)
		require.NoError(t, err)
		next := &fleetview.View{Targets: r.view.Targets, Entries: append([]fleetstate.Entry(nil), r.view.Entries...)}
		change(&next.Entries[sender])
		r.brokers[owner].ViewChanged(next)
		inFlight := 0
		for _, s := range r.brokers[owner].Status()["s"] {
			if s.ID == l.Target {
				inFlight = s.InFlight
			}
		}
		if desc == "leaving" {
			assert.Equal(t, 1, inFlight, "a leaving entry finishes its requests")
			continue
		}
		assert.Zero(t, inFlight, desc)
	}
}

// Guards against requests that are rejected because the owner has just started and
// has no copy of the fleet state yet: the next entry in rank makes the grant.
func TestOwnerWithoutCopyIsPassedOver(t *testing.T) {
	r := newTestRegion(t, 3, 2)
	ranked := r.view.Rank("s", "r")
	r.brokers[index(ranked[0].Name)].options.View = func() *fleetview.View { return &fleetview.View{} }
	l, err := r.brokers[index(ranked[2].Name)].Acquire(context.Background(), "s", request("1"), time.Second)
	require.NoError(t, err)
	assert.Equal(t, ranked[1].Name, l.Owner)
}
