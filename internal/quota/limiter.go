package quota

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/routing"
)

const (
	// maxTakeWait is how long a request waits for credit.
	maxTakeWait = 200 * time.Millisecond
	// tickInterval is the time between two looks at what this entry holds.
	tickInterval = 100 * time.Millisecond
	// frozenAfter is the time between two looks after which the process counts as
	// having been paused. It is shorter than the time after which another entry may
	// have taken over, and longer than a busy machine delays a look.
	frozenAfter = 3 * time.Second

	minRetryAfter = 50 * time.Millisecond
)

// ExceededError is returned for a request that got no credit.
type ExceededError struct{ RetryAfter time.Duration }

// ErrNoResponse is returned for a request that got no credit because no holder has
// responded in time, so that it is not known whether its tenant exceeds its limit.
var ErrNoResponse = errors.New("quota: no holder of the tenant has responded")

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("quota: the tenant exceeds its limit; retry after %v", e.RetryAfter)
}

// Options configure a limiter.
type Options struct {
	Self         fleetstate.Entry
	Settings     Settings
	Regions      map[string]string // region by data centre
	LowBandwidth bool              // only reserved owners are holders
	View         func() *fleetview.View
	Fresh        func() bool // control has confirmed the view within ContactLimit
	Peers        *peerhttp.Client
	Now          func() time.Duration // a clock that runs while the machine is suspended
	Log          *zap.Logger
}

// Limiter decides which requests of tenants with a rate may be sent. It is safe for
// concurrent use.
type Limiter struct {
	options Options
	regions []string // all, sorted, beginning with the own one

	mu           sync.Mutex
	ctx          context.Context // of Run; nil before
	routes       *routing.Table  // that index is of
	index        *Index          // nil before the first routing document
	owned        map[int]*ownedShard
	holdings     map[int]*holding
	yielded      map[int]uint64           // by shard: index of the view of an entry that took over
	started      time.Duration            // when the process started
	credited     map[string]firstCredit   // by region
	unheld       time.Duration            // this process has granted from no shard since, but for those held now and in ceased
	ceased       map[int]time.Duration    // by shard: when this process ceased to hold it
	lostSince    map[string]time.Duration // entries that are lost, by name
	lastSequence uint64                   // of the messages
	sent         map[messageKey]uint64    // sequence numbers of the last messages
	received     map[messageKey]uint64    // those of the last messages whose responses have arrived
	patience     map[string]time.Duration // by region: how long the last response took, and half as long again
	unusable     map[string]time.Duration // regions whose holder did not grant, until when they are not asked
	draining     bool
	lastLook     time.Duration
	logLines     Bucket // limits the lines on tenants

	taken, waited, rejected, expired   *metrics.Counter
	unanswered                         *metrics.Counter // requests that no holder has responded to in time
	exchanges, failures, moved, limits *metrics.Counter
}

// messageKey identifies messages that are numbered in one order.
type messageKey struct {
	shard  int
	region string
	kind   Kind
}

// firstCredit is the first credit that this process has got of a region.
type firstCredit struct {
	at     time.Duration
	holder string // empty: also others have given credit since
}

// ownedShard is the credit of this entry for one shard.
type ownedShard struct {
	credit *Credit
	wake   chan struct{} // capacity 1
}

// New returns a limiter without a routing document.
func New(o Options) *Limiter {
	regions := lo.Uniq(lo.Values(o.Regions))
	slices.Sort(regions)
	if at := slices.Index(regions, o.Self.Region); at > 0 {
		regions = slices.Concat(regions[at:], regions[:at])
	}
	now := o.Now()
	return &Limiter{
		options: o, regions: regions, owned: map[int]*ownedShard{}, holdings: map[int]*holding{}, yielded: map[int]uint64{},
		lostSince: map[string]time.Duration{}, unusable: map[string]time.Duration{}, lastLook: now,
		sent: map[messageKey]uint64{}, received: map[messageKey]uint64{}, patience: map[string]time.Duration{},
		started: now, credited: map[string]firstCredit{}, unheld: now, ceased: map[int]time.Duration{},
		logLines:   NewBucket(logLinesPerSecond, maxLogLines, maxLogLines, now),
		taken:      metrics.GetOrCreateCounter("sequoialane_quota_taken_total"),
		waited:     metrics.GetOrCreateCounter("sequoialane_quota_waited_total"),
		rejected:   metrics.GetOrCreateCounter("sequoialane_quota_rejected_total"),
		unanswered: metrics.GetOrCreateCounter("sequoialane_quota_unanswered_total"),
		expired:    metrics.GetOrCreateCounter("sequoialane_quota_expired_total"),
		exchanges:  metrics.GetOrCreateCounter("sequoialane_quota_exchanges_total"),
		failures:   metrics.GetOrCreateCounter("sequoialane_quota_exchange_failures_total"),
		moved:      metrics.GetOrCreateCounter("sequoialane_quota_transferred_total"),
		limits:     metrics.GetOrCreateCounter("sequoialane_quota_tenants_exceeded_total"),
	}
}

