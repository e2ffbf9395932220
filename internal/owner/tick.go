package owner

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/health"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

// Tick processes expired leases and deadlines, updates the health of the targets
// and returns the actions for the caller. Call it every TickInterval.
func (s *Service) Tick(now time.Time) []Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireTargets(now)
	s.observeWaiting(now)
	s.advanceHealth(now)
	s.decideEjections(now)
	s.dropOverdueRequests(now)
	s.rejectPostponedRequests(now)
	s.expireProbes(now)
	if !s.passive {
		s.requestProbes(now)
	}
	s.grantFreeSlots(now)
	s.prune(now)
	actions := s.actions
	s.actions = nil
	return actions
}

// expireTargets drops targets whose lease has expired. A target is kept while
// attempts on it are in flight, so that their slots are accounted for.
func (s *Service) expireTargets(now time.Time) {
	for _, record := range s.registry.Expire(now) {
		s.actions = append(s.actions, Action{Kind: Expired, Target: record})
		s.metrics.expired.Inc()
	}
	kept := s.targets[:0]
	for _, t := range s.targets {
		_, known := s.registry.Target(t.record.Address)
		if known || t.inFlight > 0 {
			kept = append(kept, t)
		}
	}
	clear(s.targets[len(kept):])
	s.targets = kept
}

func (s *Service) advanceHealth(now time.Time) {
	states := make([]*health.Target, len(s.targets))
	for i, t := range s.targets {
		states[i] = &t.health
	}
	requestsWait := s.queue.Len() > 0
	for i, baseline := range health.Compare(states) {
		before := states[i].State()
		if requestsWait {
			states[i].AdvanceTrial()
		}
		states[i].Advance(baseline, now)
		s.reportChange(s.targets[i], before)
	}
}

// decideEjections ejects and readmits serving targets by their evidence, the
// floor of healthy slots and the ejection lease.
func (s *Service) decideEjections(now time.Time) {
	var candidates []health.Candidate
	for _, t := range s.targets {
		if s.registry.Availability(t.record.Address, now) != upstream.Usable {
			continue
		}
		candidates = append(candidates, health.Candidate{
			Address:     t.record.Address,
			Slots:       t.record.Slots,
			Ejected:     t.health.Ejected(),
			ShouldEject: s.assessEvidence(t, now),
			Score:       t.health.Score(),
		})
	}
	ejected := map[string]bool{}
	for _, address := range health.Ejections(candidates, s.cfg.FloorPercent, s.holdsLease(now)) {
		ejected[address] = true
	}
	for _, t := range s.targets {
		before := t.health.State()
		switch {
		case ejected[t.record.Address] && !t.health.Ejected():
			t.health.Eject(now)
			s.metrics.countEjection(t.health.Reason().String())
		case !ejected[t.record.Address] && t.health.Ejected():
			t.health.Readmit(now)
		}
		s.reportChange(t, before)
	}
}

// assessEvidence reports whether the evidence calls for an ejection. If another
// entry can reach the target, it marks a path fault instead, so that the target is
// used last.
func (s *Service) assessEvidence(t *target, now time.Time) bool {
	if !t.health.ShouldEject() {
		return false
	}
	if t.health.PathFault(now) {
		before := t.health.State()
		t.health.MarkPathFault()
		s.reportChange(t, before)
		return false
	}
	return !t.health.AwaitsPeerProbe(now)
}

func (s *Service) dropOverdueRequests(now time.Time) {
	for _, job := range s.queue.Overdue(now) {
		s.queue.Remove(job)
		overdue := fault.New(fault.DeadlineExceeded, "deadline passed in the queue")
		s.reject(s.tickets[job.ID], overdue.WithEffect(fault.NotRun))
	}
}

func (s *Service) prune(now time.Time) {
	s.queue.Prune()
	if now.Before(s.nextPruneAt) {
		return
	}
	s.nextPruneAt = now.Add(pruneInterval)
	s.estimates.Prune(now)
	s.rates.Prune(now)
}

var actionForState = map[health.State]ActionKind{
	health.Healthy: Cleared,
	health.Suspect: Suspected,
	health.Avoided: PathFault,
	health.Ejected: Ejected,
	health.Trial:   TrialStarted,
}

// reportChange counts a change of the health state of a target and adds an
// action for it.
func (s *Service) reportChange(t *target, before health.State) {
	after := t.health.State()
	if before == after {
		return
	}
	kind := actionForState[after]
	if after == health.Healthy && before == health.Trial {
		kind = Returned
	}
	s.metrics.countHealthChange(kind)
	s.actions = append(s.actions, Action{Kind: kind, Target: t.record, Reason: t.health.Reason().String()})
}
