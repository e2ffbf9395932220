package owner

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/schedule"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

// Retry-After values of rejected requests.
const (
	noTargetRetryAfter  = time.Second
	queueFullRetryAfter = time.Second
)

// admit returns an error if the request cannot be served before its deadline or
// exceeds the request rate of its plan. A rejected request has not run.
func (s *Service) admit(r Request, now time.Time) *fault.Error {
	if err := s.checkCapacity(r, now); err != nil {
		return err
	}
	if ok, retryAfter := s.rates.Allow(r.Plan, r.RequestsPerSecond, now); !ok {
		return fault.New(fault.RateLimited, "request rate of the plan is exceeded").WithRetryAfter(retryAfter)
	}
	return nil
}

// checkCapacity returns an error if the request cannot be served before its deadline.
func (s *Service) checkCapacity(r Request, now time.Time) *fault.Error {
	remaining := r.Deadline.Sub(now)
	if remaining <= 0 {
		return fault.New(fault.DeadlineExceeded, "deadline passed before admission").WithEffect(fault.NotRun)
	}
	load := s.load(now)
	if load.Slots == 0 {
		return s.noTarget(now)
	}
	if s.queue.Len() >= s.cfg.QueueLimit {
		return fault.New(fault.Overloaded, "queue is full").WithRetryAfter(queueFullRetryAfter)
	}
	arrival := s.newArrival(r)
	wait := schedule.ExpectedWait(load, arrival)
	if ok, retryAfter := schedule.MayAdmit(wait, remaining, arrival.Estimate); !ok {
		return fault.New(fault.Overloaded, "expected wait exceeds the deadline").WithRetryAfter(retryAfter)
	}
	return nil
}

// HasCapacity reports whether the request could be served here before its deadline
// if it were submitted now. If not, the caller tries another region.
func (s *Service) HasCapacity(r Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkCapacity(r, s.cfg.Clock.Now()) == nil
}

func (s *Service) newArrival(r Request) schedule.Arrival {
	return schedule.Arrival{
		Plan:        r.Plan,
		Weight:      r.Weight,
		Concurrency: r.Concurrency,
		Estimate:    s.estimates.Expect(r.Route, r.Plan),
	}
}

// load returns the total and free slots of the available targets. The total
// includes avoided and last-resort targets only if there are no others. A target
// whose limit is 0 after it shed load counts as one slot, because it accepts
// requests again within the expected wait.
func (s *Service) load(now time.Time) schedule.Load {
	load := schedule.Load{Backlogs: s.queue.Backlogs()}
	fallbackSlots := 0
	for _, t := range s.targets {
		preference, ok := s.targetPreference(t, now)
		if !ok {
			continue
		}
		limit := t.usableSlots(now)
		load.Free += max(limit-t.inFlight, 0)
		if preference <= schedule.Suspect {
			load.Slots += max(limit, 1)
		} else {
			fallbackSlots += max(limit, 1)
		}
	}
	if load.Slots == 0 {
		load.Slots = fallbackSlots
	}
	if load.Slots > 0 {
		load.TimeToFreeSlot = s.estimates.Mean() / time.Duration(load.Slots)
	}
	return load
}

// targetPreference returns the preference of a target, or false if the
// target gets no new requests except trials.
func (s *Service) targetPreference(t *target, now time.Time) (schedule.Preference, bool) {
	availability := s.registry.Availability(t.record.Address, now)
	if availability == upstream.Unusable || t.health.Ejected() || t.isPostponed(now) {
		return 0, false
	}
	if availability == upstream.LastResort {
		return schedule.LastResort, true
	}
	return preferenceForState(t.health.State()), true
}
