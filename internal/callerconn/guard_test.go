package callerconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/settings"
)

const testIdleTime = 15 * time.Second

// guarded is a server whose connections a guard limits.
type guarded struct {
	*Guard
	address string
	skew    atomic.Int64 // nanoseconds that the guard's clock is ahead
}

// startGuarded serves the handler with a guard of that much memory.
func startGuarded(t *testing.T, s Settings, memoryMB int64, h http.HandlerFunc) *guarded {
	t.Helper()
	g := &guarded{Guard: NewGuard(s, memoryMB<<20, Shares{Bodies: 4, Responses: 16, Requests: 16}, zap.NewNop())}
	g.now = func() time.Time { return time.Now().Add(time.Duration(g.skew.Load())) }
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() {
		_ = g.Serve(server, listener, Options{
			Name: "test", HeadBytes: func() int64 { return 24 << 10 }, IdleTime: func() time.Duration { return testIdleTime },
		})
	}()
	t.Cleanup(func() { _ = server.Close() })
	g.address = listener.Addr().String()
	return g
}

func (g *guarded) advance(d time.Duration) { g.skew.Add(int64(d)) }

// open returns the number of open connections.
func (g *guarded) open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// inPhase returns the number of open connections in the phase.
func (g *guarded) inPhase(p phase) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return lo.CountBy(lo.Keys(g.conns), func(c *conn) bool { return phase(c.phase.Load()) == p })
}

// stalledConns returns the number of connections that may be closed for others.
func (g *guarded) stalledConns() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return lo.CountBy(lo.Keys(g.conns), func(c *conn) bool {
		_, stalled := c.stalled(g.now())
		return stalled
	})
}

// exchange sends text and returns the status of the response; 0: none.
func exchange(c net.Conn, text string) int {
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(c, text) // an early response may close the connection
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func post(length int) string {
	return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"
}

func ok(http.ResponseWriter, *http.Request) {}

// Guards against closing an idle connection that its caller may be about to use, and
// against refusing new callers because of connections that are idle for too long.
func TestIdleConnectionsAreKeptForTheirCallers(t *testing.T) {
	s := DefaultSettings()
	s.Connections = 2
	g := startGuarded(t, s, 64, ok)
	first, second := dial(t, g.address), dial(t, g.address)
	for _, c := range []net.Conn{first, second} {
		require.Equal(t, http.StatusOK, exchange(c, get("/")))
	}
	idle := func() bool { return g.inPhase(phaseIdle) == 2 }
	require.Eventually(t, idle, 10*time.Second, time.Millisecond)
	g.advance(testIdleTime * 4 / 5)
	assert.Zero(t, exchange(dial(t, g.address), get("/")), "a third connection")
	for _, c := range []net.Conn{first, second} {
		assert.Equal(t, http.StatusOK, exchange(c, get("/")), "a connection idle for four fifths of the time")
	}
	require.Eventually(t, idle, 10*time.Second, time.Millisecond)
	g.advance(testIdleTime + time.Second)
	assert.Equal(t, http.StatusOK, exchange(dial(t, g.address), get("/")), "a connection instead of idle ones")
}

// Guards against silent connections that keep others out, and against closing one on
// which a request runs.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	s := DefaultSettings()
	s.Connections = 3
	started, release := make(chan struct{}), make(chan struct{})
	g := startGuarded(t, s, 64, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(started)
			<-release
		}
	})
	long := dial(t, g.address)
	status := make(chan int, 1)
	go func() { status <- exchange(long, get("/long")) }()
	<-started
	silent, partial := dial(t, g.address), dial(t, g.address)
	_, err := io.WriteString(partial, "GET / HT")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return g.open() == 3 && g.inPhase(phaseHead) == 1 }, 10*time.Second, time.Millisecond)
	g.advance(defaultHeadTime + time.Hour)
	assert.Equal(t, http.StatusOK, exchange(dial(t, g.address), get("/")))
	for _, c := range []net.Conn{silent, partial} {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err := c.Read(make([]byte, 1))
		assert.Error(t, err)
		assert.False(t, errors.Is(err, os.ErrDeadlineExceeded), "still open")
	}
	close(release)
	assert.Equal(t, http.StatusOK, <-status)
}

