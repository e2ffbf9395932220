package quota

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time constant of the mean demand.
	demandTime = 2 * time.Second
	// reserveTime is how long the demand of the own region is covered by tokens that
	// are not given to other regions, and how long the demand is covered by tokens
	// that are asked of other regions for requests without credit.
	reserveTime = 300 * time.Millisecond
	// emptyTransferInterval is the time between two requests for tokens of other
	// regions for a tenant if the first one brought none: one for requests that got no
	// credit. emptyFillInterval is the same for a bucket that is low, and fillInterval
	// the time between two messages for such buckets alone.
	emptyTransferInterval = 250 * time.Millisecond
	emptyFillInterval     = 2 * time.Second
	fillInterval          = 500 * time.Millisecond
	// idleTime is how long a full bucket is kept without a request.
	idleTime = time.Minute
	// advanceFloor is the share of its capacity that a bucket keeps for requests that
	// wait. Credit in advance is given from the rest only, since what one owner holds
	// in advance is missing to the others. With 0.25, tenants below their limit were
	// rejected 1.4 to 4 times as often while messages were late.
	advanceFloor = 0.4
	// lowShare is the share of its capacity below which a bucket is filled from those
	// of other regions, if the region needs more than its rate. A bucket that is full
	// gains nothing, so demand from one region would find less than the tenant's burst.
	lowShare = 0.5
	// unservedTime is how long a request without credit counts as waiting before
	// others.
	unservedTime = 200 * time.Millisecond
	// exceededTime is how long a tenant counts as over its limit after a request that
	// got no credit.
	exceededTime = 5 * time.Second
)

// Ledger holds the buckets of the tenants of one shard in one region. It is created
// when this entry becomes the holder, and discarded when it no longer is. It is not
// safe for concurrent use.
type Ledger struct {
	shard   int
	since   time.Duration // when this entry, or former ones that handed their levels over, became the holder; earlier by AddQuiet
	began   time.Duration // when this entry became the holder
	tenants map[uint32]*account
	senders map[string]*sender
	handed  map[uint32]int // levels that the former holder has stated, of tenants without an account here
	swept   time.Duration
	filled  time.Duration       // when fillNeeds last looked
	lacking map[uint32]*account // accounts with requests that got no credit
}

// account is the state of a tenant.
type account struct {
	bucket   Bucket
	outside  map[string]claim // credit that may still be used, by sender
	demand   demand           // tokens that this region has asked for, per second
	unserved int              // requests that got no credit since the last transfer was asked for
	noAsk    time.Duration    // no transfer for requests without credit is asked for before
	noFill   time.Duration    // no other transfer is asked for before
	lacking  time.Duration    // when a request last got no credit; 0: never
	exceeded bool             // a change to this state was reported
}

// claim is credit of a sender.
type claim struct {
	tokens int
	until  time.Duration // after that the sender does not use it any more

	granted               int // of the tokens, those in the response to the message with these numbers
	incarnation, sequence uint64
}

// missed returns the tokens that the sender states not to have received, and that it
// will not use.
func (c claim) missed(r ExchangeRequest) int {
	if r.Received == 0 || r.Incarnation != c.incarnation || r.Received >= c.sequence {
		return 0
	}
	return c.granted
}

// sender is what is known of an entry that sends messages.
type sender struct {
	incarnation, sequence uint64
	seen                  time.Duration
}

// demand is an exponentially weighted mean of a rate.
type demand struct {
	perSecond float64
	updated   time.Duration
}

func (d *demand) add(n float64, now time.Duration) {
	d.perSecond = d.at(now) + n/demandTime.Seconds()
	d.updated = now
}

func (d *demand) at(now time.Duration) float64 {
	return d.perSecond * math.Exp(-max(now-d.updated, 0).Seconds()/demandTime.Seconds())
}

// NewLedger returns the ledger of a holder that takes over now.
func NewLedger(shard int, now time.Duration) *Ledger {
	return &Ledger{shard: shard, since: now, began: now, swept: now, tenants: map[uint32]*account{}, lacking: map[uint32]*account{}, senders: map[string]*sender{}}
}

// Continue makes the ledger continue that of a former holder, which held the shard for
// some time and stated the levels of its buckets.
func (l *Ledger) Continue(held time.Duration, levels map[uint32]int) {
	l.since, l.handed = l.began-held, levels
}

// AddQuiet makes the buckets start at the levels that they would have if this entry had
// become the holder earlier by d, since nobody has granted for that time.
func (l *Ledger) AddQuiet(d time.Duration) {
	if d <= 0 {
		return
	}
	l.since -= d
	for _, a := range l.tenants {
		a.bucket.AddInitial(a.bucket.rate * d.Seconds())
	}
}

// Levels returns the levels of the buckets.
func (l *Ledger) Levels(now time.Duration) map[uint32]int {
	levels := make(map[uint32]int, len(l.tenants)+len(l.handed))
	for id, level := range l.handed {
		levels[id] = level
	}
	for id, a := range l.tenants {
		a.bucket.refill(now, a.outsideTokens(now))
		levels[id] = int(a.bucket.Level())
	}
	return levels
}

