package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a response that drops the announcement that its connection ends, and
// against passing on what an upstream says about its own connection.
func TestResponseAnnouncesEndOfConnection(t *testing.T) {
	w := httptest.NewRecorder()
	w.Header().Set("Connection", "close")
	upstream := http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Kept": {"1"}}
	_, err := writeResponse(w, &request{method: http.MethodGet}, &Response{Status: http.StatusOK, Header: upstream, Body: http.NoBody})
	require.NoError(t, err)
	assert.Equal(t, []string{"close"}, w.Header()["Connection"])
	assert.Empty(t, w.Header().Get("X-Hop"))
	assert.Equal(t, "1", w.Header().Get("X-Kept"))
}
