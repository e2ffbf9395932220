package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/grants"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/routing"
	"github.com/sequoialane/sequoialane/internal/targetconn"
)

// tenantsTable returns the routes of a document in which the holders have the keys.
func tenantsTable(keys map[string]string) *routing.Table {
	d := &routing.Document{}
	for key, holder := range keys {
		d.Tenants = append(d.Tenants, routing.Tenant{Name: holder, KeyDigests: []string{routing.KeyDigest(key)}})
	}
	return routing.NewTable(d)
}

// Guards against a request that runs without a valid key, against a rejection as
// unauthorized by a view that may be outdated, and against a key that matters although
// the document has no tenants.
func TestIdentify(t *testing.T) {
	const confirmed, outdated, anonymous, keyed = true, false, true, false
	cases := []struct {
		desc      string
		tenants   bool
		anonymous bool
		key       string
		confirmed bool
		holder    string
		denial    denial
	}{
		{"known key", true, keyed, "k", confirmed, "t", allowed},
		{"unknown key", true, keyed, "x", confirmed, "", keyUnknown},
		{"no key", true, keyed, "", confirmed, "", keyMissing},
		{"digest instead of the key", true, keyed, routing.KeyDigest("k"), confirmed, "", keyUnknown},
		{"two fields", true, keyed, "k, k", confirmed, "", keyUnknown},
		{"known key, outdated view", true, keyed, "k", outdated, "", viewUnconfirmed},
		{"unknown key, outdated view", true, keyed, "x", outdated, "", viewUnconfirmed},
		{"no key, outdated view", true, keyed, "", outdated, "", viewUnconfirmed},
		{"anonymous", true, anonymous, "", confirmed, "", allowed},
		{"anonymous, outdated view", true, anonymous, "", outdated, "", allowed},
		{"anonymous route, known key", true, anonymous, "k", confirmed, "t", allowed},
		{"anonymous route, unknown key", true, anonymous, "x", confirmed, "", allowed},
		{"anonymous route, known key, outdated view", true, anonymous, "k", outdated, "", viewUnconfirmed},
		{"no tenants", false, keyed, "x", confirmed, "", allowed},
		{"no tenants, outdated view", false, keyed, "", outdated, "", allowed},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			table := tenantsTable(nil)
			if tc.tenants {
				table = tenantsTable(map[string]string{"k": "t"})
			}
			id, d := identify(table, &routing.Route{AllowAnonymous: tc.anonymous}, tc.key, tc.confirmed)
			assert.Equal(t, tc.denial, d)
			assert.Equal(t, tc.holder, (&request{identity: id}).tenantName())
		})
	}
}

// Guards against sending a request whose key was withdrawn, or became another
// tenant's, while it waited for a grant.
func TestRecheck(t *testing.T) {
	cases := []struct {
		desc      string
		now       map[string]string
		anonymous bool
		confirmed bool
		denial    denial
	}{
		{"still held", map[string]string{"k": "t"}, false, true, allowed},
		{"outdated view", map[string]string{"k": "t"}, false, false, viewUnconfirmed},
		{"withdrawn", map[string]string{"other": "t"}, false, true, keyWithdrawn},
		{"withdrawn, outdated view", map[string]string{"other": "t"}, false, false, viewUnconfirmed},
		{"withdrawn, anonymous route", map[string]string{"other": "t"}, true, true, tenantChanged},
		{"another tenant's", map[string]string{"k": "u"}, false, true, tenantChanged},
		{"no tenants any more", nil, false, false, allowed},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			route := &routing.Route{AllowAnonymous: tc.anonymous}
			id, _ := identify(tenantsTable(map[string]string{"k": "t"}), route, "k", true)
			assert.Equal(t, tc.denial, recheck(tenantsTable(tc.now), route, id, tc.confirmed))
			assert.Equal(t, allowed, recheck(tenantsTable(tc.now), route, identity{}, tc.confirmed), "without a tenant")
		})
	}
}

// tenantFleet is a fakeFleet whose document has tenants. Its Send asks for the permit
// as targetconn does.
type tenantFleet struct {
	*fakeFleet
	keys     map[string]string // to the tenant that holds the key
	onGrant  func()            // called with each grant; may be nil
	requests []pool.Request
}

func (f *tenantFleet) view() *fleetview.View {
	v := f.fakeFleet.view()
	d := *v.Routes.Document
	d.Tenants = tenantsTable(f.keys).Document.Tenants
	for i := range d.Tenants {
		d.Tenants[i].Priority = new(int)
	}
	for i := range d.Hosts[0].Routes {
		d.Hosts[0].Routes[i].AllowAnonymous = d.Hosts[0].Routes[i].Name == "upload"
		d.Hosts[0].Routes[i].Priority = 3
	}
	v.Routes = routing.NewTable(&d)
	return v
}

func (f *tenantFleet) Acquire(ctx context.Context, service string, r pool.Request, wait time.Duration) (*grants.Lease, error) {
	if f.onGrant != nil {
		f.onGrant()
	}
	f.requests = append(f.requests, r)
	return f.fakeFleet.Acquire(ctx, service, r, wait)
}

func (f *tenantFleet) Send(ctx context.Context, t targetconn.Target, r targetconn.Request) targetconn.Result {
	if err := r.Permit(); err != nil {
		return targetconn.Result{Outcome: pool.Unsent, Err: err}
	}
	return f.fakeFleet.Send(ctx, t, r)
}

