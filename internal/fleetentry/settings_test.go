package fleetentry

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/routing"
	"github.com/sequoialane/sequoialane/internal/settings"
	"github.com/sequoialane/sequoialane/internal/sys"
)

const good = `{"name":"e","region":"r","data_centre":"d","data_centres":{"d":"r"},"caller_address":"10.0.0.1:1","ready_address":"10.0.0.1:2",
"directory_address":"10.0.0.1:3","peer_address":"10.0.0.1:4","seeds":["10.0.0.2:5"],"seed_port":7,"grace":"6s","memory_mb":184,"link_mbps":4.0,
"floor_share":0.7,"retries":{"ratio":0.2,"slack":56,"window":"10s"},"address_ttl":"1s","revocation_limit":"5000ms"}`

// Guards against accepting invalid settings, and against errors that do not name
// the field.
func TestInvalidSettings(t *testing.T) {
	s := DefaultSettings()
	require.NoError(t, settings.Parse("f", []byte(good), s))
	assert.Equal(t, []string{"10.0.0.2:7"}, s.seedPeers())
	assert.True(t, s.lowBandwidth())
	assert.Equal(t, 5*time.Second, s.RevocationLimit.Std())
	cases := []struct{ desc, from, to, field string }{
		{"no name", `"name":"e"`, `"name":""`, "name"},
		{"address without port", `"10.0.0.1:1"`, `"10.0.0.1"`, "caller_address"},
		{"unknown field", `"name":"e"`, `"name":"e","other":1`, "other"},
		{"region of the data centre", `{"d":"r"}`, `{"d":"x"}`, "data_centres"},
		{"no seeds", `["10.0.0.2:5"]`, `[]`, "seeds"},
		{"grace", `"6s"`, `"6"`, "grace"},
		{"ratio", `"ratio":0.2`, `"ratio":2`, "retries"},
		{"quota", `"floor_share"`, `"quota":{"window":"5s","overshoot":-0.1,"slack":20},"floor_share"`, "quota"},
		{"quota window", `"floor_share"`, `"quota":{"window":"5","overshoot":0.1,"slack":20},"floor_share"`, "quota.window"},
		{"floor", `"floor_share":0.7`, `"floor_share":7`, "floor_share"},
		{"revocation limit below zero", `"5000ms"`, `"-1ms"`, "revocation_limit"},
		{"the same key twice", `"name":"e"`, `"name":"e","name":"f"`, "name"},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			text := strings.Replace(good, tc.from, tc.to, 1)
			require.NotEqual(t, good, text)
			assert.ErrorContains(t, settings.Parse("f", []byte(text), DefaultSettings()), tc.field)
		})
	}
}

// Guards against directory responses with draining or lost entries, without any
// entry although another region has some, or with remote entries before local
// ones.
func TestAddresses(t *testing.T) {
	entry := func(name, dataCentre, region string, state fleetstate.EntryState) fleetstate.Entry {
		return fleetstate.Entry{Name: name, DataCentre: dataCentre, Region: region, State: state, CallerAddress: name}
	}
	v := &fleetview.View{Entries: []fleetstate.Entry{
		entry("a1", "a", "r", fleetstate.Serving), entry("a2", "a", "r", fleetstate.Serving), entry("a3", "a", "r", fleetstate.Serving),
		entry("a4", "a", "r", fleetstate.Lost), entry("a5", "a", "r", fleetstate.Leaving),
		entry("b1", "b", "r", fleetstate.Serving), entry("c1", "c", "r2", fleetstate.Serving),
	}}
	local := addresses(v, "h", "r", "a", false)
	assert.Len(t, local, minAddresses)
	assert.Subset(t, []string{"a1", "a2", "a3"}, local)
	assert.Equal(t, local, addresses(v, "h", "r", "a", false))
	filled := addresses(v, "h", "r", "b", false)
	assert.Equal(t, "b1", filled[0])
	assert.Len(t, filled, minAddresses)
	assert.NotEmpty(t, addresses(v, "h", "nowhere", "x", false))
	assert.Len(t, addresses(v, "h", "r", "a", true), 3)
}

// Guards against a setting of the request cost that does not reach the pools.
func TestRequestCostIsOnUnlessTurnedOff(t *testing.T) {
	s := DefaultSettings()
	assert.False(t, s.poolSettings().UniformCost)
	s.RequestCost = false
	assert.True(t, s.poolSettings().UniformCost)
}

// Guards against exceeding the allowed retries within a window when owners take over one
// after the other, and each starts with a new budget.
func TestRetryBudgetWhenOwnersChange(t *testing.T) {
	for _, slack := range []float64{6, 60, 600} {
		for _, owners := range []int{2, 3, 8} {
			testRetryBudgetWhenOwnersChange(t, slack, owners)
		}
	}
}

func testRetryBudgetWhenOwnersChange(t *testing.T, slack float64, owners int) {
	t.Helper()
	s := DefaultSettings()
	s.DataCentres = map[string]string{"d": "r"}
	s.Retries = Retries{Ratio: 0.2, Slack: slack, Window: settings.Duration(10 * time.Second)}
	clock := sys.NewManualClock(time.Unix(1000, 0))
	requests, retries := 0, 0
	for range owners { // one after the other
		p := pool.New(pool.Config{Service: "s", Region: "r", Clock: clock, Settings: s.poolSettings()})
		p.SetTargets([]fleetstate.Target{{ID: "t", Service: "s", DataCentre: "d", Slots: 10_000, State: fleetstate.Ready, StartedAtMS: 1}}, func(string) string { return "r" })
		for n := range 3000 {
			retry := n >= 100
			_, err := p.Acquire(context.Background(), pool.Request{ID: "q", TimeLeft: time.Second, DataCentre: "d", IsRetry: retry}, 0)
			switch {
			case !retry:
				requests++
			case err == nil:
				retries++
			}
		}
		clock.Advance(time.Second)
	}
	assert.LessOrEqual(t, float64(retries), s.Retries.Ratio*float64(requests)+slack, "slack %g, %d owners", slack, owners)
	assert.Positive(t, retries)
}

// Guards against an entry that is ready and rejects every request with a key, and against
// one that waits for a proof that nobody gives it.
func TestCanServe(t *testing.T) {
	withTenants := routing.NewTable(&routing.Document{Tenants: []routing.Tenant{{Name: "t"}}})
	without := routing.NewTable(&routing.Document{})
	assert.False(t, canServe(nil, 0, true))
	assert.True(t, canServe(withTenants, 0, false))
	assert.False(t, canServe(withTenants, time.Second, false))
	assert.True(t, canServe(withTenants, time.Second, true))
	assert.True(t, canServe(without, time.Second, false))
}
