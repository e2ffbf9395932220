package quota

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/routing"
)

// Guards against requests that run without credit because the number of shards changes
// while they wait for it.
func TestShardsChangeWhileRequestsWait(t *testing.T) {
	f := newTestFleet(t, 1, limited)
	l := f.limiters["e0"]
	f.stale["e0"].Store(true) // so that no holder grants
	require.Eventually(t, func() bool { return !f.holds("e0") }, 5*time.Second, time.Millisecond)
	const requests = 20
	errs := make(chan error, requests)
	for range requests {
		go func() {
			permit, err := l.Take(context.Background(), "t", maxTakeWait)
			if err == nil && permit == nil {
				err = errors.New("the request is allowed without credit")
			}
			errs <- err
		}()
	}
	waiting := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.shard(0).credit.balance(l.index.Tenant("t").ID).waiting)
	}
	require.Eventually(t, func() bool { return waiting() == requests }, maxTakeWait, time.Millisecond)
	tenants := []routing.Tenant{limited}
	for n := range tenantsPerShard {
		tenants = append(tenants, routing.Tenant{Name: fmt.Sprint("more", n), Rate: 1})
	}
	old := f.view.Load()
	v := &fleetview.View{Index: old.Index + 1, Entries: old.Entries, Routes: routing.NewTable(&routing.Document{Version: 2, Tenants: tenants})}
	f.view.Store(v)
	l.ViewChanged(v)
	for range requests {
		assert.ErrorIs(t, <-errs, ErrNoResponse)
	}
}