// Exchange applies the message of a sender and returns what it gets. A message that
// was overtaken by a later one of the same sender has no effect.
func (l *Ledger) Exchange(now time.Duration, x *Index, r ExchangeRequest, needs []Need) []Grant {
	if !l.isNext(r, now) {
		return nil
	}
	var grants []Grant
	for _, n := range needs {
		limit := x.limit(l.shard, n.ID)
		if limit == nil {
			continue
		}
		a := l.account(n.ID, *limit, now)
		var g Grant
		if r.Kind != OwnerExchange {
			g = a.transfer(senderName(r), n, now)
		} else {
			g = a.exchange(r, n, now)
			if g.RetryAfter > 0 {
				l.lacking[n.ID] = a
			}
		}
		if g.ID = n.ID; g.Granted > 0 || g.RetryAfter > 0 {
			grants = append(grants, g)
		}
	}
	l.sweep(now)
	return grants
}

// senderName distinguishes the messages of an entry by their kind, since each kind is
// ordered separately.
func senderName(r ExchangeRequest) string {
	if r.Kind == OwnerExchange {
		return r.Sender
	}
	return fmt.Sprint(r.Sender, "/", r.Kind)
}

func (l *Ledger) isNext(r ExchangeRequest, now time.Duration) bool {
	name := senderName(r)
	s := l.senders[name]
	if s != nil && (r.Incarnation < s.incarnation || r.Incarnation == s.incarnation && r.Sequence <= s.sequence) {
		return false
	}
	l.senders[name] = &sender{incarnation: r.Incarnation, sequence: r.Sequence, seen: now}
	return true
}

// formerHolder is the sender of the credit that a former holder has given. It states the
// levels of its buckets only, so the rest of each capacity counts as outside until that
// credit has expired. Owners that state their part meanwhile count twice, which costs
// tokens, but never exceeds the limit.
const formerHolder = ""

// account returns the state of a tenant. A bucket that was not needed so far has
// the level that it would have if it had existed since the holder took over.
func (l *Ledger) account(id uint32, limit Limit, now time.Duration) *account {
	a := l.tenants[id]
	if a == nil {
		level := limit.Start + limit.Rate*(now-l.since).Seconds()
		outside := map[string]claim{}
		if handed, ok := l.handed[id]; ok {
			unclaimed := l.began + creditLifetime
			level = float64(handed) + limit.Rate*max(now-unclaimed, 0).Seconds()
			outside[formerHolder] = claim{tokens: int(math.Ceil(max(limit.Capacity-level, 0))), until: unclaimed}
			delete(l.handed, id)
		}
		a = &account{bucket: NewBucket(limit.Rate, limit.Capacity, level, now), outside: outside}
		l.tenants[id] = a
	}
	a.bucket.refill(now, a.outsideTokens(now))
	if a.bucket.rate != limit.Rate || a.bucket.capacity != limit.Capacity {
		a.bucket.SetLimit(limit.Rate, limit.Capacity, now)
	}
	return a
}

// outsideTokens returns the sum of the credit that may still be used, and forgets
// what has expired.
func (a *account) outsideTokens(now time.Duration) float64 {
	sum := 0
	for name, c := range a.outside {
		if now >= c.until {
			delete(a.outside, name)
			continue
		}
		sum += c.tokens
	}
	return float64(sum)
}

// exchange gives credit to an owner. What it held before and does not state any more,
// other than what it returns or has not received, was used or lost.
func (a *account) exchange(r ExchangeRequest, n Need, now time.Duration) Grant {
	owner, former := r.Sender, a.outside[r.Sender]
	held := min(n.Held, int(a.bucket.capacity)+1)
	gone := max(former.tokens-held, 0)
	returned := min(n.Returned+former.missed(r), gone)
	a.outside[owner] = claim{tokens: held, until: now + creditLifetime}
	a.bucket.Give(returned, a.outsideTokens(now))
	a.demand.add(float64(gone-returned), now)

	var g Grant
	g.Granted = a.bucket.Take(min(n.Waiting, n.Wanted))
	g.Granted += a.bucket.Take(min(n.Wanted-g.Granted, int(a.bucket.Level()-advanceFloor*a.bucket.capacity)))
	a.outside[owner] = claim{tokens: held + g.Granted, until: now + creditLifetime, granted: g.Granted, incarnation: r.Incarnation, sequence: r.Sequence}
	if unserved := n.Waiting - g.Granted; unserved > 0 {
		if now-a.lacking > unservedTime {
			a.unserved = 0
		}
		a.demand.add(float64(unserved), now)
		a.unserved += unserved
		a.lacking = max(now, 1)
		g.RetryAfter = max(a.bucket.Until(float64(min(a.unserved, maxQueued(a.bucket.rate))+1)), time.Millisecond)
	}
	return g
}

// maxQueued limits how many requests without credit count as waiting before another
// one, for Retry-After: those of half a second.
func maxQueued(rate float64) int { return int(rate / 2) }

