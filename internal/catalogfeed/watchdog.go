package catalogfeed

import (
	"context"
	"io"
	"time"

	"github.com/sequoialane/sequoialane/internal/sys"
)

// idleWatchdog cancels a request if no bytes of the response arrive for a time.
type idleWatchdog struct {
	progress chan struct{}
}

// startIdleWatchdog starts a watchdog that calls cancel with ErrIdleTimeout when
// nothing was read for the timeout. It stops when ctx ends.
func startIdleWatchdog(ctx context.Context, cancel context.CancelCauseFunc, clock sys.Clock, timeout time.Duration) *idleWatchdog {
	w := &idleWatchdog{progress: make(chan struct{}, 1)}
	expired := clock.After(timeout)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-w.progress:
				expired = clock.After(timeout)
			case <-expired:
				cancel(ErrIdleTimeout)
				return
			}
		}
	}()
	return w
}

// reader returns a reader of r that reports progress to the watchdog.
func (w *idleWatchdog) reader(r io.Reader) io.Reader { return &progressReader{r: r, watchdog: w} }

type progressReader struct {
	r        io.Reader
	watchdog *idleWatchdog
}

func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		select {
		case r.watchdog.progress <- struct{}{}:
		default:
		}
	}
	return n, err
}
