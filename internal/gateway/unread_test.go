package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/grants"
	"github.com/sequoialane/sequoialane/internal/httphead/headtest"
	"github.com/sequoialane/sequoialane/internal/membudget"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/targetconn"
)

// longResponse is a response whose body is not buffered completely.
const longResponse = 2 << 20

// oneTarget is a Broker with a single target that records the outcomes.
type oneTarget struct {
	address  string
	mu       sync.Mutex
	outcomes []pool.OutcomeKind
}

func (o *oneTarget) Acquire(context.Context, string, pool.Request, time.Duration) (*grants.Lease, error) {
	g := pool.Grant{Target: "t0", Address: o.address, HedgeDelay: time.Hour}
	return grants.NewLease(g, "owner", func(out pool.Outcome) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.outcomes = append(o.outcomes, out.Kind)
	}), nil
}

func (o *oneTarget) reported() []pool.OutcomeKind {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]pool.OutcomeKind(nil), o.outcomes...)
}

// startRawTarget runs serve for each connection once a request has been read.
func startRawTarget(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := c.Read(make([]byte, 4096)); err == nil {
					serve(c)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// startRealSender serves a gateway that sends requests over real connections to
// the target at the address. The view names the target by that address.
func startRealSender(t *testing.T, o *oneTarget, memory *membudget.Budget) *httptest.Server {
	t.Helper()
	f := &fakeFleet{}
	view := f.view()
	for i := range view.Targets {
		view.Targets[i].Address = o.address
	}
	g := New(Options{
		Name: "e", DataCentre: "d", HeaderNames: names, View: func() *fleetview.View { return view }, Broker: o,
		Sender: targetconn.New(sys.RealClock{}, names, memory, nil), Clock: sys.RealClock{}, Log: zap.NewNop(), BodyMemory: membudget.New(1 << 20),
	})
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	return server
}

func getOnce(t *testing.T, server *httptest.Server, timeLeft string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, server.URL+"/reads/1", nil)
	require.NoError(t, err)
	r.Host = "h"
	r.Header.Set("X-Id", "id-1")
	r.Header.Set("X-Left", timeLeft)
	return server.Client().Do(r)
}

// Guards against a body without end that is passed on after the deadline, that
// looks complete to the caller, or that counts as a success of the target.
func TestEndlessBodyEndsAtDeadline(t *testing.T) {
	o := &oneTarget{address: startRawTarget(t, func(c net.Conn) {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Mark: m\r\n\r\n")
		block := make([]byte, 64<<10)
		for err == nil {
			_, err = c.Write(block)
		}
	})}
	memory := membudget.New(4 << 20)
	server := startRealSender(t, o, memory)
	started := time.Now()
	response, err := getOnce(t, server, "500")
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.Error(t, err, "the response must not look complete")
	assert.Less(t, time.Since(started), time.Second, "half a second after the deadline")
	require.Eventually(t, func() bool { return len(o.reported()) == 1 }, time.Second, 5*time.Millisecond)
	assert.Equal(t, pool.Timeout, o.reported()[0])
	assert.Zero(t, memory.Used())
}

// Guards against a connection that stays open, with its memory, because its
// response arrived after the request had ended.
func TestUnusedResponsesAreClosed(t *testing.T) {
	closed := make(chan struct{}, 8)
	o := &oneTarget{address: startRawTarget(t, func(c net.Conn) {
		time.Sleep(20 * time.Millisecond)
		_, err := io.WriteString(c, "HTTP/1.1 500 Error\r\nX-Id: id-1\r\n\r\n")
		block := make([]byte, longResponse)
		for err == nil {
			_, err = c.Write(block)
		}
		closed <- struct{}{}
	})}
	memory := membudget.New(8 << 20)
	server := startRealSender(t, o, memory)
	response, err := getOnce(t, server, "2000")
	require.NoError(t, err)
	_ = response.Body.Close() // the caller does not read the body of the last attempt
	for range 2 {             // the attempts that the route permits
		select {
		case <-closed:
		case <-time.After(1500 * time.Millisecond):
			t.Fatal("the connection of an unused response is still open")
		}
	}
	require.Eventually(t, func() bool { return memory.Used() == 0 }, time.Second, 5*time.Millisecond)
}

// Guards against a malformed response that reaches the caller, that does not count
// against its target, or after which a request that may run once is sent again.
func TestMalformedResponses(t *testing.T) {
	for _, tc := range headtest.Malformed {
		o := &oneTarget{address: startRawTarget(t, func(c net.Conn) { _, _ = io.WriteString(c, tc.Response) })}
		server := startRealSender(t, o, membudget.New(4<<20))
		r, err := http.NewRequest(http.MethodPost, server.URL+"/once/1", strings.NewReader("x"))
		require.NoError(t, err)
		r.Host = "h"
		r.Header.Set("X-Id", "id-1")
		r.Header.Set("X-Left", "2000")
		response, err := server.Client().Do(r)
		require.NoError(t, err, tc.Desc)
		_ = response.Body.Close()
		assert.Equal(t, http.StatusBadGateway, response.StatusCode, tc.Desc)
		require.Eventually(t, func() bool { return len(o.reported()) == 1 }, time.Second, time.Millisecond, tc.Desc)
		assert.Equal(t, pool.InvalidResponse, o.reported()[0], tc.Desc)
	}
}
