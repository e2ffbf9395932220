// Package policy implements the policies that the bench compares: the scheduler
// of the owner package and several baselines.
package policy

import (
	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/tools/bench/fleet"
)

// Chooser returns the target for a request that arrives at its entry, based on
// the attempts in flight.
type Chooser func(d *Direct, r *fleet.Request) int

// Direct sends each request to a target on arrival; requests queue at the target.
type Direct struct {
	env      fleet.Environment
	choose   Chooser
	next     int                       // position of RoundRobin
	perEntry [][]int                   // attempts in flight by entry and target
	total    []int                     // attempts in flight by target
	cancel   map[*fleet.Request]func() // of the attempt in flight
}

// NewDirect returns a policy that sends each request to the chosen target.
func NewDirect(choose Chooser) *Direct { return &Direct{choose: choose} }

// Start implements fleet.Policy.
func (d *Direct) Start(env fleet.Environment) {
	d.env = env
	d.total = make([]int, env.Spec().Targets)
	d.perEntry = make([][]int, env.Spec().Entries)
	for i := range d.perEntry {
		d.perEntry[i] = make([]int, env.Spec().Targets)
	}
	d.cancel = map[*fleet.Request]func(){}
}

// OnArrival implements fleet.Policy.
func (d *Direct) OnArrival(r *fleet.Request) {
	target := d.choose(d, r)
	d.total[target]++
	d.perEntry[r.Entry][target]++
	release := func() {
		d.total[target]--
		d.perEntry[r.Entry][target]--
		delete(d.cancel, r)
	}
	stop := d.env.Send(r, target, func(o owner.Outcome) {
		release()
		if o.Kind == owner.OK {
			d.env.Respond(r)
		} else {
			d.env.Fail(r)
		}
	})
	d.cancel[r] = func() {
		stop()
		release()
	}
}

// OnDeadline implements fleet.Policy.
func (d *Direct) OnDeadline(r *fleet.Request) {
	if cancel, ok := d.cancel[r]; ok {
		cancel()
	}
	d.env.Fail(r)
}

// RoundRobin chooses the targets in turn, with one sequence for all entries.
func RoundRobin(d *Direct, _ *fleet.Request) int {
	d.next++
	return d.next % len(d.total)
}

// LeastRequests chooses the target with the fewest attempts in flight from all
// entries.
func LeastRequests(d *Direct, _ *fleet.Request) int {
	offset := d.env.Rand().IntN(len(d.total))
	best := offset
	for i := range d.total {
		candidate := (i + offset) % len(d.total)
		if d.total[candidate] < d.total[best] {
			best = candidate
		}
	}
	return best
}

// PowerOfTwo chooses, of two random targets, the one with fewer attempts in
// flight from the entry of the request.
func PowerOfTwo(d *Direct, r *fleet.Request) int {
	a := d.env.Rand().IntN(len(d.total))
	b := d.env.Rand().IntN(len(d.total))
	if d.perEntry[r.Entry][b] < d.perEntry[r.Entry][a] {
		return b
	}
	return a
}

// IdealQueue is a single first-in, first-out queue in front of the slots of all
// targets.
type IdealQueue struct {
	env       fleet.Environment
	freeSlots []int // by target
	queue     []*fleet.Request
	cancel    map[*fleet.Request]func()
}

// Start implements fleet.Policy.
func (p *IdealQueue) Start(env fleet.Environment) {
	p.env = env
	p.freeSlots = make([]int, env.Spec().Targets)
	for i := range p.freeSlots {
		p.freeSlots[i] = env.Spec().Slots
	}
	p.cancel = map[*fleet.Request]func(){}
}

// OnArrival implements fleet.Policy.
func (p *IdealQueue) OnArrival(r *fleet.Request) {
	p.queue = append(p.queue, r)
	p.dispatch()
}

func (p *IdealQueue) dispatch() {
	for len(p.queue) > 0 {
		best := 0
		for i := range p.freeSlots {
			if p.freeSlots[i] > p.freeSlots[best] {
				best = i
			}
		}
		if p.freeSlots[best] == 0 {
			return
		}
		r := p.queue[0]
		p.queue = p.queue[1:]
		p.send(r, best)
	}
}

func (p *IdealQueue) send(r *fleet.Request, target int) {
	p.freeSlots[target]--
	stop := p.env.Send(r, target, func(o owner.Outcome) {
		p.freeSlots[target]++
		delete(p.cancel, r)
		if o.Kind == owner.OK {
			p.env.Respond(r)
		} else {
			p.env.Fail(r)
		}
		p.dispatch()
	})
	p.cancel[r] = func() {
		stop()
		p.freeSlots[target]++
		delete(p.cancel, r)
	}
}

// OnDeadline implements fleet.Policy.
func (p *IdealQueue) OnDeadline(r *fleet.Request) {
	if cancel, ok := p.cancel[r]; ok {
		cancel()
	}
	for i, queued := range p.queue {
		if queued == r {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			break
		}
	}
	p.env.Fail(r)
	p.dispatch()
}
