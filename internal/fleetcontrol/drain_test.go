package fleetcontrol_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

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
