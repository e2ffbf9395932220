package main

import (
	"bytes"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/sys"
)

// fileCheckInterval is the time between two looks at the settings file.
const fileCheckInterval = 5 * time.Second

// reloader reloads the settings on each SIGHUP, and when the settings file has
// changed without one. If the new settings are invalid, it logs the error and keeps
// the current ones.
type reloader struct {
	file    string
	signals <-chan os.Signal
	clock   sys.Clock
	log     *zap.Logger
	reload  func() error

	content []byte // of the file at the last look
}

// run reloads for the life of the process: a SIGHUP during the drain must not end
// it.
func (r *reloader) run() {
	r.hasChanged()
	ticker := r.clock.NewTicker(fileCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case _, ok := <-r.signals:
			if !ok {
				return
			}
			r.hasChanged()
			r.reloadOnce("signal")
		case <-ticker.C():
			if r.hasChanged() {
				r.reloadOnce("file changed")
			}
		}
	}
}

// hasChanged reports whether the file differs from the last look. A file that
// cannot be read counts as unchanged: it may be about to be replaced.
func (r *reloader) hasChanged() bool {
	content, err := os.ReadFile(r.file)
	if err != nil || bytes.Equal(content, r.content) {
		return false
	}
	r.content = content
	return true
}

func (r *reloader) reloadOnce(reason string) {
	if err := r.reload(); err != nil {
		r.log.Error("settings reload failed", zap.String("reason", reason), zap.Error(err))
		return
	}
	r.log.Info("settings reloaded", zap.String("reason", reason))
}
