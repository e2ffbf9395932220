package httpserver

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func startServer(t *testing.T, handler http.HandlerFunc) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", handler)
	require.NoError(t, err)
	s.Start()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	response, err := http.Get(url)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

func TestReadiness(t *testing.T) {
	s := startServer(t, func(http.ResponseWriter, *http.Request) {})
	status, _ := get(t, "http://"+s.Address()+"/readyz")
	assert.Equal(t, http.StatusServiceUnavailable, status)
	s.SetReady(true)
	status, _ = get(t, "http://"+s.Address()+"/readyz")
	assert.Equal(t, http.StatusOK, status)
	status, _ = get(t, "http://"+s.Address()+"/healthz")
	assert.Equal(t, http.StatusOK, status)
}

// Guards against a shutdown that cuts a request in flight.
func TestShutdownWaitsForRequestsInFlight(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	answer := make(chan string, 1)
	go func() {
		_, body := get(t, "http://"+s.Address()+"/work")
		answer <- body
	}()
	<-entered
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	close(release)
	assert.Equal(t, "whole", <-answer)
	assert.NoError(t, <-done)
}

// Guards against a path that is not in its shortest form being redirected
// instead of reaching the upstream as it was sent.
func TestPathIsKept(t *testing.T) {
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.EscapedPath()) })
	for _, path := range []string{"/s/a//b", "/s/a/./b", "/s/a/b%2Fc"} {
		status, body := get(t, "http://"+s.Address()+path)
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, path, body)
	}
}