// Permit is a unit of credit that a request has taken. A nil permit is that of a
// request without a limit.
type Permit struct {
	limiter *Limiter
	shard   *ownedShard
	key     *permitKey
}

// Use reports whether the request may be sent now; the credit is used then. It
// returns false if the credit has expired while the request waited for a target.
func (p *Permit) Use() bool {
	if p == nil {
		return true
	}
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	if !p.shard.credit.Use(p.key, p.limiter.options.Now()) {
		p.limiter.expired.Inc()
		return false
	}
	p.limiter.taken.Inc()
	return true
}

// Return gives the credit back: the request was rejected for another reason.
func (p *Permit) Return() {
	if p == nil {
		return
	}
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.shard.credit.Return(p.key, p.limiter.options.Now())
}

// Take takes credit for a request of the tenant, waiting for at most maxWait, and up to
// maxExtraWait more if the holder's responses take long. The
// permit must be used or returned. It returns an *ExceededError if a holder has said
// that there is none, and otherwise ErrNoResponse. The permit of a tenant without a rate
// is nil.
func (l *Limiter) Take(ctx context.Context, tenant string, maxWait time.Duration) (*Permit, error) {
	if tenant == "" {
		return nil, nil
	}
	l.mu.Lock()
	t := l.tenant(tenant)
	if t == nil {
		l.mu.Unlock()
		return nil, nil
	}
	now := l.options.Now()
	shard := l.shard(t.Shard)
	key, granted := shard.credit.Take(t.ID, now)
	if key == nil && granted == nil {
		defer l.mu.Unlock()
		return nil, l.reject(shard, t.ID)
	}
	shard.notify()
	wait := min(maxWait, maxTakeWait)
	if wait > 0 {
		wait += shard.credit.ExtraWait()
	}
	l.mu.Unlock()
	if key != nil {
		return &Permit{l, shard, key}, nil
	}
	l.waited.Inc()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case key := <-granted:
		return l.permit(shard, key), nil
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if key := shard.credit.Leave(t.ID, granted); key != nil {
		return &Permit{l, shard, key}, nil
	}
	return nil, l.reject(shard, t.ID)
}

// permit returns the permit of a request that has waited. The limit of its tenant may
// have been removed meanwhile.
func (l *Limiter) permit(shard *ownedShard, key *permitKey) *Permit {
	if key == nil {
		return nil
	}
	return &Permit{l, shard, key}
}

// reject counts and returns a rejection. The caller holds mu.
func (l *Limiter) reject(shard *ownedShard, id uint32) error {
	if !shard.credit.IsScarce(id, l.options.Now()) {
		l.unanswered.Inc()
		return ErrNoResponse
	}
	l.rejected.Inc()
	return &ExceededError{RetryAfter: shard.credit.RetryAfter(id, l.options.Now())}
}

// tenant returns the limited tenant with the name, or nil. The caller holds mu.
func (l *Limiter) tenant(name string) *Entry {
	if l.index == nil {
		return nil
	}
	return l.index.Tenant(name)
}

// shard returns the credit of a shard. The caller holds mu.
func (l *Limiter) shard(n int) *ownedShard {
	s := l.owned[n]
	if s == nil {
		s = &ownedShard{credit: NewCredit(), wake: make(chan struct{}, 1)}
		l.owned[n] = s
		if l.ctx != nil {
			go l.runShard(l.ctx, n, s)
		}
	}
	return s
}

func (s *ownedShard) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// ViewChanged applies the limits of a new view, and begins or ceases to hold shards.
func (l *Limiter) ViewChanged(v *fleetview.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	lost := map[string]time.Duration{}
	for _, e := range v.Entries {
		if e.State == fleetstate.Lost {
			lost[e.Name] = now
			if since, ok := l.lostSince[e.Name]; ok {
				lost[e.Name] = since
			}
		}
	}
	l.lostSince = lost
	if v.Routes != nil && v.Routes != l.routes {
		l.setIndex(NewIndex(v.Routes.Document.Tenants, l.options.Settings, len(l.regions)))
		l.routes = v.Routes
	}
	l.look(now)
}

