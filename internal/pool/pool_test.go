package pool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/sys"
)

type testPool struct {
	*Pool
	clock *sys.ManualClock
}

func newTestPool(targets, slots int) *testPool {
	clock := sys.NewManualClock(time.Unix(1_700_000_000, 0))
	p := New(Config{Service: "s", Region: "r", Clock: clock, Settings: Settings{RetryRatio: 0.2, RetrySlack: 2, RetryWindow: 10 * time.Second, FloorShare: 0.7}})
	r := &testPool{Pool: p, clock: clock}
	r.setTargets(targets, slots)
	return r
}

func (r *testPool) setTargets(count, slots int) {
	var records []fleetstate.Target
	for n := range count {
		records = append(records, fleetstate.Target{ID: fmt.Sprint("t", n), Service: "s", Address: fmt.Sprint("10.0.0.", n, ":80"), DataCentre: "d", Slots: slots, State: fleetstate.Ready, StartedAtMS: 1})
	}
	r.SetTargets(records, func(string) string { return "r" })
}

func newRequest() Request {
	return Request{ID: "q", Route: "c", Objective: time.Second, TimeLeft: 2 * time.Second, DataCentre: "d"}
}

func (r *testPool) mustAcquire(t *testing.T, q Request) Grant {
	t.Helper()
	g, err := r.Acquire(context.Background(), q, 0)
	require.NoError(t, err)
	return g
}

// Guards against a target that keeps receiving requests after a connection reset.
func TestOneResetMovesRequestsAway(t *testing.T) {
	r := newTestPool(4, 2)
	for range 40 {
		g := r.mustAcquire(t, newRequest())
		r.clock.Advance(50 * time.Millisecond)
		r.Release(g.LeaseID, Outcome{Kind: OK, Took: 50 * time.Millisecond})
	}
	g := r.mustAcquire(t, newRequest())
	r.Release(g.LeaseID, Outcome{Kind: Reset})
	for range 20 {
		next := r.mustAcquire(t, newRequest())
		assert.NotEqual(t, g.Target, next.Target)
		r.clock.Advance(50 * time.Millisecond)
		r.Release(next.LeaseID, Outcome{Kind: OK, Took: 50 * time.Millisecond})
	}
}

// Guards against more requests at a target than its slots and its queue hold, and
// against slots that stay taken when a sender does not report an outcome.
func TestSlotsAreLimitedAndExpire(t *testing.T) {
	r := newTestPool(2, 2)
	for range 2 * (2 + queuePerTarget) {
		r.mustAcquire(t, newRequest())
	}
	_, err := r.Acquire(context.Background(), newRequest(), 0)
	assert.ErrorIs(t, err, ErrBusy)
	r.clock.Advance(4 * time.Second)
	r.mustAcquire(t, newRequest())
}

// Guards against a failing target that receives all requests for which the others
// have no capacity: it fails them immediately, so it always has capacity.
func TestFailingTargetDoesNotTakeOverflow(t *testing.T) {
	r := newTestPool(3, 1)
	r.cfg.Settings.FloorShare = -1 // otherwise the floor would send t0 a request
	r.Merge(Report{Region: "r2", Targets: []TargetEstimate{{Target: "t0", FailingProbability: 0.99}, {Target: "t1", FailingProbability: 0.01}, {Target: "t2", FailingProbability: 0.01}}})
	for range 2 * (1 + queuePerTarget) {
		assert.NotEqual(t, "t0", r.mustAcquire(t, newRequest()).Target)
	}
	_, err := r.Acquire(context.Background(), newRequest(), 0)
	require.ErrorIs(t, err, ErrBusy)
	lastWait := newRequest()
	lastWait.AcceptAny = true
	assert.Equal(t, "t0", r.mustAcquire(t, lastWait).Target, "the only free target, at the end of the wait")
}

// Guards against pools of several regions that overload one target together. The
// load that it reports counts until it has decayed.
func TestLoadOfOtherPoolsCounts(t *testing.T) {
	r := newTestPool(1, 2)
	g := r.mustAcquire(t, newRequest())
	r.Release(g.LeaseID, Outcome{Kind: OK, Took: time.Millisecond, Load: &Load{Running: 2, Waiting: 5}})
	_, err := r.Acquire(context.Background(), newRequest(), 0)
	require.ErrorIs(t, err, ErrBusy)
	r.clock.Advance(4 * loadDecayTime)
	r.mustAcquire(t, newRequest())
}

