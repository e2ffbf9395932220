package callerconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// forBothServers runs the test with a server whose connections a guard limits and with
// one without limits. The idle and header timeouts are longer than any drain.
func forBothServers(t *testing.T, h http.HandlerFunc, test func(t *testing.T, s *Server, address string)) {
	t.Helper()
	for _, guarded := range []bool{false, true} {
		t.Run(fmt.Sprint("guarded ", guarded), func(t *testing.T) {
			inner := listenTCP(t)
			server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
			s := NewServer(server, inner)
			if guarded {
				g := NewGuard(DefaultSettings(), 256<<20, Shares{Bodies: 4, Responses: 16, Requests: 16}, zap.NewNop())
				s = g.NewServer(&http.Server{Handler: h, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}, inner, Options{Name: "edges"})
			}
			go func() { _ = s.Serve() }()
			t.Cleanup(func() { _ = s.Close() })
			test(t, s, inner.Addr().String())
		})
	}
}

func drainWithin(s *Server, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return s.Drain(ctx)
}

// Guards against a caller that holds a stop with a few bytes that never become a head,
// such as a line end behind a body.
func TestDrainDoesNotWaitForHeadsThatStop(t *testing.T) {
	read := func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }
	forBothServers(t, read, func(t *testing.T, s *Server, address string) {
		c := dial(t, address)
		require.Equal(t, http.StatusOK, exchange(c, post(1)+"x"))
		_, err := io.WriteString(c, "\r\n")
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond) // the bytes are read
		assert.NoError(t, drainWithin(s, drainTimeout))
	})
}

// Guards against the deadline of a head that ends the request behind it.
func TestDrainDoesNotEndRequestsInFlight(t *testing.T) {
	work := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusInternalServerError)
		case <-time.After(lastHeadTime + lastHeadTime/4):
		}
	}
	forBothServers(t, work, func(t *testing.T, s *Server, address string) {
		c := dial(t, address)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\n")
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond)
		drained := make(chan error, 1)
		go func() { drained <- drainWithin(s, drainTimeout) }()
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, http.StatusOK, exchange(c, "Host: h\r\n\r\n"))
		assert.NoError(t, <-drained)
	})
}

// Guards against losing a request whose first byte was read while the one before it ran.
func TestDrainAnswersHeadsBegunBehindARequest(t *testing.T) {
	var release chan struct{}
	work := func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			<-release
		}
	}
	forBothServers(t, work, func(t *testing.T, s *Server, address string) {
		release = make(chan struct{})
		c := dial(t, address)
		for _, text := range []string{get("/first"), "G"} {
			_, err := io.WriteString(c, text)
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
		}
		close(release)
		require.Equal(t, http.StatusOK, exchange(c, ""))
		drained := make(chan error, 1)
		go func() { drained <- drainWithin(s, drainTimeout) }()
		time.Sleep(lastReadTime + lastReadTime/2)
		assert.Equal(t, http.StatusOK, exchange(c, get("/second")[1:]))
		assert.NoError(t, <-drained)
	})
}

// pausingListener does not run for a while at the end of an accept or of a read whose
// deadline has passed.
type pausingListener struct {
	*net.TCPListener
	onAccept, onRead func()
}

func (l *pausingListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		l.onAccept()
		return nil, err
	}
	return &pausingConn{TCPConn: c.(*net.TCPConn), onRead: l.onRead}, nil
}

type pausingConn struct {
	*net.TCPConn
	onRead func()
}

func (c *pausingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.onRead()
	}
	return n, err
}

// Guards against losing what arrives while the process does not run, just after a
// deadline of the drain has passed.
func TestDrainSeesWhatArrivesDuringAPause(t *testing.T) {
	const pause = 20 * time.Millisecond
	var kept, late net.Conn
	var read, accept sync.Once
	l := &pausingListener{TCPListener: listenTCP(t)}
	l.onRead = func() {
		read.Do(func() {
			_, _ = io.WriteString(kept, get("/"))
			time.Sleep(pause)
		})
	}
	l.onAccept = func() {
		accept.Do(func() {
			late = dial(t, l.Addr().String())
			_, _ = io.WriteString(late, get("/"))
			time.Sleep(pause)
		})
	}
	drain := startDraining(t, l, ok)
	kept = dial(t, l.Addr().String())
	require.Equal(t, http.StatusOK, exchange(kept, get("/")))
	drained := make(chan error, 1)
	go func() { drained <- drain() }()
	assert.Equal(t, http.StatusOK, exchange(kept, ""))
	assert.NoError(t, <-drained)
	assert.Equal(t, http.StatusOK, exchange(late, ""))
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
