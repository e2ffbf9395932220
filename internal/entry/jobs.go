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
			e.submitHandover(s, m, records)
		}
	}
}

// submitHandover sends records to an entry in the background. After a failure all
// records of the service are handed over again.
func (e *Entry) submitHandover(s *serviceState, to membership.Member, records []upstream.Announcement) {
	submitted := e.workers.Submit(func(ctx context.Context) {
		if err := e.handOverRecords(ctx, to, records); err != nil {
			e.log.Info("target records not handed over", zap.String("service", s.name), zap.String("entry", to.Name), zap.Error(err))
			s.handoverFailed(to, e.clock.Now())
		}
	})
	if !submitted {
		s.handoverFailed(to, e.clock.Now())
	}
}

func (e *Entry) handOverRecords(ctx context.Context, to membership.Member, records []upstream.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for _, a := range records {
		if _, err := e.ForwardAnnouncement(ctx, to, a); err != nil {
			return err
		}
	}
	return nil
}

// announceDraining tells the other owners of the service that a target wants no
// further work, which it has said in a response to this entry.
func (e *Entry) announceDraining(s *serviceState, t upstream.Target) {
	record, ok := s.markDraining(t, e.clock.Now())
	if !ok {
		return
	}
	ranked := e.ranker.Rank(s.name, e.self.Region)
	for _, m := range ranked[:min(maxOwnersTried, len(ranked))] {
		if m.Name != e.self.Name {
			e.submitHandover(s, m, []upstream.Announcement{record})
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
		return
	case owner.Left:
		e.announceDraining(s, a.Target)
	}
	e.log.Info("target changed state", zap.String("service", s.name), zap.String("target", a.Target.Address),
		zap.String("change", string(a.Kind)), zap.String("reason", a.Reason))
}
