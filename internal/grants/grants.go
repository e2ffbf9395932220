// Package grants lets the entries of a region share one pool for each service.
// The entry that ranks first for a service owns its pool; the others ask it for
// each request, and turn to the next ones, at last to a pool of their own, if
// it does not answer.
package grants

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/sys"
)

const (
	holdLimit      = 200 * time.Millisecond // wait at an owner for one call
	answerLimit    = 250 * time.Millisecond // on top of holdLimit, after which an owner is left
	avoidFor       = time.Second            // an owner that did not answer is not asked
	releaseTimeout = time.Second
	notableQueue   = 16
	ownersAsked    = 2 // before the entry decides for itself
)

// ErrGaveUp says that the request ended while it waited for a grant.
var ErrGaveUp = errors.New("grants: the request ended while it waited")

// Options configure a broker.
type Options struct {
	Self     fleetstate.Entry
	Settings pool.Settings
	Regions  map[string]string // region of each data centre
	Thin     bool              // links are thin, so owners carry no requests of callers
	View     func() *fleetview.View
	Peers    *peerhttp.Client
	Clock    sys.Clock
	Log      *zap.Logger
}

// Broker finds the pool that grants a request. It is safe for concurrent use.
type Broker struct {
	options Options

	mu      sync.Mutex
	pools   map[Group]*pool.Pool
	avoided map[string]time.Time // entries that did not answer, by name
	notable chan Group           // groups with an estimate that has changed much

	remote, local, fallback *metrics.Counter
	asked                   *metrics.Histogram
}

// New returns a broker without pools.
func New(o Options) *Broker {
	return &Broker{
		options: o, pools: map[Group]*pool.Pool{}, avoided: map[string]time.Time{}, notable: make(chan Group, notableQueue),
		remote:   metrics.GetOrCreateCounter("sequoialane_grants_remote_total"),
		local:    metrics.GetOrCreateCounter("sequoialane_grants_local_total"),
		fallback: metrics.GetOrCreateCounter("sequoialane_grants_without_owner_total"),
		asked:    metrics.GetOrCreateHistogram("sequoialane_grants_remote_seconds"),
	}
}

// pool returns this entry's pool of the group.
func (b *Broker) pool(group Group) *pool.Pool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[group]
	if p == nil {
		settings := b.options.Settings
		settings.RetrySlack /= float64(max(group.Shards, 1))
		p = pool.New(pool.Config{Service: group.Service, Region: b.options.Self.Region, Settings: settings, Clock: b.options.Clock, OnNotableChange: func(c pool.Change) { b.noteChange(group, c) }})
		b.pools[group] = p
		b.load(p, group, b.options.View())
	}
	return p
}

// noteChange logs the change and wakes the exchange. While that is busy, the next
// regular exchange passes the change on.
func (b *Broker) noteChange(group Group, c pool.Change) {
	b.options.Log.Info("estimate of a target changed", zap.String("group", group.key()), zap.String("target", c.Target),
		zap.String("request_id", c.Request), zap.String("outcome", string(c.Outcome)),
		zap.Float64("before", c.Before), zap.Float64("after", c.After))
	select {
	case b.notable <- group:
	default:
	}
}

func (b *Broker) load(p *pool.Pool, group Group, v *fleetview.View) {
	p.SetTargets(group.targets(v), func(dataCentre string) string { return b.options.Regions[dataCentre] })
}

func (b *Broker) isHome(dataCentre string) bool {
	return b.options.Regions[dataCentre] == b.options.Self.Region
}

// ViewChanged hands the targets of a new view to the pools, and ends the grants
// of entries that are gone.
func (b *Broker) ViewChanged(v *fleetview.View) {
	entries := lo.KeyBy(v.Entries, func(e fleetstate.Entry) string { return e.Name })
	gone := func(s pool.Sender) bool {
		e, known := entries[s.Entry]
		return known && (e.State == fleetstate.Lost || e.Incarnation > s.Incarnation)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for group, p := range b.pools {
		b.load(p, group, v)
		p.DropGrants(gone)
	}
}

// Status returns the estimates of this entry's pools.
func (b *Broker) Status() map[string][]pool.TargetStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	status := map[string][]pool.TargetStatus{}
	for group, p := range b.pools {
		status[group.key()] = p.Status()
	}
	return status
}

// Lease is a grant with the pool that gave it.
type Lease struct {
	pool.Grant
	Owner   string // name of the entry
	release func(pool.Outcome)
}

// NewLease returns a lease that calls release at its end.
func NewLease(g pool.Grant, owner string, release func(pool.Outcome)) *Lease {
	return &Lease{Grant: g, Owner: owner, release: release}
}

// Release ends the lease and reports the outcome to its owner.
func (l *Lease) Release(o pool.Outcome) { l.release(o) }

