package callerconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

const drainTimeout = 30 * time.Second

// heldListener returns no connection from Accept before it is released, so that the
// connections of callers wait in the kernel.
type heldListener struct {
	*net.TCPListener
	released chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

func listenTCP(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l.(*net.TCPListener)
}

// startDraining serves the handler and returns a function that drains the server.
func startDraining(t *testing.T, inner net.Listener, h http.HandlerFunc) func() error {
	t.Helper()
	s := NewServer(&http.Server{Handler: h}, inner)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve() }()
	t.Cleanup(func() { _ = s.Close() })
	return func() error {
		ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		err := s.Drain(ctx)
		if err == nil {
			assert.ErrorIs(t, <-ended, http.ErrServerClosed)
		}
		return err
	}
}

// Guards against a stop that resets connections which are established but not accepted
// yet, with the requests on them.
func TestDrainAcceptsWaitingConnections(t *testing.T) {
	held := &heldListener{TCPListener: listenTCP(t), released: make(chan struct{})}
	drain := startDraining(t, held, ok)
	var callers []net.Conn
	for range 10 {
		c := dial(t, held.Addr().String())
		_, err := io.WriteString(c, get("/"))
		require.NoError(t, err)
		callers = append(callers, c)
	}
	time.AfterFunc(50*time.Millisecond, func() { close(held.released) })
	require.NoError(t, drain())
	for _, c := range callers {
		assert.Equal(t, http.StatusOK, exchange(c, ""))
	}
}

// Guards against a stop that closes a connection while the response is under way, or
// invites a further request on it.
func TestDrainClosesAfterTheResponse(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	inner := listenTCP(t)
	drain := startDraining(t, inner, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hang" {
			close(entered)
			<-release
		}
	})
	running, idle := dial(t, inner.Addr().String()), dial(t, inner.Addr().String())
	require.Equal(t, http.StatusOK, exchange(idle, get("/")))
	_, err := io.WriteString(running, get("/hang"))
	require.NoError(t, err)
	<-entered
	drained := make(chan error, 1)
	go func() { drained <- drain() }()
	assertClosed(t, idle)
	assert.Empty(t, drained, "drained with a request in flight")
	close(release)
	assert.Equal(t, http.StatusOK, exchange(running, ""))
	assertClosed(t, running)
	assert.NoError(t, <-drained)
}

func assertClosed(t *testing.T, c net.Conn) {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(drainTimeout)))
	_, err := c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against a stop that waits for callers which connect and send nothing, and
// against one that hangs if the server was never started.
func TestDrainDoesNotWaitForSilentCallers(t *testing.T) {
	inner := listenTCP(t)
	drain := startDraining(t, inner, ok)
	silent := dial(t, inner.Addr().String())
	require.NoError(t, drain())
	assertClosed(t, silent)

	notStarted := NewServer(&http.Server{Handler: http.HandlerFunc(ok)}, listenTCP(t))
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	assert.NoError(t, notStarted.Drain(ctx))
	assert.ErrorIs(t, notStarted.Serve(), http.ErrServerClosed)
}

// Guards against a drain that goes on after its time.
func TestDrainEndsWithItsContext(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	inner := listenTCP(t)
	s := NewServer(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-release
	})}, inner)
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Close() })
	c := dial(t, inner.Addr().String())
	_, err := io.WriteString(c, get("/"))
	require.NoError(t, err)
	<-entered
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, s.Drain(ctx), context.DeadlineExceeded)
}

// Guards against requests that were read and have no response, at any moment of a stop:
// callers send on kept and on new connections until the listener is closed. A request
// that crosses the close of its connection is not read.
func TestNoRequestIsLostInRandomDrains(t *testing.T) {
	const drains, callers = 20, 8
	random := rand.New(rand.NewPCG(1, 2))
	for n := range drains {
		name := fmt.Sprint("drain-", n)
		inner := listenTCP(t)
		guard := NewGuard(DefaultSettings(), 256<<20, Shares{Bodies: 4, Responses: 16, Requests: 16}, zap.NewNop())
		var handled atomic.Int64
		s := guard.NewServer(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			handled.Add(1)
			time.Sleep(time.Millisecond)
		})}, inner, Options{Name: name})
		go func() { _ = s.Serve() }()
		var answered atomic.Int64
		var group sync.WaitGroup
		for caller := range callers {
			pause := time.Duration(0)
			if caller%2 > 0 {
				pause = time.Duration(random.Int64N(int64(lastReadTime + lastReadTime/4)))
			}
			group.Go(func() { answered.Add(callUntilClosed(inner.Addr().String(), pause)) })
		}
		time.Sleep(time.Duration(random.Int64N(int64(30 * time.Millisecond))))
		ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		require.NoError(t, s.Drain(ctx))
		cancel()
		group.Wait()
		assert.Equal(t, handled.Load(), answered.Load(), name)
		for _, what := range []arrival{arrivedHead, arrivedPart} {
			lost := metrics.GetOrCreateCounter(fmt.Sprintf("sequoialane_callers_unanswered_total{listener=%q,arrived=%q}", name, what))
			assert.Zero(t, lost.Get(), "%s: %s", name, what)
		}
	}
}

// callUntilClosed sends requests, several on each connection, with a pause before each,
// until no connection can be opened, and returns how many were answered.
func callUntilClosed(address string, pause time.Duration) (answered int64) {
	for {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return answered
		}
		answered += callOn(c, pause)
		_ = c.Close()
	}
}

// callOn sends requests until the server closes the connection.
func callOn(c net.Conn, pause time.Duration) (answered int64) {
	_ = c.SetDeadline(time.Now().Add(drainTimeout))
	reader := bufio.NewReader(c)
	for {
		time.Sleep(pause)
		_, _ = io.WriteString(c, get("/")) // fails if the server has closed the connection
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answered
		}
		_, _ = io.Copy(io.Discard, response.Body)
		answered++
		if response.Close {
			return answered
		}
	}
}
