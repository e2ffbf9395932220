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

// crossing answers the first two requests with the id and path of the other
// one, and all later requests correctly.
type crossing struct {
	mu          sync.Mutex
	count       int
	forth, back chan [2]string // id and path of the first and of the second request
}

func (c *crossing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	own := [2]string{r.Header.Get(headerRequestID), r.URL.Path}
	answer := own
	c.mu.Lock()
	c.count++
	turn := c.count
	c.mu.Unlock()
	if turn <= 2 {
		answer = c.exchange(r.Context(), turn == 1, own)
	}
	w.Header().Set(headerRequestID, answer[0])
	_, _ = io.WriteString(w, answer[1])
}

// exchange returns what the other of two requests gave, or the own one if the
// other does not arrive.
func (c *crossing) exchange(ctx context.Context, first bool, own [2]string) [2]string {
	give, take := c.forth, c.back
	if !first {
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

// Guards against the answer of another request being passed on when two
// callers chose the same request id.
func TestCrossedAnswersOfEqualRequestIDs(t *testing.T) {
	c := newCluster(t, "north")
	target := &crossing{forth: make(chan [2]string, 1), back: make(chan [2]string, 1)}
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

// Guards against a caller's id being lost from the logs of the upstream, and
// against an id that stays in use after its request.
func TestUpstreamSeesTheCallersRequestID(t *testing.T) {
	c := newCluster(t, "north")
	c.addTarget(t, "north", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get(headerRequestID))
	})
	for range 2 {
		g := c.nodes[0].call(t, "GET", "/s/consents/x", "", map[string]string{headerRequestID: "abc"})
		require.Nil(t, g.err)
		assert.Equal(t, "abc", g.body)
		assert.Equal(t, "abc", g.header.Get(headerRequestID))
		// The id is released after the caller has the answer.
		require.Eventually(t, c.nodes[0].ids.empty, 10*time.Second, time.Millisecond)
	}
}

func (r *requestIDs) empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.inUse) == 0
}

// Guards against a resend whose first attempt is still running at the owner
// being answered under an id that its caller does not know.
func TestResendKeepsTheRequestID(t *testing.T) {
	ids := newRequestIDs()
	assert.Equal(t, "abc", ids.take("abc", "lookup"))
	assert.Equal(t, "abc", ids.take("abc", "lookup"))
	other := ids.take("abc", "payment")
	assert.NotEqual(t, "abc", other)
	ids.release(other)
	ids.release("abc")
	assert.NotEqual(t, "abc", ids.take("abc", "payment"))
	ids.release("abc")
	assert.Equal(t, "abc", ids.take("abc", "payment"))
}
