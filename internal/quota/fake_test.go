package quota

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/sequoialane/sequoialane/internal/routing"
)

// fake is a fleet of owners and holders in three regions with a manual clock. It
// delivers messages after a delay, and checks what the owners let through.
type fake struct {
	t        *testing.T
	now      time.Duration
	settings Settings
	tenants  []routing.Tenant
	index    *Index
	holders  []*fakeHolder // by region
	owners   []*fakeOwner
	events   map[time.Duration][]func()

	admitted, refused map[string][]time.Duration
	messages, bytes   map[bool]int // between regions or not
	sequence          uint64
	waited            int
	lossy             uint64 // one in so many messages of owners is lost, late or doubled, each; 0: none
	salt              int    // of the irregular times of requests
	// extra returns by how much a message of an owner or its response is late; nil: none
	extra func(o *fakeOwner, sequence uint64) time.Duration
}

type fakeHolder struct {
	region    int
	ledger    *Ledger // nil: none
	frozen    bool
	transfers map[Kind]*transfers
}

type fakeOwner struct {
	name     string
	region   int
	cut      bool                  // off from all holders
	unusable map[int]time.Duration // regions whose holder is not asked, until when
	credit   *Credit
	sent     map[int]uint64        // by region: the last message
	received map[int]uint64        // by region: the last message whose response has arrived
	patience map[int]time.Duration // by region
	used     int                   // requests let through
	waiting  []fakeWaiter
}

type fakeWaiter struct {
	tenant  string
	id      uint32
	granted chan *permitKey
	until   time.Duration
}

