package quota

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/routing"
)

// testFleet is a set of limiters in one region that share a view, over HTTP.
type testFleet struct {
	t        *testing.T
	view     atomic.Pointer[fleetview.View]
	limiters map[string]*Limiter
	servers  map[string]*httptest.Server
	skipped  map[string]*atomic.Int64 // time by which the clock of an entry is ahead
	stale    map[string]*atomic.Bool
	cancel   map[string]context.CancelFunc
	calls    atomic.Int64
}

func newTestFleet(t *testing.T, entries int, tenants ...routing.Tenant) *testFleet {
	f := &testFleet{
		t: t, limiters: map[string]*Limiter{}, servers: map[string]*httptest.Server{}, skipped: map[string]*atomic.Int64{},
		stale: map[string]*atomic.Bool{}, cancel: map[string]context.CancelFunc{},
	}
	v := &fleetview.View{Index: 1, Routes: routing.NewTable(&routing.Document{Version: 1, Tenants: tenants})}
	for n := range entries {
		name := fmt.Sprint("e", n)
		f.servers[name] = httptest.NewUnstartedServer(nil)
		v.Entries = append(v.Entries, fleetstate.Entry{Name: name, Region: "r", DataCentre: "d", State: fleetstate.Serving, PeerAddress: f.servers[name].Listener.Addr().String()})
	}
	f.view.Store(v)
	for _, e := range v.Entries {
		f.start(e)
	}
	return f
}

func (f *testFleet) start(e fleetstate.Entry) {
	skipped, stale := &atomic.Int64{}, &atomic.Bool{}
	started := time.Now()
	l := New(Options{
		Self: e, Settings: usual, Regions: map[string]string{"d": "r"}, View: f.view.Load, Fresh: func() bool { return !stale.Load() },
		Peers: peerhttp.New(nil), Log: zap.NewNop(), Now: func() time.Duration { return time.Since(started) + time.Duration(skipped.Load()) },
	})
	f.limiters[e.Name], f.skipped[e.Name], f.stale[e.Name] = l, skipped, stale
	handler := l.Handler()
	f.servers[e.Name].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.calls.Add(1)
		handler.ServeHTTP(w, r)
	})
	f.servers[e.Name].Start()
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel[e.Name] = cancel
	f.t.Cleanup(func() { cancel(); f.servers[e.Name].Close() })
	l.ViewChanged(f.view.Load())
	go l.Run(ctx)
}

func (f *testFleet) setState(name string, s fleetstate.EntryState, tell ...string) {
	old := f.view.Load()
	v := &fleetview.View{Index: old.Index + 1, Routes: old.Routes}
	for _, e := range old.Entries {
		if e.Name == name {
			e.State = s
		}
		v.Entries = append(v.Entries, e)
	}
	f.view.Store(v)
	for _, n := range tell {
		f.limiters[n].ViewChanged(v)
	}
}

func (f *testFleet) ranked() []string {
	var names []string
	for _, e := range f.view.Load().Rank(shardKey(0, 1), "r") {
		names = append(names, e.Name)
	}
	return names
}

func (f *testFleet) holds(name string) bool {
	l := f.limiters[name]
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ledger := l.ledger(0, 1)
	return ledger != nil
}

func (f *testFleet) awaitHolder(name string) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return f.holds(name) }, 10*time.Second, 5*time.Millisecond)
}

// level takes one unit and returns the level of the bucket of tenant t at its holder.
func (f *testFleet) level(name string) float64 {
	f.take(name, "t", 1)
	l := f.limiters[name]
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ledger := l.ledger(0, 1)
	return ledger.account(l.index.Tenant("t").ID, l.index.Tenant("t").Limit, l.options.Now()).bucket.Level()
}

// take takes and uses n units of credit at an entry at the same time, and returns how
// many it got.
func (f *testFleet) take(name, tenant string, n int) (taken int, last error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for range n {
		group.Go(func() {
			p, err := f.limiters[name].Take(context.Background(), tenant, maxTakeWait)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && p.Use() {
				taken++
			} else {
				last = err
			}
		})
	}
	group.Wait()
	return taken, last
}

var limited = routing.Tenant{Name: "t", Rate: 10, Burst: 40}

// Guards against entries that limit independently of each other, against a tenant
// without a rate that is limited, and against a rejection without Retry-After.
func TestLimitOverAllEntries(t *testing.T) {
	f := newTestFleet(t, 3, limited, routing.Tenant{Name: "free"})
	f.awaitHolder(f.ranked()[0])
	started := time.Now()
	sum, rejected := 0, 0
	var exceeded *ExceededError
	for n := range 3 {
		taken, last := f.take(fmt.Sprint("e", n), "t", 60)
		sum += taken
		if errors.As(last, &exceeded) {
			rejected++
			assert.Positive(t, exceeded.RetryAfter)
			assert.Less(t, exceeded.RetryAfter, 2*time.Second)
		}
		taken, _ = f.take(fmt.Sprint("e", n), "free", 200)
		assert.Equal(t, 200, taken)
	}
	assert.Positive(t, rejected)
	elapsed := time.Since(started).Seconds()
	limit := f.limiters["e0"].index.Tenant("t").Limit
	assert.LessOrEqual(t, float64(sum), limit.Capacity+limit.Rate*(elapsed+0.2)+1)
	assert.Greater(t, sum, 15)
}

