package pool

import (
	"cmp"
	"slices"
)

// tenantShares orders the waiting requests of one priority by weighted fair queueing
// over tenants (start-time fair queueing), for the load in which one tenant sends many
// times its usual rate while the targets are full. A tenant without waiting requests
// accumulates no credit. Package schedule does the same over plans, with one queue
// from which requests are taken in order; here a request may decline a target that
// another one accepts, so that the order is computed for all waiting requests.
type tenantShares struct {
	virtualTime float64
	finishTime  map[string]float64 // virtual time up to which a tenant has been served
}

// charge records that a request of the tenant has been granted a target for an
// expected run time in seconds.
func (s *tenantShares) charge(tenant string, weight, runTime float64) {
	if tenant == "" {
		return
	}
	start := max(s.finishTime[tenant], s.virtualTime)
	if s.finishTime == nil {
		s.finishTime = map[string]float64{}
	}
	s.finishTime[tenant] = start + runTime/max(weight, minTenantWeight)
	s.virtualTime = start
}

// minTenantWeight bounds the weight of a tenant, so that a grant to one with a
// negligible limit does not keep it from further grants for ever.
const minTenantWeight = 0.01

// order sorts the waiting requests by priority, and within a priority by the virtual
// time at which each is due. Requests that are due at the same time keep their order
// of arrival. Requests without a tenant count as those of one tenant of weight 1. It
// reports whether shares have changed the order.
func (s *tenantShares) order(waiters []*waiter) (changed bool) {
	if !slices.ContainsFunc(waiters, func(w *waiter) bool { return w.request.Tenant != "" }) {
		return false // already ordered by priority and arrival
	}
	slices.SortStableFunc(waiters, func(a, b *waiter) int { return a.arrived.Compare(b.arrived) })
	next := map[string]float64{}
	for _, w := range waiters {
		tenant := w.request.Tenant
		due, known := next[tenant]
		if !known {
			due = max(s.finishTime[tenant], s.virtualTime)
		}
		w.due = due
		next[tenant] = due + w.runTime/max(w.request.weight(), minTenantWeight)
	}
	slices.SortStableFunc(waiters, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.due, b.due))
	})
	return !slices.IsSortedFunc(waiters, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), a.arrived.Compare(b.arrived))
	})
}

// prune drops the tenants that have used no more than their share.
func (s *tenantShares) prune() {
	for tenant, finish := range s.finishTime {
		if finish <= s.virtualTime {
			delete(s.finishTime, tenant)
		}
	}
}