var usual = Settings{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

const (
	fakeRegions = 3
	step        = time.Millisecond
)

func newFake(t *testing.T, ownersPerRegion int, tenants ...routing.Tenant) *fake {
	f := &fake{
		t: t, settings: usual, events: map[time.Duration][]func(){},
		admitted: map[string][]time.Duration{}, refused: map[string][]time.Duration{}, messages: map[bool]int{}, bytes: map[bool]int{},
	}
	f.setLimits(tenants...)
	for r := range fakeRegions {
		f.holders = append(f.holders, &fakeHolder{region: r, ledger: NewLedger(0, -idleTime), transfers: newHolding(0, 1, 0).transfers})
		for n := range ownersPerRegion {
			f.owners = append(f.owners, &fakeOwner{name: fmt.Sprint("o", r, n), region: r, credit: NewCredit(), unusable: map[int]time.Duration{}, sent: map[int]uint64{}, received: map[int]uint64{}, patience: map[int]time.Duration{}})
		}
	}
	return f
}

func (f *fake) setLimits(tenants ...routing.Tenant) {
	f.tenants, f.index = tenants, NewIndex(tenants, f.settings, fakeRegions)
}

func (f *fake) at(t time.Duration, do func()) { f.events[t] = append(f.events[t], do) }
func (f *fake) after(d time.Duration, do func()) {
	f.at((f.now+d).Truncate(step)+step, do)
}

func delay(a, b int) time.Duration {
	if a == b {
		return time.Millisecond
	}
	return 31 * time.Millisecond
}

// run advances the clock to the time.
func (f *fake) run(until time.Duration) {
	for ; f.now < until; f.now += step {
		events := f.events[f.now]
		delete(f.events, f.now)
		for _, do := range events {
			do()
		}
		for _, o := range f.owners {
			if due, ok := o.credit.Due(); ok && due <= f.now {
				f.exchange(o)
			}
			o.waiting = slices.DeleteFunc(o.waiting, func(w fakeWaiter) bool { return f.settle(o, w) })
		}
		for _, h := range f.holders {
			f.startTransfers(h)
		}
	}
}

func (f *fake) exchange(o *fakeOwner) {
	sent := f.now
	needs := o.credit.Needs(sent, f.index)
	if len(needs) == 0 {
		o.credit.Apply(sent, sent, nil, nil)
		return
	}
	order := slices.Concat([]int{o.region}, lo.Without([]int{0, 1, 2}, o.region))
	f.send(o, lo.Filter(order, func(r, _ int) bool { return f.now >= o.unusable[r] }), needs)
}

// send sends the message to the first of the regions, and to the next if there is no
// response.
func (f *fake) send(o *fakeOwner, order []int, needs []Need) {
	if len(order) == 0 {
		o.credit.Failed(f.now)
		return
	}
	sent, h := f.now, f.holders[order[0]]
	r := f.message(o.name, OwnerExchange)
	r.Received, o.sent[h.region] = o.received[h.region], r.Sequence
	f.count(o.region != h.region, needs)
	d := delay(o.region, h.region)
	unanswered := func(timeout time.Duration) {
		f.after(timeout, func() {
			o.unusable[h.region] = f.now + unusableTime
			f.send(o, order[1:], o.credit.Needs(f.now, f.index))
		})
	}
	if fate := xxhash.Sum64String(fmt.Sprint(r.Sequence)) % uint64(max(f.lossy, 1)); f.lossy > 0 && fate < 3 {
		for range fate { // 0: lost, 1: late, 2: late and twice; the owner does not wait for the response
			f.after(700*time.Millisecond, func() { h.ledger.Exchange(f.now, f.index, r, needs) })
		}
		unanswered(exchangeTimeout)
		return
	}
	if f.extra != nil {
		there, back := f.extra(o, r.Sequence), f.extra(o, r.Sequence+1<<32)
		f.sendLate(o, h, sent, r, needs, d+there, d+back, unanswered)
		return
	}
	f.after(d, func() {
		if h.ledger == nil || h.frozen || o.cut {
			unanswered(lo.Ternary(h.frozen || o.cut, exchangeTimeout, d))
			return
		}
		grants := h.ledger.Exchange(f.now, f.index, r, needs)
		f.bytes[o.region != h.region] += len(encodeGrants(grants))
		if f.lossy > 0 && r.Sequence%f.lossy == 0 { // the response is lost
			unanswered(exchangeTimeout)
			return
		}
		f.after(d, func() {
			o.received[h.region] = r.Sequence
			o.credit.Apply(f.now, sent, needs, grants)
		})
	})
}

// sendLate delivers a message and its response with these delays. If they take longer
// than the owner waits, it asks another region, and adds the credit of the late response
// unless it has sent another message to this one.
func (f *fake) sendLate(o *fakeOwner, h *fakeHolder, sent time.Duration, r ExchangeRequest, needs []Need, there, back time.Duration, unanswered func(time.Duration)) {
	patience := min(max(lo.Ternary(o.region == h.region, exchangeTimeout, remoteTimeout), o.patience[h.region]), maxPatience)
	late := there+back > patience
	if late {
		unanswered(patience)
	}
	f.after(there, func() {
		grants := h.ledger.Exchange(f.now, f.index, r, needs)
		f.bytes[o.region != h.region] += len(encodeGrants(grants))
		f.after(back, func() {
			if f.now-sent > lateTimeout || o.sent[h.region] != r.Sequence {
				return
			}
			o.received[h.region], o.patience[h.region] = r.Sequence, (f.now-sent)*3/2
			if late {
				o.unusable[h.region] = 0
				o.credit.ApplyLate(f.now, sent, grants)
			} else {
				o.credit.Apply(f.now, sent, needs, grants)
			}
		})
	})
}

func (f *fake) message(sender string, kind Kind) ExchangeRequest {
	f.sequence++
	return ExchangeRequest{Sender: sender, Sequence: f.sequence, Kind: kind}
}

func (f *fake) count(betweenRegions bool, needs []Need) {
	f.messages[betweenRegions]++
	f.bytes[betweenRegions] += len(encodeNeeds(needs))
}

func (f *fake) startTransfers(h *fakeHolder) {
	if h.ledger == nil || h.frozen {
		return
	}
	for _, kind := range []Kind{UrgentTransfer, FillTransfer} {
		if h.transfers[kind].inFlight {
			continue
		}
		if n := h.ledger.TransferNeeds(kind, f.now); len(n) > 0 {
			h.transfers[kind].inFlight = true
			f.transfer(h, h.ledger, kind, n, h.transfers[kind].region, 0)
		}
	}
}

func (f *fake) transfer(h *fakeHolder, l *Ledger, kind Kind, needs []Need, at, asked int) {
	if asked == fakeRegions-1 || len(needs) == 0 {
		h.transfers[kind].inFlight = false
		return
	}
	other, sent, r := f.holders[lo.Without([]int{0, 1, 2}, h.region)[at]], f.now, f.message(fmt.Sprint("h", h.region), kind)
	f.count(true, needs)
	there, back := delay(0, 1), delay(0, 1)
	if f.extra != nil {
		there, back = there+f.extra(nil, r.Sequence), back+f.extra(nil, r.Sequence+1<<32)
	}
	f.after(there, func() {
		var grants []Grant
		if other.ledger != nil && !other.frozen {
			grants = other.ledger.Exchange(f.now, f.index, r, needs)
		}
		f.bytes[true] += len(encodeGrants(grants))
		f.after(back, func() {
			if l.AddTransfers(f.now, sent, grants) > 0 {
				h.transfers[kind].region = at
			}
			f.transfer(h, l, kind, remainingNeeds(needs, grants), 1-at, asked+1)
		})
	})
}

// request lets an owner decide on a request.
func (f *fake) request(owner int, tenant string) {
	o := f.owners[owner]
	e := f.index.Tenant(tenant)
	if e == nil {
		return
	}
	key, granted := o.credit.Take(e.ID, f.now)
	switch {
	case key != nil:
		f.use(o, tenant, key)
	case granted != nil:
		f.waited++
		o.waiting = append(o.waiting, fakeWaiter{tenant: tenant, id: e.ID, granted: granted, until: f.now + maxTakeWait + o.credit.ExtraWait()})
	default:
		f.refused[tenant] = append(f.refused[tenant], f.now)
	}
}

func (f *fake) use(o *fakeOwner, tenant string, key *permitKey) {
	if o.credit.Use(key, f.now) {
		f.admitted[tenant] = append(f.admitted[tenant], f.now)
		o.used++
	} else {
		f.refused[tenant] = append(f.refused[tenant], f.now)
	}
}

// settle reports whether the wait of a request has ended.
func (f *fake) settle(o *fakeOwner, w fakeWaiter) bool {
	select {
	case key := <-w.granted:
		if key != nil {
			f.use(o, w.tenant, key)
		}
		return true
	default:
	}
	// internal/grants offers a request again if no holder has responded.
	if f.now < w.until || f.extra != nil && f.now < w.until+maxTakeWait && !o.credit.IsScarce(w.id, f.now) {
		return false
	}
	o.credit.Leave(w.id, w.granted)
	f.refused[w.tenant] = append(f.refused[w.tenant], f.now)
	return true
}

// demand makes a tenant send requests at irregular times, whose mean rate is that
// stated, each to one of the owners. It returns the times.
func (f *fake) demand(tenant string, rate float64, from, to time.Duration, owners ...int) []time.Duration {
	if len(owners) == 0 {
		owners = lo.Range(len(f.owners))
	}
	var times []time.Duration
	for n, t := 0, from; ; n++ {
		hash := xxhash.Sum64String(fmt.Sprint(f.salt, tenant, from, "/", n))
		t += time.Duration(-math.Log((float64(hash>>40)+1)/(1<<24+1)) / rate * float64(time.Second))
		if t >= to {
			return times
		}
		times = append(times, t)
		f.at(t.Truncate(step), func() { f.request(owners[hash%uint64(len(owners))], tenant) })
	}
}

// below returns how many of the requests a single bucket with the limit lets through.
func below(t routing.Tenant, times []time.Duration) int {
	b, passed := NewBucket(t.Rate, t.Burst, t.Burst, 0), 0
	for _, at := range times {
		b.refill(at, 0)
		passed += b.Take(1)
	}
	return passed
}

// checkWindows checks the bound of a tenant in all windows that begin at or after the
// time.
func (f *fake) checkWindows(t routing.Tenant, from time.Duration) {
	f.t.Helper()
	bound := (t.Rate*f.settings.Window.Seconds()+t.Burst)*(1+f.settings.Overshoot) + f.settings.Slack
	times, first, most := f.admitted[t.Name], 0, 0
	for i, at := range times {
		for times[first] <= at-f.settings.Window || times[first] < from {
			if first++; first > i {
				break
			}
		}
		most = max(most, i-first+1)
	}
	f.t.Logf("%s: most in a window %d of %.0f, admitted %d, refused %d", t.Name, most, bound, len(times), len(f.refused[t.Name]))
	assert.LessOrEqual(f.t, float64(most), bound, t.Name)
}

func (f *fake) logTraffic(length time.Duration) {
	for _, between := range []bool{false, true} {
		f.t.Logf("between regions %v: %.1f messages/s, %.0f bytes/s of needs and grants", between, float64(f.messages[between])/length.Seconds(), float64(f.bytes[between])/length.Seconds())
	}
}
