package catalogfeed

import (
	"context"
	"io"
	"time"

	"github.com/sequoialane/sequoialane/internal/sys"
)

// watch cancels a request whose answer makes no progress.
type watch struct {
	progress chan struct{}
}

// startWatch cancels with ErrSilent once nothing was read for the limit. It
// stops when ctx ends.
func startWatch(ctx context.Context, cancel context.CancelCauseFunc, clock sys.Clock, limit time.Duration) *watch {
	w := &watch{progress: make(chan struct{}, 1)}
	expired := clock.After(limit)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-w.progress:
				expired = clock.After(limit)
			case <-expired:
				cancel(ErrSilent)
				return
			}
		}
	}()
	return w
}

func (w *watch) reader(r io.Reader) io.Reader { return &watchedReader{r: r, watch: w} }

type watchedReader struct {
	r     io.Reader
	watch *watch
}

func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		select {
		case r.watch.progress <- struct{}{}:
		default:
		}
	}
	return n, err
}
