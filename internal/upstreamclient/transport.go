package upstreamclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/sequoialane/sequoialane/internal/sys"
)

// Rules for connections to upstreams.
const (
	idleLimit             = 10 * time.Second
	idleLimitNonIdemp     = time.Second // a connection that was idle for longer may have become silent
	ageLimit              = 5 * time.Minute
	userTimeout           = 700 * time.Millisecond // limit for unacknowledged bytes
	dialTimeout           = time.Second
	keepAliveIdle         = 5 * time.Second // silence after which the kernel probes a connection
	keepAliveInterval     = time.Second
	keepAliveCount        = 3
	maxResponseHeader     = 32 << 10 // bytes
	maxIdleConnsPerTarget = 1024
)

// connections are the pools of one target. Non-idempotent requests have a pool
// of their own, whose connections are closed after a much shorter idle time. A
// body that cannot be replayed always gets a new connection, because the
// transport cannot move it to another one.
type connections struct {
	idempotent    *http.Transport
	nonIdempotent *http.Transport
	single        *http.Transport
	lastUsed      time.Time // under the lock of the client
}

func newConnections(clock sys.Clock) *connections {
	c := &connections{
		idempotent:    newTransport(clock, idleLimit),
		nonIdempotent: newTransport(clock, idleLimitNonIdemp),
		single:        newTransport(clock, idleLimit),
	}
	c.single.DisableKeepAlives = true
	return c
}

func newTransport(clock sys.Clock, idle time.Duration) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		// A connection that became silent after the request was acknowledged
		// would otherwise hold its slot for up to a minute.
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn, opened: clock.Now(), now: clock.Now}, nil
		},
		IdleConnTimeout:        idle,
		MaxIdleConns:           maxIdleConnsPerTarget,
		MaxIdleConnsPerHost:    maxIdleConnsPerTarget,
		MaxResponseHeaderBytes: maxResponseHeader,
		DisableCompression:     true,
	}
}

func (c *connections) pool(r *http.Request, idempotent bool) *http.Transport {
	if !replayable(r) {
		return c.single
	}
	if idempotent {
		return c.idempotent
	}
	return c.nonIdempotent
}

func (c *connections) closeIdle() {
	c.idempotent.CloseIdleConnections()
	c.nonIdempotent.CloseIdleConnections()
}

// hooks attach the attempt to the connection that the transport chose, before
// the first write, and refuse a connection that breaks a rule. The transport
// then takes another connection, since nothing was written.
func (s *sending) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*trackedConn)
			if !ok {
				panic("upstreamclient: the transport uses a connection it did not dial")
			}
			conn.current.Store(s.attempt)
			s.reused.Store(info.Reused)
			if info.Reused && s.unfit(conn, info) {
				conn.unfit.Store(true)
			}
		},
		GotFirstResponseByte: func() { s.answering.Store(true) },
	}
}

func (s *sending) unfit(conn *trackedConn, info httptrace.GotConnInfo) bool {
	limit := idleLimit
	if !s.opt.Idempotent {
		limit = idleLimitNonIdemp
	}
	tooIdle := info.WasIdle && info.IdleTime > limit
	tooOld := s.client.clock.Now().Sub(conn.opened) > ageLimit
	return s.fresh || tooIdle || tooOld
}
