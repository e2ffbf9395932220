package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func newCall(sender string, call uint64) Request {
	r := newRequest()
	r.Sender, r.Call = Sender{Entry: sender, Incarnation: 1}, call
	return r
}

func (r *testPool) withdraw(q Request) { r.Withdraw(q.Sender, q.Call) }

// Guards against slots that stay taken for calls that were withdrawn: before they
// arrived, while they waited, or after the grant.
func TestWithdrawnCallHoldsNoSlot(t *testing.T) {
	r := newTestPool(1, 1)
	r.useVirtualWakes()
	for n := range uint64(1 + queuePerTarget) {
		r.mustAcquire(t, newCall("e1", n+1))
	}
	_, waiting, err := r.queue(newCall("e1", 10))
	require.NoError(t, err)
	require.NotNil(t, waiting)
	_, next, err := r.queue(newCall("e2", 10))
	require.NoError(t, err)
	r.withdraw(newCall("e1", 10))
	r.withdraw(newCall("e1", 1))
	assert.Empty(t, waiting.granted, "it was withdrawn while it waited")
	assert.Len(t, next.granted, 1, "the slot of the withdrawn grant goes to the next waiter")
	r.withdraw(newCall("e1", 11))
	r.Release((<-next.granted).LeaseID, Outcome{Kind: OK, Took: time.Millisecond})
	_, waiting, err = r.queue(newCall("e1", 11))
	assert.Nil(t, waiting)
	require.ErrorIs(t, err, ErrBusy, "it was withdrawn before it arrived")
	r.mustAcquire(t, newCall("e2", 11))
}

// Guards against withdrawn calls that are remembered for ever.
func TestWithdrawnCallsAreForgotten(t *testing.T) {
	r := newTestPool(1, 1)
	r.withdraw(newCall("e1", 1))
	r.clock.Advance(withdrawnMemory + time.Second)
	r.withdraw(newCall("e1", 2))
	assert.Len(t, r.withdrawn, 1)
}

// Guards against an outcome that ends a grant of another request: an earlier
// process of the owner made a grant with the same id.
func TestOutcomeOfEarlierProcessEndsNoGrant(t *testing.T) {
	earlier, r := newTestPool(1, 1), newTestPool(1, 1)
	old := earlier.mustAcquire(t, newRequest())
	r.mustAcquire(t, newRequest())
	r.Release(old.LeaseID, Outcome{Kind: Reset})
	assert.Equal(t, 1, r.targets[0].inFlight)
}
