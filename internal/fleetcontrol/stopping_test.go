package fleetcontrol_test

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// Guards against entries that spend their processor time on polls of a control member
// that is stopping, which are answered at once.
func TestStoppingMemberIsNotPolledWithoutPause(t *testing.T) {
	const maxPolls = 50 // in a second; each poll is held for half a second if nothing changes
	c := startAll(t, 3)
	c.mustPut(0, 3)
	f := fleetview.NewFollower(fleetview.Options{
		Self:  fleetstate.Entry{Name: "e", Region: "r1", DataCentre: "d1", CallerAddress: "10.0.0.9:1", PeerAddress: "10.0.0.9:2", Incarnation: 5, State: fleetstate.Serving},
		Seeds: c.all[0].Seeds, Peers: peerhttp.New(nil), Clock: sys.RealClock{}, Log: zap.NewNop(),
		OnChange: func(*fleetview.View) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	require.Eventually(t, func() bool { return f.View().Version() == 3 && f.Fresh() }, stepTimeout, 10*time.Millisecond)
	polls := metrics.GetOrCreateCounter("sequoialane_view_polls_total")
	for n := range 3 { // whichever it polls
		c.member(n).Drain()
	}
	before := polls.Get()
	time.Sleep(time.Second)
	assert.LessOrEqual(t, polls.Get()-before, uint64(maxPolls))
	assert.True(t, f.Fresh(), "the copy counts as recent meanwhile")
}
