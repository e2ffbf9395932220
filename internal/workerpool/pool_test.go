package workerpool

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/goleak"

	"github.com/sequoialane/sequoialane/internal/sys"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against unbounded queueing behind a blocked job.
func TestSubmitRejectsWhenFull(t *testing.T) {
	p := New(1, 1)
	started := make(chan struct{})
	block := func(ctx context.Context) { close(started); <-ctx.Done() }
	assert.True(t, p.Submit(block))
	<-started
	assert.True(t, p.Submit(func(context.Context) {}))
	assert.False(t, p.Submit(func(context.Context) {}))
	p.Stop()
	assert.False(t, p.Submit(func(context.Context) {}))
}

// Guards against overlapping runs of the same periodic job.
func TestEverySkipsWhileRunning(t *testing.T) {
	p := New(2, 2)
	defer p.Stop()
	clock := sys.NewManualClock(time.Unix(0, 0))
	runs := make(chan struct{}, 10)
	release := make(chan struct{})
	p.SubmitEvery(clock, time.Second, func(ctx context.Context) {
		runs <- struct{}{}
		select {
		case <-release:
		case <-ctx.Done():
		}
	})
	clock.Advance(time.Second)
	<-runs
	clock.Advance(time.Second)
	clock.Advance(time.Second)
	assert.Empty(t, runs)
	close(release)
	assert.Eventually(t, func() bool {
		clock.Advance(time.Second)
		return len(runs) > 0
	}, 10*time.Second, time.Millisecond)
}
