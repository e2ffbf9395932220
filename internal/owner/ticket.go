package owner

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/retry"
	"github.com/sequoialane/sequoialane/internal/schedule"
)

// Ticket tracks a submitted request until its last attempt has ended.
type Ticket struct {
	service *Service
	request Request
	arrived time.Time
	granted chan Grant

	// The fields below are guarded by Service.mu.
	job              *schedule.Job // current or last entry in the queue
	queued           time.Time
	open             bool     // more grants may follow
	triedAddresses   []string // addresses of the targets of all attempts
	inFlight         int      // attempts in flight
	hadQuickResponse bool     // an attempt got a quick response
	hadSlowAttempt   bool     // an attempt was slow on some target
	hadFailedAttempt bool     // an attempt failed on some target
	err              *fault.Error
}

// Granted delivers one grant, and one more after each Retry that returned true.
// It is closed if the request is rejected while queued; Err then returns the
// reason. The receiver must end each grant with EndAttempt.
func (t *Ticket) Granted() <-chan Grant { return t.granted }

// Err returns the reason why the request was rejected, or nil.
func (t *Ticket) Err() *fault.Error {
	t.service.mu.Lock()
	defer t.service.mu.Unlock()
	return t.err
}

// Cancel removes the request from the queue. A grant that was not yet received
// is released.
func (t *Ticket) Cancel() {
	s := t.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if !t.open {
		return
	}
	t.open = false
	if s.queue.Remove(t.job) {
		delete(s.tickets, t.job.ID)
		return
	}
	select {
	case g := <-t.granted:
		s.endAttempt(g, Outcome{Kind: Canceled, NotRun: true}, s.cfg.Clock.Now())
	default:
	}
}

// Submit queues a request, or rejects it immediately with an error.
func (s *Service) Submit(r Request) (*Ticket, *fault.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	s.metrics.submitted.Inc()
	if err := s.admit(r, now); err != nil {
		s.metrics.countRejection(err.Kind)
		return nil, err
	}
	t := &Ticket{
		service: s,
		request: r,
		arrived: now,
		granted: make(chan Grant, 1),
		open:    true,
	}
	s.queue.Push(s.newJob(t, now))
	s.grantFreeSlots(now)
	return t, nil
}

func (s *Service) newJob(t *Ticket, now time.Time) *schedule.Job {
	estimate := s.estimates.Expect(t.request.Route, t.request.Plan)
	if t.hadSlowAttempt {
		estimate.Class = schedule.Long
	}
	t.queued = now
	t.job = &schedule.Job{
		ID:          s.nextID(),
		Plan:        t.request.Plan,
		Weight:      t.request.Weight,
		Concurrency: t.request.Concurrency,
		Class:       estimate.Class,
		Cost:        estimate.Mean,
		Deadline:    t.request.Deadline,
	}
	s.tickets[t.job.ID] = t
	return t.job
}

func (s *Service) reject(t *Ticket, err *fault.Error) {
	delete(s.tickets, t.job.ID)
	s.metrics.countRejection(err.Kind)
	t.err = err
	t.open = false
	close(t.granted)
}

// Retry decides after EndAttempt whether the request gets another attempt. If so,
// the request is queued again and the next grant arrives on Granted.
func (s *Service) Retry(t *Ticket, o Outcome) (again bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	if !t.open || t.inFlight > 0 || o.Kind == OK || o.Kind == Canceled {
		return false
	}
	if !t.request.Idempotent && !provablyNotRun(o) {
		return false
	}
	if !retry.MayRetry(now, t.arrived, t.request.Deadline) {
		return false
	}
	if !s.retryBudget.Take() {
		s.metrics.retriesOverBudget.Inc()
		return false
	}
	s.metrics.retries.Inc()
	s.queue.PushFront(s.newJob(t, now))
	s.grantFreeSlots(now)
	return true
}

// provablyNotRun reports whether the attempt cannot have taken effect.
func provablyNotRun(o Outcome) bool {
	return o.NotRun || (o.Kind == ConnectFailed && !o.BytesSent)
}

// Hedge grants a second attempt on another target if the request is idempotent,
// a slot is free, no request is queued and the retry budget allows it.
func (s *Service) Hedge(t *Ticket) (Grant, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	options := s.options(t, now)
	allowed := retry.MayHedge(retry.HedgeConditions{
		Idempotent: t.request.Idempotent,
		Waiting:    s.queue.Len(),
		Slots:      totalSlots(options),
		FreeSlots:  freeSlots(options),
		Attempts:   t.inFlight,
	})
	if !t.open || !allowed {
		return Grant{}, false
	}
	i, ok := schedule.Pick(options, s.cfg.Rand.Float64())
	if !ok || options[i].Tried || options[i].Preference != schedule.Preferred || !s.retryBudget.Take() {
		return Grant{}, false
	}
	s.metrics.hedges.Inc()
	return s.startAttempt(t, s.targets[options[i].Index], attemptRole{hedge: true}, now), true
}

// HedgeDelay returns how long an attempt of the request may receive nothing
// before a new connection or a hedge is tried.
func (s *Service) HedgeDelay(r Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	estimate := s.estimates.Expect(r.Route, r.Plan)
	return retry.HedgeDelay(estimate.P90, estimate.Class == schedule.Short)
}
