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
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// Listener accepts connections that notice the close by a pipelining caller.
type Listener struct {
	net.Listener
	pipelined *metrics.Counter
}

// New returns a listener on top of inner. ConnContext must be set in the server
// that accepts from it.
func New(inner net.Listener) *Listener {
	return &Listener{Listener: inner, pipelined: metrics.GetOrCreateCounter("sequoialane_callers_pipelined_total")}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, pipelined: l.pipelined}, nil
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
	return ctx
}

// Serve sets ConnContext in the server and runs it on the listener.
func Serve(server *http.Server, inner net.Listener) error {
	server.ConnContext = ConnContext
	return server.Serve(New(inner))
}
