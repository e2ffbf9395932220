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

func orderOf(state health.State) schedule.Order {
	switch state {
	case health.Suspect:
		return schedule.Doubtful
	case health.Avoided:
		return schedule.Poor
	default:
		return schedule.Preferred
	}
}

// slots returns how many slots of the target may be used now.
func (t *target) slots(now time.Time) int {
	limit := t.limit.Slots(t.record.Slots, now)
	if t.health.State() == health.Avoided {
		return min(limit, 1)
	}
	return limit
}

// dispatch grants free slots to queued requests.
func (s *Service) dispatch(now time.Time) {
	for s.queue.Len() > 0 {
		options := s.options(nil, now)
		if freeSlots(options) == 0 {
			return
		}
		job := s.queue.Next(s.long < schedule.LongSlots(totalSlots(options)))
		if job == nil {
			return
		}
		s.grantNext(job, options, now)
	}
}

// grantNext starts the job that the queue handed out, or refuses it if its
// answer would be late. Options are those of any request.
func (s *Service) grantNext(job *schedule.Job, options []schedule.Option, now time.Time) {
	t := s.tickets[job.ID]
	size := s.sizes.Expect(t.request.Route, t.request.Plan)
	if now.Add(size.Typical).After(t.request.Deadline) {
		s.queue.Finished(job.Plan, job.Cost, 0)
		s.refuse(t, fault.New(fault.Overloaded, "wait exceeded the deadline").WithRetryAfter(size.Mean))
		return
	}
	delete(s.tickets, job.ID)
	s.metrics.queueWait.Update(now.Sub(t.queued).Seconds())
	if trial := s.trialTarget(t, now); trial != nil {
		t.granted <- s.start(t, trial, startAs{trial: true}, now)
		return
	}
	if len(t.tried) > 0 {
		options = s.options(t, now)
	}
	i, ok := schedule.Pick(options, s.cfg.Rand.Float64())
	if !ok {
		panic("owner: no free slot for a granted request, service " + s.cfg.Service)
	}
	t.granted <- s.start(t, s.targets[options[i].Index], startAs{}, now)
}

// trialTarget returns a target that wants this request as a trial. The request
// must be idempotent, on its first attempt, and early enough for a retry.
func (s *Service) trialTarget(t *Ticket, now time.Time) *target {
	early := now.Sub(t.arrived) <= t.request.Deadline.Sub(t.arrived)/4
	if !t.request.Idempotent || len(t.tried) > 0 || !early {
		return nil
	}
	for _, candidate := range s.targets {
		usable := s.registry.Availability(candidate.record.Address, now) == upstream.Usable
		if usable && candidate.inFlight == 0 && candidate.health.WantsTrial(candidate.record.ProbePath != "") {
			return candidate
		}
	}
	return nil
}

// refusedRest is how long a target that failed to accept a connection is left
// alone while others may be used. Attempts on it fail within a fraction of a
// millisecond, so it always has a free slot and would use up the retry budget
// whenever all others are busy.
const refusedRest = 200 * time.Millisecond

// options returns the targets that may get new work. A nil ticket stands for
// any request.
func (s *Service) options(t *Ticket, now time.Time) []schedule.Option {
	all := s.allOptions(t, now)
	accepting := slices.DeleteFunc(slices.Clone(all), func(o schedule.Option) bool {
		return now.Before(s.targets[o.Index].refusedUntil)
	})
	if len(accepting) == 0 {
		return all
	}
	return accepting
}

func (s *Service) allOptions(t *Ticket, now time.Time) []schedule.Option {
	options := make([]schedule.Option, 0, len(s.targets))
	for i, candidate := range s.targets {
		order, ok := s.order(candidate, now)
		if !ok {
			continue
		}
		options = append(options, schedule.Option{
			Index:          i,
			Order:          order,
			Limit:          candidate.slots(now),
			InFlight:       candidate.inFlight,
			Tried:          t != nil && slices.Contains(t.tried, candidate.record.Address),
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

// startAs tells how an attempt differs from a plain one.
type startAs struct{ hedge, trial bool }

func (s *Service) start(t *Ticket, to *target, as startAs, now time.Time) Grant {
	to.occupy()
	size := s.sizes.Expect(t.request.Route, t.request.Plan)
	a := &attempt{
		ticket: t, target: to, size: size, started: now,
		hedge: as.hedge, trial: as.trial, goods: to.health.Goods(),
	}
	if t.slow || size.Class == schedule.Long {
		a.long = true
		s.long++
	}
	if as.trial {
		s.assertTrial(t, to)
		to.health.BeginTrial()
	}
	t.tried = append(t.tried, to.record.Address)
	t.live++
	id := s.nextID()
	s.attempts[id] = a
	s.metrics.granted.Inc()
	return Grant{Target: to.record, Attempt: id, Trial: as.trial}
}

// occupy takes a slot. More attempts than slots panic.
func (t *target) occupy() {
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