// Guards against counting the answered request as one of another pool: the target
// reports its load while the request still runs.
func TestAnsweredRequestIsNotCountedAsLoad(t *testing.T) {
	r := newTestPool(1, 2)
	g := r.mustAcquire(t, newRequest())
	r.Release(g.LeaseID, Outcome{Kind: OK, Took: time.Millisecond, Load: &Load{Running: 1}})
	assert.Zero(t, r.targets[0].occupancy(r.clock.Now()))
}

// Guards against granting a low-priority request before a waiting high-priority
// one.
func TestWaitersAreServedByPriority(t *testing.T) {
	r := newTestPool(1, 1)
	var leases []Grant
	for range 1 + queuePerTarget {
		leases = append(leases, r.mustAcquire(t, newRequest()))
	}
	order := make(chan int, 2)
	for _, priority := range []int{2, 0} {
		q := newRequest()
		q.Priority = priority
		before := r.queued()
		go func() {
			if _, err := r.Acquire(context.Background(), q, 5*time.Second); err == nil {
				order <- priority
			}
		}()
		require.Eventually(t, func() bool { return r.queued() == before+1 }, time.Second, time.Millisecond)
	}
	r.Release(leases[0].LeaseID, Outcome{Kind: OK, Took: time.Millisecond})
	assert.Equal(t, 0, <-order)
	r.Release(leases[1].LeaseID, Outcome{Kind: OK, Took: time.Millisecond})
	assert.Equal(t, 2, <-order)
}

func (r *testPool) queued() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.waiters)
}

// Guards against more retries than the retry budget allows.
func TestRetryBudget(t *testing.T) {
	const step, perWindow = 100 * time.Millisecond, 100
	r := newTestPool(8, 1000)
	retry := newRequest()
	retry.IsRetry = true
	var granted []int // in each step
	retryWhileAllowed := func() int {
		for n := 0; ; n++ {
			if _, err := r.Acquire(context.Background(), retry, 0); err != nil {
				require.ErrorIs(t, err, ErrBudget)
				return n
			}
		}
	}
	assert.Zero(t, retryWhileAllowed(), "what its predecessor has spent is not known")
	for range 4 * perWindow {
		r.mustAcquire(t, newRequest())
		granted = append(granted, retryWhileAllowed())
		r.clock.Advance(step)
	}
	for from := range len(granted) - perWindow {
		assert.LessOrEqual(t, lo.Sum(granted[from:from+perWindow]), perWindow/5+2, "ratio 0.2 of the requests, and a slack of 2")
	}
	assert.GreaterOrEqual(t, lo.Sum(granted[perWindow:2*perWindow]), perWindow/10, "half of the ratio at least is granted all the time")
	for range 2 * perWindow {
		r.mustAcquire(t, newRequest())
		r.clock.Advance(step)
	}
	burst := retryWhileAllowed()
	assert.GreaterOrEqual(t, burst, 8, "credit is kept for retries that come at once")
	assert.LessOrEqual(t, burst, perWindow/5+2)
}

// earnCredit gives the pool the credit of a pool that has granted requests for long.
func (r *testPool) earnCredit() {
	for range 100 {
		r.credit.recordFirst(r.clock.Now())
	}
}

// Guards against credit for each grant of a request whose earlier grants were not used.
func TestRequestEarnsCreditOnce(t *testing.T) {
	r := newTestPool(8, 100)
	r.mustAcquire(t, newRequest())
	again := newRequest()
	again.Charged = true
	r.mustAcquire(t, again)
	assert.Len(t, r.credit.firsts, 1)
}

// Guards against a request that asks again while all targets are busy and is
// counted several times, which would raise the retry budget.
func TestRejectedRequestsAreNotCounted(t *testing.T) {
	r := newTestPool(1, 1)
	for range 1 + queuePerTarget {
		r.mustAcquire(t, newRequest())
	}
	for range 50 {
		_, err := r.Acquire(context.Background(), newRequest(), 0)
		require.ErrorIs(t, err, ErrBusy)
	}
	assert.Len(t, r.credit.firsts, 1+queuePerTarget)
}

