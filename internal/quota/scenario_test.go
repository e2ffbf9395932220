package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/sequoialane/sequoialane/internal/routing"
)

const second = time.Second

// tenantMix is 79 tenants with limits from 5 to 400 requests a second. Their bursts are
// those of the given time at their rate.
func tenantMix(burst float64) []routing.Tenant {
	var tenants []routing.Tenant
	for n := range 79 {
		rate := 5 + float64(n%16)
		if n >= 75 {
			rate = 100 * float64(n-74)
		}
		tenants = append(tenants, routing.Tenant{Name: fmt.Sprint("tenant-", n), Rate: rate, Burst: burst * rate})
	}
	return tenants
}

// usualDemand makes all tenants send at their usual rate. It returns the times.
func (f *fake) usualDemand(from, to time.Duration, owners ...int) map[string][]time.Duration {
	times := map[string][]time.Duration{}
	for _, tenant := range f.tenants {
		times[tenant.Name] = f.demand(tenant.Name, tenant.Rate/1.6, from, to, owners...)
	}
	return times
}

// check checks the bound of all tenants, and that each was served at least the share of
// what a single bucket lets through.
func (f *fake) check(times map[string][]time.Duration, share float64) {
	f.t.Helper()
	total, missing := 0, 0
	for _, tenant := range f.tenants {
		f.checkWindows(tenant, 0)
		passed, admitted := below(tenant, times[tenant.Name]), len(f.admitted[tenant.Name])
		assert.GreaterOrEqual(f.t, admitted, int(share*float64(passed)), tenant.Name)
		total, missing = total+passed, missing+max(passed-admitted, 0)
	}
	f.t.Logf("missing %d of %d below the limits; %d waited", missing, total, f.waited)
	f.logTraffic(f.now)
}

// Guards against requests below the limit that are rejected: steady demand of many
// tenants, most of them a few requests a second spread over twelve owners.
func TestSteadyDemand(t *testing.T) {
	for _, burst := range []float64{0.2, 1, 2} {
		f := newFake(t, 4, tenantMix(burst)...)
		times := f.usualDemand(second, 21*second)
		f.run(22 * second)
		f.check(times, 1)
	}
}

// Guards against a bound that is exceeded, and against requests below the limit that
// are rejected, when a tenant sends eight times its usual rate for some seconds: from
// everywhere, or from one region, or at one owner.
func TestBurst(t *testing.T) {
	for _, burst := range []float64{0, 0.2, 1, 4} {
		for _, owners := range [][]int{nil, {0, 1, 2, 3}, {5}} {
			f := newFake(t, 4, tenantMix(burst)...)
			times := f.usualDemand(second, 8*second, owners...)
			for n, tenant := range f.tenants {
				if n%3 == 0 {
					times[tenant.Name] = append(times[tenant.Name], f.demand(tenant.Name, 5*tenant.Rate, 8*second, 15*second, owners...)...)
				}
			}
			for name, after := range f.usualDemand(15*second, 20*second, owners...) {
				times[name] = append(times[name], after...)
			}
			f.run(21 * second)
			// A tenant that far exceeds its limit may lose a tenth of what a single
			// bucket would let through, since its tokens are spread over regions.
			f.check(times, 0.9)
		}
	}
}

// Guards against requests below the limit that are rejected after a restart of all
// entries, and against a bound that is exceeded then, when all demand is at the limit.
func TestRestartOfAll(t *testing.T) {
	for _, demand := range []float64{1 / 1.6, 5} {
		f := newFake(t, 4, tenantMix(1)...)
		for _, tenant := range f.tenants {
			f.demand(tenant.Name, demand*tenant.Rate, second, 10*second)
		}
		f.run(5 * second)
		restarted := newFake(t, 4, tenantMix(1)...)
		for r, h := range restarted.holders {
			h.ledger = NewLedger(0, f.now)
			f.holders[r] = h
		}
		for n := range f.owners {
			f.owners[n].credit, f.owners[n].waiting = NewCredit(), nil
		}
		clear(f.refused)
		f.run(11 * second)
		refused := 0
		for _, tenant := range f.tenants {
			f.checkWindows(tenant, 0)
			refused += len(f.refused[tenant.Name])
		}
		if demand < 1 {
			assert.Zero(t, refused)
		}
	}
}