// Guards against credit that is lost when the pool rejects the request.
func TestReturnedCredit(t *testing.T) {
	f := newTestFleet(t, 2, routing.Tenant{Name: "t", Rate: 0.01, Burst: 1})
	f.awaitHolder(f.ranked()[0])
	for range 200 {
		p, err := f.limiters["e0"].Take(context.Background(), "t", 200*time.Millisecond)
		require.NoError(t, err)
		p.Return()
	}
}

// Guards against messages although no tenant has a rate.
func TestNothingIsSentWithoutLimits(t *testing.T) {
	f := newTestFleet(t, 2, routing.Tenant{Name: "free"})
	taken, _ := f.take("e0", "free", 10)
	assert.Equal(t, 10, taken)
	taken, _ = f.take("e0", "", 10)
	assert.Equal(t, 10, taken)
	time.Sleep(3 * tickInterval)
	assert.Zero(t, f.calls.Load())
}

// Guards against two holders: an entry that takes over makes the former one stop, also
// if that one has an older view, and waits for it if it does not respond.
func TestOneHolder(t *testing.T) {
	f := newTestFleet(t, 3, limited)
	first, second := f.ranked()[0], f.ranked()[1]
	f.awaitHolder(first)

	left := f.level(first)
	f.setState(first, fleetstate.Leaving, second)
	f.awaitHolder(second)
	assert.InDelta(t, left, f.level(second), 5, "the level of the bucket is lost")
	assert.False(t, f.holds(first), "the former holder grants on")
	f.setState(first, fleetstate.Serving, first, second)
	f.awaitHolder(first)
	assert.False(t, f.holds(second))

	// The first one does not respond: its address takes connections, as that of a
	// paused process does.
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	address := silent.Addr().String()
	v := f.view.Load()
	paused := &fleetview.View{Index: v.Index, Routes: v.Routes, Entries: append([]fleetstate.Entry(nil), v.Entries...)}
	for i := range paused.Entries {
		if paused.Entries[i].Name == first {
			paused.Entries[i].PeerAddress = address
		}
	}
	f.view.Store(paused)
	f.setState(first, fleetstate.Lost, second)
	time.Sleep(5 * tickInterval)
	assert.False(t, f.holds(second), "a new holder does not wait for a silent one")
	f.skipped[second].Add(int64(takeoverWait) / 2)
	time.Sleep(5 * tickInterval)
	assert.False(t, f.holds(second))
	f.skipped[second].Add(int64(takeoverWait) / 2)
	f.awaitHolder(second)
}

// Guards against a holder that grants although another one may have taken over: after a
// pause of its process, and without contact with control.
func TestHolderStops(t *testing.T) {
	f := newTestFleet(t, 2, limited)
	first := f.ranked()[0]
	f.awaitHolder(first)
	l := f.limiters[first]
	l.mu.Lock()
	before := l.holdings[0].ledger
	f.skipped[first].Add(int64(frozenAfter) + int64(time.Second))
	_, ledger := l.ledger(0, 1)
	l.mu.Unlock()
	assert.Nil(t, ledger, "a holder grants right after a pause")
	f.awaitHolder(first)
	assert.NotSame(t, before, l.holdings[0].ledger)

	f.stale[first].Store(true)
	assert.False(t, f.holds(first))
	_, err := f.take(first, "t", 1)
	assert.ErrorIs(t, err, ErrNoResponse)
	f.stale[first].Store(false)
	f.awaitHolder(first)
	require.Eventually(t, func() bool { taken, _ := f.take(first, "t", 1); return taken == 1 }, 5*time.Second, tickInterval)
}

// Guards against a takeover that waits although the former holder's process has ended.
func TestKilledHolderIsReplacedAtOnce(t *testing.T) {
	f := newTestFleet(t, 2, limited)
	first, second := f.ranked()[0], f.ranked()[1]
	f.awaitHolder(first)
	f.cancel[first]()
	f.servers[first].Close()
	f.setState(first, fleetstate.Lost, second)
	started := time.Now()
	f.awaitHolder(second)
	assert.Less(t, time.Since(started), takeoverWait)
}

// Guards against a malformed message that ends the process or is taken for another one.
func TestMalformedMessages(t *testing.T) {
	for _, raw := range [][]byte{{1}, {1, 2, 3, 4}, {1, 2, 3, 4, 0xff}, {1, 2, 3, 4, 0xff, 0xff, 0xff, 0xff, 0x7f, 0, 0, 0}} {
		_, err := decodeNeeds(raw)
		assert.ErrorIs(t, err, errMalformed)
		_, err = decodeGrants(raw)
		assert.ErrorIs(t, err, errMalformed)
	}
	f := newTestFleet(t, 1, limited)
	f.awaitHolder("e0")
	for _, body := range []string{`{"shards":1,"needs":"AQ=="}`, `{"shard":-5,"shards":-1}`, `{"shard":99999999,"shards":1}`, `{`} {
		for _, path := range []string{ExchangePath, ReleasePath} {
			w := httptest.NewRecorder()
			f.limiters["e0"].Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
			assert.Contains(t, []int{http.StatusOK, http.StatusBadRequest}, w.Code)
		}
	}
	needs := []Need{{ID: 1, Held: 2, Returned: 300, Wanted: 4, Waiting: 5}, {ID: 1 << 31, Wanted: maxCount}}
	decoded, err := decodeNeeds(encodeNeeds(needs))
	require.NoError(t, err)
	assert.Equal(t, needs, decoded)
}
