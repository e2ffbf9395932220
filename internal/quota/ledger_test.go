package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/sequoialane/sequoialane/internal/routing"
)

// Guards against a message that arrives after a later one of its sender, or twice: it
// would make credit that the sender has counted as lost, or refund credit that it has.
func TestOvertakenMessage(t *testing.T) {
	x := NewIndex([]routing.Tenant{{Name: "t", Rate: 30, Burst: 30}}, usual, 1)
	id := x.Tenant("t").ID
	l := NewLedger(0, -idleTime)
	exchange := func(sequence uint64, kind Kind, n Need) int {
		n.ID = id
		sum := 0
		for _, g := range l.Exchange(0, x, ExchangeRequest{Sender: "o", Sequence: sequence, Kind: kind}, []Need{n}) {
			sum += g.Granted
		}
		return sum
	}
	assert.Equal(t, 5, exchange(2, OwnerExchange, Need{Wanted: 5, Waiting: 5}))
	level := l.Levels(0)[id]
	assert.Zero(t, exchange(1, OwnerExchange, Need{Returned: 5, Wanted: 3}), "overtaken")
	assert.Zero(t, exchange(2, OwnerExchange, Need{Wanted: 5, Waiting: 5}), "twice")
	assert.Equal(t, level, l.Levels(0)[id])
	assert.Equal(t, 2, exchange(1, UrgentTransfer, Need{Wanted: 2, Waiting: 2}), "as a holder")
}

// Guards against Retry-After that does not match the time at which there is credit.
func TestRetryAfter(t *testing.T) {
	x := NewIndex([]routing.Tenant{{Name: "t", Rate: 2, Burst: 2}}, Settings{}, 1)
	id := x.Tenant("t").ID
	l, c := NewLedger(0, -idleTime), NewCredit()
	now := time.Duration(0)
	exchange := func() {
		needs := c.Needs(now, x)
		c.Apply(now, now, needs, l.Exchange(now, x, ExchangeRequest{Sender: "o", Sequence: uint64(now) + 1}, needs))
	}
	got := 0
	for range 3 {
		now += time.Millisecond
		_, granted := c.Take(id, now)
		exchange()
		if len(granted) > 0 {
			got++
		} else {
			c.Leave(id, granted)
		}
	}
	assert.Equal(t, 2, got)
	retryAfter := c.RetryAfter(id, now)
	assert.InDelta(t, 0.5, retryAfter.Seconds(), 0.5)
	now += retryAfter
	key, granted := c.Take(id, now)
	exchange()
	assert.True(t, key != nil || len(granted) == 1, "no credit after Retry-After")
}

// Guards against a holder that takes over without knowing the credit that the former one
// has given: its bucket fills up while that credit may still be used.
func TestHandoverCountsCredit(t *testing.T) {
	x := NewIndex([]routing.Tenant{{Name: "t", Rate: 30, Burst: 30}}, usual, 1)
	e := x.Tenant("t")
	former := NewLedger(0, -idleTime)
	grants := former.Exchange(0, x, ExchangeRequest{Sender: "o", Sequence: 1}, []Need{{ID: e.ID, Wanted: 20, Waiting: 1}})
	assert.Len(t, grants, 1)
	next := NewLedger(0, 0)
	next.Continue(idleTime, former.Levels(0))
	now := creditLifetime - time.Millisecond // the owner may still use the credit
	next.Exchange(now, x, ExchangeRequest{Sender: "p", Sequence: 1}, []Need{{ID: e.ID}})
	assert.LessOrEqual(t, float64(grants[0].Granted+next.Levels(now)[e.ID]), e.Limit.Capacity)
}
