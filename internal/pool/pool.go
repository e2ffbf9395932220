package pool

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/sys"
)

const (
	queuePerTarget = 1                      // requests that may wait at a target beyond its slots
	shedRest       = 150 * time.Millisecond // a target that shed a request gets none for this long
	connectRest    = 400 * time.Millisecond // the same after a failed connection
	leaseGrace     = time.Second            // beyond the time left of a request
	slownessStep   = 0.25                   // weight of a new duration against the usual one
	coldSlowness   = 2.0                    // of a target that has just started
	// loadMemory is the time in which knowledge of the requests of other pools
	// fades.
	loadMemory = 300 * time.Millisecond
	// waitAdvantage is how much cheaper a full target must be for a request to
	// wait for it.
	waitAdvantage = 0.08
)

// Config holds what a pool needs from outside.
type Config struct {
	Service  string
	Region   string
	Settings Settings
	Clock    sys.Clock
	// Notable is called, with the lock of the pool held, when an estimate has
	// changed much; nil: not called.
	Notable func()
}

// Pool is the aggregate of one service in one region. It is safe for concurrent
// use, does no I/O and starts no goroutine.
type Pool struct {
	cfg Config

	mu        sync.Mutex
	targets   []*target // in the order of their ids
	leases    map[uint64]*lease
	lastLease uint64
	waiters   []*waiter // by priority, then by arrival
	durations durations
	share     badShare
	weights   weights
	budget    budget
	below     bool // too few sound targets got requests lately

	granted, busy, budgetSpent *metrics.Counter
	waited                     *metrics.Histogram
}

// target is what the pool knows of a target beyond its record.
type target struct {
	record    fleetstate.Target
	home      bool // in the region of the pool
	estimate  estimate
	others    int       // requests of other pools at the target, when it last told
	othersAt  time.Time // zero: it did not tell
	inFlight  int
	usedAt    time.Time // last grant
	failedAt  time.Time // last failure
	leases    map[uint64]*lease
	ratio     float64 // of its durations to the usual ones; 0: none known
	restUntil time.Time
	coldUntil time.Time
	elsewhere bool // another target answers at its address
}

// lease is a grant in use.
type lease struct {
	target  *target
	request Request
	started time.Time
	expires time.Time
}

type waiter struct {
	request Request
	arrived time.Time
	granted chan Grant // capacity 1
}

// New returns a pool without targets.
func New(cfg Config) *Pool {
	labels := `{service="` + cfg.Service + `",region="` + cfg.Region + `"}`
	s := cfg.Settings
	return &Pool{
		cfg:         cfg,
		leases:      map[uint64]*lease{},
		durations:   durations{means: map[string]time.Duration{}},
		share:       badShare{value: startBadShare},
		budget:      budget{ratio: s.RetryRatio, slack: s.RetrySlack, window: s.RetryWindow},
		granted:     metrics.GetOrCreateCounter("sequoialane_pool_granted_total" + labels),
		busy:        metrics.GetOrCreateCounter("sequoialane_pool_busy_total" + labels),
		budgetSpent: metrics.GetOrCreateCounter("sequoialane_pool_retry_budget_spent_total" + labels),
		waited:      metrics.GetOrCreateHistogram("sequoialane_pool_wait_seconds" + labels),
	}
}

