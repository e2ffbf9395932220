package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/sequoialane/sequoialane/internal/health"
)

// EndAttempt ends an attempt: it frees the slot and applies the outcome to the
// health and the limit of the target. Further calls for the same attempt have
// no effect.
func (s *Service) EndAttempt(g Grant, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endAttempt(g, o, s.cfg.Clock.Now())
}

func (s *Service) endAttempt(g Grant, o Outcome, now time.Time) {
	a, ok := s.attempts[g.AttemptID]
	if !ok {
		return
	}
	delete(s.attempts, g.AttemptID)
	held := now.Sub(a.started)
	if o.ServiceTime <= 0 {
		o.ServiceTime = held
	}
	s.applyAdvice(g.Target, o, now)
	s.updateLimit(a, o, now)
	s.observeOutcome(a, o, now)
	a.target.inFlight--
	a.target.endedAttempts++
	a.ticket.inFlight--
	if a.countsAsLong {
		s.longInFlight--
	}
	s.recordUsage(a, o, held, now)
	s.grantFreeSlots(now)
}

// recordUsage charges the slot time to the plan and updates the learned request
// times, the metrics and the retry budget.
func (s *Service) recordUsage(a *attempt, o Outcome, held time.Duration, now time.Time) {
	r := a.ticket.request
	if a.hedge {
		s.queue.Charge(r.Plan, held)
	} else {
		s.queue.Finish(r.Plan, a.ticket.job.Cost, held)
	}
	s.metrics.slotTime.Update(held.Seconds())
	s.metrics.countOutcome(o.Kind)
	if o.Kind != Canceled {
		s.estimates.RecordSlotTime(r.Route, r.Plan, held)
	}
	if state := a.target.health.State(); o.Kind == OK && (state == health.Healthy || state == health.Suspect) {
		s.estimates.Learn(r.Route, r.Plan, o.ServiceTime, now)
	}
	if o.Kind == OK {
		s.retryBudget.RecordSuccess()
	}
}

// updateLimit adjusts the concurrency limit of the target to the outcome.
func (s *Service) updateLimit(a *attempt, o Outcome, now time.Time) {
	switch o.Kind {
	case OK:
		a.target.limit.RecordSuccess(a.target.record.Slots, now)
	case Shed:
		a.target.limit.RecordShed(a.target.inFlight, now)
	case ConnectFailed:
		a.target.backoffUntil = now.Add(connectFailureBackoff)
	}
}

// observeOutcome applies the outcome to the health of the target.
func (s *Service) observeOutcome(a *attempt, o Outcome, now time.Time) {
	t := a.target
	evidence, counts := s.evidence(a, o)
	if a.trial {
		s.endTrial(a, o.Kind, evidence, counts, now)
		return
	}
	before := t.health.State()
	switch {
	case counts && evidence == health.Unreachable && o.Kind != ConnectFailed:
		t.health.ObserveNoResponse(s.waitWeight(a, now), now)
	case counts && evidence == health.Slow:
		t.health.ObserveSlow(t.health.GoodResponses()-a.goodResponsesBefore, now)
	case counts:
		t.health.Observe(evidence, now)
	}
	if o.Kind == OK {
		s.fullProbes.observeResponse(a, o.ServiceTime)
		t.health.ObserveLatency(o.ServiceTime.Seconds() / a.estimate.Median.Seconds())
	}
	s.reportChange(t, before)
}

// waitWeight returns the weight of the evidence against the target of an
// attempt that has received no bytes so far.
func (s *Service) waitWeight(a *attempt, now time.Time) float64 {
	waited := now.Sub(a.target.health.WaitingSince(a.started, a.goodResponsesBefore)) - a.ownerStopped
	ratio := waited.Seconds() / (a.estimate.Median.Seconds() * max(a.target.health.Baseline().LatencyLevel, 1))
	return health.WaitWeight(waited, ratio, s.estimates.ExceedProbability(ratio))
}

// slowThreshold returns the service time above which the attempt is slow.
func (a *attempt) slowThreshold() time.Duration {
	return health.SlowAfter(a.estimate.Median, a.target.health.Baseline())
}