// Guards against a bound that is exceeded when a holder is killed and another one takes
// over, and against requests below the limit that are rejected meanwhile.
func TestHolderKilled(t *testing.T) {
	for _, killed := range [][]int{{0}, {0, 1, 2}} {
		f := newFake(t, 4, tenantMix(1)...)
		times := f.usualDemand(second, 15*second)
		flood := routing.Tenant{Name: "flood", Rate: 100, Burst: 100}
		f.setLimits(append(f.tenants, flood)...)
		f.demand(flood.Name, 500, 2*second, 14*second)
		f.run(6 * second)
		for _, region := range killed {
			f.holders[region].ledger = nil
			f.run(f.now + 600*time.Millisecond)
			f.holders[region].ledger = NewLedger(0, f.now)
			f.run(f.now + 600*time.Millisecond)
		}
		f.run(16 * second)
		// A new holder does not know the level of a bucket, so that a tenant may miss
		// part of its burst for a while.
		f.check(times, lo.Ternary(len(killed) == 1, 0.97, 0.9))
	}
}

// Guards against a bound that is exceeded when a holder is frozen, another one takes
// over, and the first one is back; and against a region without a holder that is not
// served by the others.
func TestHolderFrozen(t *testing.T) {
	f := newFake(t, 4, tenantMix(1)...)
	times := f.usualDemand(second, 22*second)
	flood := routing.Tenant{Name: "flood", Rate: 100, Burst: 100}
	f.setLimits(append(f.tenants, flood)...)
	f.demand(flood.Name, 500, 2*second, 21*second)
	f.run(6 * second)
	h := f.holders[0]
	h.frozen = true
	f.run(f.now + 1400*time.Millisecond + takeoverWait) // control counts it as lost after 1.4 s
	h.frozen, h.ledger = false, NewLedger(0, f.now)
	f.run(f.now + 2*second)
	h.ledger = nil // the former one is back and ranks first
	f.run(f.now + 100*time.Millisecond)
	h.ledger = NewLedger(0, f.now)
	f.run(23 * second)
	// Meanwhile two thirds of the rate are left for a usual demand of 0.63 of it.
	f.check(times, 0.9)
}

// Guards against a bound that is exceeded when an owner is cut off from all holders or
// frozen while it has credit: it may use that for creditLifetime only. A request that
// took credit before may not use it afterwards.
func TestOwnerCutOff(t *testing.T) {
	tenant := routing.Tenant{Name: "t", Rate: 300, Burst: 100}
	f := newFake(t, 4, tenant)
	f.demand(tenant.Name, 1500, second, 15*second)
	f.run(5 * second)
	cut := f.owners[0]
	cut.cut = true
	f.run(f.now + creditLifetime)
	used := cut.used
	f.run(f.now + second)
	assert.Equal(t, used, cut.used, "an owner uses expired credit")
	cut.cut = false
	f.run(16 * second)
	assert.Greater(t, cut.used, used)
	f.checkWindows(tenant, 0)

	c, id := NewCredit(), f.index.Tenant(tenant.Name).ID
	key, granted := c.Take(id, 0)
	assert.Nil(t, key)
	c.Apply(0, 0, c.Needs(0, f.index), []Grant{{ID: id, Granted: 2}})
	key = <-granted
	assert.False(t, c.Use(key, creditLifetime), "a request uses expired credit")
	key, _ = c.Take(id, creditLifetime)
	assert.Nil(t, key)
}

// Guards against a bound that is exceeded because messages are lost, late or doubled, or
// because owners change between holders.
func TestLostMessages(t *testing.T) {
	for _, tenant := range []routing.Tenant{{Name: "t", Rate: 300, Burst: 0}, {Name: "t", Rate: 300, Burst: 600}, {Name: "t", Rate: 8, Burst: 8}} {
		for _, oneIn := range []uint64{5, 20, 100} {
			f := newFake(t, 4, tenant)
			f.lossy = oneIn
			for n := range 6 { // also after quiet times, in which buckets fill
				f.demand(tenant.Name, 8*tenant.Rate, time.Duration(6*n+1)*second, time.Duration(6*n+5)*second)
			}
			f.run(37 * second)
			f.checkWindows(tenant, 0)
			assert.NotEmpty(t, f.admitted["t"])
		}
	}
}

