package entry

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/fault"
)

// cutConn is lost after the first write once cut is set.
type cutConn struct {
	net.Conn
	cut *atomic.Bool
}

func (c *cutConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if c.cut.Load() {
		_ = c.Conn.Close()
	}
	return n, err
}

// Read loses what arrives once cut is set.
func (c *cutConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.cut.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Guards against the answer "not run" for a request that was sent to its owner, on a
// connection that was then lost, and sent again to an owner that had stopped by then.
func TestRequestSentBeforeTheOwnerStoppedMayHaveRun(t *testing.T) {
	c := newCluster(t, "north", "north", "north")
	c.addTarget(t, "north", echo)
	from := c.ranked("north")[2]
	var cut atomic.Bool
	from.peers.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if cut.Load() {
			return nil, syscall.ECONNREFUSED
		}
		conn, err := dialPeer(ctx, network, address)
		return &cutConn{Conn: conn, cut: &cut}, err
	}
	require.Equal(t, "warm", from.call(t, "PUT", "/s/consents/uploads", "warm", nil).body)
	cut.Store(true)
	g := from.call(t, "PUT", "/s/consents/uploads", "sent", nil)
	require.NotNil(t, g.err)
	assert.NotEqual(t, fault.NotRun, g.err.Effect, "%d %s", g.status, g.err.Kind)
}
