package fleetcontrol

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// Guards against a body that arrives byte by byte without end and holds its
// handler and its connection for ever.
func TestTricklingBodyIsCut(t *testing.T) {
	t.Parallel()
	ended := make(chan error, 1)
	server := newServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		ended <- err
	}), zap.NewNop())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	c, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
	require.NoError(t, err)
	deadline := time.After(readTimeout + 2*time.Second)
	for {
		select {
		case err := <-ended:
			require.Error(t, err)
			return
		case <-deadline:
			t.Fatal("the handler still reads the body")
		case <-time.After(100 * time.Millisecond):
			_, _ = c.Write([]byte("x")) // fails once the server has closed
		}
	}
}
