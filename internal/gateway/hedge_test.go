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

	"github.com/sequoialane/sequoialane/internal/fleetview"
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

// hedgingFleet is a Broker and a Sender with a view.
type hedgingFleet interface {
	Broker
	Sender
	view() *fleetview.View
}

func newHedgingGateway(f hedgingFleet) *Gateway {
	return New(Options{
		Name: "e", DataCentre: "d", HeaderNames: names, View: f.view, Broker: f, Sender: f,
		Clock: sys.RealClock{}, Log: zap.NewNop(), BodyMemory: membudget.New(1 << 20),
	})
}

// Guards against a hedge that is counted as a first request. It would bypass the
// retry budget and even enlarge it.
func TestHedgeDrawsOnTheRetryBudget(t *testing.T) {
	s := &silentFirst{fakeFleet: &fakeFleet{outcome: func(int) targetconn.Result { return good() }}}
	assert.Equal(t, http.StatusOK, call(t, newHedgingGateway(s), http.MethodGet, "/reads/1", "").Code)
	require.Len(t, s.seen, 2)
	assert.False(t, s.seen[0].IsRetry)
	assert.True(t, s.seen[1].IsRetry)
}

// slowHedges is a fakeFleet whose owner does not respond to requests for the grant
// of a hedge until it gives up, and whose first target responds meanwhile.
type slowHedges struct {
	*fakeFleet
	responseDelay time.Duration // of the first target
	ownerDelay    time.Duration // of requests for the grant of a hedge
}

func (s *slowHedges) Acquire(ctx context.Context, service string, r pool.Request, wait time.Duration) (*grants.Lease, error) {
	if r.IsRetry {
		select {
		case <-ctx.Done():
			return nil, grants.ErrCanceled
		case <-time.After(s.ownerDelay):
		}
	}
	l, err := s.fakeFleet.Acquire(ctx, service, r, wait)
	if l != nil {
		l.HedgeDelay = 10 * time.Millisecond
	}
	return l, err
}

func (s *slowHedges) Send(ctx context.Context, t targetconn.Target, r targetconn.Request) targetconn.Result {
	time.Sleep(s.responseDelay)
	return s.fakeFleet.Send(ctx, t, r)
}

// Guards against a response that is held back while a hedge waits for its grant,
// for as long as an owner that was paused or cut off does not respond.
func TestResponseDoesNotWaitForGrantOfHedge(t *testing.T) {
	s := &slowHedges{
		fakeFleet:     &fakeFleet{outcome: func(int) targetconn.Result { return good() }},
		responseDelay: 100 * time.Millisecond, ownerDelay: time.Second,
	}
	started := time.Now()
	assert.Equal(t, http.StatusOK, call(t, newHedgingGateway(s), http.MethodGet, "/reads/1", "").Code)
	assert.Less(t, time.Since(started), s.ownerDelay)
	assert.Len(t, s.sent, 1)
}

// Guards against a request whose attempt ends while its hedge waits for a grant
// and that is then not sent again.
func TestGrantOfHedgeServesAsRetry(t *testing.T) {
	s := &slowHedges{
		fakeFleet: &fakeFleet{outcome: func(n int) targetconn.Result {
			if n == 0 {
				return reset()
			}
			return good()
		}},
		responseDelay: 30 * time.Millisecond, ownerDelay: 100 * time.Millisecond,
	}
	assert.Equal(t, http.StatusOK, call(t, newHedgingGateway(s), http.MethodGet, "/reads/1", "").Code)
	assert.Len(t, s.sent, 2)
	assert.Equal(t, 2, s.releasedLeases())
}

// busyOnce is a silentFirst that has no target for the first hedge.
type busyOnce struct {
	*silentFirst
	hedges int
}

func (b *busyOnce) Acquire(ctx context.Context, service string, r pool.Request, wait time.Duration) (*grants.Lease, error) {
	if r.IsRetry {
		b.hedges++
		if b.hedges == 1 {
			return nil, pool.ErrBusy
		}
	}
	return b.silentFirst.Acquire(ctx, service, r, wait)
}

// Guards against a request that stays with a silent target until its deadline,
// because no other target was free at the one moment at which a hedge was tried.
func TestHedgeIsTriedAgain(t *testing.T) {
	b := &busyOnce{silentFirst: &silentFirst{fakeFleet: &fakeFleet{outcome: func(int) targetconn.Result { return good() }}}}
	assert.Equal(t, http.StatusOK, call(t, newHedgingGateway(b), http.MethodGet, "/reads/1", "").Code)
	assert.Equal(t, 2, b.hedges)
}
