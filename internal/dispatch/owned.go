package dispatch

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/owner"
)

// Owned makes a Scheduler of an owner aggregate.
func Owned(s *owner.Service) Scheduler { return ownedService{s} }

type ownedService struct{ s *owner.Service }

func (o ownedService) Submit(r owner.Request) (Ticket, *fault.Error) {
	t, refused := o.s.Submit(r)
	if refused != nil {
		return nil, refused
	}
	return t, nil
}

func (o ownedService) Done(g owner.Grant, out owner.Outcome) { o.s.Done(g, out) }

func (o ownedService) Retry(t Ticket, out owner.Outcome) bool {
	return o.s.Retry(t.(*owner.Ticket), out)
}

func (o ownedService) Hedge(t Ticket) (owner.Grant, bool) {
	return o.s.Hedge(t.(*owner.Ticket))
}

func (o ownedService) HedgeDelay(r owner.Request) time.Duration { return o.s.HedgeDelay(r) }
