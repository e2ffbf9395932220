package upstreamclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/tcpalive"
)

// Limits and timeouts of connections to upstreams.
const (
	maxIdle               = 10 * time.Second
	maxIdleNonIdempotent  = time.Second // a connection that was idle for longer may have become silent
	maxConnAge            = 5 * time.Minute
	userTimeout           = 700 * time.Millisecond // for the acknowledgement of sent bytes
	dialTimeout           = time.Second
	keepAliveIdle         = 5 * time.Second // silence after which the kernel probes a connection
	keepAliveInterval     = time.Second
	keepAliveCount        = 3
	maxResponseHeader     = 32 << 10 // bytes
	maxIdleConnsPerTarget = 1024
	maxInlineBody         = 16 << 10 // bytes of a body that any target takes at once
)

// connPools are the connection pools of one target. Non-idempotent requests have
// their own pool, whose connections are closed after a much shorter idle time. A
// request whose body cannot be replayed always gets a new connection, because the
// transport cannot move it to another one.
type connPools struct {
	idempotent    *http.Transport
	nonIdempotent *http.Transport
	singleUse     *http.Transport
	lastUsedAt    time.Time // guarded by Client.mu
}

func newConnPools(clock sys.Clock) *connPools {
	c := &connPools{
		idempotent:    newTransport(clock, maxIdle),
		nonIdempotent: newTransport(clock, maxIdleNonIdempotent),
		singleUse:     newTransport(clock, maxIdle),
	}
	c.singleUse.DisableKeepAlives = true
	return c
}

func newTransport(clock sys.Clock, idle time.Duration) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		// Without keep-alive probes, a connection that becomes silent after the
		// request was acknowledged would hold its slot for up to a minute.
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: tcpalive.Control(userTimeout),
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn, openedAt: clock.Now(), now: clock.Now}, nil
		},
		IdleConnTimeout:        idle,
		MaxIdleConns:           maxIdleConnsPerTarget,
		MaxIdleConnsPerHost:    maxIdleConnsPerTarget,
		MaxResponseHeaderBytes: maxResponseHeader,
		DisableCompression:     true,
	}
}

// transportFor returns the pool for the request.
func (c *connPools) transportFor(r *http.Request, idempotent bool) *http.Transport {
	if !replayable(r) {
		return c.singleUse
	}
	if idempotent {
		return c.idempotent
	}
	return c.nonIdempotent
}

func (c *connPools) closeIdle() {
	c.idempotent.CloseIdleConnections()
	c.nonIdempotent.CloseIdleConnections()
}

// clientTrace returns hooks that attach the attempt to the connection that the
// transport chose, before the first write. They make a pooled connection that must
// not be reused reject writes. The transport then takes another connection,
// because nothing was written.
func (e *exchange) clientTrace(method string) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*trackedConn)
			if !ok {
				panic("upstreamclient: the transport uses a connection it did not dial")
			}
			conn.current.Store(e.attempt)
			e.reused.Store(info.Reused)
			if info.Reused && e.mustNotReuse(conn, info) {
				conn.rejectsWrites.Store(true)
				return
			}
			conn.responses.Begin(method)
			if !e.windowDeadline.IsZero() {
				if e.restoreTimeout != nil {
					e.restoreTimeout() // of a connection that the transport gave up
				}
				e.restoreTimeout = tcpalive.AllowClosedWindow(conn.Conn, time.Until(e.windowDeadline), userTimeout)
			}
		},
		GotFirstResponseByte: func() { e.responseStarted.Store(true) },
	}
}

// isLong reports whether the body of the request may fill the receive window of the
// target, which then decides when it reads on.
func isLong(out *http.Request) bool {
	return out.Body != http.NoBody && (out.ContentLength < 0 || out.ContentLength > maxInlineBody)
}

// mustNotReuse reports whether the exchange must not use the pooled connection.
func (e *exchange) mustNotReuse(conn *trackedConn, info httptrace.GotConnInfo) bool {
	limit := maxIdle
	if !e.opt.Idempotent {
		limit = maxIdleNonIdempotent
	}
	tooIdle := info.WasIdle && info.IdleTime > limit
	tooOld := e.client.clock.Now().Sub(conn.openedAt) > maxConnAge
	return e.requireNewConn || tooIdle || tooOld
}
