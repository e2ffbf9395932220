package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against idle connections that take up all connections of a listener, and
// against closing one of them without notice to its caller.
func TestIdleConnectionsLeaveRoomForOthers(t *testing.T) {
	const limit, kept = 16, 14
	s := DefaultSettings()
	s.Connections = limit
	g := startGuarded(t, s, 64, ok)
	var idle []net.Conn
	for range kept {
		c := dial(t, g.address)
		require.False(t, exchangeOnce(t, c, get("/")).Close)
		idle = append(idle, c)
	}
	for range 3 * limit {
		c := dial(t, g.address)
		require.True(t, exchangeOnce(t, c, get("/")).Close)
		_, err := c.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		require.NoError(t, c.Close())
		require.Eventually(t, func() bool { return g.open() == kept }, 10*time.Second, time.Millisecond)
	}
	for _, c := range idle {
		assert.False(t, exchangeOnce(t, c, get("/")).Close, "there is room again")
	}
}

// Guards against running a request behind a response that announced the end of the
// connection, and against losing that response because the connection is reset.
func TestNoRequestRunsBehindTheLastResponse(t *testing.T) {
	s := DefaultSettings()
	s.Connections = 8
	var runs atomic.Int64
	g := startGuarded(t, s, 64, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	for range 7 {
		require.False(t, exchangeOnce(t, dial(t, g.address), get("/")).Close)
	}
	c := dial(t, g.address)
	assert.True(t, exchangeOnce(t, c, get("/")+get("/")).Close)
	_, err := c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, int64(8), runs.Load())
}

// exchangeOnce sends text and returns the head of the response, whose body is empty.
func exchangeOnce(t *testing.T, c net.Conn, text string) *http.Response {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	return response
}
