package fleetentry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetcontrol"
	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/routing"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// Guards against callers that get no address while the entries have no contact
// with control. The directory must then respond from its stale copy of the state.
func TestDirectoryAnswersFromStaleCopy(t *testing.T) {
	answered := false
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if answered {
			http.Error(w, "cut off", http.StatusServiceUnavailable)
			return
		}
		answered = true
		peerhttp.WriteJSON(w, fleetcontrol.PollResponse{InContact: true, Update: fleetstate.Update{
			Index: 1, Reset: true, Routing: &fleetstate.Routing{Document: &routing.Document{Version: 1}},
			Entries: []fleetstate.Entry{{Name: "e", Region: "r", DataCentre: "d", CallerAddress: "10.0.0.1:1", State: fleetstate.Serving}},
		}})
	}))
	defer control.Close()
	changed := make(chan struct{}, 8)
	f := fleetview.NewFollower(fleetview.Options{
		Self: fleetstate.Entry{Name: "e", Region: "r", DataCentre: "d"}, Seeds: []string{control.Listener.Addr().String()},
		Peers: peerhttp.New(nil), Clock: sys.RealClock{}, Log: zap.NewNop(),
		OnChange: func(*fleetview.View) { changed <- struct{}{} },
	})
	d := &Directory{follower: f, ttl: time.Second}
	none, _ := d.Addresses("h", "r", "d")
	assert.Empty(t, none, "no addresses before the first copy of the state")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	<-changed
	require.Eventually(t, func() bool { return !f.Fresh() }, 20*time.Second, 20*time.Millisecond)
	addresses, ttl := d.Addresses("h", "r", "d")
	assert.Equal(t, []string{"10.0.0.1:1"}, addresses)
	assert.Equal(t, time.Second, ttl)
}
