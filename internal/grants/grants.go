// Package grants lets the entries of a region share one pool per group of a
// service's targets. The entry that ranks first for a group owns its pool, and the
// other entries request a grant from it for each request. If the owner does not
// respond, they ask the next entry in rank, and finally use a pool of their own.
package grants

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/quota"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/targetadvice"
	"github.com/sequoialane/sequoialane/internal/traffic"
)

const (
	maxOwnerWait         = 200 * time.Millisecond // maximum wait at an owner within one call
	ownerResponseTimeout = 250 * time.Millisecond // on top of the wait, after which the next owner is asked
	ownerBackoff         = time.Second            // no requests to an owner for this long after it did not respond
	changedGroupsBuffer  = 16
	maxOwnersAsked       = 2 // before the entry uses its own pool
)

// ErrCanceled is returned when the context of the request ended while it waited
// for a grant.
var ErrCanceled = errors.New("grants: request ended while waiting for a grant")

// PostponedError is returned when each usable target of the service has asked this
// entry for time.
type PostponedError struct {
	RetryAfter time.Duration // until the first of them takes requests again
}

// Error implements error.
func (e *PostponedError) Error() string {
	return "grants: all targets have asked for time, the first one for " + e.RetryAfter.String()
}

// Options configure a broker.
type Options struct {
	Self         fleetstate.Entry
	Settings     pool.Settings
	Regions      map[string]string // region by data centre
	LowBandwidth bool              // links have little bandwidth, so owners carry no requests of callers
	View         func() *fleetview.View
	Fresh        func() bool         // reports whether control has confirmed the view recently; nil: always
	Advice       *targetadvice.Table // what targets have asked of this entry; may be nil
	Quota        *quota.Limiter      // nil: tenants have no limits
	Peers        *peerhttp.Client
	Clock        sys.Clock
	Log          *zap.Logger
}

// Broker obtains grants for requests from the pool of the owner or from the
// entry's own pool. It is safe for concurrent use.
type Broker struct {
	options Options

	lastCall atomic.Uint64 // of the calls to owners for grants

	mu               sync.Mutex
	pools            map[Group]*pool.Pool
	unavailableUntil map[string]time.Time // owners that did not respond, by name
	changedGroups    chan Group           // groups with a notable change of an estimate

	remote, local, fallback *metrics.Counter
	remoteDuration          *metrics.Histogram
}

// New returns a broker without pools.
func New(o Options) *Broker {
	return &Broker{
		options: o, pools: map[Group]*pool.Pool{}, unavailableUntil: map[string]time.Time{}, changedGroups: make(chan Group, changedGroupsBuffer),
		remote:         metrics.GetOrCreateCounter("sequoialane_grants_remote_total"),
		local:          metrics.GetOrCreateCounter("sequoialane_grants_local_total"),
		fallback:       metrics.GetOrCreateCounter("sequoialane_grants_without_owner_total"),
		remoteDuration: metrics.GetOrCreateHistogram("sequoialane_grants_remote_seconds"),
	}
}

// pool returns this entry's pool of the group, creating it if needed. The groups
// of a service split its retry slack.
func (b *Broker) pool(group Group) *pool.Pool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[group]
	if p == nil {
		settings := b.options.Settings
		settings.RetrySlack /= float64(max(group.Shards, 1))
		p = pool.New(pool.Config{
			Service: group.Service, Region: b.options.Self.Region, Settings: settings, Clock: b.options.Clock,
			OnNotableChange: func(c pool.Change) { b.handleNotableChange(group, c) },
			OnLeaving:       func(target string) { b.handleLeaving(group, target) },
		})
		b.pools[group] = p
		b.updateTargets(p, group, b.options.View())
	}
	return p
}

// existingPool returns this entry's pool of the group, or nil if there is none.
func (b *Broker) existingPool(group Group) *pool.Pool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pools[group]
}

// handleNotableChange logs the change and sends evidence of the group.
func (b *Broker) handleNotableChange(group Group, c pool.Change) {
	b.options.Log.Info("failure estimate of target changed", zap.String("group", group.key()), zap.String("target", c.Target),
		zap.String("request_id", c.Request), zap.String("outcome", string(c.Outcome)),
		zap.Float64("before", c.Before), zap.Float64("after", c.After))
	b.requestEvidence(group)
}