// setIndex replaces the limits. If the number of shards changes, no credit and no
// bucket is kept. The caller holds mu.
func (l *Limiter) setIndex(x *Index) {
	if l.index != nil && l.index.shards != x.shards {
		for _, s := range l.owned {
			s.credit.Reset()
		}
		l.holdings = map[int]*holding{}
		newest := slices.Max(append(slices.Collect(maps.Values(l.yielded)), 0))
		for shard := range x.shards {
			l.yielded[shard] = newest
		}
		l.sent, l.received = map[messageKey]uint64{}, map[messageKey]uint64{}
		l.unheld, l.ceased = l.options.Now(), map[int]time.Duration{}
	}
	l.index = x
}

// Drain makes this entry cease to hold shards, since it is leaving.
func (l *Limiter) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	l.look(l.options.Now())
}

// Run sends messages and takes over shards until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	l.mu.Lock()
	l.ctx = ctx
	for n, s := range l.owned {
		go l.runShard(ctx, n, s)
	}
	l.mu.Unlock()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.mu.Lock()
		now := l.options.Now()
		l.look(now)
		l.logChanges(now)
		l.mu.Unlock()
	}
}

// look begins to hold the shards for which this entry ranks first, and ceases to hold
// the others: all of them if the view is not fresh or the process was paused. The
// caller holds mu.
func (l *Limiter) look(now time.Duration) {
	frozen := now-l.lastLook > frozenAfter
	l.lastLook = now
	if frozen {
		l.dropHoldings("the process was paused", func(*holding) bool { return true })
	}
	if l.index == nil || len(l.index.byID) == 0 || l.draining || !l.options.Fresh() {
		l.dropHoldings("draining, or no contact with control", func(*holding) bool { return true })
		return
	}
	v := l.options.View()
	l.dropHoldings("another entry ranks first", func(h *holding) bool { return !l.ranksFirst(v, h.shard) })
	for shard := range l.index.shards {
		if l.holdings[shard] == nil && v.Index >= l.yielded[shard] && l.ranksFirst(v, shard) {
			h := newHolding(shard, l.index.shards, now)
			l.holdings[shard] = h
			if l.ctx != nil {
				go l.takeOver(l.ctx, h, l.lostQuiet(v, now), formerHolders(v, l.options.LowBandwidth, shard, h.shards, l.options.Self, l.lostFor))
			} else {
				delete(l.holdings, shard)
			}
		}
	}
}

// lostFor returns for how long this entry has known that another one is lost. The
// caller holds mu.
func (l *Limiter) lostFor(name string) time.Duration {
	since, lost := l.lostSince[name]
	if !lost {
		return 0
	}
	return l.options.Now() - since
}

// lostQuiet returns a time since when the entries of the region that are lost, and that
// formerHolders leaves out, have not granted. The caller holds mu.
func (l *Limiter) lostQuiet(v *fleetview.View, now time.Duration) time.Duration {
	var quiet time.Duration
	for _, e := range v.Entries {
		if since, lost := l.lostSince[e.Name]; lost && e.Region == l.options.Self.Region && now-since >= takeoverWait {
			quiet = max(quiet, since+takeoverWait)
		}
	}
	return quiet
}

// quietSince returns a time since when this process has not granted from a shard, or
// from any if the number of shards is another one here. The caller holds mu.
func (l *Limiter) quietSince(shard, shards int, now time.Duration) time.Duration {
	quiet, any := l.unheld, l.index == nil || l.index.shards != shards
	for s, at := range l.ceased {
		if any || s == shard {
			quiet = max(quiet, at)
		}
	}
	for s, h := range l.holdings {
		if h.ledger != nil && (any || s == shard) {
			quiet = now
		}
	}
	return quiet
}

func (l *Limiter) ranksFirst(v *fleetview.View, shard int) bool {
	entries := ranked(v, l.options.LowBandwidth, shard, l.index.shards, l.options.Self.Region)
	return len(entries) > 0 && entries[0].Name == l.options.Self.Name
}

func (l *Limiter) dropHoldings(reason string, drop func(*holding) bool) {
	for shard, h := range l.holdings {
		if !drop(h) {
			continue
		}
		delete(l.holdings, shard)
		if h.ledger != nil {
			l.ceased[shard] = l.options.Now()
			l.options.Log.Info("quota shard no longer held", zap.Int("shard", shard), zap.String("reason", reason))
		}
	}
}

// ledger returns the ledger of a shard that this entry holds now, or nil. The caller
// holds mu.
func (l *Limiter) ledger(shard, shards int) (*holding, *Ledger) {
	now := l.options.Now()
	if now-l.lastLook > frozenAfter || !l.options.Fresh() {
		l.look(now)
	}
	h := l.holdings[shard]
	if h == nil || h.shards != shards {
		return nil, nil
	}
	return h, h.ledger
}
