// Package targetconn is the HTTP/1.1 client for targets. It pools connections
// and sends one request at a time on each. For a request without a response it
// reports whether the request was certainly not sent or may have run. It is used
// by sequoialane-platform; package upstreamclient is the client of
// sequoialane-entry.
package targetconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sequoialane/sequoialane/internal/membudget"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/tcpalive"
	"github.com/sequoialane/sequoialane/internal/traffic"
)

const (
	dialTimeout      = 500 * time.Millisecond
	userTimeout      = 700 * time.Millisecond // for the acknowledgement of sent bytes
	maxIdlePerTarget = 4                      // idle connections kept for each target
	readBufferSize   = 4 << 10
	// maxKeptBuffer is the size in bytes of the largest read buffer with which a
	// connection is kept. Buffers of the largest heads on all idle connections
	// would take most of the memory of an entry.
	maxKeptBuffer = 16 << 10
	// maxIdleLimit is how long a connection may be idle and still be reused,
	// unless the target announces a shorter keep-alive timeout or resets
	// lowered the limit.
	maxIdleLimit = 4 * time.Second
	// minIdleLimit is the lowest limit that resets of idle connections lead to.
	minIdleLimit = 200 * time.Millisecond
	// keepAliveShare is the share of a target's keep-alive timeout within which a
	// connection is reused.
	keepAliveShare = 0.6
	// idleLimitRecovery is the time after which a lowered limit doubles.
	idleLimitRecovery = 10 * time.Second
	maxConnectionAge  = 2 * time.Minute
)

// Target identifies one incarnation of a target and its address.
type Target struct {
	ID          string
	Address     string // IP address and port
	StartedAtMS int64  // Unix milliseconds
}

// Client sends requests to targets and pools the connections. It is safe for
// concurrent use.
type Client struct {
	clock  sys.Clock
	names  HeaderNames
	memory *membudget.Budget // of buffered response bodies
	dial   traffic.DialFunc

	onAdvice func(Target, Advice) // nil: advice is not passed on

	mu        sync.Mutex
	idle      map[Target][]*conn // the most recently used connection is the last
	idleLimit time.Duration      // how long a connection may be idle and still be reused
	loweredAt time.Time          // when idleLimit was lowered or last doubled; zero: never lowered

	opened, reused, discarded *metrics.Counter
}

// conn is a connection to a target.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	limit     *limitedReader // of reader
	opened    time.Time
	usedAt    time.Time     // end of the last request
	idleLimit time.Duration // idle time after which it is not reused
	reused    bool          // a request was sent on it before
	idleFor   time.Duration // idle time before the current request
}

// New returns a client without connections. It buffers response bodies within
// memory. Traffic is counted by the distances of locations, which may be nil.
func New(clock sys.Clock, names HeaderNames, memory *membudget.Budget, locations *traffic.Locations) *Client {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: 2 * time.Second, Control: tcpalive.Control(userTimeout)}
	return &Client{
		dial:      traffic.CountDials(dialer.DialContext, locations, traffic.Request),
		memory:    memory,
		clock:     clock,
		names:     names,
		idle:      map[Target][]*conn{},
		idleLimit: maxIdleLimit,
		opened:    metrics.GetOrCreateCounter("sequoialane_target_connections_opened_total"),
		reused:    metrics.GetOrCreateCounter("sequoialane_target_connections_reused_total"),
		discarded: metrics.GetOrCreateCounter("sequoialane_target_connections_discarded_total"),
	}
}

// connect returns an idle connection that can be reused, or a new one. It closes
// the idle connections that are too old, were idle for too long or are not clean.
func (c *Client) connect(ctx context.Context, t Target) (*conn, error) {
	for {
		found := c.takeIdle(t)
		if found == nil {
			break
		}
		now := c.clock.Now()
		found.idleFor = now.Sub(found.usedAt)
		if found.idleFor < found.idleLimit && now.Sub(found.opened) < maxConnectionAge && found.isClean() {
			found.reused = true
			c.reused.Inc()
			return found, nil
		}
		c.discarded.Inc()
		_ = found.Close()
	}
	raw, err := c.dial(ctx, "tcp", t.Address)
	if err != nil {
		return nil, err
	}
	c.opened.Inc()
	reader, limit := newReader(raw)
	return &conn{Conn: raw, reader: reader, limit: limit, opened: c.clock.Now()}, nil
}

// takeIdle removes and returns the most recently used idle connection, or nil.
func (c *Client) takeIdle(t Target) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[t]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	c.idle[t] = conns[:len(conns)-1]
	return last
}

// putIdle keeps a connection for the next request. KeepAlive is the keep-alive
// timeout announced by the target; 0: none.
func (c *Client) putIdle(t Target, cn *conn, keepAlive time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	cn.usedAt = now
	cn.idleLimit = c.currentIdleLimit(now)
	if keepAlive > 0 {
		cn.idleLimit = min(cn.idleLimit, time.Duration(keepAliveShare*float64(keepAlive)))
	}
	conns := append(c.idle[t], cn)
	if len(conns) > maxIdlePerTarget {
		_ = conns[0].Close()
		conns = conns[1:]
	}
	c.idle[t] = conns
}

// currentIdleLimit returns the idle limit after doubling it once for each
// idleLimitRecovery since it was lowered. The caller holds mu.
func (c *Client) currentIdleLimit(now time.Time) time.Duration {
	if c.loweredAt.IsZero() {
		return c.idleLimit
	}
	for now.Sub(c.loweredAt) > idleLimitRecovery && c.idleLimit < maxIdleLimit {
		c.idleLimit = min(2*c.idleLimit, maxIdleLimit)
		c.loweredAt = c.loweredAt.Add(idleLimitRecovery)
	}
	return c.idleLimit
}

// lowerIdleLimit lowers the idle limit after a connection was reset that had been
// idle: the target or a middlebox may have dropped it while it was idle.
func (c *Client) lowerIdleLimit(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleLimit = max(minIdleLimit, min(c.idleLimit, idle/2))
	c.loweredAt = c.clock.Now()
}

// RetainTargets closes the idle connections to all targets that are not in the
// set.
func (c *Client) RetainTargets(targets map[Target]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, conns := range c.idle {
		if targets[t] {
			continue
		}
		for _, cn := range conns {
			_ = cn.Close()
		}
		delete(c.idle, t)
	}
}

// isClean reports whether the connection is open and has no unexpected bytes to
// read. It does not block.
func (cn *conn) isClean() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	socket, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, failed := syscall.Read(int(fd), buffer[:])
		open = failed == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