// handleLeaving logs that a target is leaving, and sends the news to the owners in
// other regions.
func (b *Broker) handleLeaving(group Group, target string) {
	b.options.Log.Info("target gets no further grants, since it is leaving", zap.String("group", group.key()), zap.String("target", target))
	b.requestEvidence(group)
}

// requestEvidence makes Run send the evidence of the group soon. If the channel is
// full, the next periodic exchange does.
func (b *Broker) requestEvidence(group Group) {
	select {
	case b.changedGroups <- group:
	default:
	}
}

func (b *Broker) updateTargets(p *pool.Pool, group Group, v *fleetview.View) {
	p.SetTargets(group.targets(v), func(dataCentre string) string { return b.options.Regions[dataCentre] })
}

func (b *Broker) isInOwnRegion(dataCentre string) bool {
	return b.options.Regions[dataCentre] == b.options.Self.Region
}

// ViewChanged updates the targets of the pools from a new view, and ends the
// grants of entries that are lost or were restarted.
func (b *Broker) ViewChanged(v *fleetview.View) {
	entries := lo.KeyBy(v.Entries, func(e fleetstate.Entry) string { return e.Name })
	gone := func(s pool.Sender) bool {
		e, known := entries[s.Entry]
		return known && (e.State == fleetstate.Lost || e.Incarnation > s.Incarnation)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for group, p := range b.pools {
		b.updateTargets(p, group, v)
		p.SetSlackShare(b.slackShare(group))
		p.DropGrants(gone)
	}
}

// Status returns the estimates of this entry's pools by group.
func (b *Broker) Status() map[string][]pool.TargetStatus {
	return lo.MapValues(b.Pools(), func(s PoolStatus, _ string) []pool.TargetStatus { return s.Targets })
}

// PoolStatus is the state of a pool in the status output.
type PoolStatus struct {
	Targets []pool.TargetStatus `json:"targets"`
	Routes  []pool.RouteCost    `json:"routes"` // of the most used routes
}

// Pools returns the state of this entry's pools by group.
func (b *Broker) Pools() map[string]PoolStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	return lo.MapEntries(b.pools, func(group Group, p *pool.Pool) (string, PoolStatus) {
		return group.key(), PoolStatus{Targets: p.Status(), Routes: p.Costs()}
	})
}

// Lease is a grant together with the owner that made it.
type Lease struct {
	pool.Grant
	Owner   string // name of the entry
	release func(pool.Outcome)
}

// NewLease returns a lease that calls release with its outcome.
func NewLease(g pool.Grant, owner string, release func(pool.Outcome)) *Lease {
	return &Lease{Grant: g, Owner: owner, release: release}
}

// Release ends the lease and reports the outcome to the owner.
func (l *Lease) Release(o pool.Outcome) { l.release(o) }

// Acquire waits for a grant for at most maxWait. It returns ErrCanceled if ctx
// ends first, a *PostponedError at once if no target wants a request now, and
// otherwise the errors of pool.Acquire, or a *quota.ExceededError.
func (b *Broker) Acquire(ctx context.Context, service string, r pool.Request, maxWait time.Duration) (*Lease, error) {
	deadline := b.options.Clock.Now().Add(maxWait)
	r.Sender = pool.Sender{Entry: b.options.Self.Name, Incarnation: b.options.Self.Incarnation}
	for call := 0; ; call++ {
		remaining := deadline.Sub(b.options.Clock.Now())
		if remaining <= 0 {
			return nil, pool.ErrBusy
		}
		c, err := b.candidateTargets(service)
		if err != nil {
			return nil, err
		}
		r.Avoid = c.avoided
		r.AcceptAny = remaining <= maxOwnerWait
		group := groupFor(c.all, c.preferred, c.regions, service, r.ID, len(r.Tried), call)
		l, err := b.acquireOnce(ctx, group, r, min(remaining, maxOwnerWait))
		if err == nil {
			return l, nil
		}
		if ctx.Err() != nil {
			return nil, ErrCanceled
		}
		if !errors.Is(err, pool.ErrBusy) && !errors.Is(err, quota.ErrNoResponse) {
			return nil, err
		}
	}
}

