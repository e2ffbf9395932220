package targetconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/membudget"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/sys"
)

const (
	smallWindow = 32 << 10
	longBody    = 300_000 // bytes
	workTime    = 1200 * time.Millisecond
)

// listenWithSmallWindow listens for connections with a small receive window.
func listenWithSmallWindow(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindow)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// serveLateReader accepts a connection and answers requests on it; it works for
// workTime before it reads the body.
func serveLateReader(listener net.Listener) {
	c, err := listener.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		time.Sleep(workTime)
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		respond(c, r.Header.Get("X-Id"), "", fmt.Sprint(n))
	}
}

// Guards against an upload that is broken off because its target is at work and
// has not read the whole body yet.
func TestLateReaderIsNotBrokenOff(t *testing.T) {
	listener := listenWithSmallWindow(t)
	go serveLateReader(listener)
	c := New(sys.RealClock{}, names, membudget.New(1<<30), nil)
	target := Target{ID: "i-1", Address: listener.Addr().String()}
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		result := c.Send(ctx, target, Request{
			ID: "a", Method: "POST", URI: "/", Host: "h", Header: http.Header{"X-Id": {"a"}},
			Body: []byte(strings.Repeat("x", longBody)), TimeLeft: 10 * time.Second,
		})
		cancel()
		require.Equal(t, pool.OK, result.Outcome, "%v", result.Err)
		assert.Equal(t, fmt.Sprint(longBody), string(result.Response.Body))
		result.Response.Close()
	}
}
