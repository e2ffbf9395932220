package callerconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
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

// failingListener lacks a descriptor for the first connections.
type failingListener struct {
	*net.TCPListener
	released chan struct{}
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	<-l.released
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.TCPListener.Accept()
}

// Guards against resetting all waiting connections because the process lacks a
// descriptor for a moment.
func TestDrainAcceptsAfterATemporaryError(t *testing.T) {
	l := &failingListener{TCPListener: listenTCP(t), released: make(chan struct{})}
	l.failures.Store(1)
	drain := startDraining(t, l, ok)
	c := dial(t, l.Addr().String())
	_, err := io.WriteString(c, get("/"))
	require.NoError(t, err)
	time.AfterFunc(50*time.Millisecond, func() { close(l.released) })
	require.NoError(t, drain())
	assert.Equal(t, http.StatusOK, exchange(c, ""))
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
