package owner

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

// applyAdvice applies what a target has asked for in a response. It binds the
// incarnation that has sent it.
func (s *Service) applyAdvice(from upstream.Target, o Outcome, now time.Time) {
	if o.Leaving && s.registry.MarkDraining(from.Address, from.Incarnation) {
		s.metrics.leaving.Inc()
		s.actions = append(s.actions, Action{Kind: Left, Target: from, Reason: "its response says that it is about to stop"})
	}
	t := s.findTarget(from.Address)
	if o.RetryAfter <= 0 || t == nil || t.record.Incarnation != from.Incarnation {
		return
	}
	if until := now.Add(o.RetryAfter); until.After(t.postponedUntil) {
		t.postponedUntil = until
		s.metrics.postponed.Inc()
		s.actions = append(s.actions, Action{Kind: Postponed, Target: from, Reason: "it wants no request for " + o.RetryAfter.String()})
	}
}

// isPostponed reports whether the target wants no request now.
func (t *target) isPostponed(now time.Time) bool { return now.Before(t.postponedUntil) }

// postponedFor returns when the first target is available again if all that were
// have asked for time; 0: that is not so.
func (s *Service) postponedFor(now time.Time) time.Duration {
	first := time.Duration(0)
	for _, t := range s.targets {
		if _, available := s.targetPreference(t, now); available {
			return 0
		}
		usable := s.registry.Availability(t.record.Address, now) != upstream.Unusable
		if wait := t.postponedUntil.Sub(now); usable && wait > 0 && (first == 0 || wait < first) {
			first = wait
		}
	}
	return first
}

// noTarget returns the error for a request that no target is available for.
func (s *Service) noTarget(now time.Time) *fault.Error {
	if wait := s.postponedFor(now); wait > 0 {
		return fault.New(fault.Overloaded, "all targets have asked for time").WithRetryAfter(wait)
	}
	return fault.New(fault.NoUpstream, "no target is available").WithRetryAfter(noTargetRetryAfter)
}

// rejectPostponedRequests rejects the queued requests whose deadline passes before
// a target takes requests again.
func (s *Service) rejectPostponedRequests(now time.Time) {
	wait := s.postponedFor(now)
	if wait == 0 || s.queue.Len() == 0 {
		return
	}
	for _, job := range s.queue.Overdue(now.Add(wait)) {
		s.queue.Remove(job)
		s.reject(s.tickets[job.ID], s.noTarget(now))
	}
}
