package entry

import (
	"context"
	"runtime"
	"time"

	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/configsync"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

// Times of background jobs.
const (
	freshnessPeriod = 200 * time.Millisecond
	loadPeriod      = time.Second
	rankPeriod      = 100 * time.Millisecond
	sweepPeriod     = 10 * time.Second
	leasePeriod     = time.Second
	leaseTime       = 3 * time.Second
	leaseTimeout    = 900 * time.Millisecond
	handoverTimeout = time.Second
)

// StartJobs starts the background jobs of the entry on its pool.
func (e *Entry) StartJobs() {
	e.pool.Every(e.clock, owner.TickInterval, e.tickServices)
	e.pool.Every(e.clock, freshnessPeriod, e.watchFreshness)
	e.pool.Every(e.clock, rankPeriod, e.watchRanks)
	e.pool.Every(e.clock, leasePeriod, e.renewLeases)
	e.pool.Every(e.clock, loadPeriod, func(context.Context) { e.reportLoad() })
	e.pool.Every(e.clock, sweepPeriod, func(context.Context) { e.sweep() })
}

func (e *Entry) reportLoad() {
	e.table.SetLoad(float64(e.inFlight.Load()) / float64(runtime.GOMAXPROCS(0)))
}

func (e *Entry) sweep() {
	now := e.clock.Now()
	e.peers.sweep(now)
	for _, s := range e.services.list() {
		s.expire(now)
		if s.unranked(now) {
			e.services.drop(s.name)
		}
	}
}

// watchFreshness tells the fleet whether this entry refuses requests, and
// which catalog version it holds.
func (e *Entry) watchFreshness(context.Context) {
	if snapshot := e.catalog.Current(); snapshot != nil {
		e.table.SetCatalogVersion(snapshot.Version())
	}
	isolated := e.isolated()
	if isolated == e.table.Self().Isolated {
		return
	}
	e.log.Info("isolation changed", zap.Bool("isolated", isolated))
	e.gossip.Send(e.table.SetIsolated(isolated))
	if !isolated {
		e.markReady()
	}
}

func (e *Entry) isolated() bool {
	return e.catalog.Current() == nil || e.catalog.Freshness() == configsync.Isolated
}

// watchRanks hands target records over when the ranking changed, so that a new
// owner need not wait for the next announcements.
func (e *Entry) watchRanks(ctx context.Context) {
	now := e.clock.Now()
	for _, s := range e.services.list() {
		inform, records := s.rank(e.self.Name, e.ranker.Rank(s.name, e.self.Region), now)
		s.service.SetActive(s.isFirst())
		for _, m := range inform {
			e.pool.Submit(func(ctx context.Context) { e.handOver(ctx, m, records) })
		}
	}
}

func (e *Entry) handOver(ctx context.Context, to membership.Member, records []upstream.Announcement) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for _, a := range records {
		if _, err := e.ForwardAnnouncement(ctx, to, a); err != nil {
			return
		}
	}
}

// renewLeases renews the right to eject for each service owned by this entry.
func (e *Entry) renewLeases(context.Context) {
	for _, s := range e.services.list() {
		if !s.isFirst() {
			s.service.SetEjectionLease(false, time.Time{})
			continue
		}
		e.pool.Submit(func(ctx context.Context) { e.renewLease(ctx, s) })
	}
}

func (e *Entry) renewLease(ctx context.Context, s *slot) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	until, ok, err := e.leases.Acquire(ctx, e.self.Region, "eject/"+s.name, incarnationName(e.self), leaseTime)
	if err != nil {
		// The lease that is held runs out by itself.
		return
	}
	s.service.SetEjectionLease(ok, until)
}

func (e *Entry) tickServices(context.Context) {
	now := e.clock.Now()
	for _, s := range e.services.list() {
		first := s.isFirst()
		for _, action := range s.service.Tick(now) {
			e.act(s, action, first)
		}
	}
}

func (e *Entry) act(s *slot, a owner.Action, first bool) {
	countAction(string(a.Kind))
	switch a.Kind {
	case owner.Probe, owner.PeerProbe:
		canceled := owner.Outcome{Kind: owner.Canceled}
		if !first || !e.pool.Submit(func(ctx context.Context) { e.probe(ctx, s, a) }) {
			s.service.ProbeResult(a.Probe, canceled)
		}
	default:
		e.log.Info("target changed state", zap.String("service", s.name), zap.String("target", a.Target.Address),
			zap.String("change", string(a.Kind)), zap.String("reason", a.Reason))
	}
}
