package dispatch

import (
	"context"
	"io"
	"sync"
)

// detachedBody reads the rest of a response in the background when it is closed
// early.
type detachedBody struct {
	io.ReadCloser
	once  sync.Once
	onEnd func()
}

// Close returns without waiting for the end of the response.
func (b *detachedBody) Close() error {
	b.once.Do(func() {
		go func() {
			defer b.onEnd()
			_, _ = io.Copy(io.Discard, b.ReadCloser)
			_ = b.ReadCloser.Close()
		}()
	})
	return nil
}

// closeHookBody calls onClose once when it is closed.
type closeHookBody struct {
	io.ReadCloser
	onClose context.CancelFunc
	once    sync.Once
}

func (c *closeHookBody) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.onClose)
	return err
}
