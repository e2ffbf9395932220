package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// advanceTime is how much demand credit is obtained for in advance.
	advanceTime = 300 * time.Millisecond
	// exchangeInterval is the time between messages while there is demand or credit.
	exchangeInterval = 400 * time.Millisecond
	// coalesceTime is how long a message waits for further requests without credit,
	// and minInterval the time between two messages because of such requests.
	coalesceTime = 10 * time.Millisecond
	minInterval  = 50 * time.Millisecond
	// scarceInterval is the same while the bucket of the tenant is empty.
	scarceInterval = 70 * time.Millisecond
	// slowDelay is the delay of responses above which credit is obtained for more demand,
	// and before it is used up. Responses of another region take about 62 ms.
	slowDelay = 75 * time.Millisecond
	// maxExtraWait is less than what internal/grants allows for the response of an owner,
	// besides the time for which a request may wait there.
	maxExtraWait = 150 * time.Millisecond
	// minDemand is the demand per second below which no credit is obtained in advance.
	minDemand = 0.05
)

// Credit is what this entry holds as an owner, of the tenants of one shard. It is not
// safe for concurrent use.
type Credit struct {
	tenants  map[uint32]*balance
	last     time.Duration // when the last message was sent
	inFlight bool
	pause    time.Duration // no message before, since the last one failed
	delay    time.Duration // until responses arrive, as a mean of the last ones
	urgent   time.Duration // when the next message is due because of requests without credit; 0: none wait
}

// balance is the credit of a tenant.
type balance struct {
	free       int    // may be used
	pending    int    // taken by requests that have no target yet
	generation uint64 // changes when the credit expires
	expires    time.Duration
	unnamed    time.Duration // credit that no message has named yet expires then; 0: there is none
	demand     demand
	waiting    []chan *permitKey // requests without credit, in order of arrival
	retryAfter time.Duration     // as the holder stated it; 0: credit is not scarce
	scarceAt   time.Duration     // when the holder stated it
	received   demand            // credit received, per second
}

// permitKey identifies a unit of credit that a request has taken.
type permitKey struct {
	tenant     uint32
	generation uint64
}

// NewCredit returns a shard without credit.
func NewCredit() *Credit { return &Credit{tenants: map[uint32]*balance{}} }

func (c *Credit) balance(id uint32) *balance {
	b := c.tenants[id]
	if b == nil {
		b = &balance{}
		c.tenants[id] = b
	}
	return b
}

// expire makes credit void that the holder may not count any more.
func (b *balance) expire(now time.Duration) {
	if now >= b.expires && b.free+b.pending > 0 {
		b.free, b.pending = 0, 0
		b.generation++
	}
}

// Take takes a unit of credit for a request. It returns nil if there is none, and
// then a channel that gets one, or neither if so many requests wait that none is
// expected in time.
func (c *Credit) Take(id uint32, now time.Duration) (*permitKey, chan *permitKey) {
	b := c.balance(id)
	b.expire(now)
	b.demand.add(1, now)
	if b.free > 0 {
		key := b.take(id)
		demand := b.demand.at(now)
		if b.free == 0 && demand*advanceTime.Seconds() > 2 || c.delay > slowDelay && float64(b.free) < demand*c.delay.Seconds() && !b.isScarce(now) {
			c.hurry(now + coalesceTime)
		}
		return key, nil
	}
	delay := coalesceTime
	if b.isScarce(now) {
		if float64(len(b.waiting)) >= 1+b.received.at(now)*maxTakeWait.Seconds() {
			return nil, nil
		}
		delay = scarceInterval - min(now-c.last, scarceInterval)
	}
	c.hurry(now + delay)
	granted := make(chan *permitKey, 1)
	b.waiting = append(b.waiting, granted)
	return nil, granted
}

func (b *balance) take(id uint32) *permitKey {
	b.free--
	b.pending++
	return &permitKey{tenant: id, generation: b.generation}
}

