package entry

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/dispatch"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/owner"
)

// scheduler lets dispatch use an owner aggregate.
type scheduler struct{ service *owner.Service }

var _ dispatch.Scheduler = scheduler{}

func (s scheduler) Submit(r owner.Request) (dispatch.Ticket, *fault.Error) {
	ticket, err := s.service.Submit(r)
	if err != nil {
		return nil, err
	}
	return ticket, nil
}

func (s scheduler) Done(g owner.Grant, o owner.Outcome) { s.service.Done(g, o) }

func (s scheduler) Retry(t dispatch.Ticket, o owner.Outcome) bool {
	return s.service.Retry(t.(*owner.Ticket), o)
}

func (s scheduler) Hedge(t dispatch.Ticket) (owner.Grant, bool) {
	return s.service.Hedge(t.(*owner.Ticket))
}

func (s scheduler) HedgeDelay(r owner.Request) time.Duration { return s.service.HedgeDelay(r) }
