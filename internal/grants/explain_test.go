package grants

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/routing"
)

func explainAt(t *testing.T, r *testRegion, entry int, query string) (int, string) {
	t.Helper()
	response, err := http.Get("http://" + r.servers[entry].Listener.Addr().String() + ExplainPath + "?" + query)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

// Guards against an explanation by an entry that does not decide, against one that takes
// a slot, and against an unhelpful response to a wrong name.
func TestExplainAsksTheOwner(t *testing.T) {
	r := newTestRegion(t, 3, 2)
	r.view.Routes = routing.NewTable(&routing.Document{Hosts: []routing.Host{{Name: "h", Routes: []routing.Route{{
		Name: "reads", Kind: routing.Idempotent, PathPrefix: "/reads/", Objective: time.Second, Timeout: 2 * time.Second, MaxAttempts: 2,
		Destinations: []routing.Destination{{Service: "s", Weight: 1}},
	}}}}})
	asked := (r.owner() + 1) % 3
	for range 20 {
		status, body := explainAt(t, r, asked, "service=s&route=reads&tenant=a&bytes=100&path=/reads/orders/1")
		require.Equal(t, http.StatusOK, status, body)
		var e Explanation
		require.NoError(t, json.Unmarshal([]byte(body), &e))
		assert.Equal(t, r.view.Rank("s", "r")[0].Name, e.Owner)
		assert.Len(t, e.Targets, 2)
		assert.Equal(t, e.Targets[0].ID, e.Target)
		assert.Zero(t, e.Targets[0].InFlight)
	}
	assert.Empty(t, r.brokers[asked].pools)
	for query, want := range map[string]string{
		"service=s&route=writes": `service "s", route "writes"`, "service=x&route=reads": `service "x"`, "service=s&route=reads&bytes=many": "bytes: want",
	} {
		status, body := explainAt(t, r, asked, query)
		assert.True(t, status == http.StatusNotFound || status == http.StatusBadRequest, "%d", status)
		assert.Contains(t, body, want)
		assert.Equal(t, 1, strings.Count(body, "\n"))
	}
}