func (b *Broker) acquireOnce(ctx context.Context, group Group, r pool.Request, wait time.Duration) (*Lease, error) {
	for _, owner := range b.candidateOwners(group) {
		if owner.Name == b.options.Self.Name {
			return b.acquireLocal(ctx, group, r, wait, b.local)
		}
		l, err := b.acquireRemote(ctx, owner, group, r, wait)
		if err == nil || isRejection(err) || ctx.Err() != nil {
			return l, err
		}
		b.markUnavailable(owner.Name, err)
	}
	return b.acquireLocal(ctx, group, r, wait, b.fallback)
}

// slackShare returns the share of a group's retry slack that this entry may use: all
// of it as the owner. Other entries grant only while owners do not respond, which
// may be many entries at the same time, each cut off from the others. An entry without
// contact with control is one of them, since another one may own the group by now.
func (b *Broker) slackShare(group Group) float64 {
	region := b.options.Self.Region
	ranked := b.rankedEntries(group, region)
	isOwner := len(ranked) > 0 && ranked[0].Name == b.options.Self.Name
	if isOwner && (b.options.Fresh == nil || b.options.Fresh()) {
		return 1
	}
	v := b.options.View()
	entries := v.Serving(region)
	if len(entries) == 0 {
		entries = v.Entries
	}
	return 1 / float64(max(len(entries), 1))
}

// tenantWeight returns the weight of a tenant among the waiting requests: its rate
// limit, since that is what operators have promised it. Without a limit it is the mean
// of the others, which the pool takes as 1 if no tenant has one.
func (b *Broker) tenantWeight(name string) float64 {
	v := b.options.View()
	if name == "" || v.Routes == nil {
		return 0
	}
	if t := v.Routes.Tenant(name); t != nil && t.Rate > 0 {
		return t.Rate
	}
	return v.Routes.MeanTenantRate()
}

func isRejection(err error) bool {
	var exceeded *quota.ExceededError
	return errors.As(err, &exceeded) || lo.SomeBy(lo.Values(rejections), func(rejection error) bool { return errors.Is(err, rejection) })
}

func (b *Broker) acquireLocal(ctx context.Context, group Group, r pool.Request, wait time.Duration, counter *metrics.Counter) (*Lease, error) {
	g, err := b.acquireHere(ctx, group, r, wait)
	if err != nil {
		return nil, err
	}
	counter.Inc()
	return NewLease(g, b.options.Self.Name, func(o pool.Outcome) { b.pool(group).Release(g.LeaseID, o) }), nil
}

func (b *Broker) acquireRemote(ctx context.Context, owner fleetstate.Entry, group Group, r pool.Request, wait time.Duration) (*Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+ownerResponseTimeout)
	defer cancel()
	started := b.options.Clock.Now()
	r.Call = b.lastCall.Add(1)
	var response AcquireResponse
	err := b.options.Peers.Post(ctx, traffic.Grant, owner.PeerAddress, AcquirePath, AcquireRequest{Group: group, Request: r, MaxWait: wait}, &response)
	if err != nil {
		b.withdraw(owner, group, r, err)
		return nil, err
	}
	b.remoteDuration.Update(b.options.Clock.Now().Sub(started).Seconds())
	if err := response.rejection(); err != nil {
		return nil, err
	}
	b.remote.Inc()
	return NewLease(response.Grant, owner.Name, func(o pool.Outcome) { b.releaseRemote(owner, group, r, response.Grant, o) }), nil
}

// rankedEntries returns the entries of a region in order of precedence as owner of
// the group.
func (b *Broker) rankedEntries(group Group, region string) []fleetstate.Entry {
	v := b.options.View()
	ranked := v.Rank(group.key(), region)
	if b.options.LowBandwidth {
		return v.ReservedOwners(ranked)
	}
	return ranked
}

// candidateOwners returns the entries to ask for a grant of the group, the owner
// first, without those that did not respond recently.
func (b *Broker) candidateOwners(group Group) []fleetstate.Entry {
	ranked := b.rankedEntries(group, b.options.Self.Region)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Clock.Now()
	ranked = lo.Filter(ranked, func(e fleetstate.Entry, _ int) bool { return !now.Before(b.unavailableUntil[e.Name]) })
	return ranked[:min(len(ranked), maxOwnersAsked)]
}

func (b *Broker) markUnavailable(name string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unavailableUntil[name] = b.options.Clock.Now().Add(ownerBackoff)
	b.options.Log.Warn("grant request to owner failed", zap.String("owner", name), zap.Error(err))
}
