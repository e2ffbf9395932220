package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/routing"
)

// Retry-After values of requests with a key.
const (
	// retryAfterUnconfirmed is about the time between two polls of a control member.
	retryAfterUnconfirmed = 500 * time.Millisecond
	// retryAfterTenantChanged is short, since the view has changed already.
	retryAfterTenantChanged = 50 * time.Millisecond
)

// identity states which tenant sent a request. It holds the digest of the key, not
// the key, so that nothing that prints a request shows it.
type identity struct {
	keyDigest string
	tenant    *routing.Tenant // nil: anonymous
}

// denial is the reason for which a request is not handled.
type denial string

// The denials. They are values of the label reason of a counter.
const (
	allowed         denial = ""
	keyMissing      denial = "missing"
	keyUnknown      denial = "unknown"
	keyWithdrawn    denial = "withdrawn"   // after the request was accepted
	tenantChanged   denial = "changed"     // the key belongs to another tenant or to none since the request was accepted
	viewUnconfirmed denial = "unconfirmed" // the view may lack the withdrawal of a key
)

// callerKey returns the key that a request carries; empty: none. Several fields form
// one value, which is no key of a tenant.
func callerKey(h http.Header, name string) string {
	return strings.Join(h.Values(name), ", ")
}

// identify decides whether a request that carries the key may be handled, and for
// which tenant. A view that is not confirmed decides about no key: neither a known nor
// an unknown one need be so in the newest document.
func identify(routes *routing.Table, route *routing.Route, key string, confirmed bool) (identity, denial) {
	switch {
	case len(routes.Document.Tenants) == 0:
		return identity{}, allowed
	case route.AllowAnonymous && key == "":
		return identity{}, allowed
	case !confirmed:
		return identity{}, viewUnconfirmed
	case key == "":
		return identity{}, keyMissing
	}
	digest := routing.KeyDigest(key)
	if t := routes.TenantByDigest(digest); t != nil {
		return identity{keyDigest: digest, tenant: t}, allowed
	}
	if route.AllowAnonymous {
		return identity{}, allowed
	}
	return identity{}, keyUnknown
}

// recheck decides whether a request that was accepted for the identity may still be
// sent. Its header names the tenant, so a request whose key is another tenant's by now
// is not sent either.
func recheck(routes *routing.Table, route *routing.Route, id identity, confirmed bool) denial {
	if id.tenant == nil || len(routes.Document.Tenants) == 0 {
		return allowed
	}
	if !confirmed {
		return viewUnconfirmed
	}
	t := routes.TenantByDigest(id.keyDigest)
	switch {
	case t == nil && !route.AllowAnonymous:
		return keyWithdrawn
	case t == nil || t.Name != id.tenant.Name:
		return tenantChanged
	default:
		return allowed
	}
}

// rejection returns the error for the caller, which names no key. It is nil if the
// request is allowed.
func (d denial) rejection() *fault.Error {
	switch d {
	case allowed:
		return nil
	case keyMissing:
		return fault.New(fault.Unauthorized, "the request carries no key")
	case keyUnknown:
		return fault.New(fault.Unauthorized, "the key is not known")
	case keyWithdrawn:
		return fault.New(fault.Unauthorized, "the key was withdrawn before the request was sent")
	case tenantChanged:
		return fault.New(fault.Isolated, "the tenant of the key changed before the request was sent").WithRetryAfter(retryAfterTenantChanged)
	default:
		return fault.New(fault.Isolated, "this entry cannot tell whether the key is still valid").WithRetryAfter(retryAfterUnconfirmed)
	}
}

// isConfirmed reports whether the view that is loaded afterwards may decide about a
// key.
func (g *Gateway) isConfirmed() bool {
	return g.options.Confirmed == nil || g.options.Confirmed()
}

// checkAgain decides immediately before the request is sent whether it may still be
// sent: it may have waited for a grant or a connection for seconds.
func (g *Gateway) checkAgain(req *request) error {
	confirmed := g.isConfirmed() // before the view is loaded, so that it holds for that view
	if rejection := g.keys.count(recheck(g.options.View().Routes, req.route, req.identity, confirmed)); rejection != nil {
		return rejection
	}
	return nil
}

// setTenantHeader replaces the caller's fields for key and tenant by the name of its
// tenant.
func (g *Gateway) setTenantHeader(h http.Header, id identity) {
	h.Del(g.options.HeaderNames.Key)
	h.Del(g.options.HeaderNames.Tenant)
	if id.tenant != nil {
		h.Set(g.options.HeaderNames.Tenant, id.tenant.Name)
	}
}

// priority returns the priority of the request: that of its tenant if it has one,
// otherwise that of its route.
func (r *request) priority() int {
	if t := r.identity.tenant; t != nil && t.Priority != nil {
		return *t.Priority
	}
	return r.route.Priority
}

// tenantName returns the name of the tenant; empty: anonymous.
func (r *request) tenantName() string {
	if r.identity.tenant == nil {
		return ""
	}
	return r.identity.tenant.Name
}

// keyCounters count the rejected requests by reason.
type keyCounters map[denial]*metrics.Counter

func newKeyCounters() keyCounters {
	c := keyCounters{}
	for _, d := range []denial{keyMissing, keyUnknown, keyWithdrawn, tenantChanged, viewUnconfirmed} {
		c[d] = metrics.GetOrCreateCounter(`sequoialane_tenants_rejected_total{reason="` + string(d) + `"}`)
	}
	return c
}

// count counts a denial and returns the error for the caller, or nil if the request is
// allowed.
func (c keyCounters) count(d denial) *fault.Error {
	if d != allowed {
		c[d].Inc()
	}
	return d.rejection()
}
