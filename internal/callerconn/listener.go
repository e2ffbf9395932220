// Package callerconn makes an HTTP server notice that a caller has closed its
// connection also when the caller had sent further requests before.
//
// net/http watches the connection of a running request with a read of one byte.
// Once a byte of a further request arrives, that read ends and a close is no
// longer noticed. A connection of this package then reads ahead, up to a limit,
// until the server reads again.
package callerconn

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Listener accepts connections that notice the close by a pipelining caller.
type Listener struct {
	net.Listener
	pipelined *metrics.Counter
	conns     *openConns

	guard    *Guard // nil: no limits
	options  Options
	limit    int            // of open connections
	gauge    *metrics.Gauge // open connections
	logs     logLimits
	open     int       // guarded by guard.mu
	lastScan time.Time // guarded by guard.mu
}

// headTime returns how long a caller may take to send a head, also the first one of
// a connection: clients open connections for requests that are sent on others.
func (l *Listener) headTime() time.Duration { return timeOf(l.options.HeadTime, defaultHeadTime) }

// idleTime returns how long an idle connection is kept for its caller.
func (l *Listener) idleTime() time.Duration { return timeOf(l.options.IdleTime, defaultIdleTime) }

// requestBytes returns the memory of a request without its head and its body.
func (l *Listener) requestBytes() int64 {
	if l.options.RequestBytes > 0 {
		return l.options.RequestBytes
	}
	return defaultRequestBytes
}

func timeOf(f func() time.Duration, otherwise time.Duration) time.Duration {
	if f != nil {
		if d := f(); d > 0 {
			return d
		}
	}
	return otherwise
}

// New returns a listener on top of inner. ConnContext and connState must be set in the
// server that accepts from it.
func New(inner net.Listener) *Listener {
	return &Listener{Listener: inner, conns: newOpenConns(), pipelined: metrics.GetOrCreateCounter("sequoialane_callers_pipelined_total")}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, pipelined: l.pipelined, guard: l.guard, listener: l}
		if l.guard == nil {
			l.conns.add(c)
			return c, nil
		}
		c.progress.Store(l.guard.clock())
		c.readEnd.Store(l.guard.clock())
		limitSocketBuffers(raw, l.guard.settings.SocketBufferKB<<10)
		if l.guard.admit(c) {
			l.conns.add(c)
			return c, nil
		}
		_ = raw.Close()
	}
}

// limitSocketBuffers keeps the kernel from enlarging the buffers of a connection to
// several MiB, which a caller that stops reading or is not read could fill.
func limitSocketBuffers(c net.Conn, size int) {
	tcp, ok := c.(interface {
		SetReadBuffer(int) error
		SetWriteBuffer(int) error
	})
	if !ok || size <= 0 {
		return
	}
	_ = tcp.SetReadBuffer(size) // fail if the connection is closed
	_ = tcp.SetWriteBuffer(size)
}

// ConnContext is the function of that name of an http.Server: it ends the context
// of the requests of a connection once the caller has closed it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	own, ok := c.(*conn)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancel(ctx)
	own.setOnClose(cancel)
	return context.WithValue(ctx, contextKey{}, own)
}