const secret = "key-5f3a"

func newTenantGateway(confirmed *bool) (*Gateway, *tenantFleet, *observer.ObservedLogs) {
	core, logs := observer.New(zap.DebugLevel)
	f := &tenantFleet{fakeFleet: &fakeFleet{outcome: func(int) targetconn.Result { return good() }}, keys: map[string]string{secret: "t"}}
	g := newHedgingGateway(f)
	g.options.HeaderNames.Key, g.options.HeaderNames.Tenant = "Api-Key", "X-Tenant"
	g.options.Log = zap.New(core)
	g.options.Confirmed = func() bool { return *confirmed }
	return g, f, logs
}

// Guards against a target that gets a key, or a tenant's name that the caller made up,
// and against a key in a log line or an error. Without tenants both fields are the
// caller's.
func TestTenantHeaders(t *testing.T) {
	confirmed := true
	cases := []struct {
		desc, path string
		keys       map[string]string
		header     []string
		status     int
		key        string // what the target gets
		tenant     string // what the target gets
		priority   int
	}{
		{"known key", "/once/1", map[string]string{secret: "t"}, []string{"Api-Key", secret, "X-Tenant", "forged"}, 200, "", "t", 0},
		{"field listed as hop-by-hop", "/once/1", map[string]string{secret: "t"}, []string{"Api-Key", secret, "Connection", "X-Tenant, Api-Key"}, 200, "", "t", 0},
		{"unknown key", "/once/1", map[string]string{"k": "t"}, []string{"Api-Key", secret}, 401, "", "", 0},
		{"anonymous", "/upload/1", map[string]string{"k": "t"}, []string{"X-Tenant", "forged"}, 200, "", "", 3},
		{"anonymous route, known key", "/upload/1", map[string]string{secret: "t"}, []string{"Api-Key", secret}, 200, "", "t", 0},
		{"anonymous route, unknown key", "/upload/1", map[string]string{"k": "t"}, []string{"Api-Key", secret, "X-Tenant", "t"}, 200, "", "", 3},
		{"no tenants", "/once/1", nil, []string{"Api-Key", secret, "X-Tenant", "the caller's"}, 200, secret, "the caller's", 3},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			g, f, logs := newTenantGateway(&confirmed)
			f.keys = tc.keys
			w := call(t, g, http.MethodPost, tc.path, "body", tc.header...)
			assert.Equal(t, tc.status, w.Code)
			assert.NotContains(t, w.Body.String()+fmt.Sprint(w.Header()), secret)
			text := logText(t, logs)
			assert.NotContains(t, text, secret)
			if tc.status != 200 {
				assert.Empty(t, f.sent)
				return
			}
			assert.Equal(t, tc.key, f.header.Get("Api-Key"))
			assert.Equal(t, tc.tenant, f.header.Get("X-Tenant"))
			if tc.keys != nil {
				assert.Equal(t, tc.tenant, f.requests[0].Tenant)
				assert.Equal(t, tc.tenant != "", strings.Contains(text, `"tenant":"`+tc.tenant+`"`))
			}
			assert.Equal(t, tc.priority, f.requests[0].Priority)
		})
	}
}

func logText(t *testing.T, logs *observer.ObservedLogs) string {
	t.Helper()
	var text strings.Builder
	for _, entry := range logs.All() {
		raw, err := json.Marshal(entry.ContextMap())
		require.NoError(t, err)
		text.WriteString(entry.Message + string(raw))
	}
	return text.String()
}

// Guards against running a request whose key is withdrawn, or whose entry loses contact
// with control, while it waits for a grant, and against a rejection that leaves open
// whether the request ran.
func TestKeyWithdrawnWhileWaiting(t *testing.T) {
	cases := []struct {
		desc   string
		path   string
		during func(f *tenantFleet, confirmed *bool) // while the request waits
		status int
		kind   fault.Kind
	}{
		{"withdrawn", "/once/1", func(f *tenantFleet, _ *bool) { f.keys = map[string]string{"k": "t"} }, 401, fault.Unauthorized},
		{"withdrawn from an idempotent request", "/reads/1", func(f *tenantFleet, _ *bool) { f.keys = map[string]string{"k": "t"} }, 401, fault.Unauthorized},
		{"another tenant's", "/once/1", func(f *tenantFleet, _ *bool) { f.keys = map[string]string{secret: "u"} }, 503, fault.Isolated},
		{"contact lost", "/once/1", func(_ *tenantFleet, confirmed *bool) { *confirmed = false }, 503, fault.Isolated},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			confirmed := true
			g, f, logs := newTenantGateway(&confirmed)
			f.onGrant = func() { tc.during(f, &confirmed) }
			w := call(t, g, http.MethodPost, tc.path, "body", "Api-Key", secret)
			assert.Equal(t, tc.status, w.Code)
			var body fault.Body
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
			assert.Equal(t, tc.kind, body.Kind)
			assert.Equal(t, fault.NotRun, body.Effect)
			assert.Equal(t, tc.status == 503, w.Header().Get("Retry-After") != "")
			assert.Empty(t, f.sent)
			assert.Equal(t, 1, f.releasedLeases(), "the grant is given back")
			assert.NotContains(t, logText(t, logs), secret)
		})
	}
}
