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
	job     *schedule.Job // current stay in the queue
	granted chan Grant

	// Under the lock of the service.
	open  bool // more grants may come
	tried map[string]bool
	err   *fault.Error
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
	if err := s.admit(r, now); err != nil {
		return nil, err
	}
	t := &Ticket{
		service: s,
		request: r,
		arrived: now,
		granted: make(chan Grant, 1),
		open:    true,
		tried:   map[string]bool{},
	}
	s.enqueue(t)
	s.dispatch(now)
	return t, nil
}

func (s *Service) admit(r Request, now time.Time) *fault.Error {
	if !now.Before(r.Deadline) {
		return fault.New(fault.DeadlineExceeded, "deadline passed before admission").WithEffect(fault.NotRun)
	}
	if len(s.available(now)) == 0 {
		return fault.New(fault.NoUpstream, "no target is available").WithRetryAfter(time.Second)
	}
	if s.queue.Len() >= s.cfg.QueueLimit {
		return fault.New(fault.Overloaded, "queue is full").WithRetryAfter(time.Second)
	}
	return nil
}

func (s *Service) enqueue(t *Ticket) {
	t.job = &schedule.Job{
		ID:          s.nextID(),
		Plan:        t.request.Plan,
		Weight:      t.request.Weight,
		Concurrency: t.request.Concurrency,
		Cost:        10 * time.Millisecond,
		Deadline:    t.request.Deadline,
	}
	s.tickets[t.job.ID] = t
	s.queue.Push(t.job)
}

func (s *Service) refuse(t *Ticket, err *fault.Error) {
	s.queue.Remove(t.job)
	delete(s.tickets, t.job.ID)
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
	notRun := o.NotRun || o.Kind == ConnectFailed && !o.BytesSent
	if !t.open || o.Kind == OK || o.Kind == Canceled {
		return false
	}
	if !t.request.Idempotent && !notRun {
		return false
	}
	if !retry.InTime(now, t.arrived, t.request.Deadline) || !s.budget.Take() {
		return false
	}
	s.enqueue(t)
	s.dispatch(now)
	return true
}

// Hedge grants a second attempt on another target, if the request is
// idempotent, a slot is free and no request is waiting.
func (s *Service) Hedge(t *Ticket) (Grant, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	if !t.open || !t.request.Idempotent || s.queue.Len() > 0 {
		return Grant{}, false
	}
	address, ok := s.pick(t, now)
	if !ok || t.tried[address] || !s.budget.Take() {
		return Grant{}, false
	}
	return s.start(t, address, true, now), true
}
