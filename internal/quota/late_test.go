package quota

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/routing"
)

// unevenOwners returns ten owners, as often as their share of the requests: those of one
// region get three times the requests of another.
func unevenOwners() []int {
	owners := slices.Concat(lo.Range(4), lo.Range(4), lo.Range(4), lo.Range(4), lo.Range(4), lo.Range(4), lo.Range(4), lo.Range(4), lo.Range(4))
	for range 4 {
		owners = append(owners, 4, 5, 6, 8, 9, 10)
	}
	return owners
}

// passed returns how many requests of the tenants with a peak passed during it, as a
// share of what their limits allow (rate x time + burst).
func (f *fake) passed(peaks []routing.Tenant, from, to time.Duration) float64 {
	allowed, passed := 0.0, 0
	for _, tenant := range peaks {
		allowed += tenant.Rate*(to-from).Seconds() + tenant.Burst
		passed += lo.CountBy(f.admitted[tenant.Name], func(t time.Duration) bool { return t >= from && t < to+maxTakeWait })
	}
	return float64(passed) / max(allowed, 1)
}

// Guards against tokens that are not used while requests are rejected, and against a
// bound that is exceeded, when messages are late: some by the time in which a lost packet
// is repeated, or all of one owner. A third of the tenants send at most of what a limit
// allows, or at four times their limit for 5 s.
func TestLateMessages(t *testing.T) {
	const from, to = 8 * second, 13 * second
	oneIn := func(n uint64) func(*fakeOwner, uint64) time.Duration {
		return func(_ *fakeOwner, sequence uint64) time.Duration {
			return lo.Ternary(xxhash.Sum64String(fmt.Sprint(sequence))%n == 0, 210*time.Millisecond, 0)
		}
	}
	oneOwner := func(d time.Duration) func(*fakeOwner, uint64) time.Duration {
		return func(o *fakeOwner, _ uint64) time.Duration {
			return lo.Ternary(o != nil && o.name == fmt.Sprint("o", 0, 0), d, 0)
		}
	}
	for _, c := range []struct {
		name  string
		extra func(*fakeOwner, uint64) time.Duration
		burst float64
		share float64 // of the requests below the limit
	}{
		{"none late", nil, 0.2, 0.97},
		{"none late", nil, 1, 0.97},
		{"one in 33 late by 210 ms", oneIn(33), 0.2, 0.9},
		{"one in 33 late by 210 ms", oneIn(33), 1, 0.97},
		{"one in 33 late by 210 ms", oneIn(33), 2, 0.97},
		{"one in 10 late by 210 ms", oneIn(10), 1, 0.9},
		{"one in 10 late by 210 ms", oneIn(10), 2, 0.9},
		{"one owner late by 60 ms each way", oneOwner(60 * time.Millisecond), 0.2, 0.9},
		{"one owner late by 60 ms each way", oneOwner(60 * time.Millisecond), 1, 0.97},
		{"one owner late by 90 ms each way", oneOwner(90 * time.Millisecond), 0.2, 0.9},
		{"one owner late by 90 ms each way", oneOwner(90 * time.Millisecond), 1, 0.97},
		{"one owner late by 90 ms each way", oneOwner(90 * time.Millisecond), 2, 0.97},
	} {
		for _, peak := range []float64{1 / 1.6, 4} {
			f := newFake(t, 4, tenantMix(c.burst)...)
			f.extra = c.extra
			times := map[string][]time.Duration{}
			var peaks []routing.Tenant
			below, refused := 0, 0
			for n, tenant := range f.tenants {
				usual, during := tenant.Rate/1.6, tenant.Rate/1.6
				if n%3 == 0 && peak > 1 {
					during = peak * tenant.Rate
					peaks = append(peaks, tenant)
				}
				times[tenant.Name] = slices.Concat(
					f.demand(tenant.Name, usual, second, from, unevenOwners()...),
					f.demand(tenant.Name, during, from, to, unevenOwners()...),
					f.demand(tenant.Name, usual, to, 20*second, unevenOwners()...))
			}
			f.run(21 * second)
			for n, tenant := range f.tenants {
				if n%3 != 0 || peak < 1 {
					below, refused = below+len(times[tenant.Name]), refused+len(f.refused[tenant.Name])
				}
			}
			t.Logf("%s, burst %.1f s, peak %.2f of the limit: rejected %d of %d of the others; passed %.3f of what the limits allow", c.name, c.burst, peak, refused, below, f.passed(peaks, from, to))
			f.check(times, lo.Ternary(peak > 1, 0.9, c.share))
			if peak > 1 {
				assert.GreaterOrEqual(t, f.passed(peaks, from, to), 0.95)
			}
		}
	}
}

