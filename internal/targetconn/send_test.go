package targetconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/membudget"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/sys"
)

var names = HeaderNames{RequestID: "X-Id", Deadline: "X-Left", TargetID: "X-Instance", NotRun: "X-Not-Run", Signature: "X-Mark"}

// fakeTarget is a server that runs a script for each request that it reads.
type fakeTarget struct {
	listener net.Listener
	script   func(n int, c net.Conn, r *http.Request)
	mu       sync.Mutex
	requests int
	accepted int
}

func startTarget(t *testing.T, script func(n int, c net.Conn, r *http.Request)) *fakeTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fakeTarget{listener: listener, script: script}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.accepted++
			f.mu.Unlock()
			go f.serve(c)
		}
	}()
	return f
}

func (f *fakeTarget) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		f.mu.Lock()
		n := f.requests
		f.requests++
		f.mu.Unlock()
		f.script(n, c, r)
	}
}

func (f *fakeTarget) connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepted
}

func (f *fakeTarget) target() Target { return Target{ID: "i-1", Address: f.listener.Addr().String()} }

func respond(c net.Conn, id, head, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Mark: m\r\n%sContent-Length: %d\r\n\r\n%s", id, head, len(body), body)
}

func resetConnection(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func send(c *Client, t Target, id, body string) Result {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return c.Send(ctx, t, Request{ID: id, Method: "POST", URI: "/p?q=1", Host: "h", Header: http.Header{"X-Id": {id}}, Body: []byte(body), TimeLeft: time.Second})
}

// Guards against taking an incomplete response for a complete one, a response
// to another request for that to this one, or a failure for proof that the
// request did not run.
func TestResponseOutcomes(t *testing.T) {
	cases := []struct {
		desc    string
		script  func(c net.Conn, id string)
		outcome pool.OutcomeKind
		sent    bool
	}{
		{"whole", func(c net.Conn, id string) { respond(c, id, "", "body") }, pool.OK, true},
		{"reset after the request", func(c net.Conn, _ string) { resetConnection(c) }, pool.Reset, true},
		{"closed after the request", func(c net.Conn, _ string) { _ = c.Close() }, pool.Reset, true},
		{"cut in the body", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Mark: m\r\nContent-Length: 100\r\n\r\nhalf", id)
			_ = c.Close()
		}, pool.InvalidResponse, true},
		{"reset in a response without length", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Mark: m\r\n\r\nhalf", id)
			time.Sleep(30 * time.Millisecond)
			resetConnection(c)
		}, pool.InvalidResponse, true},
		{"response without length", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Mark: m\r\n\r\nbody", id)
			_ = c.Close()
		}, pool.OK, true},
		{"bytes that are not a response", func(c net.Conn, _ string) { _, _ = io.WriteString(c, "\x00\x01garbage\r\n\r\n") }, pool.InvalidResponse, true},
		{"success without the signature", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		}, pool.InvalidResponse, true},
		{"no request id", func(c net.Conn, _ string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Mark: m\r\nContent-Length: 0\r\n\r\n")
		}, pool.InvalidResponse, true},
		{"late response to another request first", func(c net.Conn, id string) {
			respond(c, "other", "", "wrong")
			respond(c, id, "", "body")
		}, pool.OK, true},
		{"failure", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 500 Error\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		}, pool.Failed, true},
		{"full", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
		}, pool.Shed, false},
		{"503 without the not-run header", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		}, pool.Failed, true},
		{"another target at the address", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		}, pool.Misdirected, false},
		{"no response", func(net.Conn, string) {}, pool.Timeout, true},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			f := startTarget(t, func(_ int, c net.Conn, r *http.Request) { tc.script(c, r.Header.Get("X-Id")) })
			result := send(New(sys.RealClock{}, names, membudget.New(0), nil), f.target(), "id-1", "x")
			assert.Equal(t, tc.outcome, result.Outcome, "%v", result.Err)
			assert.Equal(t, tc.sent, result.MayHaveRun)
			if tc.outcome == pool.OK {
				assert.Equal(t, "body", string(result.Response.Body))
			}
		})
	}
}

// Guards against reporting a request as sent if the connection was refused.
func TestRefusedConnection(t *testing.T) {
	f := startTarget(t, nil)
	target := f.target()
	require.NoError(t, f.listener.Close())
	result := send(New(sys.RealClock{}, names, membudget.New(0), nil), target, "id-1", "x")
	assert.Equal(t, pool.ConnectFailed, result.Outcome)
	assert.False(t, result.MayHaveRun)
}

