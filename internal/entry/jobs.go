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

// Periods and timeouts of background jobs.
const (
	freshnessPeriod       = 200 * time.Millisecond
	loadPeriod            = time.Second
	rankPeriod            = 100 * time.Millisecond
	prunePeriod           = 10 * time.Second
	leaseRenewalPeriod    = time.Second
	ejectionLeaseDuration = 3 * time.Second
	leaseRenewalTimeout   = 900 * time.Millisecond
	handoverTimeout       = time.Second
)

// StartJobs schedules the background jobs of the entry on its worker pool.
func (e *Entry) StartJobs() {
	e.workers.SubmitEvery(e.clock, owner.TickInterval, e.tickServices)
	e.workers.SubmitEvery(e.clock, freshnessPeriod, e.publishFreshness)
	e.workers.SubmitEvery(e.clock, rankPeriod, e.updateRanks)
	e.workers.SubmitEvery(e.clock, leaseRenewalPeriod, e.renewEjectionLeases)
	e.workers.SubmitEvery(e.clock, loadPeriod, func(context.Context) { e.reportLoad() })
	e.workers.SubmitEvery(e.clock, prunePeriod, func(context.Context) { e.prune() })
}

func (e *Entry) reportLoad() {
	e.table.SetLoad(float64(e.inFlight.Load()) / float64(runtime.GOMAXPROCS(0)))
}

func (e *Entry) prune() {
	now := e.clock.Now()
	e.peers.prune(now)
	for _, s := range e.services.list() {
		s.expire(now)
		if s.unrankedTooLong(now) {
			e.services.drop(s.name)
		}
	}
}

// publishFreshness publishes the catalog version of this entry, and whether it
// is isolated and so rejects requests, in the membership table.
func (e *Entry) publishFreshness(context.Context) {
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

// updateRanks sends the target records of a service to entries that newly rank
// as its owners, so that they need not wait for the next announcements.
func (e *Entry) updateRanks(ctx context.Context) {
	now := e.clock.Now()
	for _, s := range e.services.list() {
		newHolders, records := s.updateRank(e.self.Name, e.ranker.Rank(s.name, e.self.Region), now)
		s.service.SetActive(s.isFirst())
		for _, m := range newHolders {
			e.workers.Submit(func(ctx context.Context) { e.handOverRecords(ctx, m, records) })
		}
	}
}

func (e *Entry) handOverRecords(ctx context.Context, to membership.Member, records []upstream.Announcement) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for _, a := range records {
		if _, err := e.ForwardAnnouncement(ctx, to, a); err != nil {
			return
		}
	}
}

// renewEjectionLeases renews the ejection lease of each service that this entry
// owns and drops it for the others.
func (e *Entry) renewEjectionLeases(context.Context) {
	for _, s := range e.services.list() {
		if !s.isFirst() {
			s.service.SetEjectionLease(false, time.Time{})
			continue
		}
		e.workers.Submit(func(ctx context.Context) { e.renewEjectionLease(ctx, s) })
	}
}

func (e *Entry) renewEjectionLease(ctx context.Context, s *serviceState) {
	ctx, cancel := context.WithTimeout(ctx, leaseRenewalTimeout)
	defer cancel()
	until, ok, err := e.leases.Acquire(ctx, e.self.Region, "eject/"+s.name, incarnationName(e.self), ejectionLeaseDuration)
	if err != nil {
		// The lease that is held expires at its own time.
		return
	}
	s.service.SetEjectionLease(ok, until)
}

func (e *Entry) tickServices(context.Context) {
	now := e.clock.Now()
	for _, s := range e.services.list() {
		first := s.isFirst()
		for _, action := range s.service.Tick(now) {
			e.handleAction(s, action, first)
		}
	}
}

func (e *Entry) handleAction(s *serviceState, a owner.Action, first bool) {
	countAction(string(a.Kind))
	switch a.Kind {
	case owner.Probe, owner.PeerProbe:
		canceled := owner.Outcome{Kind: owner.Canceled}
		if !first || !e.workers.Submit(func(ctx context.Context) { e.probe(ctx, s, a) }) {
			s.service.ProbeResult(a.ProbeID, canceled)
		}
	default:
		e.log.Info("target changed state", zap.String("service", s.name), zap.String("target", a.Target.Address),
			zap.String("change", string(a.Kind)), zap.String("reason", a.Reason))
	}
}