// isScarce reports whether the holder has recently had too little credit.
func (b *balance) isScarce(now time.Duration) bool {
	return b.retryAfter > 0 && now-b.scarceAt < 2*exchangeInterval
}

// hurry makes the next message due at a time, at the latest.
func (c *Credit) hurry(at time.Duration) {
	at = max(at, c.last+minInterval, c.pause)
	if c.urgent == 0 || at < c.urgent {
		c.urgent = at
	}
}

// Leave ends the wait of a request. It returns the credit if the request got some
// meanwhile.
func (c *Credit) Leave(id uint32, granted chan *permitKey) *permitKey {
	select {
	case key := <-granted:
		return key
	default:
	}
	b := c.balance(id)
	b.waiting = slices.DeleteFunc(b.waiting, func(w chan *permitKey) bool { return w == granted })
	return nil
}

// IsScarce reports whether a holder has lately said that there is no credit for the
// tenant.
func (c *Credit) IsScarce(id uint32, now time.Duration) bool { return c.balance(id).isScarce(now) }

// RetryAfter returns when a request that got no credit may be repeated.
func (c *Credit) RetryAfter(id uint32, now time.Duration) time.Duration {
	b := c.balance(id)
	return max(b.retryAfter-(now-b.scarceAt), minRetryAfter)
}

// Use makes the unit used: its request is about to be sent. It returns false if the
// credit has expired since it was taken.
func (c *Credit) Use(key *permitKey, now time.Duration) bool {
	b := c.balance(key.tenant)
	b.expire(now)
	if key.generation != b.generation || b.pending == 0 {
		return false
	}
	b.pending--
	return true
}

// Return gives the unit back: its request will not run.
func (c *Credit) Return(key *permitKey, now time.Duration) {
	if b := c.balance(key.tenant); c.Use(key, now) {
		b.free++
		c.serve(key.tenant, b)
	}
}

// serve gives free credit to the requests that wait.
func (c *Credit) serve(id uint32, b *balance) {
	for b.free > 0 && len(b.waiting) > 0 {
		b.waiting[0] <- b.take(id)
		b.waiting = b.waiting[1:]
	}
}

// Due returns when the next message is to be sent; false: not before a request
// arrives.
func (c *Credit) Due() (time.Duration, bool) {
	switch {
	case c.inFlight:
		return 0, false
	case c.urgent > 0:
		return c.urgent, true
	case len(c.tenants) > 0:
		return c.last + exchangeInterval, true
	}
	return 0, false
}

// Needs returns the needs for a message that is sent now. One message is in flight at
// a time: Apply or Failed must follow, or Needs again for a message to another holder if
// there is no response.
func (c *Credit) Needs(now time.Duration, x *Index) []Need {
	c.last, c.urgent, c.inFlight = now, 0, true
	var needs []Need
	for id, b := range c.tenants {
		b.expire(now)
		e := x.byID[id]
		if e == nil {
			b.abandon()
		}
		if e == nil || b.isIdle(now) {
			delete(c.tenants, id)
			continue
		}
		n := b.need(id, now, c.advanceTime(), int(e.Limit.Capacity))
		expiresSoon := n.Held > 0 && b.expires-now < creditLifetime/2+coalesceTime
		if n.Waiting+n.Returned+n.Wanted > 0 || expiresSoon {
			b.unnamed = 0
			needs = append(needs, n)
		}
	}
	slices.SortFunc(needs, func(a, b Need) int { return int(int64(a.ID) - int64(b.ID)) })
	return needs
}

// advanceTime returns how much demand credit is obtained for in advance. It is more if
// responses take long.
func (c *Credit) advanceTime() time.Duration {
	if c.delay <= slowDelay {
		return advanceTime
	}
	return advanceTime + c.delay
}

// ExtraWait returns for how much longer than usual a request without credit waits, since
// responses take long.
func (c *Credit) ExtraWait() time.Duration {
	if c.delay <= slowDelay {
		return 0
	}
	return min(c.delay, maxExtraWait)
}

