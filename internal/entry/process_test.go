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

// handOverRecorder calls a function for each hand-over.
type handOverRecorder struct{ called func() error }

func (r handOverRecorder) Ready() <-chan struct{}                   { return nil }
func (r handOverRecorder) TransferLeadership(context.Context) error { return r.called() }
func (r handOverRecorder) Stop()                                    {}

// Guards against a hand-over after the peer port has closed, where the answers
// of the other members arrive, and against a shutdown that fails with it.
func TestPeersHandOverBeforeTheyClose(t *testing.T) {
	server, err := httpserver.Listen("127.0.0.1:0", http.NotFoundHandler())
	require.NoError(t, err)
	server.Start()
	calls := 0
	claims := handOverRecorder{func() error {
		calls++
		conn, err := net.Dial("tcp", server.Address())
		if assert.NoError(t, err) {
			assert.NoError(t, conn.Close())
		}
		return context.DeadlineExceeded
	}}
	process := &Process{Claims: claims, Draining: make(chan struct{}), Log: zap.NewNop()}
	require.NoError(t, drainingPeers{server, process}.Shutdown(t.Context()))
	assert.Equal(t, 1, calls)
	_, err = net.Dial("tcp", server.Address())
	assert.Error(t, err)
}
