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

type seen struct {
	status int
	id     string
	whole  bool
	shed   bool
	silent bool
}

func ask(t *testing.T, url, id string) seen {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body"))
	require.NoError(t, err)
	r.Header.Set(headerRequestID, id)
	r.Header.Set(headerKey, "key-"+id)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return seen{silent: true}
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return seen{
		status: response.StatusCode, id: response.Header.Get(headerRequestID),
		whole: err == nil, shed: response.Header.Get("X-Not-Run") == "1",
	}
}

// Guards against a failure mode that does not fail as it is named, which would
// make every test with it worthless.
func TestModes(t *testing.T) {
	cases := []struct {
		mode   modeName
		second seen // of the second request under the mode
		runs   int  // effects of the second request
	}{
		{modeNormal, seen{status: 200, id: "2", whole: true}, 1},
		{modeErrors, seen{status: 500, id: "2", whole: true}, 1},
		{modeMisleading, seen{status: 500, id: "2", whole: true}, 1},
		{modeTruncated, seen{status: 200, id: "2"}, 1},
		{modeShed, seen{status: 503, id: "2", whole: true, shed: true}, 0},
		{modeCrossed, seen{status: 200, id: "1", whole: true}, 1},
		{modeSilent, seen{silent: true}, 0},
		{modeFrozen, seen{silent: true}, 0},
		{modeFlapping, seen{silent: true}, 0},
		{modeSlow, seen{silent: true}, 1},
		{modeCold, seen{silent: true}, 1},
	}
	for _, tc := range cases {
		t.Run(string(tc.mode), func(t *testing.T) {
			target := newTarget(4, 50*time.Millisecond, 1)
			server := httptest.NewServer(target)
			defer server.Close()
			defer target.release()
			m := defaultMode()
			m.Mode = tc.mode
			m.Period *= 60
			target.setMode(m)
			ask(t, server.URL, "1")
			assert.Equal(t, tc.second, ask(t, server.URL, "2"))
			target.mu.Lock()
			defer target.mu.Unlock()
			assert.Equal(t, tc.runs, target.stats.Runs["key-2"])
		})
	}
}

// Guards against a run that is missing from the log when the process is killed
// during its work.
func TestRunIsLoggedBeforeItsWork(t *testing.T) {
	var log strings.Builder
	target := newTarget(1, time.Hour, 1)
	target.runsLog = &log
	server := httptest.NewServer(target)
	defer server.Close()
	assert.Equal(t, seen{silent: true}, ask(t, server.URL, "1"))
	target.mu.Lock()
	defer target.mu.Unlock()
	assert.Equal(t, "key-1\n", log.String())
}