func (c *Credit) noteDelay(d time.Duration) { c.delay += (d - c.delay) / 4 }

// abandon ends the wait of requests of a tenant that has no limit any more.
func (b *balance) abandon() {
	for _, w := range b.waiting {
		w <- nil
	}
	b.waiting = nil
}

// Reset makes all credit void. Requests that wait go on waiting: their tenants may have
// a limit still.
func (c *Credit) Reset() {
	for _, b := range c.tenants {
		b.free, b.pending = 0, 0
		b.generation++
	}
}

// isIdle reports whether nothing needs to be known of the tenant.
func (b *balance) isIdle(now time.Duration) bool {
	return b.free+b.pending+len(b.waiting) == 0 && b.demand.at(now) < minDemand/4
}

// need returns what the tenant has and needs. Credit that is more than twice what is
// to be held in advance is returned.
func (b *balance) need(id uint32, now, advanceTime time.Duration, capacity int) Need {
	advance := 0
	if demand := b.demand.at(now); demand >= minDemand && !b.isScarce(now) {
		advance = int(math.Ceil(demand*advanceTime.Seconds() + math.Sqrt(demand*advanceTime.Seconds())))
	}
	returned := 0
	if most := min(2*advance, capacity); b.free > most {
		returned = b.free - most
		b.free = most
	}
	waiting := len(b.waiting)
	return Need{ID: id, Held: b.free + b.pending, Returned: returned, Wanted: max(waiting+advance-b.free, 0), Waiting: waiting}
}

// Apply adds the credit of the response to a message that was sent at a time with
// these needs. Credit is valid for creditLifetime from then.
func (c *Credit) Apply(now, sent time.Duration, needs []Need, grants []Grant) {
	c.inFlight = false
	if len(needs) > 0 {
		c.noteDelay(now - sent)
	}
	for _, n := range needs {
		if b := c.tenants[n.ID]; b != nil {
			b.expire(now) // before the new expiry hides that it has passed
			b.expires = sent + creditLifetime
			if b.unnamed > 0 {
				b.expires = min(b.expires, b.unnamed)
			}
			b.retryAfter = 0
		}
	}
	for _, g := range grants {
		b := c.tenants[g.ID]
		if b == nil {
			continue
		}
		if now < b.expires {
			b.free += g.Granted
			b.received.add(float64(g.Granted), now)
		}
		b.retryAfter, b.scarceAt = g.RetryAfter, now
		c.serve(g.ID, b)
	}
	c.hurryForWaiting(now)
}

// ApplyLate adds the credit of a response that arrives after another message was sent,
// which has not named this credit: it expires creditLifetime after its own message was
// sent, and all credit of the tenant with it, until a message has named it.
func (c *Credit) ApplyLate(now, sent time.Duration, grants []Grant) {
	c.noteDelay(now - sent)
	for _, g := range grants {
		b, expires := c.tenants[g.ID], sent+creditLifetime
		if b == nil || now >= expires {
			continue
		}
		b.expire(now)
		if g.Granted > 0 {
			if b.free+b.pending > 0 {
				expires = min(expires, b.expires)
			}
			b.expires, b.unnamed = expires, expires
			b.free += g.Granted
			b.received.add(float64(g.Granted), now)
			c.serve(g.ID, b)
		}
		if g.RetryAfter > 0 {
			b.retryAfter, b.scarceAt = g.RetryAfter, now
		}
	}
}

// hurryForWaiting schedules a message if requests still wait.
func (c *Credit) hurryForWaiting(now time.Duration) {
	for _, b := range c.tenants {
		switch {
		case len(b.waiting) == 0:
		case b.isScarce(now):
			c.hurry(c.last + scarceInterval)
		default:
			c.hurry(now)
		}
	}
}

// Failed ends a message without a response.
func (c *Credit) Failed(now time.Duration) {
	c.inFlight = false
	c.pause = now + scarceInterval
	c.hurryForWaiting(now)
}
