package callerconn

import (
	"context"
	"net"
	"net/http"
)

// Server serves HTTP on a listener of this package. Its Drain loses no request that
// has arrived, unlike http.Server.Shutdown: that closes connections in state idle,
// which they keep until a whole head has been parsed, and drops a request that was
// read after it was called.
type Server struct {
	http     *http.Server
	listener *Listener
}

// NewServer returns a server on top of inner without limits on its connections.
func NewServer(server *http.Server, inner net.Listener) *Server {
	return newServer(server, New(inner))
}

// NewServer returns a server on top of inner whose connections the guard limits.
func (g *Guard) NewServer(server *http.Server, inner net.Listener, o Options) *Server {
	server.Handler = g.handler(server.Handler)
	return newServer(server, g.Listen(inner, o))
}

func newServer(server *http.Server, l *Listener) *Server {
	server.ConnContext = ConnContext
	server.ConnState = connState
	server.Handler = l.withConnectionClose(server.Handler)
	return &Server{http: server, listener: l}
}

// Serve accepts connections until Drain or Close, and then returns
// http.ErrServerClosed.
func (s *Server) Serve() error {
	if !s.listener.conns.startAccepting() {
		_ = s.listener.Close() // fails only if it is closed
		return http.ErrServerClosed
	}
	defer s.listener.conns.stopAccepting()
	return s.http.Serve(s.listener)
}

// Drain stops accepting connections, answers the requests that have begun to arrive,
// and closes each connection once no request is under way on it. It returns the error
// of ctx if that ends first; the remaining connections are left open.
func (s *Server) Drain(ctx context.Context) error { return s.listener.drain(ctx) }

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// Serve runs the server on a listener without limits.
func Serve(server *http.Server, inner net.Listener) error {
	return NewServer(server, inner).Serve()
}

// Serve runs the server on the listener, limited by the guard.
func (g *Guard) Serve(server *http.Server, inner net.Listener, o Options) error {
	return g.NewServer(server, inner, o).Serve()
}

// withConnectionClose makes each response that is begun while the listener drains the last one of
// its connection.
func (l *Listener) withConnectionClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.isDraining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// connState follows the state of a connection.
func connState(c net.Conn, state http.ConnState) {
	own, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		own.setPhase(phaseActive)
		own.resumeDeadline() // that of the head must not end the request
	case http.StateIdle:
		if own.guard != nil {
			own.endRequest()
			own.head.next()
			own.unreadBody.Store(false)
		}
		if own.takeHeadBegun() {
			own.setPhase(phaseHead)
		} else {
			own.setPhase(phaseIdle)
		}
	}
}

// takeHeadBegun reports whether the server has read the first byte of a further head
// while the last request ran.
func (c *conn) takeHeadBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	begun := c.headBegun
	c.headBegun = false
	return begun
}
