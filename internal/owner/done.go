package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/sequoialane/sequoialane/internal/health"
)

// Done ends an attempt: it frees the slot and takes in the evidence. A second
// call for the same attempt has no effect.
func (s *Service) Done(g Grant, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done(g, o, s.cfg.Clock.Now())
}

func (s *Service) done(g Grant, o Outcome, now time.Time) {
	a, ok := s.attempts[g.Attempt]
	if !ok {
		return
	}
	delete(s.attempts, g.Attempt)
	held := now.Sub(a.started)
	if o.ServiceTime <= 0 {
		o.ServiceTime = held
	}
	s.followLimit(a, o, now)
	s.judge(a, o, now)
	a.target.inFlight--
	a.target.ended++
	a.ticket.live--
	if a.long {
		s.long--
	}
	s.account(a, o, held, now)
	s.dispatch(now)
}

// account charges the slot time to the plan and learns the size.
func (s *Service) account(a *attempt, o Outcome, held time.Duration, now time.Time) {
	r := a.ticket.request
	if a.hedge {
		s.queue.Charge(r.Plan, held)
	} else {
		s.queue.Finished(r.Plan, a.ticket.job.Cost, held)
	}
	s.metrics.slotTime.Update(held.Seconds())
	s.metrics.outcome(o.Kind)
	if o.Kind != Canceled {
		s.sizes.Occupied(r.Route, r.Plan, held)
	}
	if state := a.target.health.State(); o.Kind == OK && (state == health.Healthy || state == health.Suspect) {
		s.sizes.Learn(r.Route, r.Plan, o.ServiceTime, now)
	}
	if o.Kind == OK {
		s.budget.Success()
	}
}

func (s *Service) followLimit(a *attempt, o Outcome, now time.Time) {
	switch o.Kind {
	case OK:
		a.target.limit.Good(a.target.record.Slots, now)
	case Shed:
		a.target.limit.Shed(a.target.inFlight, now)
	case ConnectFailed:
		a.target.refusedUntil = now.Add(refusedRest)
	}
}

// judge takes in what the outcome says about the target.
func (s *Service) judge(a *attempt, o Outcome, now time.Time) {
	t := a.target
	evidence, counts := s.evidence(a, o)
	if a.trial {
		s.endTrial(a, o.Kind, evidence, counts, now)
		return
	}
	before := t.health.State()
	switch {
	case counts && evidence == health.Unreachable && o.Kind != ConnectFailed:
		t.health.Unanswered(s.waitWeight(a, now), now)
	case counts && evidence == health.Slow:
		t.health.ObserveSlow(t.health.Goods()-a.goods, now)
	case counts:
		t.health.Observe(evidence, now)
	}
	if o.Kind == OK {
		s.fullProbes.requestAnswered(a, o.ServiceTime)
		t.health.Latency(o.ServiceTime.Seconds() / a.size.Typical.Seconds())
	}
	s.noteChange(t, before)
}

// waitWeight returns the evidence of an attempt that has heard nothing.
func (s *Service) waitWeight(a *attempt, now time.Time) float64 {
	waited := now.Sub(a.target.health.WaitingSince(a.started, a.goods)) - a.stopped
	ratio := waited.Seconds() / (a.size.Typical.Seconds() * max(a.target.health.Peers().Level, 1))
	return health.WaitWeight(waited, ratio, s.sizes.Beyond(ratio))
}

// slowAfter returns the service time from which the attempt is slow.
func (a *attempt) slowAfter() time.Duration {
	return health.SlowAfter(a.size.Typical, a.target.health.Peers())
}

// evidence returns what the outcome says, and whether it counts. What went
// wrong on another target before is the doing of the request.
func (s *Service) evidence(a *attempt, o Outcome) (evidence health.Evidence, counts bool) {
	slow := o.ServiceTime > a.slowAfter()
	t := a.ticket
	switch o.Kind {
	case OK:
		if !slow {
			t.won = true
			return health.Good, true
		}
		counts = a.overdue || !t.slow
		t.slow = true
		return health.Slow, counts
	case Canceled:
		if t.won && o.ServiceTime > a.slowAfter()/2 {
			return health.Slow, true // the same request was quick on another target
		}
		counts = slow && (a.overdue || !t.slow)
		t.slow = t.slow || slow
		return health.Unreachable, counts
	case Timeout:
		counts = slow && (a.overdue || !t.slow)
		t.slow = t.slow || slow
		return health.Unreachable, counts
	case UpstreamError, Truncated, WrongID:
		counts = !t.failed
		t.failed = true
		return health.Failed, counts
	case ConnectFailed:
		return health.Unreachable, true
	default:
		return health.Good, false
	}
}

func (s *Service) endTrial(a *attempt, kind OutcomeKind, evidence health.Evidence, counts bool, now time.Time) {
	t := a.target
	if !counts && evidence != health.Slow {
		t.health.AbortTrial()
		return
	}
	if kind == Timeout {
		s.finishTrial(t, func() (bool, bool) { return t.health.EndLateTrial(now) })
		return
	}
	s.finishTrial(t, func() (bool, bool) { return t.health.EndTrial(evidence, now) })
}

// finishTrial runs end and reports a return or a new ejection. A target that
// returns starts with a small share of its slots.
func (s *Service) finishTrial(t *target, end func() (returned, changed bool)) {
	before := t.health.State()
	returned, _ := end()
	if returned {
		t.limit.Start(t.record.Slots, false)
	}
	s.noteChange(t, before)
}

// judgeWaiting takes in what attempts in flight say by hearing nothing. Time in
// which the owner itself was stopped does not count.
func (s *Service) judgeWaiting(now time.Time) {
	gap := now.Sub(s.tickedAt)
	stopped := !s.tickedAt.IsZero() && gap > 2*TickInterval
	waits := map[*target][]health.Wait{}
	for _, id := range s.attemptIDs() {
		a := s.attempts[id]
		if stopped {
			a.stopped += min(gap, now.Sub(a.started))
		}
		age := now.Sub(a.started) - a.stopped
		if a.trial || age <= a.slowAfter() {
			continue
		}
		s.markOverdue(a)
		if a.overdue {
			wait := health.Wait{Since: a.started, Weight: s.waitWeight(a, now)}
			waits[a.target] = append(waits[a.target], wait)
		}
	}
	s.tickedAt = now
	for _, t := range s.targets {
		before := t.health.State()
		t.health.SetWaiting(waits[t], now)
		s.noteChange(t, before)
	}
}

// attemptIDs returns the attempts in flight, oldest first.
func (s *Service) attemptIDs() []uint64 {
	return slices.Sorted(maps.Keys(s.attempts))
}

// markOverdue makes the attempt count as long work, and as evidence unless the
// request was slow on another target before.
func (s *Service) markOverdue(a *attempt) {
	if !a.long {
		a.long = true
		s.long++
	}
	if !a.ticket.slow {
		a.overdue = true
		a.ticket.slow = true
	}
}