// Guards against a second attempt of a request on the same target.
func TestTriedTargetsAreSkipped(t *testing.T) {
	r := newTestPool(3, 2)
	q := newRequest()
	for range 3 {
		g := r.mustAcquire(t, q)
		assert.NotContains(t, q.Tried, g.Target)
		q.Tried = append(q.Tried, g.Target)
	}
	_, err := r.Acquire(context.Background(), q, 0)
	assert.ErrorIs(t, err, ErrNoTarget)
}

// Guards against a service that uses few of its healthy targets: every two
// seconds the floor share of the targets that did not fail must get a request.
func TestFloor(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	r := newTestPool(10, 2)
	start := r.clock.Now()
	grantedAt := map[string]time.Time{}
	failedAt := map[string]time.Time{}
	bad := map[string]bool{"t1": true, "t4": true, "t7": true}
	for n := range 2000 {
		g := r.mustAcquire(t, newRequest())
		grantedAt[g.Target] = r.clock.Now()
		r.clock.Advance(25 * time.Millisecond)
		kind := OK
		if bad[g.Target] && random.Float64() < 0.85 {
			kind = Reset
			failedAt[g.Target] = r.clock.Now()
		}
		r.Release(g.LeaseID, Outcome{Kind: kind, Took: 25 * time.Millisecond})
		if n%400 == 399 {
			bad = map[string]bool{fmt.Sprint("t", random.IntN(10)): true, fmt.Sprint("t", random.IntN(10)): true}
		}
		if r.clock.Now().Sub(start) < 3*time.Second {
			continue
		}
		healthy, served := 0.0, 0.0
		for i := range 10 {
			id := fmt.Sprint("t", i)
			// A target counts as healthy again 2 s after a failure; 200 ms more allow
			// for the next request to reach it.
			if r.clock.Now().Sub(failedAt[id]) <= 2200*time.Millisecond {
				continue
			}
			healthy++
			if r.clock.Now().Sub(grantedAt[id]) <= 2*time.Second {
				served++
			}
		}
		require.GreaterOrEqual(t, served/healthy, 0.7, "after %d requests", n)
	}
}

// Guards against estimates outside 0 to 1, and against evidence that moves them
// in the wrong direction, for random outcomes and times.
func TestEstimates(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	now := time.Unix(1000, 0)
	var e estimate
	var w decayWeights
	for range 5000 {
		now = now.Add(time.Duration(random.Int64N(int64(3 * time.Second))))
		kinds := []OutcomeKind{OK, Failed, Reset, Timeout, InvalidResponse, ConnectFailed, Shed}
		kind := kinds[random.IntN(len(kinds))]
		before := e.probabilitiesAt(now, 0.2)
		e.observe(kind, now, 0.2, &w)
		for k, bad := range e.failing {
			require.True(t, bad >= 0 && bad <= 1, "%v", e.failing) // false for NaN too
			if kind == OK {
				require.LessOrEqual(t, bad, before[k])
			} else {
				require.GreaterOrEqual(t, bad, before[k])
			}
		}
		mean := w.mean(e.failing)
		require.True(t, mean >= 0 && mean <= 1, "%v", w)
	}
	assert.InDelta(t, 0.2, w.mean(e.probabilitiesAt(now.Add(time.Hour), 0.2)), 1e-6)
}

// Guards against giving the highest weight to a decay time that does not match
// how long targets stay in the failing state.
func TestDecayTimeWeightsAreLearned(t *testing.T) {
	for want, decayTime := range decayTimes {
		random := rand.New(rand.NewPCG(9, uint64(want)))
		now := time.Unix(1000, 0)
		var w decayWeights
		estimates := make([]estimate, 10)
		bad := make([]bool, 10)
		for range 20_000 {
			now = now.Add(40 * time.Millisecond)
			for i := range bad {
				if random.Float64() < 0.04/decayTime.Seconds() {
					bad[i] = random.Float64() < 0.3 // draws the new state
				}
			}
			i := random.IntN(len(bad))
			kind := OK
			if bad[i] && random.Float64() < failingFailureRate {
				kind = Reset
			}
			estimates[i].observe(kind, now, 0.3, &w)
		}
		assert.Zero(t, w.logWeights[want], "decay time %v: log weights %v", decayTime, w.logWeights)
	}
}

