package owner

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/retry"
	"github.com/sequoialane/sequoialane/internal/schedule"
)

// Ticket is a submitted request until its last attempt has ended.
type Ticket struct {
	service *Service
	request Request
	arrived time.Time
	granted chan Grant

	// Under the lock of the service.
	job    *schedule.Job // current stay in the queue
	queued time.Time
	open   bool     // more grants may come
	tried  []string // addresses
	live   int      // attempts in flight
	won    bool     // an attempt had a quick answer
	slow   bool     // an attempt was slow on some target
	failed bool     // an attempt failed on some target
	err    *fault.Error
}

// Granted delivers a grant, and one more after each Retry that returned true.
// It is closed when the request is refused while queued; Err tells why. Each
// grant received must be ended with Done.
func (t *Ticket) Granted() <-chan Grant { return t.granted }

// Err returns why the request was refused, or nil.
func (t *Ticket) Err() *fault.Error {
	t.service.mu.Lock()
	defer t.service.mu.Unlock()
	return t.err
}

// Cancel drops the request if it is still queued. A grant that was not yet
// received is given back.
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
		s.done(g, Outcome{Kind: Canceled, NotRun: true}, s.cfg.Clock.Now())
	default:
	}
}

// Submit queues a request, or refuses it at once.
func (s *Service) Submit(r Request) (*Ticket, *fault.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	s.metrics.submitted.Inc()
	if err := s.admit(r, now); err != nil {
		s.metrics.refused(err.Kind)
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
	s.dispatch(now)
	return t, nil
}

func (s *Service) newJob(t *Ticket, now time.Time) *schedule.Job {
	size := s.sizes.Expect(t.request.Route, t.request.Plan)
	if t.slow {
		size.Class = schedule.Long
	}
	t.queued = now
	t.job = &schedule.Job{
		ID:          s.nextID(),
		Plan:        t.request.Plan,
		Weight:      t.request.Weight,
		Concurrency: t.request.Concurrency,
		Class:       size.Class,
		Cost:        size.Mean,
		Deadline:    t.request.Deadline,
	}
	s.tickets[t.job.ID] = t
	return t.job
}

func (s *Service) refuse(t *Ticket, err *fault.Error) {
	delete(s.tickets, t.job.ID)
	s.metrics.refused(err.Kind)
	t.err = err
	t.open = false
	close(t.granted)
}

// Retry decides, after Done, whether the request is tried once more. If so, it
// is queued again and its next grant arrives on Granted.
func (s *Service) Retry(t *Ticket, o Outcome) (again bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	if !t.open || t.live > 0 || o.Kind == OK || o.Kind == Canceled {
		return false
	}
	if !t.request.Idempotent && !provedNotRun(o) {
		return false
	}
	if !retry.InTime(now, t.arrived, t.request.Deadline) {
		return false
	}
	if !s.budget.Take() {
		s.metrics.budgetSpent.Inc()
		return false
	}
	s.metrics.retries.Inc()
	s.queue.PushFront(s.newJob(t, now))
	s.dispatch(now)
	return true
}

// provedNotRun reports whether the attempt cannot have taken effect.
func provedNotRun(o Outcome) bool {
	return o.NotRun || (o.Kind == ConnectFailed && !o.BytesSent)
}

// Hedge grants a second attempt on another target, if the request is
// idempotent, a slot is free and no request is waiting.
func (s *Service) Hedge(t *Ticket) (Grant, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	options := s.options(t, now)
	may := retry.MayHedge(retry.HedgeCase{
		Idempotent: t.request.Idempotent,
		Waiting:    s.queue.Len(),
		Slots:      totalSlots(options),
		FreeSlots:  freeSlots(options),
		Attempts:   t.live,
	})
	if !t.open || !may {
		return Grant{}, false
	}
	i, ok := schedule.Pick(options, s.cfg.Rand.Float64())
	if !ok || options[i].Tried || options[i].Order != schedule.Preferred || !s.budget.Take() {
		return Grant{}, false
	}
	s.metrics.hedges.Inc()
	return s.start(t, s.targets[options[i].Index], startAs{hedge: true}, now), true
}

// HedgeDelay returns how long an attempt of the request may hear nothing
// before a fresh connection or a hedge is tried.
func (s *Service) HedgeDelay(r Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := s.sizes.Expect(r.Route, r.Plan)
	return retry.HedgeDelay(size.High, size.Class == schedule.Short)
}
