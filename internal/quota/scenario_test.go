package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/sequoialane/sequoialane/internal/routing"
)

const second = time.Second

// tenantMix is 79 tenants with limits from 5 to 400 requests a second.
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

// Guards against requests below the limit that are rejected: steady demand of many
// tenants, most of them a few requests a second spread over twelve owners.
func TestSteadyDemand(t *testing.T) {
	for _, burst := range []float64{0.2, 1, 2} {
		f := newFake(t, 4, tenantMix(burst)...)
		times := map[string][]time.Duration{}
		for _, tenant := range f.tenants {
			times[tenant.Name] = f.demand(tenant.Name, tenant.Rate/1.6, second, 21*second)
		}
		f.run(22 * second)
		total := 0
		for _, tenant := range f.tenants {
			f.checkWindows(tenant, 0)
			assert.GreaterOrEqual(t, len(f.admitted[tenant.Name]), below(tenant, times[tenant.Name]), tenant.Name)
			total += len(times[tenant.Name])
		}
		f.logTraffic(20 * second)
		t.Logf("burst %v: %d requests, waited %d", burst, total, f.waited)
	}
}

// Guards against a bound that is exceeded, and against requests below the limit that
// are rejected, when a tenant sends eight times its usual rate for some seconds: from
// everywhere, or from one region.
func TestBurst(t *testing.T) {
	for _, burst := range []float64{0, 0.2, 1, 4} {
		for _, owners := range [][]int{nil, {0, 1, 2, 3}, {5}} {
			f := newFake(t, 4, tenantMix(burst)...)
			times := map[string][]time.Duration{}
			for _, tenant := range f.tenants {
				usualRate := tenant.Rate / 1.6
				name := tenant.Name
				times[name] = f.demand(name, usualRate, second, 8*second, owners...)
				if n := len(name); name[n-1] == '5' || name[n-1] == '7' || name[n-1] == '8' {
					times[name] = append(times[name], f.demand(name, 8*usualRate, 8*second, 15*second, owners...)...)
				}
				times[name] = append(times[name], f.demand(name, usualRate, 15*second, 20*second, owners...)...)
			}
			f.run(21 * second)
			for _, tenant := range f.tenants {
				f.checkWindows(tenant, 0)
				if len(times[tenant.Name]) == 0 {
					continue
				}
				passed := float64(below(tenant, times[tenant.Name]))
				assert.GreaterOrEqual(t, float64(len(f.admitted[tenant.Name])), 0.97*passed, "%s of burst %v at %v", tenant.Name, burst, owners)
			}
			t.Logf("burst %v, owners %v", burst, owners)
			f.logTraffic(20 * second)
		}
	}
}
