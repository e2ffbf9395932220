package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/targetconn"
)

// startingGateway is a gateway whose first view arrives when arrive is called.
func startingGateway(f *fakeFleet, clock sys.Clock) (g *Gateway, arrive func()) {
	var known atomic.Bool
	changed := make(chan struct{})
	g = newGateway(f)
	g.options.Clock, g.started = clock, clock.Now()
	g.options.View = func() *fleetview.View {
		if known.Load() {
			return f.view()
		}
		return &fleetview.View{}
	}
	g.options.ViewChanged = func() <-chan struct{} { return changed }
	return g, func() { known.Store(true); close(changed) }
}

// Guards against losing each request that reaches an entry between its start and its
// first copy of the fleet state.
func TestRequestWaitsForFirstView(t *testing.T) {
	f := &fakeFleet{outcome: func(int) targetconn.Result { return good() }}
	g, arrive := startingGateway(f, sys.RealClock{})
	status := make(chan int)
	go func() { status <- call(t, g, "POST", "/once/1", "b", "X-Left", "20000").Code }()
	assert.Eventually(t, func() bool { return g.startupWaiters.Load() == 1 }, 5*time.Second, time.Millisecond)
	arrive()
	assert.Equal(t, 200, <-status)
	assert.Zero(t, g.startupWaiters.Load())
}

// Guards against requests that are held although it is known that they cannot be
// served, or that take more memory than is set aside for them.
func TestRequestsThatDoNotWaitForFirstView(t *testing.T) {
	cases := []struct {
		desc    string
		prepare func(g *Gateway, clock *sys.ManualClock)
		header  []string
	}{
		{"no time left", func(*Gateway, *sys.ManualClock) {}, []string{"X-Left", "0"}},
		{"control is out of reach", func(_ *Gateway, clock *sys.ManualClock) { clock.Advance(startupPeriod + time.Second) }, nil},
		{"many wait", func(g *Gateway, _ *sys.ManualClock) { g.startupWaiters.Store(maxStartupWaiters) }, nil},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			clock := sys.NewManualClock(time.Unix(1_700_000_000, 0))
			f := &fakeFleet{}
			g, _ := startingGateway(f, clock)
			tc.prepare(g, clock)
			waiting := g.startupWaiters.Load()
			assert.Equal(t, 503, call(t, g, "GET", "/reads/1", "", tc.header...).Code)
			assert.Equal(t, waiting, g.startupWaiters.Load())
			assert.Empty(t, f.sent)
		})
	}
}

// Guards against a stop soon after the start that cuts requests which wait for the
// first view.
func TestRequestsThatWaitForFirstViewAreAnsweredBeforeTheEndOfAStop(t *testing.T) {
	g, _ := startingGateway(&fakeFleet{}, sys.NewManualClock(time.Unix(1_700_000_000, 0)))
	status := make(chan int, 1)
	go func() { status <- call(t, g, "POST", "/once/1", "b", "X-Left", "600000").Code }()
	assert.Eventually(t, func() bool { return g.startupWaiters.Load() == 1 }, 5*time.Second, time.Millisecond)
	started := time.Now()
	g.EndWaits()
	assert.Equal(t, 503, <-status)
	assert.Less(t, time.Since(started), maxStartupWait)
}
