package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/sys"
)

// replaceFile replaces a file at once: a reader sees the old or the new content.
func replaceFile(t *testing.T, file, content string) {
	t.Helper()
	next := file + ".next"
	require.NoError(t, os.WriteFile(next, []byte(content), 0o600))
	require.NoError(t, os.Rename(next, file))
}

// Guards against settings that change without a signal and are never used, and
// against a reload of settings that have not changed.
func TestReloader(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(file, []byte("a"), 0o600))
	signals := make(chan os.Signal)
	clock := sys.NewManualClock(time.Now())
	reloads := make(chan string, 8)
	r := reloader{file: file, signals: signals, clock: clock, log: zap.NewNop(), reload: func() error {
		content, err := os.ReadFile(file)
		reloads <- string(content)
		return err
	}}
	done := make(chan struct{})
	go func() { defer close(done); r.run() }()
	signals <- syscall.SIGHUP
	assert.Equal(t, "a", <-reloads)
	clock.Advance(fileCheckInterval)
	replaceFile(t, file, "b")
	require.Eventually(t, func() bool { clock.Advance(fileCheckInterval); return len(reloads) > 0 }, 10*time.Second, time.Millisecond)
	assert.Equal(t, "b", <-reloads)
	for range 5 {
		clock.Advance(fileCheckInterval)
	}
	close(signals)
	<-done
	assert.Empty(t, reloads)
}
