package grants

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/targetadvice"
	"github.com/sequoialane/sequoialane/internal/targetconn"
)

// Guards against a grant, by the owner or without one, for a target that wants no
// request of this entry, and against a request that waits although no target wants
// it.
func TestPostponedTargetsGetNoGrant(t *testing.T) {
	r := newTestRegion(t, 2, 2)
	entry := r.brokers[1-r.owner()]
	advice := targetadvice.New(sys.RealClock{}, zap.NewNop())
	entry.options.Advice = advice
	const pause, longWait = 3 * time.Second, 20 * time.Second
	ask := func(maxWait time.Duration) (*Lease, error) {
		return entry.Acquire(context.Background(), "s", request("q"), maxWait)
	}
	advice.Record(targetconn.Target{ID: "t0", StartedAtMS: 1}, targetconn.Advice{RetryAfter: pause})
	for range 3 {
		l, err := ask(longWait)
		require.NoError(t, err)
		assert.Equal(t, "t1", l.Target)
	}
	_, err := ask(50 * time.Millisecond)
	require.ErrorIs(t, err, pool.ErrBusy, "t1 is full, and t0 is not a way out")
	advice.Record(targetconn.Target{ID: "t1", StartedAtMS: 1}, targetconn.Advice{RetryAfter: time.Minute})
	started := time.Now()
	_, err = ask(longWait)
	var postponed *PostponedError
	require.ErrorAs(t, err, &postponed)
	assert.LessOrEqual(t, postponed.RetryAfter, pause, "the first target to return decides")
	assert.Less(t, time.Since(started), longWait/2, "it does not wait")
	time.Sleep(postponed.RetryAfter)
	l, err := ask(longWait)
	require.NoError(t, err)
	assert.Equal(t, "t0", l.Target)
	advice.Record(targetconn.Target{ID: "t0", StartedAtMS: 1}, targetconn.Advice{Leaving: true})
	advice.Record(targetconn.Target{ID: "t1", StartedAtMS: 1}, targetconn.Advice{Leaving: true})
	_, err = ask(longWait)
	assert.ErrorIs(t, err, pool.ErrNoTarget)
}
