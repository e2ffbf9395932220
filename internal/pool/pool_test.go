package pool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/sys"
)

type rig struct {
	*Pool
	clock *sys.ManualClock
}

func newRig(targets, slots int) *rig {
	clock := sys.NewManualClock(time.Unix(1_700_000_000, 0))
	p := New(Config{Service: "s", Region: "r", Clock: clock, Settings: Settings{RetryRatio: 0.2, RetrySlack: 2, RetryWindow: 10 * time.Second, FloorShare: 0.7}})
	r := &rig{Pool: p, clock: clock}
	r.setTargets(targets, slots)
	return r
}

func (r *rig) setTargets(count, slots int) {
	var records []fleetstate.Target
	for n := range count {
		records = append(records, fleetstate.Target{ID: fmt.Sprint("t", n), Service: "s", Address: fmt.Sprint("10.0.0.", n, ":80"), DataCentre: "d", Slots: slots, State: fleetstate.Ready, Born: 1})
	}
	r.SetTargets(records, func(string) string { return "r" })
}

func once() Request {
	return Request{ID: "q", Class: "c", Objective: time.Second, TimeLeft: 2 * time.Second, DataCentre: "d"}
}

func (r *rig) mustAcquire(t *testing.T, q Request) Grant {
	t.Helper()
	g, err := r.Acquire(context.Background(), q, 0)
	require.NoError(t, err)
	return g
}

// Guards against a target that goes on getting requests after it failed one.
func TestOneResetMovesRequestsAway(t *testing.T) {
	r := newRig(4, 2)
	for range 40 {
		g := r.mustAcquire(t, once())
		r.clock.Advance(50 * time.Millisecond)
		r.Release(g.Lease, Outcome{Kind: OK, Took: 50 * time.Millisecond})
	}
	g := r.mustAcquire(t, once())
	r.Release(g.Lease, Outcome{Kind: Reset})
	for range 20 {
		next := r.mustAcquire(t, once())
		assert.NotEqual(t, g.Target, next.Target)
		r.clock.Advance(50 * time.Millisecond)
		r.Release(next.Lease, Outcome{Kind: OK, Took: 50 * time.Millisecond})
	}
}

// Guards against more requests at a target than its slots and one that waits,
// and against grants that are lost when their sender does not return.
func TestSlots(t *testing.T) {
	r := newRig(2, 2)
	for range 2 * (2 + queuePerTarget) {
		r.mustAcquire(t, once())
	}
	_, err := r.Acquire(context.Background(), once(), 0)
	assert.ErrorIs(t, err, ErrBusy)
	r.clock.Advance(4 * time.Second)
	r.mustAcquire(t, once())
}

// Guards against a failing target that takes all requests which the others have
// no slot for, since it fails them at once and so is always free.
func TestFailingTargetIsNoWayOut(t *testing.T) {
	r := newRig(3, 1)
	r.cfg.Settings.FloorShare = -1 // the floor would give t0 a request too
	r.Merge(Report{Region: "r2", Targets: []Evidence{{Target: "t0", Bad: 0.99}, {Target: "t1", Bad: 0.01}, {Target: "t2", Bad: 0.01}}})
	for range 2 * (1 + queuePerTarget) {
		assert.NotEqual(t, "t0", r.mustAcquire(t, once()).Target)
	}
	_, err := r.Acquire(context.Background(), once(), 0)
	require.ErrorIs(t, err, ErrBusy)
	settling := once()
	settling.Settle = true
	assert.Equal(t, "t0", r.mustAcquire(t, settling).Target, "the only free target, at the end of the wait")
}

// Guards against pools of several regions that all crowd on one target: what it
// tells of its load counts, for a while.
func TestLoadOfOtherPools(t *testing.T) {
	r := newRig(1, 2)
	g := r.mustAcquire(t, once())
	r.Release(g.Lease, Outcome{Kind: OK, Took: time.Millisecond, Load: &Load{Running: 2, Waiting: 5}})
	_, err := r.Acquire(context.Background(), once(), 0)
	require.ErrorIs(t, err, ErrBusy)
	r.clock.Advance(4 * loadMemory)
	r.mustAcquire(t, once())
}

// Guards against an answered request that counts as one of another pool, since
// the target tells its load while the request still runs.
func TestAnsweredRequestIsNoLoad(t *testing.T) {
	r := newRig(1, 2)
	g := r.mustAcquire(t, once())
	r.Release(g.Lease, Outcome{Kind: OK, Took: time.Millisecond, Load: &Load{Running: 1}})
	assert.Zero(t, r.targets[0].occupied(r.clock.Now()))
}

