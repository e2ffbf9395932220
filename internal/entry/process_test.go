package entry

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/httpserver"
)

// transferRecorder calls a function for each leadership transfer.
type transferRecorder struct{ called func() error }

func (r transferRecorder) Ready() <-chan struct{}                   { return nil }
func (r transferRecorder) TransferLeadership(context.Context) error { return r.called() }
func (r transferRecorder) Stop()                                    {}

// Guards against leadership being transferred after the peer port has closed,
// where the replies of the other members arrive, and against the shutdown
// failing if the transfer fails.
func TestLeadershipIsTransferredBeforePeerPortCloses(t *testing.T) {
	server, err := httpserver.Listen("127.0.0.1:0", http.NotFoundHandler())
	require.NoError(t, err)
	server.Start()
	calls := 0
	claims := transferRecorder{func() error {
		calls++
		conn, err := net.Dial("tcp", server.Address())
		if assert.NoError(t, err) {
			assert.NoError(t, conn.Close())
		}
		return context.DeadlineExceeded
	}}
	process := &Process{Claims: claims, Draining: make(chan struct{}), Log: zap.NewNop()}
	require.NoError(t, drainingPeerServer{server, process}.Shutdown(t.Context()))
	assert.Equal(t, 1, calls)
	_, err = net.Dial("tcp", server.Address())
	assert.Error(t, err)
}
