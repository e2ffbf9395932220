package quota

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/routing"
)

// Guards against requests below the limit that are rejected after a loss of power of
// all processes, and against a bound that is exceeded then. Processes start 1.5 s later
// and holders begin 1.4 s after that. Entries hold the requests that arrive meanwhile,
// and make them at once.
func TestLossOfPower(t *testing.T) {
	const lost, started, began = 5 * second, 6500 * time.Millisecond, 7900 * time.Millisecond
	for _, demand := range []float64{1 / 1.6, 5} {
		for _, late := range []time.Duration{0, 70 * time.Millisecond, 500 * time.Millisecond} {
			f := newFake(t, 4, tenantMix(1)...)
			times := map[string][]time.Duration{}
			for _, tenant := range f.tenants {
				rate, held := demand*tenant.Rate, (began - started).Seconds()
				times[tenant.Name] = slices.Concat(
					f.demand(tenant.Name, rate, second, lost),
					f.demand(tenant.Name, rate*held/0.05, began, began+50*time.Millisecond),
					f.demand(tenant.Name, rate, began+50*time.Millisecond, 16*second))
			}
			f.run(lost)
			for n := range f.owners {
				f.owners[n].credit, f.owners[n].waiting = NewCredit(), nil
			}
			for _, h := range f.holders {
				h.ledger = nil
			}
			f.run(began)
			for _, h := range f.holders {
				h.ledger = NewLedger(0, began)
				h.ledger.AddQuiet(began - started - creditLifetime)
				f.at(began+late, func() { h.ledger.AddQuiet(creditLifetime) })
			}
			clear(f.refused)
			f.run(17 * second)
			t.Logf("demand %.2f, proof after %v", demand, late)
			// Requests without credit wait for at most 200 ms. With a proof after that only
			// the bound is checked.
			f.check(times, lo.Ternary(demand < 1 && late < maxTakeWait, 0.97, 0))
		}
	}
}

// Guards against a bound that is exceeded because owners use credit of the former holder
// after the time for which a new one adds tokens.
func TestQuietHolderWithCreditOutside(t *testing.T) {
	for _, tenant := range []routing.Tenant{{Name: "t", Rate: 300, Burst: 0}, {Name: "t", Rate: 300, Burst: 600}, {Name: "t", Rate: 8, Burst: 8}} {
		for _, quiet := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * second} {
			f := newFake(t, 4, tenant)
			f.demand("t", 8*tenant.Rate, 4700*time.Millisecond, 14*second) // from full buckets
			f.run(5 * second)
			for _, h := range f.holders {
				h.ledger = nil
			}
			f.run(5*second + quiet)
			for _, h := range f.holders {
				h.ledger = NewLedger(0, f.now)
				h.ledger.AddQuiet(quiet - creditLifetime)
			}
			f.run(15 * second)
			f.checkWindows(tenant, 0)
		}
	}
}

// Guards against tokens that are added late although the bucket would have overflowed
// with them.
func TestAddInitial(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, n := rapid.Float64Range(1, 50).Draw(t, "capacity"), rapid.Float64Range(0, 60).Draw(t, "tokens")
		level, outside := rapid.Float64Range(0, 50).Draw(t, "level"), 0.0
		early, late := NewBucket(10, capacity, min(level, capacity)+n, 0), NewBucket(10, capacity, level, 0)
		now := time.Duration(0)
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			late.refill(now, outside)
			early.refill(now, outside)
			taken := late.Take(rapid.IntRange(0, 40).Draw(t, "wanted"))
			require.Equal(t, taken, early.Take(taken))
			switch back := rapid.IntRange(0, taken).Draw(t, "back"); rapid.IntRange(0, 2).Draw(t, "then") {
			case 0: // stays outside
				outside += float64(taken)
			case 1: // is returned
				late.Give(back, outside)
				early.Give(back, outside)
			case 2: // what was outside is used
				outside = 0
			}
		}
		late.AddInitial(n)
		require.InDelta(t, early.Level(), late.Level(), 1e-6)
	})
}

// quietFleet returns a fleet whose processes run for 2 s before there is a tenant with a
// limit. It also returns when the holder began after that, and for how much time its
// buckets have tokens, in seconds.
func quietFleet(t *testing.T, prepare func(*testFleet)) (*testFleet, func() (began, quiet float64)) {
	f := newTestFleet(t, 3)
	prepare(f)
	for _, skipped := range f.skipped {
		skipped.Add(int64(2 * time.Second))
	}
	time.Sleep(2 * tickInterval)
	old := f.view.Load()
	v := &fleetview.View{Index: old.Index + 1, Entries: old.Entries, Routes: routing.NewTable(&routing.Document{Version: 2, Tenants: []routing.Tenant{quietTenant}})}
	f.view.Store(v)
	first := f.ranked()[0]
	for _, l := range f.limiters {
		l.ViewChanged(v)
	}
	f.awaitHolder(first)
	l := f.limiters[first]
	return f, func() (began, quiet float64) {
		l.mu.Lock()
		defer l.mu.Unlock()
		ledger := l.holdings[0].ledger
		return ledger.began.Seconds(), (ledger.began - ledger.since).Seconds()
	}
}

