package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

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

// Guards against a shutdown that aborts a request in flight. The handler returns
// only after the server has closed its listener.
func TestShutdownWaitsForRequestsInFlight(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	type result struct {
		body string
		err  error
	}
	results := make(chan result, 1)
	go func() {
		body, err := getBody("http://" + s.Address() + "/work")
		results <- result{body, err}
	}()
	<-entered
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", s.Address())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, 10*time.Second, time.Millisecond)
	assert.Empty(t, done, "Shutdown returned with a request in flight")
	close(release)
	assert.Equal(t, result{body: "whole"}, <-results)
	assert.NoError(t, <-done)
}

func getBody(url string) (string, error) {
	response, err := http.Get(url)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against a path that is not in canonical form being redirected instead
// of reaching the upstream unchanged.
func TestPathIsUnchanged(t *testing.T) {
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.EscapedPath()) })
	for _, path := range []string{"/s/a//b", "/s/a/./b", "/s/a/b%2Fc"} {
		status, body := get(t, "http://"+s.Address()+path)
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, path, body)
	}
}
