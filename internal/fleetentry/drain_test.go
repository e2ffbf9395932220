package fleetentry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/draintest"
	"github.com/sequoialane/sequoialane/internal/freeports"
	"github.com/sequoialane/sequoialane/internal/settings"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// Guards against an entry that, when it stops, closes the connection of a request
// which has arrived without an answer.
func TestStopAnswersRequestsThatArrive(t *testing.T) {
	servers := map[string]func(*Settings) string{
		"callers":   func(s *Settings) string { return s.CallerAddress },
		"directory": func(s *Settings) string { return s.DirectoryAddress },
		"ready":     func(s *Settings) string { return s.ReadyAddress },
		"peers":     func(s *Settings) string { return s.PeerAddress },
	}
	for desc, address := range servers {
		t.Run(desc, func(t *testing.T) {
			s := loopbackSettings(t)
			p, err := New(s, Handlers{
				Ready:     func(func() bool) http.Handler { return http.NotFoundHandler() },
				Directory: func(*Directory) http.Handler { return http.NotFoundHandler() },
			}, sys.RealClock{}, zap.NewNop())
			require.NoError(t, err)
			ctx, stop := context.WithCancel(context.Background())
			stopped := make(chan error, 1)
			go func() { stopped <- p.Run(ctx) }()
			draintest.CheckSplitRequests(t, address(s), stop)
			require.NoError(t, <-stopped)
		})
	}
}

// loopbackSettings returns settings of an entry on loopback whose control members do
// not run.
func loopbackSettings(t *testing.T) *Settings {
	t.Helper()
	var ports freeports.Ports
	defer ports.Release()
	host := ports.NextHost()
	reserve := func() string {
		address, err := ports.ReserveTCP(host)
		require.NoError(t, err)
		return address
	}
	s := DefaultSettings()
	s.Name, s.Region, s.DataCentre, s.DataCentres = "entry", "r", "d", map[string]string{"d": "r"}
	s.CallerAddress, s.ReadyAddress, s.DirectoryAddress, s.PeerAddress = reserve(), reserve(), reserve(), reserve()
	s.Seeds = []string{reserve()}
	s.Grace = settings.Duration(4 * time.Second)
	return s
}