var quietTenant = routing.Tenant{Name: "t", Rate: 10, Burst: 200}

// Guards against buckets that start empty although no process has granted since it
// started, and against tokens for a time in which one may have granted, or in which an
// owner may have had credit.
func TestHolderCountsQuietTime(t *testing.T) {
	all := func(do func(*Limiter)) func(*testFleet) {
		return func(f *testFleet) {
			for _, l := range f.limiters {
				l.mu.Lock()
				do(l)
				l.mu.Unlock()
			}
		}
	}
	for _, c := range []struct {
		name    string
		prepare func(*testFleet)
		from    float64 // seconds after the start of the processes from which on time counts; -1: none counts
	}{
		{"nobody has granted", all(func(*Limiter) {}), 0},
		{"held lately", all(func(l *Limiter) { l.ceased[0] = time.Hour }), -1},
		{"held before", all(func(l *Limiter) { l.ceased[0] = 500 * time.Millisecond }), 1.5},
		{"another shard was held", all(func(l *Limiter) { l.ceased[1] = time.Hour }), 1},
		{"number of shards has changed", all(func(l *Limiter) { l.unheld = time.Hour }), -1},
		{"an owner has credit of another holder", all(func(l *Limiter) { l.credited["r"] = firstCredit{at: 500 * time.Millisecond, holder: "e7"} }), 1},
		{"an owner has credit of several", all(func(l *Limiter) { l.credited["r"] = firstCredit{at: 500 * time.Millisecond} }), 1},
		{"an owner has credit of another region", all(func(l *Limiter) { l.credited["q"] = firstCredit{at: 500 * time.Millisecond, holder: "e7"} }), 0},
		{"an earlier release", func(f *testFleet) { // omits the field, as it does if it grants just now
			all(func(l *Limiter) { l.unheld = time.Hour })(f)
		}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, times := quietFleet(t, c.prepare)
			wanted := func() float64 { began, _ := times(); return began - c.from }
			if c.from < 0 {
				wanted = func() float64 { return 0 }
			}
			isRight := func() bool { _, quiet := times(); return math.Abs(quiet-wanted()) < 0.3 }
			assert.Eventually(t, isRight, 2*time.Second, time.Millisecond)
			time.Sleep(ageTime / 4)
			assert.True(t, isRight())
			limit := f.limiters["e0"].index.Tenant("t").Limit
			assert.Greater(t, f.level(f.ranked()[0]), limit.Start+(wanted()-0.3)*limit.Rate-5)
		})
	}
}

// Guards against an entry that does not respond, or is of an earlier release, and counts
// as one without credit.
func TestAgeIsProof(t *testing.T) {
	f := newTestFleet(t, 3, limited)
	l := f.limiters[f.ranked()[0]]
	f.awaitHolder(l.options.Self.Name)
	l.mu.Lock()
	h := l.holdings[0]
	l.mu.Unlock()
	_, ok := l.awaitFree(context.Background(), h)
	assert.True(t, ok)
	f.servers[f.ranked()[2]].Close()
	_, ok = l.awaitFree(context.Background(), h)
	assert.False(t, ok)
	unknown := httptest.NewServer(http.NotFoundHandler())
	defer unknown.Close()
	_, err := l.awaitAge(context.Background(), h, fleetstate.Entry{Name: "old", PeerAddress: unknown.Listener.Addr().String()})
	assert.True(t, isUnknownCall(err))
}

// Guards against a process that has held a shard and states that it has not.
func TestQuietAfterRelease(t *testing.T) {
	f := newTestFleet(t, 2, limited)
	first, second := f.ranked()[0], f.ranked()[1]
	f.awaitHolder(first)
	request := ReleaseRequest{Shards: 1, Index: f.view.Load().Index}
	started := time.Now()
	assert.Zero(t, f.limiters[first].release(request).Quiet)
	time.Sleep(tickInterval / 2)
	f.setState(first, fleetstate.Leaving)
	request.Index = f.view.Load().Index
	again := f.limiters[first].release(request).Quiet
	assert.LessOrEqual(t, again, time.Since(started))
	assert.GreaterOrEqual(t, f.limiters[second].release(request).Quiet, again)
}
