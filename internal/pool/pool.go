package pool

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/workload"
)

// Config holds the settings and dependencies of a pool.
type Config struct {
	Service  string
	Region   string
	Settings Settings
	Clock    sys.Clock
	// OnNotableChange, if set, is called when an outcome changes an estimate by
	// more than notableChange. The lock of the pool is held during the call.
	OnNotableChange func(Change)
	// OnLeaving, if set, is called when a sender reports that a target is leaving.
	// The lock of the pool is held during the call.
	OnLeaving func(target string)
	// AfterFunc runs f after d unless stop is called before; default: time.AfterFunc.
	AfterFunc func(d time.Duration, f func()) (stop func() bool)
}

// Pool grants targets of one service to requests from one region. It is safe for
// concurrent use and does no I/O.
type Pool struct {
	cfg Config

	mu            sync.Mutex
	targets       []*target // ordered by id
	leases        map[uint64]*lease
	lastLeaseID   uint64                // begins at random: ids of an earlier process name no grant of this one
	withdrawn     map[callKey]time.Time // calls that were withdrawn before they arrived, until when they are remembered
	waiters       []*waiter             // by priority, then by fair shares of tenants and by arrival
	shares        tenantShares
	wake          wake
	lookedAtAll   time.Time       // when all waiters were last looked at
	looks         uint64          // counts the looks at the waiters
	work          *workload.Model // run times and response bytes of requests
	durations     durations       // of work
	reportedCosts map[string]reportedCost
	failingShare  failingShare
	weights       decayWeights
	credit        retryCredit
	floorBreached bool // too few healthy targets got requests recently
	// retryableWeight is the cost of a failure of a retryable request. A failure
	// of any other request costs 1.
	retryableWeight float64
	idleMean        idleMean
	idleReports     map[string]idleReport // by region, including this one

	granted, busy, budgetSpent *metrics.Counter
	reordered                  *metrics.Counter
	waited                     *metrics.Histogram
	workload                   workloadMetrics
}

// lease is a grant whose outcome has not been reported.
type lease struct {
	id        uint64
	target    *target
	request   Request
	started   time.Time
	expires   time.Time
	cost      workload.Cost // expected when it was granted
	route     *workload.Route
	slowness  float64   // of the target at that time
	wait      float64   // expected then, in nanoseconds
	runsSince time.Time // zero: it waits for a slot of the target
}

type waiter struct {
	request Request
	arrived time.Time
	granted chan Grant // capacity 1
	runTime float64    // expected, in seconds
	due     float64    // virtual time at which its tenant is due
}

// New returns a pool without targets.
func New(cfg Config) *Pool {
	labels := `{service="` + cfg.Service + `",region="` + cfg.Region + `"}`
	s := cfg.Settings
	if cfg.AfterFunc == nil {
		cfg.AfterFunc = func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }
	}
	work := workload.New(!s.UniformCost)
	return &Pool{
		cfg:          cfg,
		work:         work,
		leases:       map[uint64]*lease{},
		lastLeaseID:  uint64(rand.Uint32()),
		withdrawn:    map[callKey]time.Time{},
		idleReports:  map[string]idleReport{},
		durations:    durations{routes: work.Routes(), service: work.Service()},
		failingShare: failingShare{value: initialFailingShare},
		credit:       newRetryCredit(s, cfg.Clock.Now()),
		granted:      metrics.GetOrCreateCounter("sequoialane_pool_granted_total" + labels),
		reordered:    metrics.GetOrCreateCounter("sequoialane_pool_reordered_total" + labels),
		busy:         metrics.GetOrCreateCounter("sequoialane_pool_busy_total" + labels),
		budgetSpent:  metrics.GetOrCreateCounter("sequoialane_pool_retry_budget_spent_total" + labels),
		waited:       metrics.GetOrCreateHistogram("sequoialane_pool_wait_seconds" + labels),
		workload:     newWorkloadMetrics(cfg.Service, cfg.Region),
	}
}

// SetTargets replaces the records of the usable targets of the service. A target
// that restarted or has a new address starts with a new state. regionOf returns
// the region of a data centre.
func (p *Pool) SetTargets(records []fleetstate.Target, regionOf func(dataCentre string) string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	known := lo.KeyBy(p.targets, func(t *target) string { return t.record.ID })
	p.targets = lo.Map(records, func(r fleetstate.Target, _ int) *target {
		t := known[r.ID]
		if t == nil || t.record.StartedAtMS != r.StartedAtMS || t.record.Address != r.Address {
			t = &target{leases: map[uint64]*lease{}, coldUntil: now.Add(r.WarmUpTime)}
		}
		t.record = r
		t.region = regionOf(r.DataCentre)
		t.inOwnRegion = t.region == p.cfg.Region
		return t
	})
	p.dispatch(now)
}

// SetSlackShare sets the part of the retry slack that this pool may use: all of it if
// this entry owns the group.
func (p *Pool) SetSlackShare(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.credit.setSlackShare(share, p.cfg.Clock.Now())
}

// Acquire grants a target, waiting for capacity for at most maxWait. It returns
// ErrBusy if maxWait or ctx ends first, and ErrNoTarget or ErrBudget at once.
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
	if !lo.SomeBy(p.targets, func(t *target) bool { return t.isEligible(r, now) }) {
		return Grant{}, nil, ErrNoTarget
	}
	if r.IsRetry && !p.credit.allows(now) {
		p.budgetSpent.Inc()
		return Grant{}, nil, ErrBudget
	}
	if r.Call != 0 && p.takeWithdrawn(r, now) {
		return Grant{}, nil, ErrBusy
	}
	w := &waiter{request: r, arrived: now, granted: make(chan Grant, 1), runTime: p.work.Predict(r.workRequest()).RunTime.Seconds()}
	at := len(p.waiters)
	for at > 0 && p.waiters[at-1].request.Priority > r.Priority {
		at--
	}
	p.waiters = slices.Insert(p.waiters, at, w)
	p.dispatch(now)
	if len(w.granted) == 0 && p.offerToNewcomer(w, now) {
		p.removeWaiter(w)
	}
	select {
	case g := <-w.granted:
		return g, nil, nil
	default:
		return Grant{}, w, nil
	}
}

// offerToNewcomer offers a request that has just been queued the targets that the
// ones before it did not take. It may wait for a short time only.
func (p *Pool) offerToNewcomer(w *waiter, now time.Time) bool {
	return len(p.waiters) > maxRefusals && p.hasFreeTarget(now) && p.offer(w, now)
}

func (p *Pool) removeWaiter(w *waiter) {
	p.waiters = slices.DeleteFunc(p.waiters, func(o *waiter) bool { return o == w })
	p.scheduleWake(p.cfg.Clock.Now())
}

// leaveQueue removes the waiter from the queue. It returns the grant if one was
// made concurrently.
func (p *Pool) leaveQueue(w *waiter) (Grant, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case g := <-w.granted:
		return g, true
	default:
	}
	p.removeWaiter(w)
	return Grant{}, false
}