// evidence returns the evidence that the outcome gives about the target, and
// whether it counts. If the request was slow or failed on another target before,
// the request is assumed to be the cause, and the evidence does not count. It
// records in the ticket that the request was slow or failed.
func (s *Service) evidence(a *attempt, o Outcome) (evidence health.Evidence, counts bool) {
	slow := o.ServiceTime > a.slowThreshold()
	t := a.ticket
	switch o.Kind {
	case OK:
		if !slow {
			t.hadQuickResponse = true
			return health.Good, true
		}
		counts = a.firstSlow || !t.hadSlowAttempt
		t.hadSlowAttempt = true
		return health.Slow, counts
	case Canceled:
		if t.hadQuickResponse && o.ServiceTime > a.slowThreshold()/2 {
			return health.Slow, true // the same request got a quick response from another target
		}
		counts = slow && (a.firstSlow || !t.hadSlowAttempt)
		t.hadSlowAttempt = t.hadSlowAttempt || slow
		return health.Unreachable, counts
	case Timeout:
		counts = slow && (a.firstSlow || !t.hadSlowAttempt)
		t.hadSlowAttempt = t.hadSlowAttempt || slow
		return health.Unreachable, counts
	case UpstreamError, Truncated, WrongID:
		counts = !t.hadFailedAttempt
		t.hadFailedAttempt = true
		return health.Failed, counts
	case ConnectFailed:
		return health.Unreachable, true
	default:
		return health.Good, false
	}
}

// endTrial applies the end of a trial request to the health of the target.
func (s *Service) endTrial(a *attempt, kind OutcomeKind, evidence health.Evidence, counts bool, now time.Time) {
	t := a.target
	if !counts && evidence != health.Slow {
		t.health.AbortTrial()
		return
	}
	if kind == Timeout {
		s.applyTrialResult(t, func() (bool, bool) { return t.health.EndLateTrial(now) })
		return
	}
	s.applyTrialResult(t, func() (bool, bool) { return t.health.EndTrial(evidence, now) })
}

// applyTrialResult calls end and reports the resulting change of state. A target
// that returns from ejection starts with a small share of its slots.
func (s *Service) applyTrialResult(t *target, end func() (returned, changed bool)) {
	before := t.health.State()
	returned, _ := end()
	if returned {
		t.limit.Start(t.record.Slots, false)
	}
	s.reportChange(t, before)
}

// observeWaiting passes the attempts in flight that have had no response for
// too long to the health of their targets. Time in which the owner process
// itself was stopped does not count, because it could not receive a response.
func (s *Service) observeWaiting(now time.Time) {
	gap := now.Sub(s.lastTickAt)
	wasStopped := !s.lastTickAt.IsZero() && gap > 2*TickInterval
	waits := map[*target][]health.Wait{}
	for _, id := range s.attemptIDs() {
		a := s.attempts[id]
		if wasStopped {
			a.ownerStopped += min(gap, now.Sub(a.started))
		}
		age := now.Sub(a.started) - a.ownerStopped
		if a.trial || age <= a.slowThreshold() {
			continue
		}
		s.markSlow(a)
		if a.firstSlow {
			wait := health.Wait{Since: a.started, Weight: s.waitWeight(a, now)}
			waits[a.target] = append(waits[a.target], wait)
		}
	}
	s.lastTickAt = now
	for _, t := range s.targets {
		before := t.health.State()
		t.health.SetWaiting(waits[t], now)
		s.reportChange(t, before)
	}
}

// attemptIDs returns the ids of the attempts in flight, oldest first.
func (s *Service) attemptIDs() []uint64 {
	return slices.Sorted(maps.Keys(s.attempts))
}

// markSlow makes the attempt count as a long request, and as evidence against
// its target unless the request was slow on another target before.
func (s *Service) markSlow(a *attempt) {
	if !a.countsAsLong {
		a.countsAsLong = true
		s.longInFlight++
	}
	if !a.ticket.hadSlowAttempt {
		a.firstSlow = true
		a.ticket.hadSlowAttempt = true
	}
}
