package owner

import (
	"fmt"
	"slices"
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/health"
	"github.com/sequoialane/sequoialane/internal/schedule"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

func preferenceForState(state health.State) schedule.Preference {
	switch state {
	case health.Suspect:
		return schedule.Suspect
	case health.Avoided:
		return schedule.PathFault
	default:
		return schedule.Preferred
	}
}

// usableSlots returns how many slots of the target may be in use now.
func (t *target) usableSlots(now time.Time) int {
	limit := t.limit.Slots(t.record.Slots, now)
	if t.health.State() == health.Avoided {
		return min(limit, 1)
	}
	return limit
}

// grantFreeSlots grants free slots to queued requests.
func (s *Service) grantFreeSlots(now time.Time) {
	for s.queue.Len() > 0 {
		options := s.options(nil, now)
		if freeSlots(options) == 0 {
			return
		}
		job := s.queue.Next(s.longInFlight < schedule.LongSlots(totalSlots(options)))
		if job == nil {
			return
		}
		s.grantJob(job, options, now)
	}
}

// grantJob starts an attempt for a job taken from the queue, or rejects the job
// if its response would come after the deadline. options are those of a request
// without earlier attempts.
func (s *Service) grantJob(job *schedule.Job, options []schedule.Option, now time.Time) {
	t := s.tickets[job.ID]
	estimate := s.estimates.Expect(t.request.Route, t.request.Plan)
	if now.Add(estimate.Median).After(t.request.Deadline) {
		s.queue.Finish(job.Plan, job.Cost, 0)
		s.reject(t, fault.New(fault.Overloaded, "wait exceeded the deadline").WithRetryAfter(estimate.Mean))
		return
	}
	delete(s.tickets, job.ID)
	s.metrics.queueWait.Update(now.Sub(t.queued).Seconds())
	if trial := s.trialTarget(t, now); trial != nil {
		t.granted <- s.startAttempt(t, trial, attemptRole{trial: true}, now)
		return
	}
	if len(t.triedAddresses) > 0 {
		options = s.options(t, now)
	}
	i, ok := schedule.Pick(options, s.cfg.Rand.Float64())
	if !ok {
		panic("owner: no free slot for a granted request, service " + s.cfg.Service)
	}
	t.granted <- s.startAttempt(t, s.targets[options[i].Index], attemptRole{}, now)
}

// trialTarget returns an ejected target that can use the request as a trial, or
// nil. The request must be idempotent, without earlier attempts, and have enough
// time left for a retry.
func (s *Service) trialTarget(t *Ticket, now time.Time) *target {
	early := now.Sub(t.arrived) <= t.request.Deadline.Sub(t.arrived)/4
	if !t.request.Idempotent || len(t.triedAddresses) > 0 || !early {
		return nil
	}
	for _, candidate := range s.targets {
		usable := s.registry.Availability(candidate.record.Address, now) == upstream.Usable
		if usable && !candidate.isPostponed(now) && candidate.inFlight == 0 && candidate.health.WantsTrial(candidate.record.ProbePath != "") {
			return candidate
		}
	}
	return nil
}

// connectFailureBackoff is how long a target that did not accept a connection
// gets no requests while other targets are available. Attempts on it fail within
// a fraction of a millisecond, so it always has a free slot and would use up the
// retry budget whenever all other targets are busy.
const connectFailureBackoff = 200 * time.Millisecond

// options returns the targets that may get new requests. Targets in connection
// backoff are left out unless there are no others. A nil ticket stands for a
// request without earlier attempts.
func (s *Service) options(t *Ticket, now time.Time) []schedule.Option {
	all := s.allOptions(t, now)
	accepting := slices.DeleteFunc(slices.Clone(all), func(o schedule.Option) bool {
		return now.Before(s.targets[o.Index].backoffUntil)
	})
	if len(accepting) == 0 {
		return all
	}
	return accepting
}

// allOptions is options with the targets in connection backoff.
func (s *Service) allOptions(t *Ticket, now time.Time) []schedule.Option {
	options := make([]schedule.Option, 0, len(s.targets))
	for i, candidate := range s.targets {
		preference, ok := s.targetPreference(candidate, now)
		if !ok {
			continue
		}
		options = append(options, schedule.Option{
			Index:          i,
			Preference:     preference,
			Limit:          candidate.usableSlots(now),
			InFlight:       candidate.inFlight,
			Tried:          t != nil && slices.Contains(t.triedAddresses, candidate.record.Address),
			SameDataCentre: candidate.record.DataCentre == s.cfg.DataCentre,
			Score:          candidate.health.Score(),
		})
	}
	return options
}

func freeSlots(options []schedule.Option) int {
	free := 0
	for _, o := range options {
		free += max(o.Limit-o.InFlight, 0)
	}
	return free
}

func totalSlots(options []schedule.Option) int {
	total := 0
	for _, o := range options {
		total += o.Limit
	}
	return total
}

// attemptRole marks an attempt that is a hedge or a trial.
type attemptRole struct{ hedge, trial bool }

func (s *Service) startAttempt(t *Ticket, to *target, role attemptRole, now time.Time) Grant {
	to.occupySlot()
	estimate := s.estimates.Expect(t.request.Route, t.request.Plan)
	a := &attempt{
		ticket: t, target: to, estimate: estimate, started: now,
		hedge: role.hedge, trial: role.trial, goodResponsesBefore: to.health.GoodResponses(),
	}
	if t.hadSlowAttempt || estimate.Class == schedule.Long {
		a.countsAsLong = true
		s.longInFlight++
	}
	if role.trial {
		s.assertTrial(t, to)
		to.health.BeginTrial()
	}
	t.triedAddresses = append(t.triedAddresses, to.record.Address)
	t.inFlight++
	id := s.nextID()
	s.attempts[id] = a
	s.metrics.granted.Inc()
	return Grant{Target: to.record, AttemptID: id, Trial: role.trial}
}

// occupySlot takes a slot. It panics if all slots are in use already.
func (t *target) occupySlot() {
	t.inFlight++
	if t.inFlight > t.record.Slots {
		panic(fmt.Sprintf("owner: target %s has %d attempts on %d slots", t.record.Address, t.inFlight, t.record.Slots))
	}
}

func (s *Service) assertTrial(t *Ticket, to *target) {
	if !t.request.Idempotent {
		panic(fmt.Sprintf("owner: request %s is not idempotent and was chosen as the trial of %s", t.request.ID, to.record.Address))
	}
}
