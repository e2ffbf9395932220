package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type result struct {
	status   int
	id       string
	complete bool
	shed     bool
	silent   bool
}

func sendRequest(t *testing.T, url, id string) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body"))
	require.NoError(t, err)
	r.Header.Set(headerRequestID, id)
	r.Header.Set(headerKey, "key-"+id)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return result{silent: true}
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return result{
		status: response.StatusCode, id: response.Header.Get(headerRequestID),
		complete: err == nil, shed: response.Header.Get("X-Not-Run") == "1",
	}
}

// Guards against a failure mode that does not fail as documented, which would
// invalidate every test that uses it.
func TestModes(t *testing.T) {
	cases := []struct {
		mode   modeName
		second result // of the second request in this mode
		runs   int    // runs of the second request
	}{
		{modeNormal, result{status: 200, id: "2", complete: true}, 1},
		{modeErrors, result{status: 500, id: "2", complete: true}, 1},
		{modeMisleading, result{status: 500, id: "2", complete: true}, 1},
		{modeTruncated, result{status: 200, id: "2"}, 1},
		{modeShed, result{status: 503, id: "2", complete: true, shed: true}, 0},
		{modePostponing, result{status: 503, id: "2", complete: true, shed: true}, 0},
		{modeLeaving, result{status: 200, id: "2", complete: true}, 1},
		{modeCrossed, result{status: 200, id: "1", complete: true}, 1},
		{modeSilent, result{silent: true}, 0},
		{modeFrozen, result{silent: true}, 0},
		{modeFlapping, result{silent: true}, 0},
		{modeSlow, result{silent: true}, 1},
		{modeCold, result{silent: true}, 1},
	}
	for _, tc := range cases {
		t.Run(string(tc.mode), func(t *testing.T) {
			target := newTarget(4, 50*time.Millisecond, 1)
			server := httptest.NewServer(target)
			defer server.Close()
			defer target.resetMode()
			m := defaultMode()
			m.Mode = tc.mode
			m.Period *= 60
			target.setMode(m)
			sendRequest(t, server.URL, "1")
			assert.Equal(t, tc.second, sendRequest(t, server.URL, "2"))
			target.mu.Lock()
			defer target.mu.Unlock()
			assert.Equal(t, tc.runs, target.stats.Runs["key-2"])
		})
	}
}

// Guards against a run that is missing from the runs file when the process is
// killed during the work.
func TestRunIsLoggedBeforeItsWork(t *testing.T) {
	var log strings.Builder
	target := newTarget(1, time.Hour, 1)
	target.runsLog = &log
	server := httptest.NewServer(target)
	defer server.Close()
	assert.Equal(t, result{silent: true}, sendRequest(t, server.URL, "1"))
	target.mu.Lock()
	defer target.mu.Unlock()
	assert.Equal(t, "key-1\n", log.String())
}