// Guards against evidence of another region that replaces newer evidence of this
// one, and against reporting it back.
func TestMergeKeepsTheNewer(t *testing.T) {
	r := newTestPool(2, 2)
	g := r.mustAcquire(t, newRequest())
	r.Release(g.LeaseID, Outcome{Kind: OK, Took: 100 * time.Millisecond})
	r.clock.Advance(100 * time.Millisecond)
	r.Merge(Report{Region: "r2", Targets: []TargetEstimate{{Target: g.Target, FailingProbability: 0.9, Age: time.Second}}})
	assert.Less(t, r.Report(time.Hour).Targets[0].FailingProbability, 0.2)
	r.Merge(Report{Region: "r2", Targets: []TargetEstimate{{Target: g.Target, FailingProbability: 0.9, Age: 10 * time.Millisecond}}})
	assert.Empty(t, r.Report(time.Hour).Targets)
	for _, s := range r.Status() {
		if s.ID == g.Target {
			assert.Greater(t, s.FailingProbability, 0.8)
		}
	}
}

// Guards against a target that keeps its state after a restart.
func TestRestartedTargetIsReset(t *testing.T) {
	r := newTestPool(1, 2)
	g := r.mustAcquire(t, newRequest())
	r.Release(g.LeaseID, Outcome{Kind: Misdirected})
	_, err := r.Acquire(context.Background(), newRequest(), 0)
	require.ErrorIs(t, err, ErrNoTarget)
	r.SetTargets([]fleetstate.Target{{ID: "t0", Service: "s", Address: "10.0.0.0:80", Slots: 2, State: fleetstate.Ready, StartedAtMS: 2}}, func(string) string { return "r" })
	r.mustAcquire(t, newRequest())
}

// Guards against a target that gets no request for good, because once a different
// target has responded at its address.
func TestMisdirectedTargetIsTriedAgain(t *testing.T) {
	r := newTestPool(1, 2)
	for range 3 {
		g := r.mustAcquire(t, newRequest())
		r.Release(g.LeaseID, Outcome{Kind: Misdirected})
		_, err := r.Acquire(context.Background(), newRequest(), 0)
		require.ErrorIs(t, err, ErrNoTarget)
		r.clock.Advance(misdirectedTime)
	}
	r.mustAcquire(t, newRequest())
}

// Guards against sending retryable requests to a target known to fail when the
// retry budget is exhausted.
func TestExhaustedBudgetAvoidsRiskyTargets(t *testing.T) {
	r := newTestPool(0, 2)
	r.SetTargets([]fleetstate.Target{
		{ID: "failing", Service: "s", Address: "10.0.0.1:80", DataCentre: "d", Slots: 9, State: fleetstate.Ready, StartedAtMS: 1},
		{ID: "far", Service: "s", Address: "10.0.0.2:80", DataCentre: "far", Slots: 9, State: fleetstate.Ready, StartedAtMS: 1},
	}, func(dataCentre string) string { return map[string]string{"d": "r", "far": "r2"}[dataCentre] })
	r.Merge(Report{Region: "r2", Targets: []TargetEstimate{{Target: "failing", FailingProbability: 0.9}, {Target: "far", FailingProbability: 0}}})
	r.earnCredit()
	retryable := newRequest()
	retryable.Retryable = true
	assert.Equal(t, "failing", r.mustAcquire(t, retryable).Target, "a retry costs less than bytes between regions")
	retry := newRequest()
	retry.IsRetry = true
	for r.credit.allows(r.clock.Now()) {
		r.mustAcquire(t, retry)
	}
	assert.Equal(t, "far", r.mustAcquire(t, retryable).Target, "no retry is left")
}

// Guards against slots that stay taken until the deadline by requests of an entry
// that was killed or restarted.
func TestGrantsOfGoneSendersAreDropped(t *testing.T) {
	r := newTestPool(1, 1)
	q := newRequest()
	var leases []uint64
	for n := range 1 + queuePerTarget {
		q.Sender = Sender{Entry: "e1", Incarnation: uint64(n)}
		leases = append(leases, r.mustAcquire(t, q).LeaseID)
	}
	_, err := r.Acquire(context.Background(), newRequest(), 0)
	require.ErrorIs(t, err, ErrBusy)
	r.DropGrants(func(s Sender) bool { return s.Incarnation == 0 })
	r.mustAcquire(t, newRequest())
	assert.Equal(t, 2, r.targets[0].inFlight)
	r.Release(leases[0], Outcome{Kind: OK}) // late outcome of a sender that is gone
	assert.Equal(t, 2, r.targets[0].inFlight)
}