// Guards against a request of low priority that is granted before a waiting one
// of high priority.
func TestPriorityOfWaiters(t *testing.T) {
	r := newRig(1, 1)
	var leases []Grant
	for range 1 + queuePerTarget {
		leases = append(leases, r.mustAcquire(t, once()))
	}
	order := make(chan int, 2)
	for _, priority := range []int{2, 0} {
		q := once()
		q.Priority = priority
		before := r.queued()
		go func() {
			if _, err := r.Acquire(context.Background(), q, 5*time.Second); err == nil {
				order <- priority
			}
		}()
		require.Eventually(t, func() bool { return r.queued() == before+1 }, time.Second, time.Millisecond)
	}
	r.Release(leases[0].Lease, Outcome{Kind: OK, Took: time.Millisecond})
	assert.Equal(t, 0, <-order)
	r.Release(leases[1].Lease, Outcome{Kind: OK, Took: time.Millisecond})
	assert.Equal(t, 2, <-order)
}

func (r *rig) queued() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.waiters)
}

// Guards against repeats beyond the shared budget.
func TestRetryBudget(t *testing.T) {
	r := newRig(8, 100)
	for range 10 {
		r.mustAcquire(t, once())
	}
	repeat := once()
	repeat.Repeat = true
	for range 4 { // 0.2 of 10, and 2
		r.mustAcquire(t, repeat)
	}
	_, err := r.Acquire(context.Background(), repeat, 0)
	assert.ErrorIs(t, err, ErrBudget)
	r.clock.Advance(11 * time.Second)
	r.mustAcquire(t, repeat)
}

// Guards against requests that ask again while all targets are busy and so
// count several times, which would allow more repeats than the budget.
func TestRefusedRequestsDoNotCount(t *testing.T) {
	r := newRig(1, 1)
	for range 1 + queuePerTarget {
		r.mustAcquire(t, once())
	}
	for range 50 {
		_, err := r.Acquire(context.Background(), once(), 0)
		require.ErrorIs(t, err, ErrBusy)
	}
	assert.Len(t, r.budget.firsts, 1+queuePerTarget)
}

// Guards against a request that returns to a target it was sent to.
func TestTriedTargets(t *testing.T) {
	r := newRig(3, 2)
	q := once()
	for range 3 {
		g := r.mustAcquire(t, q)
		assert.NotContains(t, q.Tried, g.Target)
		q.Tried = append(q.Tried, g.Target)
	}
	_, err := r.Acquire(context.Background(), q, 0)
	assert.ErrorIs(t, err, ErrNoTarget)
}

// Guards against a service that rests on few of its sound targets: in each two
// seconds the floor's share of those that did not fail gets a request.
func TestFloor(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	r := newRig(10, 2)
	start := r.clock.Now()
	used := map[string]time.Time{}
	failed := map[string]time.Time{}
	bad := map[string]bool{"t1": true, "t4": true, "t7": true}
	for n := range 2000 {
		g := r.mustAcquire(t, once())
		used[g.Target] = r.clock.Now()
		r.clock.Advance(25 * time.Millisecond)
		kind := OK
		if bad[g.Target] && random.Float64() < 0.85 {
			kind = Reset
			failed[g.Target] = r.clock.Now()
		}
		r.Release(g.Lease, Outcome{Kind: kind, Took: 25 * time.Millisecond})
		if n%400 == 399 {
			bad = map[string]bool{fmt.Sprint("t", random.IntN(10)): true, fmt.Sprint("t", random.IntN(10)): true}
		}
		if r.clock.Now().Sub(start) < 3*time.Second {
			continue
		}
		sound, got := 0.0, 0.0
		for i := range 10 {
			id := fmt.Sprint("t", i)
			// A target is sound again 2 s after a failure; the rest is for the
			// next request to reach it.
			if r.clock.Now().Sub(failed[id]) <= 2200*time.Millisecond {
				continue
			}
			sound++
			if r.clock.Now().Sub(used[id]) <= 2*time.Second {
				got++
			}
		}
		require.GreaterOrEqual(t, got/sound, 0.7, "after %d requests", n)
	}
}

// Guards against estimates that leave 0 to 1 or that evidence moves the wrong
// way, over random outcomes and times.
func TestEstimates(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	now := time.Unix(1000, 0)
	var e estimate
	var w weights
	for range 5000 {
		now = now.Add(time.Duration(random.Int64N(int64(3 * time.Second))))
		kinds := []OutcomeKind{OK, Failed, Reset, NoAnswer, Broken, ConnectFailed, Shed}
		kind := kinds[random.IntN(len(kinds))]
		before := e.now(now, 0.2)
		e.observe(kind, now, 0.2, &w)
		for k, bad := range e.bad {
			require.True(t, bad >= 0 && bad <= 1, "%v", e.bad) // false for NaN too
			if kind == OK {
				require.LessOrEqual(t, bad, before[k])
			} else {
				require.GreaterOrEqual(t, bad, before[k])
			}
		}
		mean := w.mean(e.bad)
		require.True(t, mean >= 0 && mean <= 1, "%v", w)
	}
	assert.InDelta(t, 0.2, w.mean(e.now(now.Add(time.Hour), 0.2)), 1e-6)
}

