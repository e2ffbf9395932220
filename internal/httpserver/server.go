// Package httpserver provides the HTTP server that the processes share: limits
// on slow and oversized requests, health, readiness and metrics endpoints, and
// graceful shutdown.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/internal/callerconn"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

// Limits of a server.
const (
	MaxHeaderBytes    = 32 << 10 // handlers reject larger headers with header_too_large
	ReadHeaderTimeout = 5 * time.Second
	IdleTimeout       = 60 * time.Second
)

// maxReadHeaderBytes is the limit set in net/http. It is above MaxHeaderBytes
// because net/http rejects larger headers with a response outside the closed list
// of errors in package fault.
const maxReadHeaderBytes = 2 * MaxHeaderBytes

// Server is an HTTP server on one listener.
type Server struct {
	listener net.Listener
	server   *callerconn.Server
	ready    atomic.Bool
	draining atomic.Bool
	serveErr chan error
}

// Listen listens on a TCP address and returns a server that does not accept
// connections yet. Port 0 lets the kernel choose the port.
func Listen(address string, handler http.Handler) (*Server, error) {
	return listen(address, handler, callerconn.NewServer)
}

// ListenCallers is Listen for connections that the guard limits. A request takes
// requestBytes besides its head and its body; 0: the default of the guard.
func ListenCallers(address string, handler http.Handler, guard *callerconn.Guard, requestBytes int64) (*Server, error) {
	return listen(address, handler, func(server *http.Server, l net.Listener) *callerconn.Server {
		return guard.NewServer(server, l, callerconn.Options{
			Name: "callers", RequestBytes: requestBytes, HeadBytes: func() int64 { return maxReadHeaderBytes }, IdleTime: func() time.Duration { return IdleTimeout },
		})
	})
}

func listen(address string, handler http.Handler, newServer func(*http.Server, net.Listener) *callerconn.Server) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Server{listener: listener, serveErr: make(chan error, 1)}
	s.server = newServer(&http.Server{
		Handler:           s.withStatusEndpoints(handler),
		MaxHeaderBytes:    maxReadHeaderBytes,
		ReadHeaderTimeout: ReadHeaderTimeout,
		IdleTimeout:       IdleTimeout,
	}, listener)
	return s, nil
}

// Address returns the IP address and port of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Start accepts connections in the background.
func (s *Server) Start() {
	go func() {
		err := s.server.Serve()
		if !errors.Is(err, http.ErrServerClosed) {
			s.serveErr <- err
		}
	}()
}

// Errors returns a channel that receives the error of a server that stopped
// without Shutdown or Close.
func (s *Server) Errors() <-chan error { return s.serveErr }

// SetReady sets whether /readyz reports the process as ready.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Drain makes the process unready and asks callers on keep-alive connections
// to close them after their current request.
func (s *Server) Drain() {
	s.ready.Store(false)
	s.draining.Store(true)
}

// Shutdown drains, stops accepting connections and waits until all requests that have
// begun to arrive are answered, or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	return trace.Wrap(s.server.Drain(ctx))
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error { return trace.Wrap(s.server.Close()) }

// withStatusEndpoints adds /healthz, /readyz and /metrics. It does not use
// http.ServeMux, which redirects requests whose path is not in canonical form.
func (s *Server) withStatusEndpoints(next http.Handler) http.Handler {
	metrics := telemetry.MetricsHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodGet && r.URL.Path == "/healthz":
			w.WriteHeader(http.StatusOK)
		case r.Method == http.MethodGet && r.URL.Path == "/readyz":
			s.serveReady(w, r)
		case r.Method == http.MethodGet && r.URL.Path == "/metrics":
			metrics.ServeHTTP(w, r)
		default:
			if s.draining.Load() {
				w.Header().Set("Connection", "close")
			}
			next.ServeHTTP(w, r)
		}
	})
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
