package pool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// scheduledWake replaces the timer of a pool in virtual time.
type scheduledWake struct {
	at  time.Time // zero: none
	run func()
}

// useVirtualWakes makes advance run the wake-ups of the pool.
func (r *testPool) useVirtualWakes() *scheduledWake {
	w := &scheduledWake{}
	r.cfg.AfterFunc = func(d time.Duration, f func()) (stop func() bool) {
		w.at, w.run = r.clock.Now().Add(d), f
		return func() bool { w.at = time.Time{}; return true }
	}
	return w
}

// advance moves the clock in steps of a millisecond and runs wake-ups.
func (r *testPool) advance(w *scheduledWake, d time.Duration) {
	for range d / time.Millisecond {
		r.clock.Advance(time.Millisecond)
		if !w.at.IsZero() && !r.clock.Now().Before(w.at) {
			w.at = time.Time{}
			w.run()
		}
	}
}

// queue asks for a grant without waiting.
func (r *testPool) queue(q Request) (Grant, *waiter, error) {
	return r.grantOrQueue(q, r.clock.Now())
}

// Guards against a service that stays refused with its targets idle: requests that
// arrived while all targets were avoided wait, later ones queue behind them, and
// no outcome is left to come that would serve them.
func TestWaitersAreServedWhenBackoffEnds(t *testing.T) {
	r := newTestPool(3, 2)
	w := r.useVirtualWakes()
	for range 3 {
		g := r.mustAcquire(t, newRequest())
		r.Release(g.LeaseID, Outcome{Kind: ConnectFailed})
	}
	_, waiting, err := r.queue(newRequest())
	require.NoError(t, err)
	require.NotNil(t, waiting, "all targets are avoided")
	r.advance(w, connectBackoff+time.Millisecond)
	require.Len(t, waiting.granted, 1, "no outcome is left to come")
	r.Release((<-waiting.granted).LeaseID, Outcome{Kind: OK, Took: time.Millisecond})
	assert.True(t, w.at.IsZero(), "nobody waits")
}

// Guards against slots of a sender that is gone: the next waiter gets them when
// the leases end, without a further request.
func TestWaiterGetsSlotOfExpiredLease(t *testing.T) {
	r := newTestPool(1, 1)
	w := r.useVirtualWakes()
	for range 1 + queuePerTarget {
		r.mustAcquire(t, newRequest())
	}
	_, waiting, err := r.queue(newRequest())
	require.NoError(t, err)
	r.advance(w, newRequest().TimeLeft+leaseGrace+2*maxRecheckInterval)
	assert.Len(t, waiting.granted, 1)
}

// Guards against a waiter, a free target that it may get and no grant for longer
// than the recheck interval, after any order of outcomes.
func TestNoWaiterBesideAFreeTarget(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		r := newTestPool(1+random.IntN(5), 1+random.IntN(2))
		w := r.useVirtualWakes()
		var granted []Grant
		var waiting []*waiter
		ends := []OutcomeKind{OK, OK, Failed, Reset, Timeout, ConnectFailed, Shed, Unsent, Canceled}
		for step := range 150 {
			q := newRequest()
			q.AcceptAny, q.Priority = true, random.IntN(3)
			if g, wt, err := r.queue(q); err != nil || wt == nil {
				require.NoError(t, err)
				granted = append(granted, g)
			} else {
				waiting = append(waiting, wt)
			}
			for len(granted) > 0 && random.IntN(3) > 0 {
				g := granted[0]
				granted = granted[1:]
				r.Release(g.LeaseID, Outcome{Kind: ends[random.IntN(len(ends))], Took: 20 * time.Millisecond})
			}
			r.advance(w, time.Duration(random.IntN(600))*time.Millisecond)
			r.advance(w, maxRecheckInterval)
			waiting, granted = collectGrants(waiting, granted)
			now := r.clock.Now()
			if len(waiting) == 0 {
				continue
			}
			for _, target := range r.targets {
				require.False(t, target.hasCapacity(now), fmt.Sprintf("seed %d step %d: %d wait, %s is free", seed, step, len(waiting), target.record.ID))
			}
		}
	}
}

func collectGrants(waiting []*waiter, granted []Grant) ([]*waiter, []Grant) {
	var left []*waiter
	for _, w := range waiting {
		select {
		case g := <-w.granted:
			granted = append(granted, g)
		default:
			left = append(left, w)
		}
	}
	return left, granted
}

// Guards against a wake-up that is never scheduled with the real timer.
func TestWaiterIsWokenByTimer(t *testing.T) {
	r := newTestPool(1, 1)
	g := r.mustAcquire(t, newRequest())
	r.Release(g.LeaseID, Outcome{Kind: ConnectFailed})
	go func() {
		time.Sleep(5 * time.Millisecond)
		r.clock.Advance(connectBackoff)
	}()
	_, err := r.Acquire(context.Background(), newRequest(), 5*time.Second)
	require.NoError(t, err)
}