// SetTargets replaces the records of the usable targets of the service. Home
// tells whether a data centre is in the region of the pool.
func (p *Pool) SetTargets(records []fleetstate.Target, home func(dataCentre string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	known := lo.KeyBy(p.targets, func(t *target) string { return t.record.ID })
	p.targets = lo.Map(records, func(r fleetstate.Target, _ int) *target {
		t := known[r.ID]
		if t == nil || t.record.Born != r.Born || t.record.Address != r.Address {
			t = &target{leases: map[uint64]*lease{}, coldUntil: now.Add(r.ColdFor)}
		}
		t.record = r
		t.home = home(r.DataCentre)
		return t
	})
	p.dispatch(now)
}

// Acquire grants a target, and waits for one for at most maxWait.
func (p *Pool) Acquire(ctx context.Context, r Request, maxWait time.Duration) (Grant, error) {
	now := p.cfg.Clock.Now()
	g, w, err := p.grantOrQueue(r, now)
	if w == nil {
		return g, err
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case g := <-w.granted:
		p.waited.Update(p.cfg.Clock.Now().Sub(now).Seconds())
		return g, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if g, ok := p.leaveQueue(w); ok {
		return g, nil
	}
	p.busy.Inc()
	return Grant{}, ErrBusy
}

func (p *Pool) grantOrQueue(r Request, now time.Time) (Grant, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLeases(now)
	if !lo.SomeBy(p.targets, func(t *target) bool { return t.may(r) }) {
		return Grant{}, nil, ErrNoTarget
	}
	if r.Repeat && !p.budget.allows(now) {
		p.budgetSpent.Inc()
		return Grant{}, nil, ErrBudget
	}
	if len(p.waiters) == 0 || r.Priority < p.waiters[0].request.Priority {
		if g, ok := p.grant(r, now); ok {
			return g, nil, nil
		}
	}
	w := &waiter{request: r, arrived: now, granted: make(chan Grant, 1)}
	at := len(p.waiters)
	for at > 0 && p.waiters[at-1].request.Priority > r.Priority {
		at--
	}
	p.waiters = slices.Insert(p.waiters, at, w)
	return Grant{}, w, nil
}

// leaveQueue takes the waiter out of the queue. It returns the grant if one was
// given at the same moment.
func (p *Pool) leaveQueue(w *waiter) (Grant, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case g := <-w.granted:
		return g, true
	default:
	}
	p.waiters = slices.DeleteFunc(p.waiters, func(o *waiter) bool { return o == w })
	return Grant{}, false
}

// may reports whether the request may ever go to the target.
func (t *target) may(r Request) bool {
	return !t.elsewhere && !slices.Contains(r.Tried, t.record.ID)
}

// free reports whether the target can take a request now.
func (t *target) free(now time.Time) bool {
	return t.occupied(now) < float64(t.record.Slots+queuePerTarget) && !now.Before(t.restUntil)
}

// occupied returns the requests at the target: those of this pool, and those of
// others as far as the target told lately.
func (t *target) occupied(now time.Time) float64 {
	own := float64(t.inFlight)
	if t.othersAt.IsZero() {
		return own
	}
	return own + float64(t.others)*math.Exp(-now.Sub(t.othersAt).Seconds()/loadMemory.Seconds())
}

// slowness returns the ratio of the target's durations to the usual ones.
func (t *target) slowness(now time.Time) float64 {
	ratio := t.ratio
	if ratio == 0 {
		ratio = 1
	}
	if now.Before(t.coldUntil) {
		ratio = max(ratio, coldSlowness)
	}
	return ratio
}

// grant picks the target with the lowest cost. If that one is full, the request
// waits for it rather than go to one that costs much more: a target that fails
// requests at once is always free, and would take all that the others cannot.
func (p *Pool) grant(r Request, now time.Time) (Grant, bool) {
	p.below = p.belowFloor(now)
	var best *target
	bestCost, bestRisk := 0.0, 0.0
	full := math.Inf(1) // lowest cost of a full target
	for _, t := range p.targets {
		if !t.may(r) || now.Before(t.restUntil) {
			continue
		}
		cost, risk := p.cost(t, r, now)
		switch {
		case !t.free(now):
			full = min(full, cost)
		case best == nil || cost < bestCost:
			best, bestCost, bestRisk = t, cost, risk
		}
	}
	worthWaiting := !r.Settle && bestCost > full+waitAdvantage
	if best == nil || worthWaiting || r.Repeat && !p.budget.allows(now) {
		return Grant{}, false
	}
	p.count(r, now)
	p.lastLease++
	l := &lease{target: best, request: r, started: now, expires: now.Add(r.TimeLeft + leaseGrace)}
	p.leases[p.lastLease] = l
	best.leases[p.lastLease] = l
	best.inFlight++
	best.usedAt = now
	p.granted.Inc()
	return Grant{
		Lease: p.lastLease, Target: best.record.ID, Address: best.record.Address,
		HedgeAfter: p.durations.overdue(r.Class), Risk: bestRisk,
	}, true
}

// count enters a grant into the retry budget. Requests that are refused, and ask
// again, do not count until they are granted.
func (p *Pool) count(r Request, now time.Time) {
	if r.Repeat {
		p.budget.repeat(now)
		return
	}
	p.budget.first(now)
}

// Release ends a grant and takes in its outcome. A second call has no effect.
func (p *Pool) Release(id uint64, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	l, ok := p.leases[id]
	if !ok {
		return
	}
	p.drop(id, l)
	p.observe(l.target, l.request, o, now)
	p.dispatch(now)
}

// Observe takes in the outcome of an attempt that another pool granted.
func (p *Pool) Observe(targetID string, r Request, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	for _, t := range p.targets {
		if t.record.ID == targetID {
			p.observe(t, r, o, now)
			return
		}
	}
}

func (p *Pool) observe(t *target, r Request, o Outcome, now time.Time) {
	switch o.Kind {
	case OK:
		p.learnDuration(t, r, o.Took)
	case Shed:
		t.restUntil = now.Add(shedRest)
	case Failed, Reset, NoAnswer, Broken:
		t.failedAt = now
	case ConnectFailed:
		t.failedAt = now
		t.restUntil = now.Add(connectRest)
	case Misdirected:
		t.elsewhere = true
	}
	if o.Load != nil {
		t.others = max(o.Load.Running+o.Load.Waiting-t.inFlight, 0)
		t.othersAt = now
	}
	if o.Kind == Shed && t.inFlight >= t.record.Slots {
		return // it is full, which says nothing about its health
	}
	before := p.bad(t, now)
	t.estimate.observe(o.Kind, now, p.share.value, &p.weights)
	if math.Abs(p.bad(t, now)-before) > notable && p.cfg.Notable != nil {
		p.cfg.Notable()
	}
	p.share.update(lo.Map(p.targets, func(t *target, _ int) estimate { return t.estimate }), &p.weights, now)
}

// bad returns the chance that the target is in a spell of failure.
func (p *Pool) bad(t *target, now time.Time) float64 {
	return p.weights.mean(t.estimate.now(now, p.share.value))
}

func (p *Pool) learnDuration(t *target, r Request, took time.Duration) {
	ratio := float64(took) / float64(p.durations.mean(r.Class))
	if t.ratio == 0 {
		t.ratio = 1
	}
	t.ratio += slownessStep * (min(ratio, 8) - t.ratio)
	p.durations.learn(r.Class, took)
}

func (p *Pool) drop(id uint64, l *lease) {
	delete(p.leases, id)
	delete(l.target.leases, id)
	l.target.inFlight--
}

// expireLeases drops grants whose sender does not answer any more.
func (p *Pool) expireLeases(now time.Time) {
	for id, l := range p.leases {
		if now.After(l.expires) {
			p.drop(id, l)
		}
	}
}

// dispatch grants targets to requests that wait.
func (p *Pool) dispatch(now time.Time) {
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
		g, ok := p.grant(w.request, now)
		if ok {
			w.granted <- g
		}
		return ok
	})
}

// TargetStatus is what a pool estimates of a target, for reports.
type TargetStatus struct {
	ID       string  `json:"id"`
	Address  string  `json:"address"`
	Bad      float64 `json:"bad"` // chance of a spell of failure
	InFlight int     `json:"in_flight"`
	Slowness float64 `json:"slowness"`
}

// Status returns the estimates of all targets.
func (p *Pool) Status() []TargetStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	return lo.Map(p.targets, func(t *target, _ int) TargetStatus {
		return TargetStatus{
			ID: t.record.ID, Address: t.record.Address, Bad: p.bad(t, now),
			InFlight: t.inFlight, Slowness: t.slowness(now),
		}
	})
}