// Guards against a lower limit that is not binding one window after it has arrived
// everywhere, and a higher one that is not in effect soon.
func TestLimitChanges(t *testing.T) {
	before, lowered, raised := routing.Tenant{Name: "t", Rate: 200, Burst: 200}, routing.Tenant{Name: "t", Rate: 10, Burst: 10}, routing.Tenant{Name: "t", Rate: 400, Burst: 200}
	f := newFake(t, 4, before)
	f.demand("t", 300, second, 30*second)
	f.run(10 * second)
	f.checkWindows(before, 0)
	f.setLimits(lowered)
	f.run(20 * second)
	f.checkWindows(lowered, 10*second+f.settings.Window)
	f.setLimits(raised)
	f.run(21 * second)
	clear(f.refused)
	f.run(31 * second)
	assert.Empty(t, f.refused["t"])
	f.checkWindows(raised, 21*second)
}

// Guards against requests below the limit that are rejected when all demand comes from
// one region and moves to another. Tokens of other regions arrive 60 ms later, so that
// the first requests that find the bucket empty may be rejected.
func TestDemandMoves(t *testing.T) {
	f := newFake(t, 4, tenantMix(1)...)
	times := f.usualDemand(second, 8*second, 0, 1, 2, 3)
	for name, later := range f.usualDemand(8*second, 15*second, 8, 9, 10, 11) {
		times[name] = append(times[name], later...)
	}
	f.run(16 * second)
	f.check(times, 0.97)
}

// Guards against memory and messages that grow with the number of tenants, instead of
// that of tenants with demand.
func TestManyTenants(t *testing.T) {
	const count = 93_000
	tenants := make([]routing.Tenant, count)
	for n := range tenants {
		tenants[n] = routing.Tenant{Name: fmt.Sprint("workspace-", n), Rate: 10, Burst: 10}
	}
	var m0, m1, m2 runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m0)
	x := NewIndex(tenants, usual, fakeRegions)
	runtime.GC()
	runtime.ReadMemStats(&m1)
	t.Logf("index of %d tenants: %d bytes each, %d shards", count, (m1.HeapAlloc-m0.HeapAlloc)/count, x.shards)
	assert.Less(t, m1.HeapAlloc-m0.HeapAlloc, uint64(24<<20))
	assert.Equal(t, maxShards, x.shards)

	ledger, credit, now := NewLedger(0, 0), NewCredit(), second
	demanding := 0
	for _, tenant := range tenants {
		if e := x.Tenant(tenant.Name); e.Shard == 0 && demanding < 100 {
			demanding++
			credit.Take(e.ID, now)
		}
	}
	needs := credit.Needs(now, x)
	encoded := len(encodeNeeds(needs))
	t.Logf("message for %d tenants: %d bytes", demanding, encoded)
	assert.LessOrEqual(t, encoded, 12*demanding)
	grants := ledger.Exchange(now, x, ExchangeRequest{Sender: "o", Sequence: 1}, needs)
	assert.Len(t, grants, demanding)

	runtime.GC()
	runtime.ReadMemStats(&m1)
	var all []Need
	for id, e := range x.byID {
		if e.Shard == 0 {
			all = append(all, Need{ID: id, Wanted: 1, Waiting: 1})
		}
	}
	ledger.Exchange(now, x, ExchangeRequest{Sender: "o", Sequence: 2}, all)
	runtime.GC()
	runtime.ReadMemStats(&m2)
	t.Logf("ledger of %d tenants: %d bytes each", len(all), (m2.HeapAlloc-m1.HeapAlloc)/uint64(len(all)))
	later := now + 3*idleTime
	ledger.Exchange(later, x, ExchangeRequest{Sender: "o", Sequence: 3}, nil)
	assert.Empty(t, ledger.tenants, "idle buckets are kept")
	runtime.KeepAlive(x)
}
