package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sender sends requests of a tenant at a fixed interval.
type sender struct {
	tenant   string
	weight   float64
	priority int
	every    time.Duration
	sent     int
	served   int
}

// serveSenders lets the senders share the targets for a time. Each request needs the
// run time, and leaves the queue after it has waited for longestWait.
func serveSenders(t *testing.T, r *testPool, length, runTime, longestWait time.Duration, senders ...*sender) {
	type waiting struct {
		w    *waiter
		from *sender
	}
	type running struct {
		lease uint64
		ends  time.Time
	}
	w := r.useVirtualWakes()
	var queue []waiting
	var inFlight []running
	start := func(s *sender, g Grant) {
		s.served++
		inFlight = append(inFlight, running{g.LeaseID, r.clock.Now().Add(runTime)})
	}
	for elapsed := time.Duration(0); elapsed < length; elapsed += time.Millisecond {
		for _, s := range senders {
			if elapsed%s.every != 0 {
				continue
			}
			q := newRequest()
			q.Tenant, q.Weight, q.Priority, q.AcceptAny = s.tenant, s.weight, s.priority, true
			s.sent++
			g, wt, err := r.queue(q)
			require.NoError(t, err)
			if wt == nil {
				start(s, g)
			} else {
				queue = append(queue, waiting{wt, s})
			}
		}
		r.advance(w, time.Millisecond)
		now := r.clock.Now()
		for len(inFlight) > 0 && !inFlight[0].ends.After(now) {
			r.Release(inFlight[0].lease, Outcome{Kind: OK, Took: runTime})
			inFlight = inFlight[1:]
		}
		var left []waiting
		for _, q := range queue {
			if now.Sub(q.w.arrived) < longestWait && len(q.w.granted) == 0 {
				left = append(left, q)
			} else if g, ok := r.leaveQueue(q.w); ok {
				start(q.from, g)
			}
		}
		queue = left
	}
}

func (s *sender) share() float64 { return float64(s.served) / float64(s.sent) }

// Guards against a tenant that sends eight times its usual rate and takes the
// capacity of those that stay below their share.
func TestTenantAboveItsShareCostsOthersNothing(t *testing.T) {
	r := newTestPool(4, 1)
	hot := &sender{tenant: "hot", every: 10 * time.Millisecond}
	others := []*sender{{tenant: "a", every: 80 * time.Millisecond}, {tenant: "b", every: 80 * time.Millisecond}}
	serveSenders(t, r, 20*time.Second, 200*time.Millisecond, 200*time.Millisecond, hot, others[0], others[1])
	for _, s := range others {
		assert.Greater(t, s.share(), 0.95, s.tenant)
	}
	assert.Greater(t, hot.served, 0, "it gets what the others leave")
}

// Guards against shares that do not follow the weights of tenants.
func TestSharesFollowWeights(t *testing.T) {
	r := newTestPool(6, 1)
	light := &sender{tenant: "light", weight: 10, every: 10 * time.Millisecond}
	heavy := &sender{tenant: "heavy", weight: 30, every: 10 * time.Millisecond}
	serveSenders(t, r, 20*time.Second, 200*time.Millisecond, 200*time.Millisecond, light, heavy)
	assert.InDelta(t, 3, float64(heavy.served)/float64(light.served), 0.3)
}

// Guards against a less urgent request that is served before a more urgent one of a
// tenant above its share.
func TestPriorityPrecedesShares(t *testing.T) {
	r := newTestPool(4, 1)
	urgent := &sender{tenant: "hot", priority: 0, every: 20 * time.Millisecond}
	other := &sender{tenant: "a", priority: 1, every: 20 * time.Millisecond}
	serveSenders(t, r, 20*time.Second, 200*time.Millisecond, 200*time.Millisecond, urgent, other)
	assert.Greater(t, urgent.share(), other.share())
}

// Guards against a tenant that is idle and gets credit for it, and against shares
// that are kept for tenants that are gone.
func TestIdleTenantGetsNoCredit(t *testing.T) {
	var s tenantShares
	for range 100 {
		s.charge("busy", 1, 1)
	}
	s.charge("late", 1, 1)
	assert.InDelta(t, s.finishTime["busy"], s.finishTime["late"], 1)
	s.virtualTime = s.finishTime["busy"]
	s.prune()
	assert.Empty(t, s.finishTime)
}
