// Package httpserver sets up the HTTP servers of the processes: limits for
// slow and oversized requests, health and readiness, and graceful shutdown.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/internal/telemetry"
)

// Limits of a server.
const (
	MaxHeaderBytes    = 32 << 10 // bytes; a handler refuses larger ones with header_too_large
	ReadHeaderTimeout = 5 * time.Second
	IdleTimeout       = 60 * time.Second
)

// hardHeaderBytes is where net/http itself refuses a request, with an answer
// outside the closed list of errors.
const hardHeaderBytes = 2 * MaxHeaderBytes

// Server is an HTTP server on one listener.
type Server struct {
	listener net.Listener
	http     *http.Server
	ready    atomic.Bool
	draining atomic.Bool
	failed   chan error
}

// Listen opens the address and returns a server that is not yet serving. Port
// 0 lets the kernel choose the port.
func Listen(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Server{listener: listener, failed: make(chan error, 1)}
	s.http = &http.Server{
		Handler:           s.withStatus(handler),
		MaxHeaderBytes:    hardHeaderBytes,
		ReadHeaderTimeout: ReadHeaderTimeout,
		IdleTimeout:       IdleTimeout,
	}
	return s, nil
}

// Address returns the IP address and port of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Start serves in the background.
func (s *Server) Start() {
	go func() {
		err := s.http.Serve(s.listener)
		if !errors.Is(err, http.ErrServerClosed) {
			s.failed <- err
		}
	}()
}

// Failed delivers the error of a server that stopped by itself.
func (s *Server) Failed() <-chan error { return s.failed }

// SetReady sets what the readiness end point says.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Drain makes the process unready and asks callers on keep-alive connections
// to close them after their current request.
func (s *Server) Drain() {
	s.ready.Store(false)
	s.draining.Store(true)
}

// Shutdown stops accepting connections and waits for requests in flight until
// ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	return trace.Wrap(s.http.Shutdown(ctx))
}

// Close cuts all connections at once.
func (s *Server) Close() error { return trace.Wrap(s.http.Close()) }

// withStatus adds the status end points. It uses no ServeMux, which would
// redirect requests whose path is not in its shortest form.
func (s *Server) withStatus(next http.Handler) http.Handler {
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
