package fleetcontrol_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/sequoialane/sequoialane/internal/draintest"
	"github.com/sequoialane/sequoialane/internal/fleetcontrol"
	"github.com/sequoialane/sequoialane/internal/freeports"
	"github.com/sequoialane/sequoialane/internal/settings"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// Guards against a control member that, when it stops, closes the connection of a call
// which has arrived without an answer.
func TestStopAnswersCallsThatArrive(t *testing.T) {
	servers := map[string]func(*fleetcontrol.Settings) string{
		"operators and targets": func(s *fleetcontrol.Settings) string { return s.ControlAddress },
		"peers":                 func(s *fleetcontrol.Settings) string { return s.PeerAddress },
	}
	for desc, address := range servers {
		t.Run(desc, func(t *testing.T) {
			s := loopbackSettings(t)
			p, err := fleetcontrol.NewProcess(s, func(*fleetcontrol.Member) http.Handler { return http.NewServeMux() }, sys.RealClock{}, zap.NewNop())
			require.NoError(t, err)
			ctx, stop := context.WithCancel(context.Background())
			stopped := make(chan error, 1)
			go func() { stopped <- p.Run(ctx) }()
			draintest.CheckSplitRequests(t, address(s), stop)
			require.NoError(t, <-stopped)
		})
	}
}

// loopbackSettings returns settings of the only control member of a fleet.
func loopbackSettings(t *testing.T) *fleetcontrol.Settings {
	t.Helper()
	var ports freeports.Ports
	defer ports.Release()
	host := ports.NextHost()
	reserve := func() string {
		address, err := ports.ReserveTCP(host)
		require.NoError(t, err)
		return address
	}
	s := fleetcontrol.DefaultSettings()
	s.Name, s.Region, s.DataCentre, s.DataCentres = "control", "r", "d", map[string]string{"d": "r"}
	s.ControlAddress, s.PeerAddress = reserve(), reserve()
	s.Seeds, s.Bootstrap = []string{s.PeerAddress}, true
	s.DataFolder, s.Grace = t.TempDir(), settings.Duration(4*time.Second)
	return s
}

// Guards against a stop whose calls are cut, since leaving the consensus group has taken
// all its time.
func TestStopWithoutMajorityLeavesTimeForCalls(t *testing.T) {
	c := newCluster(t, 3)
	core, lines := observer.New(zap.WarnLevel)
	c.start(0, true)
	c.start(1, true)
	c.log = zap.New(core)
	c.start(2, true)
	c.mustPut(2, 3)
	require.Eventually(t, func() bool { return len(c.member(2).Slots()) == 3 }, stepTimeout, 20*time.Millisecond)
	for _, address := range []string{c.all[2].ControlAddress, c.all[2].PeerAddress} {
		response, err := http.Get("http://" + address + "/")
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	c.kill(0)
	c.kill(1)
	started := time.Now()
	c.stop(2)
	assert.Less(t, time.Since(started), c.all[2].Grace.Std())
	assert.Empty(t, lines.FilterMessageSnippet("aborted").All())
	assert.NotEmpty(t, lines.FilterMessageSnippet("the consensus group may depend").All(), "leaving takes all its time")
}
