package consensus

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a follower that answers a command which its own state machine has
// not applied yet: its caller would read an older state than it wrote.
func TestForwardedCommandIsAppliedBeforeItReturns(t *testing.T) {
	c := newCluster(t, 3, true, nil)
	c.waitUntilSettled()
	follower := c.nodes[(c.leader()+1)%3]
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	follower.machine.mu.Lock() // holds back its Apply
	done := make(chan error, 1)
	go func() {
		_, err := follower.group.Propose(ctx, []byte("x"))
		done <- err
	}()
	early := false
	select {
	case <-done:
		early = true
	case <-time.After(follower.group.config.ElectionTimeout / 2): // it waits for ElectionTimeout at most
	}
	follower.machine.mu.Unlock()
	require.False(t, early, "the command returned before the member applied it")
	require.NoError(t, <-done)
	assert.Contains(t, follower.machine.all(), "x")
}
