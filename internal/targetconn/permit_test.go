package targetconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/sequoialane/sequoialane/internal/membudget"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// Guards against sending a request that lost its permit while the connection was
// opened, and against a result that leaves open whether it ran.
func TestRequestWithoutPermitIsNotSent(t *testing.T) {
	f := startTarget(t, func(_ int, c net.Conn, r *http.Request) { respond(c, r.Header.Get("X-Id"), "", "") })
	c := New(sys.RealClock{}, names, membudget.New(0), nil)
	denied := errors.New("denied")
	connected := 0
	result := c.Send(context.Background(), f.target(), Request{
		ID: "i", Method: "GET", URI: "/", Host: "h", Header: http.Header{}, TimeLeft: time.Second,
		Permit: func() error {
			assert.Eventually(t, func() bool { connected = f.connections(); return connected == 1 }, time.Second, time.Millisecond)
			return denied
		},
	})
	assert.Equal(t, Result{Outcome: pool.Unsent, Err: denied}, result)
	assert.Equal(t, 1, connected, "the permit is asked for once there is a connection")
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Zero(t, f.requests)
}