// Guards against sending a request on a connection that the target has closed, or
// that has unexpected bytes to read.
func TestUnusableIdleConnections(t *testing.T) {
	cases := []struct {
		desc  string
		after func(c net.Conn)
		conns int
	}{
		{"kept", func(net.Conn) {}, 1},
		{"closed while idle", func(c net.Conn) { _ = c.Close() }, 2},
		{"extra response while idle", func(c net.Conn) { respond(c, "id-1", "", "again") }, 2},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			f := startTarget(t, func(n int, c net.Conn, r *http.Request) {
				respond(c, r.Header.Get("X-Id"), "", fmt.Sprint("body ", n))
				if n == 0 {
					time.AfterFunc(20*time.Millisecond, func() { tc.after(c) })
				}
			})
			client := New(sys.RealClock{}, names, membudget.New(0), nil)
			require.Equal(t, pool.OK, send(client, f.target(), "id-1", "").Outcome)
			time.Sleep(80 * time.Millisecond)
			second := send(client, f.target(), "id-2", "")
			require.Equal(t, pool.OK, second.Outcome, "%v", second.Err)
			assert.Equal(t, "body 1", string(second.Response.Body))
			assert.Equal(t, tc.conns, f.connections())
		})
	}
}

// Guards against reusing a connection beyond the target's keep-alive timeout or
// after "Connection: close".
func TestConnectionsThatAreNotReused(t *testing.T) {
	for _, head := range []string{"Connection: close\r\n", "Keep-Alive: timeout=1\r\n"} {
		f := startTarget(t, func(_ int, c net.Conn, r *http.Request) { respond(c, r.Header.Get("X-Id"), head, "b") })
		client := New(sys.RealClock{}, names, membudget.New(0), nil)
		send(client, f.target(), "id-1", "")
		time.Sleep(700 * time.Millisecond)
		send(client, f.target(), "id-2", "")
		assert.Equal(t, 2, f.connections(), head)
	}
}

// Guards against repeated resets where idle connections are dropped silently: the
// idle limit must fall below the idle time that led to a reset.
func TestIdleLimitFollowsResets(t *testing.T) {
	clock := sys.NewManualClock(time.Unix(1000, 0))
	c := New(clock, names, membudget.New(0), nil)
	c.lowerIdleLimit(2 * time.Second)
	assert.Equal(t, time.Second, c.currentIdleLimit(clock.Now()))
	c.lowerIdleLimit(100 * time.Millisecond)
	assert.Equal(t, minIdleLimit, c.currentIdleLimit(clock.Now()))
	clock.Advance(10 * idleLimitRecovery)
	assert.Equal(t, maxIdleLimit, c.currentIdleLimit(clock.Now()))
}

// Guards against writing the next request where the target expects the rest of
// a long body: after an early response the connection must not be reused.
func TestNoReuseAfterEarlyResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	seen := make(chan int, 8)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				respond(c, r.Header.Get("X-Id"), "", "early")
				time.Sleep(50 * time.Millisecond)
				n, _ := io.Copy(io.Discard, r.Body)
				seen <- int(n)
			}()
		}
	}()
	client := New(sys.RealClock{}, names, membudget.New(0), nil)
	target := Target{ID: "i", Address: listener.Addr().String()}
	body := strings.Repeat("x", 32<<20)
	for range 2 {
		result := send(client, target, "id-1", body)
		require.Equal(t, pool.OK, result.Outcome, "%v", result.Err)
		assert.LessOrEqual(t, <-seen, len(body))
	}
}

// Guards against a cancelled request that keeps its connection open.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	f := startTarget(t, func(_ int, c net.Conn, _ *http.Request) {
		_, _ = c.Read(make([]byte, 1)) // ends when the client closes
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	result := New(sys.RealClock{}, names, membudget.New(0), nil).Send(ctx, f.target(), Request{ID: "i", Method: "GET", URI: "/", Host: "h", Header: http.Header{}, TimeLeft: time.Second})
	assert.Equal(t, pool.Canceled, result.Outcome)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection is still open")
	}
}

// Guards against misreading the load header, or failing on a malformed one.
func TestParseLoad(t *testing.T) {
	cases := []struct {
		text string
		want *pool.Load
	}{
		{"3,1,8", &pool.Load{Running: 3, Waiting: 1}},
		{"3, 0, 8", &pool.Load{Running: 3}},
		{"", nil},
		{"3", nil},
		{"-1,2,3", nil},
		{"a,b,c", nil},
	}
	for _, tc := range cases {
		assert.Equal(t, tc.want, parseLoad(tc.text), tc.text)
	}
}
