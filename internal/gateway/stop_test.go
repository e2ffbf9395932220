package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/targetconn"
)

// Guards against a response that invites a further request on a connection which the
// stopping entry is about to close.
func TestResponsesInFlightAtADrainCloseTheirConnections(t *testing.T) {
	cases := []struct {
		desc   string
		result targetconn.Result
		status int
	}{
		{"response of a target", good(), http.StatusOK},
		{"error", reset(), http.StatusBadGateway},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			f := &fakeFleet{}
			g := newGateway(f)
			f.outcome = func(int) targetconn.Result {
				g.Drain()
				return tc.result
			}
			server := httptest.NewServer(g)
			defer server.Close()
			r, err := http.NewRequest(http.MethodPost, server.URL+"/once/1", strings.NewReader("x"))
			require.NoError(t, err)
			r.Host = "h"
			r.Header.Set(names.RequestID, "id")
			response, err := server.Client().Do(r)
			require.NoError(t, err)
			defer response.Body.Close()
			assert.Equal(t, tc.status, response.StatusCode)
			assert.True(t, response.Close)
		})
	}
}
