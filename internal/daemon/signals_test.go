package daemon

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a SIGHUP that ends a program with all its connections: its default
// action is to kill the process.
func TestHangupDoesNotEndTheProgram(t *testing.T) {
	ctx, stop := untilSignal()
	defer stop()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	assert.NoError(t, ctx.Err())
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("SIGTERM does not end the program")
	}
}