// Guards against credit that is counted in no place: that of a late response, which no
// message has named, must expire at the owner no later than at the holder that gave it.
func TestLateCreditExpires(t *testing.T) {
	x := NewIndex([]routing.Tenant{{Name: "t", Rate: 30, Burst: 30}}, usual, 1)
	id, at := x.Tenant("t").ID, func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	c := NewCredit()
	c.Take(id, 0)
	c.Needs(at(10), x)
	second := c.Needs(at(110), x) // to another region
	c.ApplyLate(at(220), at(10), []Grant{{ID: id, Granted: 5}})
	c.Apply(at(230), at(110), second, []Grant{{ID: id, Granted: 5}})
	key, _ := c.Take(id, at(300))
	require.NotNil(t, key)
	assert.False(t, c.Use(key, at(1010)), "used after the holder has forgotten it")

	c = NewCredit()
	c.Take(id, 0)
	c.Needs(at(10), x)
	second = c.Needs(at(110), x)
	c.ApplyLate(at(220), at(10), []Grant{{ID: id, Granted: 5}})
	c.Apply(at(230), at(110), second, nil)
	named := c.Needs(at(600), x)
	require.Len(t, named, 1)
	c.Apply(at(610), at(600), named, nil)
	key, _ = c.Take(id, at(1300))
	assert.NotNil(t, key, "credit that a message has named is lost")
}

// Guards against tokens that are lost with a response: the owner states which one it has
// received, and the holder takes back what was in a later one.
func TestMissedResponse(t *testing.T) {
	x := NewIndex([]routing.Tenant{{Name: "t", Rate: 0.001, Burst: 30}}, usual, 1)
	id := x.Tenant("t").ID
	l := NewLedger(0, -100*time.Hour) // full
	exchange := func(incarnation, sequence, received uint64, n Need) int {
		n.ID = id
		l.Exchange(0, x, ExchangeRequest{Sender: "o", Incarnation: incarnation, Sequence: sequence, Received: received}, []Need{n})
		return l.Levels(0)[id]
	}
	full := exchange(1, 1, 0, Need{})
	assert.Equal(t, full-5, exchange(1, 2, 1, Need{Wanted: 5, Waiting: 5}))
	assert.Equal(t, full-5, exchange(1, 3, 1, Need{Wanted: 5, Waiting: 5}), "missed")
	assert.Equal(t, full-5, exchange(1, 4, 3, Need{Held: 5}), "received")
	assert.Equal(t, full-9, exchange(1, 5, 4, Need{Held: 5, Wanted: 4, Waiting: 4}))
	assert.Equal(t, full-9, exchange(1, 6, 0, Need{}), "an owner of an earlier release")
	assert.Equal(t, full-12, exchange(1, 7, 6, Need{Wanted: 3, Waiting: 3}))
	assert.Equal(t, full-12, exchange(2, 8, 1, Need{}), "a new process")
}

