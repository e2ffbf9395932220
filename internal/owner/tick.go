package owner

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/health"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

// Tick advances leases, deadlines and health, and returns what the caller
// should do. It should be called every TickInterval.
func (s *Service) Tick(now time.Time) []Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	s.judgeWaiting(now)
	s.advanceHealth(now)
	s.decideEjections(now)
	s.dropLateRequests(now)
	s.expireProbes(now)
	if !s.passive {
		s.wantProbes(now)
	}
	s.dispatch(now)
	s.prune(now)
	actions := s.actions
	s.actions = nil
	return actions
}

// expire drops targets whose lease has ended. A target is kept while attempts
// on it are in flight, so that their slots are accounted for.
func (s *Service) expire(now time.Time) {
	for _, gone := range s.registry.Expire(now) {
		s.actions = append(s.actions, Action{Kind: Expired, Target: gone})
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
	for i, peers := range health.Compare(states) {
		before := states[i].State()
		states[i].Advance(peers, now)
		s.noteChange(s.targets[i], before)
	}
}

// decideEjections applies the rule of ejections to the serving targets.
func (s *Service) decideEjections(now time.Time) {
	var candidates []health.Candidate
	for _, t := range s.targets {
		if s.registry.Availability(t.record.Address, now) != upstream.Usable {
			continue
		}
		candidates = append(candidates, health.Candidate{
			Address: t.record.Address,
			Slots:   t.record.Slots,
			Out:     t.health.Out(),
			Wanted:  s.ejectionWanted(t, now),
			Score:   t.health.Score(),
		})
	}
	out := map[string]bool{}
	for _, address := range health.Ejections(candidates, s.cfg.FloorPercent, s.holdsLease(now)) {
		out[address] = true
	}
	for _, t := range s.targets {
		before := t.health.State()
		switch {
		case out[t.record.Address] && !t.health.Out():
			t.health.Eject(now)
			s.metrics.ejected(t.health.Reason().String())
		case !out[t.record.Address] && t.health.Out():
			t.health.Readmit(now)
		}
		s.noteChange(t, before)
	}
}

// ejectionWanted reports whether the evidence demands an ejection. A target
// that a peer reaches is ordered last instead.
func (s *Service) ejectionWanted(t *target, now time.Time) bool {
	if !t.health.Condemned() {
		return false
	}
	if t.health.PathFault(now) {
		before := t.health.State()
		t.health.Avoid()
		s.noteChange(t, before)
		return false
	}
	return !t.health.AwaitsPeer(now)
}

func (s *Service) dropLateRequests(now time.Time) {
	for _, job := range s.queue.Overdue(now) {
		s.queue.Remove(job)
		late := fault.New(fault.DeadlineExceeded, "deadline passed in the queue")
		s.refuse(s.tickets[job.ID], late.WithEffect(fault.NotRun))
	}
}

func (s *Service) prune(now time.Time) {
	s.queue.Prune()
	if now.Before(s.pruneAt) {
		return
	}
	s.pruneAt = now.Add(pruneInterval)
	s.sizes.Prune(now)
	s.rates.Prune(now)
}

var changeOf = map[health.State]ActionKind{
	health.Healthy: Cleared,
	health.Suspect: Suspected,
	health.Avoided: PathFault,
	health.Ejected: Ejected,
	health.Trial:   Trying,
}

// noteChange reports a change of the health state of a target.
func (s *Service) noteChange(t *target, before health.State) {
	after := t.health.State()
	if before == after {
		return
	}
	kind := changeOf[after]
	if after == health.Healthy && before == health.Trial {
		kind = Returned
	}
	s.metrics.change(kind)
	s.actions = append(s.actions, Action{Kind: kind, Target: t.record, Reason: t.health.Reason().String()})
}
