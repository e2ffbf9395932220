package quota

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/routing"
)

// Guards against requests that run without credit because the number of shards changes
// while they wait for it.
func TestShardsChangeWhileRequestsWait(t *testing.T) {
	f := newTestFleet(t, 1, limited)
	l := f.limiters["e0"]
	f.stale["e0"].Store(true) // so that no holder grants
	require.Eventually(t, func() bool { return !f.holds("e0") }, 5*time.Second, time.Millisecond)
	const requests = 20
	errs := make(chan error, requests)
	for range requests {
		go func() {
			permit, err := l.Take(context.Background(), "t", maxTakeWait)
			if err == nil && permit == nil {
				err = errors.New("the request is allowed without credit")
			}
			errs <- err
		}()
	}
	waiting := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.shard(0).credit.balance(l.index.Tenant("t").ID).waiting)
	}
	require.Eventually(t, func() bool { return waiting() == requests }, maxTakeWait, time.Millisecond)
	tenants := []routing.Tenant{limited}
	for n := range tenantsPerShard {
		tenants = append(tenants, routing.Tenant{Name: fmt.Sprint("more", n), Rate: 1})
	}
	old := f.view.Load()
	v := &fleetview.View{Index: old.Index + 1, Entries: old.Entries, Routes: routing.NewTable(&routing.Document{Version: 2, Tenants: tenants})}
	f.view.Store(v)
	l.ViewChanged(v)
	for range requests {
		assert.ErrorIs(t, <-errs, ErrNoResponse)
	}
}

// Guards against an entry that forgets, when the number of shards changes, that another
// one has taken over by a newer view, and holds a shard beside it.
func TestShardsChangeAfterRelease(t *testing.T) {
	f := newTestFleet(t, 1, limited)
	f.awaitHolder("e0")
	l, old := f.limiters["e0"], f.view.Load()
	assert.True(t, l.release(ReleaseRequest{Shard: 0, Shards: 1, Index: old.Index + 2}).Released)
	tenants := []routing.Tenant{limited}
	for n := range tenantsPerShard {
		tenants = append(tenants, routing.Tenant{Name: fmt.Sprint("more", n), Rate: 1})
	}
	v := &fleetview.View{Index: old.Index + 1, Entries: old.Entries, Routes: routing.NewTable(&routing.Document{Version: 2, Tenants: tenants})}
	f.view.Store(v)
	l.ViewChanged(v)
	l.mu.Lock()
	defer l.mu.Unlock()
	assert.Empty(t, l.holdings)
}

// Guards against credit that is returned to the holders of two regions because the first
// one applied the message but its response came too late: both buckets would gain it.
func TestCreditIsReturnedToOneRegion(t *testing.T) {
	var mu sync.Mutex
	var returned []int
	v := &fleetview.View{Index: 1, Routes: routing.NewTable(&routing.Document{Version: 1, Tenants: []routing.Tenant{limited}})}
	for name, region := range map[string]string{"a": "r1", "b": "r1", "c": "r2"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var request ExchangeRequest
			call, ok := peerhttp.Decode(w, r, &request)
			needs, err := decodeNeeds(request.Needs)
			if !ok || err != nil || len(needs) != 1 {
				return
			}
			mu.Lock()
			returned = append(returned, needs[0].Returned)
			mu.Unlock()
			if region == "r1" {
				time.Sleep(2 * exchangeTimeout)
			}
			call.Respond(ExchangeResponse{Holding: true})
		}))
		t.Cleanup(s.Close)
		v.Entries = append(v.Entries, fleetstate.Entry{Name: name, Region: region, DataCentre: region, State: fleetstate.Serving, PeerAddress: s.Listener.Addr().String()})
	}
	l := New(Options{
		Self: v.Rank(shardKey(0, 1), "r1")[1], Settings: usual, Regions: map[string]string{"r1": "r1", "r2": "r2"},
		View: func() *fleetview.View { return v }, Fresh: func() bool { return true }, Peers: peerhttp.New(nil), Log: zap.NewNop(),
		Now: func() time.Duration { return time.Minute },
	})
	l.ViewChanged(v)
	s := l.shard(0)
	b := s.credit.balance(l.index.Tenant("t").ID)
	b.free, b.expires = 5, time.Minute+creditLifetime
	l.exchange(context.Background(), 0, s)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, []int{5}, lo.Filter(returned, func(n, _ int) bool { return n > 0 }), "credit that is returned to each holder that was asked")
}