// Guards against a spell time that is taken although the outcomes speak against
// it.
func TestSpellTimesAreLearned(t *testing.T) {
	for want, spell := range spells {
		random := rand.New(rand.NewPCG(9, uint64(want)))
		now := time.Unix(1000, 0)
		var w weights
		estimates := make([]estimate, 10)
		bad := make([]bool, 10)
		for range 20_000 {
			now = now.Add(40 * time.Millisecond)
			for i := range bad {
				if random.Float64() < 0.04/spell.Seconds() {
					bad[i] = random.Float64() < 0.3 // a new state, drawn anew
				}
			}
			i := random.IntN(len(bad))
			kind := OK
			if bad[i] && random.Float64() < failsInSpell {
				kind = Reset
			}
			estimates[i].observe(kind, now, 0.3, &w)
		}
		assert.Zero(t, w.log[want], "spells of %v: %v", spell, w.log)
	}
}

// Guards against evidence of another region that replaces newer evidence of
// this one, or that is passed back.
func TestMergeKeepsTheNewer(t *testing.T) {
	r := newRig(2, 2)
	g := r.mustAcquire(t, once())
	r.Release(g.Lease, Outcome{Kind: OK, Took: 100 * time.Millisecond})
	r.clock.Advance(100 * time.Millisecond)
	r.Merge(Report{Region: "r2", Targets: []Evidence{{Target: g.Target, Bad: 0.9, Age: time.Second}}})
	assert.Less(t, r.Report(time.Hour).Targets[0].Bad, 0.2)
	r.Merge(Report{Region: "r2", Targets: []Evidence{{Target: g.Target, Bad: 0.9, Age: 10 * time.Millisecond}}})
	assert.Empty(t, r.Report(time.Hour).Targets)
	for _, s := range r.Status() {
		if s.ID == g.Target {
			assert.Greater(t, s.Bad, 0.8)
		}
	}
}

// Guards against a target that keeps its estimate when it starts again.
func TestNewIncarnationStartsAnew(t *testing.T) {
	r := newRig(1, 2)
	g := r.mustAcquire(t, once())
	r.Release(g.Lease, Outcome{Kind: Misdirected})
	_, err := r.Acquire(context.Background(), once(), 0)
	require.ErrorIs(t, err, ErrNoTarget)
	r.SetTargets([]fleetstate.Target{{ID: "t0", Service: "s", Address: "10.0.0.0:80", Slots: 2, State: fleetstate.Ready, Born: 2}}, func(string) string { return "r" })
	r.mustAcquire(t, once())
}

// Guards against requests that fail on a target known to fail, because they may
// be repeated, while no budget is left to repeat them.
func TestSpentBudgetMakesRiskCount(t *testing.T) {
	r := newRig(0, 2)
	r.SetTargets([]fleetstate.Target{
		{ID: "failing", Service: "s", Address: "10.0.0.1:80", DataCentre: "d", Slots: 9, State: fleetstate.Ready, Born: 1},
		{ID: "far", Service: "s", Address: "10.0.0.2:80", DataCentre: "far", Slots: 9, State: fleetstate.Ready, Born: 1},
	}, func(dataCentre string) string { return map[string]string{"d": "r", "far": "r2"}[dataCentre] })
	r.Merge(Report{Region: "r2", Targets: []Evidence{{Target: "failing", Bad: 0.9}, {Target: "far", Bad: 0}}})
	repeatable := once()
	repeatable.Repeatable = true
	assert.Equal(t, "failing", r.mustAcquire(t, repeatable).Target, "a repeat costs less than bytes between regions")
	repeat := once()
	repeat.Repeat = true
	for r.budget.allows(r.clock.Now()) {
		r.mustAcquire(t, repeat)
	}
	assert.Equal(t, "far", r.mustAcquire(t, repeatable).Target, "no repeat is left")
}

// Guards against slots that stay taken until the deadline by requests of an
// entry that was killed or started again.
func TestGrantsOfGoneSenders(t *testing.T) {
	r := newRig(1, 1)
	q := once()
	var leases []uint64
	for n := range 1 + queuePerTarget {
		q.Sender = Sender{Entry: "e1", Incarnation: uint64(n)}
		leases = append(leases, r.mustAcquire(t, q).Lease)
	}
	_, err := r.Acquire(context.Background(), once(), 0)
	require.ErrorIs(t, err, ErrBusy)
	r.DropGrants(func(s Sender) bool { return s.Incarnation == 0 })
	r.mustAcquire(t, once())
	assert.Equal(t, 2, r.targets[0].inFlight)
	r.Release(leases[0], Outcome{Kind: OK}) // of the gone sender, late
	assert.Equal(t, 2, r.targets[0].inFlight)
}
