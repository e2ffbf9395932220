package callerconn

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/settings"
)

// Guards against bodies from other processes that count in no limit, and against
// callers whose bodies stop and so keep out those from other processes.
func TestPeerBodiesAreLimited(t *testing.T) {
	const memoryMB, bodySize = 32, 5 << 20 // one body fits into a quarter of the memory
	s := DefaultSettings()
	s.StallTime = settings.Duration(10 * time.Millisecond)
	g := startGuarded(t, s, memoryMB, bodyHandler)
	status := make(chan int, 1)
	go func() { status <- exchange(dial(t, g.address), post(bodySize)+strings.Repeat("x", bodySize-1)) }()
	require.Eventually(t, func() bool { return g.Bodies.Used() == bodySize }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return g.TakePeerBody(bodySize) }, 10*time.Second, time.Millisecond, "in place of the body that stopped")
	assert.Equal(t, http.StatusRequestTimeout, <-status)
	assert.False(t, g.TakePeerBody(bodySize), "nothing can be ended for it")
	assert.False(t, g.TakePeerBody(memoryMB<<20), "more than the memory")
	g.GivePeerBody(bodySize)
	assert.Zero(t, g.Bodies.Used())
	assert.True(t, (*Guard)(nil).TakePeerBody(1))
}
