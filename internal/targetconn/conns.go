// Package targetconn keeps connections to targets and sends one request at a
// time on each. It tells exactly what is known about a request that got no
// answer: not sent, or perhaps run.
package targetconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/sys"
)

const (
	dialTimeout    = 500 * time.Millisecond
	idlePerTarget  = 4
	readBufferSize = 4 << 10
	// startIdleLimit is how long a connection may be idle and still be used,
	// unless the target names a shorter time.
	startIdleLimit = 4 * time.Second
	// minIdleLimit is the shortest limit that resets of idle connections lead to.
	minIdleLimit = 200 * time.Millisecond
	// statedShare of the time that a target keeps idle connections is used.
	statedShare = 0.6
	// idleLimitRecovers is the time in which a lowered limit doubles.
	idleLimitRecovers = 10 * time.Second
	maxConnectionAge  = 2 * time.Minute
)

// Target is where a request goes.
type Target struct {
	ID      string
	Address string // IP address and port
}

// Client keeps the connections of a process to all targets. It is safe for
// concurrent use.
type Client struct {
	clock  sys.Clock
	dialer net.Dialer
	names  HeaderNames

	mu        sync.Mutex
	idle      map[Target][]*conn // the last one was used last
	idleLimit time.Duration
	loweredAt time.Time

	opened, reused, discarded *metrics.Counter
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	opened  time.Time
	usedAt  time.Time     // end of the last request
	limit   time.Duration // idle time for which it may be used
	reused  bool
	idleFor time.Duration // before the current request
}

// New returns a client without connections.
func New(clock sys.Clock, names HeaderNames) *Client {
	return &Client{
		clock:     clock,
		names:     names,
		dialer:    net.Dialer{Timeout: dialTimeout, KeepAlive: 2 * time.Second, Control: peerhttp.SetUserTimeout},
		idle:      map[Target][]*conn{},
		idleLimit: startIdleLimit,
		opened:    metrics.GetOrCreateCounter("sequoialane_target_connections_opened_total"),
		reused:    metrics.GetOrCreateCounter("sequoialane_target_connections_reused_total"),
		discarded: metrics.GetOrCreateCounter("sequoialane_target_connections_discarded_total"),
	}
}

// get returns an idle connection that is still good, or a new one.
func (c *Client) get(ctx context.Context, t Target) (*conn, error) {
	for {
		found := c.takeIdle(t)
		if found == nil {
			break
		}
		now := c.clock.Now()
		found.idleFor = now.Sub(found.usedAt)
		if found.idleFor < found.limit && now.Sub(found.opened) < maxConnectionAge && found.quiet() {
			found.reused = true
			c.reused.Inc()
			return found, nil
		}
		c.discarded.Inc()
		_ = found.Close()
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, err
	}
	c.opened.Inc()
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferSize), opened: c.clock.Now()}, nil
}

func (c *Client) takeIdle(t Target) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[t]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	c.idle[t] = list[:len(list)-1]
	return last
}

// put keeps a connection for the next request. Stated is the time for which the
// target keeps it; 0: not stated.
func (c *Client) put(t Target, k *conn, stated time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	k.usedAt = now
	k.limit = c.currentIdleLimit(now)
	if stated > 0 {
		k.limit = min(k.limit, time.Duration(statedShare*float64(stated)))
	}
	list := append(c.idle[t], k)
	if len(list) > idlePerTarget {
		_ = list[0].Close()
		list = list[1:]
	}
	c.idle[t] = list
}

func (c *Client) currentIdleLimit(now time.Time) time.Duration {
	if c.loweredAt.IsZero() {
		return c.idleLimit
	}
	for now.Sub(c.loweredAt) > idleLimitRecovers && c.idleLimit < startIdleLimit {
		c.idleLimit = min(2*c.idleLimit, startIdleLimit)
		c.loweredAt = c.loweredAt.Add(idleLimitRecovers)
	}
	return c.idleLimit
}

// resetAfterIdle lowers the idle limit: the target, or something on the way,
// may have dropped the connection while it was idle.
func (c *Client) resetAfterIdle(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleLimit = max(minIdleLimit, min(c.idleLimit, idle/2))
	c.loweredAt = c.clock.Now()
}

// Retain closes the idle connections to all other targets.
func (c *Client) Retain(targets map[Target]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, list := range c.idle {
		if targets[t] {
			continue
		}
		for _, k := range list {
			_ = k.Close()
		}
		delete(c.idle, t)
	}
}

// quiet reports whether the connection is open and holds no bytes that belong
// to no request.
func (k *conn) quiet() bool {
	if k.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := k.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, failed := syscall.Read(int(fd), one[:])
		open = failed == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
