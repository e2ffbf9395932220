package policy

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/upstream"
	"github.com/sequoialane/sequoialane/tools/bench/fleet"
)

const (
	announceInterval = 2 * time.Second
	leaseTime        = 3 * time.Second
	leaseInterval    = time.Second
	region           = "region-1"
)

// Owner schedules requests with an owner.Service.
type Owner struct {
	HoldsEjectionLease bool // whether the service may eject targets

	env      fleet.Environment
	service  *owner.Service
	waiting  []*call                  // without a grant
	calls    map[*fleet.Request]*call // without a result
	sequence uint64                   // of the last announcement
}

// call is the state of a request that was submitted to the service.
type call struct {
	request  *fleet.Request
	ticket   *owner.Ticket
	attempts map[uint64]*attempt
	done     bool // the caller has a result
}

// attempt is an attempt in flight.
type attempt struct {
	grant  owner.Grant
	cancel func()
}

// environmentClock is the clock of the owner.Service. It only tells the time;
// timers and tickers would not follow the time of the engine.
type environmentClock struct{ env fleet.Environment }

func (c environmentClock) Now() time.Time { return c.env.Now() }
func (environmentClock) After(time.Duration) <-chan time.Time {
	panic("bench: owner.Service must not wait on its clock")
}
func (environmentClock) NewTicker(time.Duration) sys.Ticker {
	panic("bench: owner.Service must not wait on its clock")
}
func (environmentClock) Sleep(context.Context, time.Duration) error {
	panic("bench: owner.Service must not wait on its clock")
}

// Start implements fleet.Policy.
func (p *Owner) Start(env fleet.Environment) {
	p.env = env
	p.calls = map[*fleet.Request]*call{}
	p.service = owner.New(owner.Config{
		Service:    env.Spec().Name,
		Region:     region,
		DataCentre: dataCentre(0),
		Clock:      environmentClock{env},
		Rand:       env.Rand(),
	})
	p.sequence = 10 // so that the targets appear to have been serving for a while
	p.announce()
	p.renewLease()
	p.tick()
}

func dataCentre(target int) string { return fmt.Sprintf("%s-%d", region, target%2) }

func address(target int) string { return fmt.Sprintf("target-%04d", target) }

func targetIndex(address string) int {
	var target int
	if _, err := fmt.Sscanf(address, "target-%d", &target); err != nil {
		panic("bench: unknown address " + address)
	}
	return target
}

func (p *Owner) announce() {
	p.sequence++
	for i := range p.env.Spec().Targets {
		p.service.ApplyAnnouncement(upstream.Announcement{
			Service:     p.env.Spec().Name,
			Address:     address(i),
			Region:      region,
			DataCentre:  dataCentre(i),
			Slots:       p.env.Spec().Slots,
			State:       upstream.Serving,
			Incarnation: 1,
			Sequence:    p.sequence,
			ProbePath:   "/health",
		})
	}
	p.env.After(announceInterval, p.announce)
}

func (p *Owner) renewLease() {
	p.service.SetEjectionLease(p.HoldsEjectionLease, p.env.Now().Add(leaseTime))
	p.env.After(leaseInterval, p.renewLease)
}

func (p *Owner) tick() {
	for _, action := range p.service.Tick(p.env.Now()) {
		target := targetIndex(action.Target.Address)
		p.env.RecordAction(action.Kind, target)
		if action.Kind != owner.Probe && action.Kind != owner.PeerProbe {
			continue
		}
		p.env.Probe(target, action.Kind == owner.PeerProbe, action.Timeout, func(o owner.Outcome) {
			p.service.ProbeResult(action.ProbeID, o)
			p.poll()
		})
	}
	p.poll()
	p.env.After(owner.TickInterval, p.tick)
}

// OnArrival implements fleet.Policy.
func (p *Owner) OnArrival(r *fleet.Request) {
	ticket, rejection := p.service.Submit(p.ownerRequest(r))
	if rejection != nil {
		p.env.Reject(r)
		p.poll()
		return
	}
	c := &call{request: r, ticket: ticket, attempts: map[uint64]*attempt{}}
	p.calls[r] = c
	p.waiting = append(p.waiting, c)
	p.poll()
}

func (p *Owner) ownerRequest(r *fleet.Request) owner.Request {
	return owner.Request{
		ID:         fmt.Sprint(r.ID),
		Plan:       r.Plan,
		Route:      r.Route,
		Weight:     r.Weight,
		Deadline:   r.Deadline,
		Idempotent: r.Idempotent,
	}
}

// poll handles the grants and rejections that the last call of the service
// issued.
func (p *Owner) poll() {
	stillWaiting := p.waiting[:0]
	var granted []*call
	var grants []owner.Grant
	for _, c := range p.waiting {
		select {
		case g, ok := <-c.ticket.Granted():
			if ok {
				granted = append(granted, c)
				grants = append(grants, g)
			} else {
				p.finish(c)
				p.env.Reject(c.request)
			}
		default:
			if !c.done {
				stillWaiting = append(stillWaiting, c)
			}
		}
	}
	p.waiting = stillWaiting
	for i, c := range granted {
		p.send(c, grants[i])
		p.scheduleHedge(c)
	}
}

func (p *Owner) send(c *call, g owner.Grant) {
	a := &attempt{grant: g}
	c.attempts[g.AttemptID] = a
	a.cancel = p.env.Send(c.request, targetIndex(g.Target.Address), func(o owner.Outcome) {
		p.onAttemptDone(c, g, o)
	})
}

func (p *Owner) scheduleHedge(c *call) {
	if !c.request.Idempotent {
		return
	}
	p.env.After(p.service.HedgeDelay(p.ownerRequest(c.request)), func() {
		if c.done || len(c.attempts) != 1 {
			return
		}
		if g, ok := p.service.Hedge(c.ticket); ok {
			p.send(c, g)
		}
	})
}

func (p *Owner) onAttemptDone(c *call, g owner.Grant, o owner.Outcome) {
	delete(c.attempts, g.AttemptID)
	p.service.EndAttempt(g, o)
	switch {
	case c.done:
	case o.Kind == owner.OK:
		p.finish(c)
		p.env.Respond(c.request)
		p.cancelAttempts(c, owner.Canceled)
	case len(c.attempts) > 0: // the other attempt may succeed
	case p.service.Retry(c.ticket, o):
		p.waiting = append(p.waiting, c)
	default:
		p.finish(c)
		p.env.Fail(c.request)
	}
	p.poll()
}

// OnDeadline implements fleet.Policy. It cancels the attempts of idempotent
// requests only; an attempt of another request continues at its target.
func (p *Owner) OnDeadline(r *fleet.Request) {
	c, ok := p.calls[r]
	if !ok {
		return
	}
	p.finish(c)
	c.ticket.Cancel()
	p.env.Fail(r)
	if r.Idempotent {
		p.cancelAttempts(c, owner.Timeout)
	}
	p.poll()
}

func (p *Owner) cancelAttempts(c *call, kind owner.OutcomeKind) {
	for _, id := range slices.Sorted(maps.Keys(c.attempts)) {
		a := c.attempts[id]
		a.cancel()
		delete(c.attempts, id)
		p.service.EndAttempt(a.grant, owner.Outcome{Kind: kind, BytesSent: true})
	}
}

func (p *Owner) finish(c *call) {
	c.done = true
	delete(p.calls, c.request)
}
