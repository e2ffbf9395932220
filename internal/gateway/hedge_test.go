package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/grants"
	"github.com/sequoialane/sequoialane/internal/membudget"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/targetconn"
)

// silentFirst is a fakeFleet with a short hedge delay whose first target never
// responds.
type silentFirst struct {
	*fakeFleet
	mu   sync.Mutex     // protects seen
	seen []pool.Request // requests for a grant
}

func (s *silentFirst) Acquire(ctx context.Context, service string, r pool.Request, wait time.Duration) (*grants.Lease, error) {
	s.mu.Lock()
	s.seen = append(s.seen, r)
	s.mu.Unlock()
	l, err := s.fakeFleet.Acquire(ctx, service, r, wait)
	if l != nil {
		l.HedgeDelay = 10 * time.Millisecond
	}
	return l, err
}

func (s *silentFirst) Send(ctx context.Context, t targetconn.Target, r targetconn.Request) targetconn.Result {
	if t.ID == "t0" {
		<-ctx.Done()
		return targetconn.Result{Outcome: pool.Canceled, MayHaveRun: true}
	}
	return s.fakeFleet.Send(ctx, t, r)
}

// Guards against a hedge that is counted as a first request. It would bypass the
// retry budget and even enlarge it.
func TestHedgeDrawsOnTheRetryBudget(t *testing.T) {
	s := &silentFirst{fakeFleet: &fakeFleet{outcome: func(int) targetconn.Result { return good() }}}
	g := New(Options{
		Name: "e", DataCentre: "d", HeaderNames: names, View: s.view, Broker: s, Sender: s,
		Clock: sys.RealClock{}, Log: zap.NewNop(), BodyMemory: membudget.New(1 << 20),
	})
	assert.Equal(t, http.StatusOK, call(t, g, http.MethodGet, "/reads/1", "").Code)
	require.Len(t, s.seen, 2)
	assert.False(t, s.seen[0].IsRetry)
	assert.True(t, s.seen[1].IsRetry)
}