// Guards against a holder whose responses are late and that is not used: its credit must
// arrive although another region was asked, and must not after a later message.
func TestLateResponse(t *testing.T) {
	f := newTestFleet(t, 2, routing.Tenant{Name: "t", Rate: 0.001, Burst: 300})
	first, owner := f.ranked()[0], f.limiters[f.ranked()[1]]
	f.awaitHolder(first)
	var pause atomic.Int64
	handler := f.limiters[first].Handler()
	slow := http.NewServeMux()
	slow.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(pause.Load()))
		handler.ServeHTTP(w, r)
	})
	server := &http.Server{Handler: slow}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	v := f.view.Load()
	moved := &fleetview.View{Index: v.Index, Routes: v.Routes, Entries: slices.Clone(v.Entries)}
	for i := range moved.Entries {
		if moved.Entries[i].Name == first {
			moved.Entries[i].PeerAddress = listener.Addr().String()
		}
	}
	f.view.Store(moved)

	pause.Store(int64(exchangeTimeout + 40*time.Millisecond))
	started := time.Now()
	p, err := owner.Take(context.Background(), "t", maxTakeWait)
	for err != nil && time.Since(started) < 2*time.Second { // as internal/grants does
		p, err = owner.Take(context.Background(), "t", maxTakeWait)
	}
	require.NoError(t, err)
	assert.True(t, p.Use())

	owner.mu.Lock()
	defer owner.mu.Unlock()
	shard := owner.shard(0)
	key := messageKey{region: "r"}
	m := &sentMessage{key: key, sequence: owner.sent[key], at: owner.options.Now(), holder: first, grants: []Grant{{ID: owner.index.Tenant("t").ID, Granted: 7}}}
	before := shard.credit.balance(m.grants[0].ID).free
	owner.sent[key]++
	owner.mu.Unlock()
	err = owner.apply(shard, m, nil, nil, true)
	owner.mu.Lock()
	require.ErrorIs(t, err, errLate)
	assert.Equal(t, before, shard.credit.balance(m.grants[0].ID).free, "credit is used that the holder has taken back")
}

// Guards against messages without a pause while no region may be asked.
func TestNoUsableRegion(t *testing.T) {
	f := newTestFleet(t, 1, limited)
	f.awaitHolder("e0")
	l := f.limiters["e0"]
	l.mu.Lock()
	shard := l.shard(0)
	_, granted := shard.credit.Take(l.index.Tenant("t").ID, l.options.Now())
	require.NotNil(t, granted)
	l.unusable["r"] = time.Hour
	l.mu.Unlock()
	time.Sleep(2 * coalesceTime) // until the message is due
	l.exchange(context.Background(), 0, shard)
	l.mu.Lock()
	defer l.mu.Unlock()
	due, any := shard.credit.Due()
	assert.True(t, any)
	assert.Greater(t, due, l.options.Now())
}

// Guards against tokens that lie unused in one region or at one owner while another one
// rejects requests: tenants that send 2.5 or 5 times their limit for some seconds, with
// three times the requests in one region, must get what their limits allow.
func TestUnevenPeak(t *testing.T) {
	const from = 8 * second
	for _, burst := range []float64{0, 0.2, 1, 2} {
		for _, peak := range []float64{2.5, 5} {
			for _, length := range []time.Duration{4 * second, 7 * second} {
				f := newFake(t, 4, tenantMix(burst)...)
				times := map[string][]time.Duration{}
				var peaks []routing.Tenant
				for n, tenant := range f.tenants {
					during := tenant.Rate / 1.6
					if n%3 == 0 {
						during = peak * tenant.Rate
						peaks = append(peaks, tenant)
					}
					times[tenant.Name] = slices.Concat(
						f.demand(tenant.Name, tenant.Rate/1.6, second, from, unevenOwners()...),
						f.demand(tenant.Name, during, from, from+length, unevenOwners()...),
						f.demand(tenant.Name, tenant.Rate/1.6, from+length, 20*second, unevenOwners()...))
				}
				f.run(21 * second)
				f.check(times, 0.9)
				least := 2.0
				for _, tenant := range peaks {
					least = min(least, f.passed([]routing.Tenant{tenant}, from, from+length))
				}
				t.Logf("burst %.1f s, %.1f times the limit for %v: passed %.3f of what the limits allow, of one tenant at least %.3f", burst, peak, length, f.passed(peaks, from, from+length), least)
				assert.GreaterOrEqual(t, f.passed(peaks, from, from+length), 1.0)
				assert.GreaterOrEqual(t, least, 0.9)
			}
		}
	}
}