// Acquire waits for a grant for at most maxWait.
func (b *Broker) Acquire(ctx context.Context, service string, r pool.Request, maxWait time.Duration) (*Lease, error) {
	until := b.options.Clock.Now().Add(maxWait)
	r.Sender = pool.Sender{Entry: b.options.Self.Name, Incarnation: b.options.Self.Incarnation}
	all := b.options.View().Service(service)
	home := lo.Filter(all, func(t fleetstate.Target, _ int) bool { return b.isHome(t.DataCentre) })
	regions := len(lo.Uniq(lo.Values(b.options.Regions)))
	group := groupFor(all, home, regions, service, r.ID, len(r.Tried))
	for {
		left := until.Sub(b.options.Clock.Now())
		if left <= 0 {
			return nil, pool.ErrBusy
		}
		r.AcceptAny = left <= holdLimit
		l, err := b.acquireOnce(ctx, group, r, min(left, holdLimit))
		if err == nil {
			return l, nil
		}
		if ctx.Err() != nil {
			return nil, ErrGaveUp
		}
		if !errors.Is(err, pool.ErrBusy) {
			return nil, err
		}
	}
}

func (b *Broker) acquireOnce(ctx context.Context, group Group, r pool.Request, wait time.Duration) (*Lease, error) {
	for _, owner := range b.owners(group) {
		if owner.Name == b.options.Self.Name {
			return b.acquireHere(ctx, group, r, wait, b.local)
		}
		l, err := b.ask(ctx, owner, group, r, wait)
		if err == nil || isRefusal(err) || ctx.Err() != nil {
			return l, err
		}
		b.avoid(owner.Name, err)
	}
	return b.acquireHere(ctx, group, r, wait, b.fallback)
}

func isRefusal(err error) bool {
	return errors.Is(err, pool.ErrBusy) || errors.Is(err, pool.ErrNoTarget) || errors.Is(err, pool.ErrBudget)
}

func (b *Broker) acquireHere(ctx context.Context, group Group, r pool.Request, wait time.Duration, counter *metrics.Counter) (*Lease, error) {
	g, err := b.pool(group).Acquire(ctx, r, wait)
	if err != nil {
		return nil, err
	}
	counter.Inc()
	return NewLease(g, b.options.Self.Name, func(o pool.Outcome) { b.pool(group).Release(g.Lease, o) }), nil
}

func (b *Broker) ask(ctx context.Context, owner fleetstate.Entry, group Group, r pool.Request, wait time.Duration) (*Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerLimit)
	defer cancel()
	started := b.options.Clock.Now()
	var answer AcquireAnswer
	err := b.options.Peers.Post(ctx, owner.PeerAddress, AcquirePath, AcquireRequest{Group: group, Request: r, MaxWait: wait}, &answer)
	if err != nil {
		return nil, err
	}
	b.asked.Update(b.options.Clock.Now().Sub(started).Seconds())
	if answer.Refused != "" {
		return nil, refusals[answer.Refused]
	}
	b.remote.Inc()
	return NewLease(answer.Grant, owner.Name, func(o pool.Outcome) { b.releaseTo(owner, group, r, answer.Grant, o) }), nil
}

// rank returns the entries of a region in the order in which they own the group.
func (b *Broker) rank(group Group, region string) []fleetstate.Entry {
	v := b.options.View()
	ranked := v.Rank(group.key(), region)
	if b.options.Thin {
		return v.Owners(ranked)
	}
	return ranked
}

// owners returns the entries to ask for the group, the owner first, without
// those that did not answer lately.
func (b *Broker) owners(group Group) []fleetstate.Entry {
	ranked := b.rank(group, b.options.Self.Region)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Clock.Now()
	ranked = lo.Filter(ranked, func(e fleetstate.Entry, _ int) bool { return !now.Before(b.avoided[e.Name]) })
	return ranked[:min(len(ranked), ownersAsked)]
}

func (b *Broker) avoid(name string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.avoided[name] = b.options.Clock.Now().Add(avoidFor)
	b.options.Log.Warn("owner did not answer", zap.String("owner", name), zap.Error(err))
}

// releaseTo reports the outcome to the owner that gave the grant, and to this
// entry's own pool, which is used where no owner answers.
func (b *Broker) releaseTo(owner fleetstate.Entry, group Group, r pool.Request, g pool.Grant, o pool.Outcome) {
	if o.Kind != pool.Unsent {
		b.pool(group).Observe(g.Target, r, o)
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		request := ReleaseRequest{Group: group, Lease: g.Lease, Outcome: o}
		if err := b.options.Peers.Post(ctx, owner.PeerAddress, ReleasePath, request, nil); err != nil {
			b.options.Log.Debug("release did not arrive; the lease expires", zap.String("owner", owner.Name), zap.Error(err))
		}
	}()
}