// bodyHandler reads the body within the memory for bodies.
// Guards against closing a connection whose request has arrived while the process did
// not run, as after a freeze of its VM.
func TestConnectionsWithUnreadRequestsAreKept(t *testing.T) {
	g := startGuarded(t, DefaultSettings(), 64, ok)
	for _, p := range []phase{phaseNew, phaseHead, phaseIdle} {
		t.Run(p.String(), func(t *testing.T) {
			inner := listenTCP(t)
			caller := dial(t, inner.Addr().String())
			accepted, err := inner.Accept()
			require.NoError(t, err)
			t.Cleanup(func() { _ = accepted.Close() })
			c := &conn{Conn: accepted, guard: g.Guard, listener: g.Listen(inner, Options{Name: "unread"})}
			c.setPhase(p)
			later := g.now().Add(time.Hour)
			_, stalled := c.stalled(later)
			require.True(t, stalled)
			_, err = io.WriteString(caller, get("/"))
			require.NoError(t, err)
			assert.Eventually(t, func() bool { _, stalled := c.stalled(later); return !stalled }, 10*time.Second, time.Millisecond)
		})
	}
}

func bodyHandler(w http.ResponseWriter, r *http.Request) {
	memory := BodyMemory(r.Context())
	if !TakeBody(r.Context(), memory, r.ContentLength) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer GiveBody(r.Context(), memory, r.ContentLength)
	if _, err := io.Copy(io.Discard, r.Body); errors.Is(err, os.ErrDeadlineExceeded) {
		w.WriteHeader(http.StatusRequestTimeout)
	}
}

// Guards against bodies that stop and keep their memory, and against ending a body
// that arrives slowly, or a request that is being worked on, in place of one that
// stopped.
func TestStalledBodyMakesRoom(t *testing.T) {
	const memoryMB, bodySize = 32, 3 << 20 // two bodies fit into a quarter of the memory
	s := DefaultSettings()
	s.StallTime = settings.Duration(500 * time.Millisecond)
	g := startGuarded(t, s, memoryMB, bodyHandler)
	stopped, arriving := dial(t, g.address), dial(t, g.address)
	statusOfStopped := make(chan int, 1)
	go func() {
		statusOfStopped <- exchange(stopped, post(bodySize)+strings.Repeat("x", bodySize-1))
	}()
	require.Eventually(t, func() bool { return g.Bodies.Used() == bodySize && g.stalledConns() == 1 }, 10*time.Second, time.Millisecond)
	_, err := io.WriteString(arriving, post(bodySize))
	require.NoError(t, err)
	stop := make(chan struct{})
	var sender sync.WaitGroup
	sender.Go(func() {
		for sent := 0; sent < bodySize; sent += progressBytes {
			if _, err := io.WriteString(arriving, strings.Repeat("x", progressBytes)); err != nil {
				return
			}
			select {
			case <-stop:
			case <-time.After(10 * time.Millisecond):
			}
		}
	})
	require.Eventually(t, func() bool { return g.Bodies.Used() == 2*bodySize }, 10*time.Second, time.Millisecond)
	assert.Equal(t, http.StatusOK, exchange(dial(t, g.address), post(bodySize)+strings.Repeat("x", bodySize)))
	assert.Equal(t, http.StatusRequestTimeout, <-statusOfStopped)
	close(stop)
	sender.Wait()
	assert.Equal(t, http.StatusOK, exchange(arriving, ""))
}

// Guards against heads whose fields take many times their bytes, and against
// rejecting a head within the limits.
func TestHeadsAreLimited(t *testing.T) {
	g := startGuarded(t, DefaultSettings(), 64, ok)
	fields := func(n int) string {
		var b strings.Builder
		for i := range n {
			b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
		}
		return "GET / HTTP/1.1\r\nHost: h\r\n" + b.String() + "\r\n"
	}
	legal := fields(2800)
	require.Less(t, len(legal), 16<<10)
	assert.Equal(t, http.StatusOK, exchange(dial(t, g.address), legal))
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, exchange(dial(t, g.address), fields(6000)), "over the limit in bytes")
	few := DefaultSettings()
	few.HeaderFields = 100
	g = startGuarded(t, few, 64, ok)
	assert.Equal(t, http.StatusOK, exchange(dial(t, g.address), fields(99)))
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, exchange(dial(t, g.address), fields(101)))
	body := strings.Repeat("\n", 3000)
	assert.Equal(t, http.StatusOK, exchange(dial(t, g.address), post(len(body))+body), "lines of a body are no fields")
}

