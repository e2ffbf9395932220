package owner

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

// dispatch grants free slots to queued requests.
func (s *Service) dispatch(now time.Time) {
	for s.queue.Len() > 0 && s.freeSlot(now) {
		job := s.queue.Next(true)
		if job == nil {
			return
		}
		t := s.tickets[job.ID]
		delete(s.tickets, job.ID)
		address, ok := s.pick(t, now)
		if !ok {
			panic("owner: no target for a granted request, service " + s.cfg.Service)
		}
		t.granted <- s.start(t, address, false, now)
	}
}

func (s *Service) freeSlot(now time.Time) bool {
	for _, a := range s.available(now) {
		if s.targets[a.Address].inFlight < a.Slots {
			return true
		}
	}
	return false
}

// pick chooses the target with the smallest share of its slots in use,
// preferring targets that the request has not tried.
func (s *Service) pick(t *Ticket, now time.Time) (string, bool) {
	best, found := "", false
	var bestScore float64
	for _, a := range s.available(now) {
		inFlight := s.targets[a.Address].inFlight
		if inFlight >= a.Slots {
			continue
		}
		score := float64(inFlight) / float64(a.Slots)
		if t.tried[a.Address] {
			score++
		}
		if a.DataCentre != s.cfg.DataCentre {
			score += 0.01
		}
		score += s.cfg.Rand.Float64() * 0.001
		if !found || score < bestScore {
			best, bestScore, found = a.Address, score, true
		}
	}
	return best, found
}

// available returns the targets that may receive new work. Targets kept after
// a mass expiry count only if there is no other.
func (s *Service) available(now time.Time) []upstream.Target {
	var usable, lastResort []upstream.Target
	for _, a := range s.registry.Targets() {
		switch s.registry.Availability(a.Address, now) {
		case upstream.Usable:
			usable = append(usable, a)
		case upstream.LastResort:
			lastResort = append(lastResort, a)
		}
	}
	if len(usable) == 0 {
		return lastResort
	}
	return usable
}

func (s *Service) start(t *Ticket, address string, hedge bool, now time.Time) Grant {
	record, ok := s.registry.Target(address)
	if !ok {
		panic("owner: grant to an unknown target " + address)
	}
	state := s.target(address)
	state.inFlight++
	s.assertSlots(address, record.Slots, state.inFlight)
	t.tried[address] = true
	id := s.nextID()
	s.attempts[id] = &attempt{ticket: t, address: address, started: now, hedge: hedge}
	return Grant{Target: record, Attempt: id}
}

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
	s.target(a.address).inFlight--
	if a.hedge {
		s.queue.Charge(a.ticket.request.Plan, now.Sub(a.started))
	} else {
		s.queue.Finished(a.ticket.request.Plan, a.ticket.job.Cost, now.Sub(a.started))
	}
	if o.Kind == OK {
		s.budget.Success()
	}
	s.dispatch(now)
}

// Tick advances leases and deadlines and returns what the caller should do.
func (s *Service) Tick(now time.Time) []Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Expire(now)
	for _, job := range s.queue.Overdue(now) {
		err := fault.New(fault.DeadlineExceeded, "deadline passed in the queue").WithEffect(fault.NotRun)
		s.refuse(s.tickets[job.ID], err)
	}
	s.queue.Prune()
	s.dispatch(now)
	return nil
}
