package grants

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/quota"
	"github.com/sequoialane/sequoialane/internal/routing"
)

// withQuota gives the entries of a region limiters, and waits until tenant t has credit.
func (r *testRegion) withQuota(t *testing.T, s quota.Settings, tenant routing.Tenant) {
	t.Helper()
	r.view.Index = 1
	r.view.Routes = routing.NewTable(&routing.Document{Version: 1, Tenants: []routing.Tenant{tenant}})
	started := time.Now()
	for n, b := range r.brokers {
		l := quota.New(quota.Options{
			Self: r.view.Entries[n], Settings: s, Regions: b.options.Regions, View: b.options.View, Fresh: func() bool { return true },
			Peers: peerhttp.New(nil), Now: func() time.Duration { return time.Since(started) }, Log: zap.NewNop(),
		})
		mux := http.NewServeMux()
		mux.Handle("/", b.Handler())
		mux.Handle(quota.ExchangePath, l.Handler())
		mux.Handle(quota.ReleasePath, l.Handler())
		r.servers[n].Config.Handler = mux
		b.options.Quota = l
		l.ViewChanged(r.view)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go l.Run(ctx)
	}
	require.Eventually(t, func() bool {
		p, err := r.brokers[0].options.Quota.Take(context.Background(), "t", time.Second)
		p.Return()
		return err == nil
	}, 10*time.Second, 10*time.Millisecond)
}

func requestOf(id, tenant string) pool.Request {
	r := request(id)
	r.Tenant = tenant
	return r
}

// Guards against a tenant that exceeds its limit through an owner, against the loss of
// Retry-After on the way, and against retries that use credit.
func TestRequestsOverTheLimit(t *testing.T) {
	r := newTestRegion(t, 2, 4)
	r.withQuota(t, quota.Settings{}, routing.Tenant{Name: "t", Rate: 0.5, Burst: 2})
	for n, b := range r.brokers { // one is the owner
		var exceeded *quota.ExceededError
		granted := 0
		for i := range 6 {
			l, err := b.Acquire(context.Background(), "s", requestOf(fmt.Sprint(n, "/", i), "t"), time.Second)
			if err == nil {
				granted++
				l.Release(pool.Outcome{Kind: pool.OK, Took: time.Millisecond})
				continue
			}
			require.ErrorAs(t, err, &exceeded)
			assert.Positive(t, exceeded.RetryAfter)
		}
		assert.LessOrEqual(t, granted, 3)
		retry := requestOf("r", "t")
		retry.Charged = true
		for _, allowed := range []pool.Request{retry, requestOf("x", ""), requestOf("x", "unlimited")} {
			l, err := b.Acquire(context.Background(), "s", allowed, time.Second)
			require.NoError(t, err)
			l.Release(pool.Outcome{Kind: pool.OK, Took: time.Millisecond})
		}
	}
}

// Guards against credit that is used by requests that the pool rejects.
func TestRejectedRequestsUseNoCredit(t *testing.T) {
	r := newTestRegion(t, 2, 1)
	r.withQuota(t, quota.Settings{Window: 5 * time.Second, Slack: 20}, routing.Tenant{Name: "t", Rate: 0.01, Burst: 5})
	for n := range 3 { // all slots, and the queued request
		_, err := r.brokers[0].Acquire(context.Background(), "s", request(fmt.Sprint(n)), time.Second)
		require.NoError(t, err)
	}
	for n := range 60 { // more than the bucket holds
		_, err := r.brokers[n%2].Acquire(context.Background(), "s", requestOf(fmt.Sprint("b", n), "t"), 10*time.Millisecond)
		require.ErrorIs(t, err, pool.ErrBusy)
	}
}

// Guards against a rejection of a later release that counts as a grant.
func TestRejectionsOnTheWire(t *testing.T) {
	exceeded := &quota.ExceededError{RetryAfter: 300 * time.Millisecond}
	for _, err := range []error{exceeded, pool.ErrBusy, pool.ErrNoTarget, pool.ErrBudget} {
		assert.Equal(t, err, rejected(err).rejection())
		assert.True(t, isRejection(err))
	}
	assert.NoError(t, AcquireResponse{}.rejection())
	assert.ErrorIs(t, AcquireResponse{Rejection: "other"}.rejection(), pool.ErrBusy)
	assert.False(t, isRejection(errors.New("no connection")))
}
