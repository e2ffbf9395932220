package entry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// crossedTarget responds to each of the first two requests with the id and path
// of the other one, and to all later requests correctly.
type crossedTarget struct {
	mu            sync.Mutex
	count         int
	first, second chan [2]string // id and path of the first and of the second request
}

func (c *crossedTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	own := [2]string{r.Header.Get(headerRequestID), r.URL.Path}
	reply := own
	c.mu.Lock()
	c.count++
	turn := c.count
	c.mu.Unlock()
	if turn <= 2 {
		reply = c.exchange(r.Context(), turn == 1, own)
	}
	w.Header().Set(headerRequestID, reply[0])
	_, _ = io.WriteString(w, reply[1])
}

// exchange returns the id and path of the other of two requests, or own if the
// other does not arrive.
func (c *crossedTarget) exchange(ctx context.Context, isFirst bool, own [2]string) [2]string {
	give, take := c.first, c.second
	if !isFirst {
		give, take = take, give
	}
	give <- own
	select {
	case other := <-take:
		return other
	case <-ctx.Done():
		return own
	}
}

// Guards against a caller receiving the response to another caller's request when
// both chose the same request id.
func TestEqualRequestIDsDoNotMixResponses(t *testing.T) {
	c := newCluster(t, "north")
	target := &crossedTarget{first: make(chan [2]string, 1), second: make(chan [2]string, 1)}
	c.addTarget(t, "north", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/warm" {
			return
		}
		target.ServeHTTP(w, r)
	})
	for range 20 { // a new target starts with one slot
		c.nodes[0].call(t, "GET", "/s/consents/warm", "", nil)
	}
	var wg sync.WaitGroup
	for _, path := range []string{"/a", "/b"} {
		wg.Go(func() {
			g := c.nodes[0].call(t, "GET", "/s/consents"+path, "", map[string]string{headerRequestID: "same"})
			assert.Nil(t, g.err)
			assert.Equal(t, "same", g.header.Get(headerRequestID))
			assert.Equal(t, path, g.body)
		})
	}
	wg.Wait()
}

// Guards against the upstream not receiving the request id of the caller,
// and against an id that stays in use after its request.
func TestUpstreamReceivesCallerRequestID(t *testing.T) {
	c := newCluster(t, "north")
	c.addTarget(t, "north", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get(headerRequestID))
	})
	for range 2 {
		g := c.nodes[0].call(t, "GET", "/s/consents/x", "", map[string]string{headerRequestID: "abc"})
		require.Nil(t, g.err)
		assert.Equal(t, "abc", g.body)
		assert.Equal(t, "abc", g.header.Get(headerRequestID))
		// The id is released after the caller has received the response.
		require.Eventually(t, c.nodes[0].ids.empty, 10*time.Second, time.Millisecond)
	}
}

func (r *requestIDs) empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.inUse) == 0
}

// Guards against a resend, sent while the first attempt still runs at the owner,
// getting a response with an id that its caller does not know.
func TestResendKeepsRequestID(t *testing.T) {
	ids := newRequestIDs()
	assert.Equal(t, "abc", ids.acquire("abc", "lookup"))
	assert.Equal(t, "abc", ids.acquire("abc", "lookup"))
	other := ids.acquire("abc", "payment")
	assert.NotEqual(t, "abc", other)
	ids.release(other)
	ids.release("abc")
	assert.NotEqual(t, "abc", ids.acquire("abc", "payment"))
	ids.release("abc")
	assert.Equal(t, "abc", ids.acquire("abc", "payment"))
}
