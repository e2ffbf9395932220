package grants

import (
	"context"
	"time"

	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/quota"
)

const (
	// minCreditWait is how long a request waits for credit at least. With less, it
	// would be rejected as over the limit although the holder was not asked.
	minCreditWait = 100 * time.Millisecond
	// minPoolWait is how long a request waits for a target if it has already spent its
	// time on waiting for credit.
	minPoolWait = 5 * time.Millisecond
)

// acquireHere acquires a grant from this entry's pool. The request uses credit of its
// tenant, once for all its attempts; credit is not used if it gets no grant.
func (b *Broker) acquireHere(ctx context.Context, group Group, r pool.Request, wait time.Duration) (pool.Grant, error) {
	started := b.options.Clock.Now()
	permit, err := b.takeCredit(ctx, r, max(wait, minCreditWait))
	if err != nil {
		return pool.Grant{}, err
	}
	wait = max(wait-b.options.Clock.Now().Sub(started), minPoolWait)
	r.Weight = b.tenantWeight(r.Tenant)
	p := b.pool(group)
	p.SetSlackShare(b.slackShare(group))
	g, err := p.Acquire(ctx, r, wait)
	if err != nil {
		permit.Return()
		return pool.Grant{}, err
	}
	if !permit.Use() {
		// The credit expired while the request waited or this process was paused.
		if permit, err = b.takeCredit(ctx, r, 0); err == nil && !permit.Use() {
			err = &quota.ExceededError{}
		}
	}
	if err != nil {
		b.pool(group).Release(g.LeaseID, pool.Outcome{Kind: pool.Unsent})
		return pool.Grant{}, err
	}
	return g, nil
}

func (b *Broker) takeCredit(ctx context.Context, r pool.Request, wait time.Duration) (*quota.Permit, error) {
	if b.options.Quota == nil || r.Charged || r.IsRetry {
		return nil, nil
	}
	return b.options.Quota.Take(ctx, r.Tenant, wait)
}
