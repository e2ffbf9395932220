package callerconn

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func drainWithin(s *Server, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return s.Drain(ctx)
}

// Guards against a drain that waits for a server which has ended, and against one that
// leaves the listener of a server open which was not started.
func TestDrainOfAServerThatDoesNotRun(t *testing.T) {
	ended := NewServer(&http.Server{Handler: http.HandlerFunc(ok)}, listenTCP(t))
	require.NoError(t, ended.Close())
	assert.Error(t, ended.Serve())
	assert.NoError(t, drainWithin(ended, drainTimeout))

	inner := listenTCP(t)
	require.NoError(t, drainWithin(NewServer(&http.Server{Handler: http.HandlerFunc(ok)}, inner), drainTimeout))
	_, err := net.Dial("tcp", inner.Addr().String())
	assert.Error(t, err)
}