// transfer gives tokens to the holder of another region, as far as the own region
// does not need them soon. They count as outside while they are on their way, and
// belong to the bucket of the other region afterwards. That holder asks again only once
// it has added, or given up, what it was given before.
func (a *account) transfer(holder string, n Need, now time.Duration) Grant {
	delete(a.outside, holder)
	reserve := a.demand.at(now) * reserveTime.Seconds()
	if n.Waiting == 0 { // to fill a bucket
		reserve = max(reserve, lowShare*a.bucket.capacity)
	}
	spare := int(a.bucket.Level() - reserve)
	granted := a.bucket.Take(min(n.Wanted, max(spare, 0)))
	if granted > 0 {
		a.outside[holder] = claim{tokens: granted, until: now + transferLifetime}
	}
	return Grant{Granted: granted}
}

// TransferNeeds returns what this region needs of others, for messages of the kind.
func (l *Ledger) TransferNeeds(kind Kind, now time.Duration) []Need {
	if kind == UrgentTransfer {
		return l.urgentNeeds(now)
	}
	return l.fillNeeds(now)
}

// urgentNeeds returns the needs of requests that got no credit.
func (l *Ledger) urgentNeeds(now time.Duration) []Need {
	var needs []Need
	for id, a := range l.lacking {
		if now < a.noAsk {
			continue
		}
		delete(l.lacking, id)
		if now-a.lacking > unservedTime {
			continue
		}
		wanted := min(a.room(now), a.unserved+int(math.Ceil(a.demand.at(now)*reserveTime.Seconds())))
		if wanted > 0 {
			needs = append(needs, Need{ID: id, Wanted: wanted, Waiting: a.unserved})
			a.unserved, a.noAsk = 0, now+emptyTransferInterval
		}
	}
	slices.SortFunc(needs, byID)
	return needs
}

// fillNeeds returns the needs of buckets that are low because the demand exceeds the
// region's rate.
func (l *Ledger) fillNeeds(now time.Duration) []Need {
	if now-l.filled < fillInterval {
		return nil
	}
	l.filled = now
	var needs []Need
	for id, a := range l.tenants {
		if now >= a.noFill && a.isLow(now) {
			needs = append(needs, Need{ID: id, Wanted: a.room(now)})
			a.noFill = now + emptyFillInterval
		}
	}
	slices.SortFunc(needs, byID)
	return needs
}

// isLow reports whether the bucket is to be filled. A demand that only seems to exceed
// the rate because of its irregularity does not count.
func (a *account) isLow(now time.Duration) bool {
	a.bucket.refill(now, a.outsideTokens(now))
	share, demand := a.bucket.Level()/a.bucket.capacity, a.demand.at(now)
	return share < lowShare && demand > a.bucket.rate+math.Sqrt(a.bucket.rate)/2 || share < lowShare/2 && demand > a.bucket.rate/2
}

// room returns how many tokens the bucket can take.
func (a *account) room(now time.Duration) int {
	outside := a.outsideTokens(now)
	a.bucket.refill(now, outside)
	return int(max(a.bucket.capacity-outside-a.bucket.Level(), 0))
}

func byID(a, b Need) int { return cmp.Compare(a.ID, b.ID) }

// AddTransfers adds tokens from another region to the buckets and returns how many.
// asked is the time at which they were asked for.
func (l *Ledger) AddTransfers(now, asked time.Duration, grants []Grant) int {
	if now-asked >= transferLifetime {
		return 0
	}
	sum := 0
	for _, g := range grants {
		if a := l.tenants[g.ID]; a != nil && g.Granted > 0 {
			a.noAsk, a.noFill = 0, 0
			outside := a.outsideTokens(now)
			a.bucket.refill(now, outside)
			a.bucket.Give(g.Granted, outside)
			sum += g.Granted
		}
	}
	return sum
}

// sweep forgets tenants whose bucket is full and unused, and senders that were silent.
func (l *Ledger) sweep(now time.Duration) {
	if now-l.swept < idleTime {
		return
	}
	l.swept = now
	maps.DeleteFunc(l.tenants, func(_ uint32, a *account) bool {
		a.bucket.refill(now, a.outsideTokens(now))
		return !a.exceeded && len(a.outside) == 0 && now-a.demand.updated >= idleTime && a.bucket.Level() >= a.bucket.capacity-roundingError
	})
	maps.DeleteFunc(l.senders, func(_ string, s *sender) bool { return now-s.seen >= idleTime })
}

// Change is a tenant that began or ceased to exceed its limit.
type Change struct {
	ID       uint32
	Exceeded bool
}

// Changes returns the tenants that began or ceased to exceed their limit since the
// last call.
func (l *Ledger) Changes(now time.Duration) []Change {
	var changes []Change
	for id, a := range l.tenants {
		if exceeded := a.lacking > 0 && now-a.lacking < exceededTime; exceeded != a.exceeded {
			a.exceeded = exceeded
			changes = append(changes, Change{ID: id, Exceeded: exceeded})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.ID, b.ID) })
	return changes
}
