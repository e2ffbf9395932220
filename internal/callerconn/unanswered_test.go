package callerconn

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a stop whose lost requests leave no trace, or leave one that does not
// say what had arrived of them.
func TestUnansweredRequestsAreReported(t *testing.T) {
	cases := []struct {
		desc  string
		prior string // sent and answered before
		sent  string
		want  arrival
	}{
		{"nothing", "", "", arrivedNothing},
		{"part of the first head", "", "GET / HTTP/1.1\r\n", arrivedPart},
		{"part of a later head", get("/"), "GET / HTTP/1.1\r\n", arrivedPart},
		{"a request whose handler runs", "", get("/hang"), arrivedHead},
		{"an answered request", get("/"), "", arrivedNothing},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			release := make(chan struct{})
			defer close(release)
			g := startGuarded(t, DefaultSettings(), 256, func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/hang" {
					<-release
				}
			})
			c := dial(t, g.address)
			if tc.prior != "" {
				assert.Equal(t, http.StatusOK, exchange(c, tc.prior))
			}
			_, err := io.WriteString(c, tc.sent)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return g.open() == 1 }, 5*time.Second, time.Millisecond)
			assert.Eventually(t, func() bool { return g.arrivedOnOnly() == tc.want }, 5*time.Second, time.Millisecond)
		})
	}
}

// Guards against reporting bytes behind a response that announced the end of its
// connection: net/http may still read one when it closes a body that was not read.
func TestBytesBehindTheLastResponseAreNoRequest(t *testing.T) {
	g := startGuarded(t, DefaultSettings(), 256, ok)
	inner := listenTCP(t)
	dial(t, inner.Addr().String())
	accepted, err := inner.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	c := &conn{Conn: accepted, guard: g.Guard, listener: g.Listen(inner, Options{Name: "linger"})}
	c.request.Store(requestAnswered)
	c.phase.Store(int32(phaseLinger))
	assert.True(t, c.received([]byte("P"), 1))
	what, _ := c.unanswered()
	assert.Equal(t, arrivedNothing, what)
}

// Guards against bytes in the buffer of the kernel that are not seen at the close.
func TestUnreadBytesAreCounted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	caller := dial(t, listener.Addr().String())
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	_, err = io.WriteString(caller, "GET")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return unreadBytes(accepted) == 3 }, 5*time.Second, time.Millisecond)
}

// arrivedOnOnly returns what has arrived of an unanswered request on the only
// connection.
func (g *guarded) arrivedOnOnly() arrival {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		what, _ := c.unanswered()
		return what
	}
	return arrivedNothing
}
