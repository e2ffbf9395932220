package ctl

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/grants"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/pool"
)

// Guards against an explanation that is lost on the way, asks for the wrong request, or
// hides which name is wrong.
func TestExplain(t *testing.T) {
	want := grants.Explanation{Group: "s", Owner: "e1", Explanation: pool.Explanation{
		Target: "t1", Reason: "lowest cost", RunTimeMS: 12, RouteFactor: 1.5, ResponseBytes: 900,
		Targets: []pool.ExplainedTarget{{ID: "t0", Full: true, InFlight: 3, Slots: 2, Cost: 0.1}, {ID: "t1", Slots: 2, Cost: 0.2}},
	}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		if q.Get("service")+q.Get("route")+q.Get("tenant")+q.Get("path")+q.Get("bytes") != "s"+"r"+"a&b"+"/x/"+"5" {
			http.Error(w, "no such route", http.StatusNotFound)
			return
		}
		peerhttp.WriteJSON(w, want)
	}))
	defer server.Close()
	c := NewClient([]string{"127.0.0.1:1", strings.TrimPrefix(server.URL, "http://")}, "")
	got, err := c.Explain(context.Background(), ExplainQuery{Service: "s", Route: "r", Tenant: "a&b", Path: "/x/", Bytes: 5})
	require.NoError(t, err)
	assert.Equal(t, want, got)
	assert.Contains(t, ExplanationText(got), "target: t1 (lowest cost)")
	_, rows := ExplanationTable(got)
	require.Len(t, rows, 2)
	assert.Contains(t, rows[0], "3/2 full")
	_, err = c.Explain(context.Background(), ExplainQuery{Service: "s"})
	assert.ErrorContains(t, err, "no such route")
	assert.Equal(t, ExitNotFound, ExitCode(err))
	c.Addresses = c.Addresses[:1]
	_, err = c.Explain(context.Background(), ExplainQuery{Service: "s"})
	assert.Equal(t, ExitUnavailable, ExitCode(err))
}
