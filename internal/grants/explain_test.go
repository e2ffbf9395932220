package grants

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/pool"
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
		"service=s&route=writes": `route "writes"; its routes are reads`, "service=x&route=reads": `service "x"`, "service=s&route=reads&bytes=many": "bytes: want",
	} {
		status, body := explainAt(t, r, asked, query)
		assert.True(t, status == http.StatusNotFound || status == http.StatusBadRequest, "%d", status)
		assert.Contains(t, body, want)
		assert.Equal(t, 1, strings.Count(body, "\n"))
	}
}

// Guards against an entry that knows nothing of the costs of requests when it becomes the
// owner, although it has sent such requests for another one.
func TestCostsAreKnownToTheNextOwner(t *testing.T) {
	r := newTestRegion(t, 2, 2)
	sender := (r.owner() + 1) % 2
	for n := range 40 {
		l, err := r.brokers[sender].Acquire(context.Background(), "s", request(fmt.Sprint(n)), time.Second)
		require.NoError(t, err)
		require.NotEqual(t, fmt.Sprint("e", sender), l.Owner)
		l.Release(pool.Outcome{Kind: pool.OK, Took: 400 * time.Millisecond, Bytes: 90_000})
	}
	costs := r.brokers[sender].Pools()["s"].Routes
	require.Len(t, costs, 1)
	assert.Equal(t, 40, costs[0].Observations)
	assert.InEpsilon(t, 400, costs[0].RunTimeMS, 0.2)
	assert.InEpsilon(t, 90_000, costs[0].ResponseBytes, 0.2)
}
