package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/sequoialane/sequoialane/internal/owner"
)

// Guards against a probe without a path reaching a handler of the service.
func TestProbeWithoutPathReachesNoRoute(t *testing.T) {
	reached := false
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached = true }))
	defer server.Close()
	outcome := probeTarget(t.Context(), strings.TrimPrefix(server.URL, "http://"), "", 5*time.Second)
	assert.Equal(t, owner.OK, outcome.Kind)
	assert.False(t, reached)
}
