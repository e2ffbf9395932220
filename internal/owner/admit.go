package owner

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/schedule"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

const (
	noUpstreamRetry = time.Second
	fullQueueRetry  = time.Second
)

// admit refuses a request that cannot be served in time. Nothing of a refused
// request has run.
func (s *Service) admit(r Request, now time.Time) *fault.Error {
	left := r.Deadline.Sub(now)
	if left <= 0 {
		return fault.New(fault.DeadlineExceeded, "deadline passed before admission").WithEffect(fault.NotRun)
	}
	load := s.load(now)
	if load.Slots == 0 {
		return fault.New(fault.NoUpstream, "no target is available").WithRetryAfter(noUpstreamRetry)
	}
	if s.queue.Len() >= s.cfg.QueueLimit {
		return fault.New(fault.Overloaded, "queue is full").WithRetryAfter(fullQueueRetry)
	}
	arrival := s.arrival(r)
	wait := schedule.ExpectedWait(load, arrival)
	if ok, after := schedule.InTime(wait, left, arrival.Size); !ok {
		return fault.New(fault.Overloaded, "expected wait exceeds the deadline").WithRetryAfter(after)
	}
	if ok, after := s.rates.Allow(r.Plan, r.RequestsPerSecond, now); !ok {
		return fault.New(fault.RateLimited, "request rate of the plan is exceeded").WithRetryAfter(after)
	}
	return nil
}

// ExpectedWait returns how long the request would wait for a slot now. The
// caller compares it with the deadline to decide on spill-over. Without any
// target it is an hour.
func (s *Service) ExpectedWait(r Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return schedule.ExpectedWait(s.load(s.cfg.Clock.Now()), s.arrival(r))
}

func (s *Service) arrival(r Request) schedule.Arrival {
	return schedule.Arrival{
		Plan:        r.Plan,
		Weight:      r.Weight,
		Concurrency: r.Concurrency,
		Size:        s.sizes.Expect(r.Route, r.Plan),
	}
}

// load sums up the slots that may be used. Targets that rest after a shed
// answer count with one slot, since they come back within the wait.
func (s *Service) load(now time.Time) schedule.Load {
	load := schedule.Load{Backlogs: s.queue.Backlogs()}
	poor := 0
	for _, t := range s.targets {
		order, ok := s.order(t, now)
		if !ok {
			continue
		}
		limit := t.slots(now)
		load.Free += max(limit-t.inFlight, 0)
		if order <= schedule.Doubtful {
			load.Slots += max(limit, 1)
		} else {
			poor += max(limit, 1)
		}
	}
	if load.Slots == 0 {
		load.Slots = poor
	}
	if load.Slots > 0 {
		load.Residual = s.sizes.Mean() / time.Duration(load.Slots)
	}
	return load
}

// order returns the order of preference of a target, or false if it may get no
// new work but trials.
func (s *Service) order(t *target, now time.Time) (schedule.Order, bool) {
	availability := s.registry.Availability(t.record.Address, now)
	if availability == upstream.Unusable || t.health.Out() {
		return 0, false
	}
	if availability == upstream.LastResort {
		return schedule.LastResort, true
	}
	return orderOf(t.health.State()), true
}