// Guards against requests in flight without limit, and against a rejection of them
// that lacks its status.
func TestRequestsInFlightAreLimited(t *testing.T) {
	release := make(chan struct{})
	g := startGuarded(t, DefaultSettings(), 16, func(http.ResponseWriter, *http.Request) { <-release })
	most := int(g.Requests.Limit() / defaultRequestBytes)
	var callers sync.WaitGroup
	var served, rejected atomic.Int64
	for range most + 10 {
		c := dial(t, g.address)
		callers.Go(func() {
			switch exchange(c, get("/")) {
			case http.StatusOK:
				served.Add(1)
			case http.StatusServiceUnavailable:
				rejected.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool { return rejected.Load() >= 10 }, 20*time.Second, time.Millisecond)
	close(release)
	callers.Wait()
	assert.Equal(t, int64(most+10), served.Load()+rejected.Load())
	assert.Positive(t, served.Load())
}

// Guards against a caller that does not read its response and keeps its connection
// and the response for ever.
func TestResponsesMustBeRead(t *testing.T) {
	s := DefaultSettings()
	s.WriteTimeout = settings.Duration(50 * time.Millisecond)
	failed := make(chan error, 1)
	g := startGuarded(t, s, 64, func(w http.ResponseWriter, _ *http.Request) {
		block := make([]byte, 64<<10)
		for range 1000 {
			if _, err := w.Write(block); err != nil {
				failed <- err
				return
			}
		}
		failed <- nil
	})
	c := dial(t, g.address)
	_, err := io.WriteString(c, get("/"))
	require.NoError(t, err)
	assert.ErrorIs(t, <-failed, os.ErrDeadlineExceeded)
}

// Guards against memory that is not given back, by callers of all kinds that leave at
// any point.
func TestMemoryIsGivenBack(t *testing.T) {
	s := DefaultSettings()
	s.StallTime = settings.Duration(10 * time.Millisecond)
	g := startGuarded(t, s, 16, bodyHandler)
	var callers sync.WaitGroup
	for n := range 200 {
		callers.Go(func() {
			c, err := net.Dial("tcp", g.address)
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			_, _ = io.WriteString(c, []string{
				post(1<<20) + strings.Repeat("x", 1<<20),
				post(1<<20) + strings.Repeat("x", 1<<19),
				strings.Repeat(get("/"), 50),
				"GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 8000),
				post(10) + "1",
			}[n%5])
			if n%2 == 0 {
				_, _ = c.Read(make([]byte, 1))
			}
		})
	}
	callers.Wait()
	require.Eventually(t, func() bool { return g.open() == 0 }, 20*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool { return g.Memory.Used() == 0 }, 20*time.Second, 5*time.Millisecond, "bytes still taken")
}

// Guards against limits that a small deployment cannot work with, or that do not fit
// into its memory.
func TestLimitsFitIntoMemory(t *testing.T) {
	for _, memoryMB := range []int{32, 64, 184, 280, 1024} {
		t.Run(fmt.Sprint(memoryMB), func(t *testing.T) {
			s, memory := DefaultSettings(), int64(memoryMB)<<20
			g := NewGuard(s, memory, Shares{Bodies: 4, Responses: 16, Requests: 16}, zap.NewNop())
			connections := int64(g.connections+2*max(g.connections/sideDivisor, minConnections)) * connectionBytes
			assert.LessOrEqual(t, g.Memory.Limit()+connections, memory*6/10, "of the heap")
			assert.LessOrEqual(t, HeapLimit(memoryMB), memory*8/10)
			assert.GreaterOrEqual(t, HeapLimit(memoryMB), memory/2)
			assert.GreaterOrEqual(t, g.Requests.Limit(), defaultRequestBytes+headCost(16<<10, 16<<10/4), "a head of 16 KiB")
		})
	}
}
