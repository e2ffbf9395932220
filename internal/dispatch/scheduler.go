package dispatch

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/owner"
)

// NewScheduler returns a Scheduler for a service that this entry owns.
func NewScheduler(s *owner.Service) Scheduler { return localScheduler{s} }

type localScheduler struct{ s *owner.Service }

func (l localScheduler) Submit(r owner.Request) (Ticket, *fault.Error) {
	t, rejection := l.s.Submit(r)
	if rejection != nil {
		return nil, rejection
	}
	return t, nil
}

func (l localScheduler) EndAttempt(g owner.Grant, o owner.Outcome) { l.s.EndAttempt(g, o) }

func (l localScheduler) Retry(t Ticket, o owner.Outcome) bool {
	return l.s.Retry(t.(*owner.Ticket), o)
}

func (l localScheduler) Hedge(t Ticket) (owner.Grant, bool) {
	return l.s.Hedge(t.(*owner.Ticket))
}

func (l localScheduler) HedgeDelay(r owner.Request) time.Duration { return l.s.HedgeDelay(r) }
