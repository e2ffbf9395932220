package dispatch

import (
	"context"
	"io"
	"sync"
)

// detachedBody reads the rest of an answer in the background when it is
// closed early.
type detachedBody struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close returns at once.
func (b *detachedBody) Close() error {
	b.once.Do(func() {
		go func() {
			defer b.end()
			_, _ = io.Copy(io.Discard, b.ReadCloser)
			_ = b.ReadCloser.Close()
		}()
	})
	return nil
}

// closeHook is a body that runs a hook once at Close.
type closeHook struct {
	io.ReadCloser
	hook context.CancelFunc
	once sync.Once
}

func (c *closeHook) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.hook)
	return err
}
