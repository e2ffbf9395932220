package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/httphead/headtest"
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

// Guards against a probe that counts a malformed response as a success.
func TestProbeMalformedHeads(t *testing.T) {
	for _, tc := range headtest.Malformed {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, tc.Response)
			_ = conn.Close()
		}()
		outcome := probeTarget(t.Context(), listener.Addr().String(), "/health", 5*time.Second)
		assert.Equal(t, owner.Truncated, outcome.Kind, tc.Desc)
		_ = listener.Close()
	}
}
