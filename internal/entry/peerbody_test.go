package entry

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/callerconn"
	"github.com/sequoialane/sequoialane/internal/fault"
)

// Guards against an owner that buffers bodies from other entries without limit, and
// against a rejection that says more than is known or runs the request.
func TestOwnerLimitsBodiesOfOtherEntries(t *testing.T) {
	c := newCluster(t, "north", "north")
	var runs atomic.Int64
	c.addTarget(t, "north", func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		echo(w, r)
	})
	ranked := c.ranked("north")
	owner, from := ranked[0], ranked[1]
	owner.guard = callerconn.NewGuard(callerconn.DefaultSettings(), 8<<20, callerconn.Shares{Bodies: 4, Responses: 16, Requests: 4}, zap.NewNop())
	body := strings.Repeat("x", 60_000)
	keyed := map[string]string{headerKey: newKey()}
	require.Equal(t, body, from.call(t, "PUT", "/s/consents/uploads", body, nil).body)
	require.Equal(t, body, from.call(t, "POST", "/s/consents/x", body, map[string]string{headerKey: newKey()}).body)
	require.Eventually(t, func() bool { return owner.guard.Bodies.Used() == 0 }, 10*time.Second, time.Millisecond, "memory of bodies is given back")

	held := owner.guard.Bodies.Limit()
	require.True(t, owner.guard.Bodies.Take(held))
	runs.Store(0)
	for _, tc := range []struct {
		method, path string
		header       map[string]string
		effect       fault.Effect
	}{
		{"PUT", "/s/consents/uploads", nil, fault.NotRun},
		{"POST", "/s/consents/x", keyed, fault.Unknown}, // an earlier copy may have run
	} {
		g := from.call(t, tc.method, tc.path, body, tc.header)
		require.NotNil(t, g.err)
		assert.Equal(t, fault.Overloaded, g.err.Kind)
		assert.Equal(t, tc.effect, g.err.Effect)
		assert.Equal(t, http.StatusServiceUnavailable, g.status)
	}
	assert.Zero(t, runs.Load())
	owner.guard.Bodies.Give(held)
	assert.Equal(t, body, from.call(t, "POST", "/s/consents/x", body, keyed).body, "the caller repeats it")
	assert.EqualValues(t, 1, runs.Load())
}
