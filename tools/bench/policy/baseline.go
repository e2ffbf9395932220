// Package policy holds the policies that the bench compares: the owner
// aggregate and the baselines.
package policy

import (
	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/tools/bench/fleet"
)

// Chooser returns the target for a request that arrives at its entry, given
// the attempts in flight as the entry knows them.
type Chooser func(b *Direct, r *fleet.Request) int

// Direct sends each request to a target at once; requests wait at the target.
type Direct struct {
	host   fleet.Host
	choose Chooser
	next   int
	own    [][]int // attempts in flight by entry and target
	all    []int   // attempts in flight by target
	cancel map[*fleet.Request]func()
}

// NewDirect returns a policy that sends at once.
func NewDirect(choose Chooser) *Direct { return &Direct{choose: choose} }

// Start implements fleet.Policy.
func (d *Direct) Start(h fleet.Host) {
	d.host = h
	d.all = make([]int, h.Spec().Targets)
	d.own = make([][]int, h.Spec().Entries)
	for i := range d.own {
		d.own[i] = make([]int, h.Spec().Targets)
	}
	d.cancel = map[*fleet.Request]func(){}
}

// OnArrival implements fleet.Policy.
func (d *Direct) OnArrival(r *fleet.Request) {
	target := d.choose(d, r)
	d.all[target]++
	d.own[r.Entry][target]++
	release := func() {
		d.all[target]--
		d.own[r.Entry][target]--
		delete(d.cancel, r)
	}
	stop := d.host.Send(r, target, func(o owner.Outcome) {
		release()
		if o.Kind == owner.OK {
			d.host.Answer(r)
		} else {
			d.host.Fail(r)
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
	d.host.Fail(r)
}

// RoundRobin takes the targets in turn over all entries.
func RoundRobin(d *Direct, _ *fleet.Request) int {
	d.next++
	return d.next % len(d.all)
}

// LeastRequests takes the target with the fewest attempts in flight of all
// entries.
func LeastRequests(d *Direct, _ *fleet.Request) int {
	offset := d.host.Rand().IntN(len(d.all))
	best := offset
	for i := range d.all {
		candidate := (i + offset) % len(d.all)
		if d.all[candidate] < d.all[best] {
			best = candidate
		}
	}
	return best
}

// PowerOfTwo takes the better of two random targets by the attempts in flight
// of the entry alone.
func PowerOfTwo(d *Direct, r *fleet.Request) int {
	a := d.host.Rand().IntN(len(d.all))
	b := d.host.Rand().IntN(len(d.all))
	if d.own[r.Entry][b] < d.own[r.Entry][a] {
		return b
	}
	return a
}

// Ideal is one queue in order of arrival before all slots.
type Ideal struct {
	host   fleet.Host
	free   []int // by target
	queue  []*fleet.Request
	cancel map[*fleet.Request]func()
}

// Start implements fleet.Policy.
func (p *Ideal) Start(h fleet.Host) {
	p.host = h
	p.free = make([]int, h.Spec().Targets)
	for i := range p.free {
		p.free[i] = h.Spec().Slots
	}
	p.cancel = map[*fleet.Request]func(){}
}

// OnArrival implements fleet.Policy.
func (p *Ideal) OnArrival(r *fleet.Request) {
	p.queue = append(p.queue, r)
	p.serve()
}

func (p *Ideal) serve() {
	for len(p.queue) > 0 {
		best := 0
		for i := range p.free {
			if p.free[i] > p.free[best] {
				best = i
			}
		}
		if p.free[best] == 0 {
			return
		}
		r := p.queue[0]
		p.queue = p.queue[1:]
		p.send(r, best)
	}
}

func (p *Ideal) send(r *fleet.Request, target int) {
	p.free[target]--
	stop := p.host.Send(r, target, func(o owner.Outcome) {
		p.free[target]++
		delete(p.cancel, r)
		if o.Kind == owner.OK {
			p.host.Answer(r)
		} else {
			p.host.Fail(r)
		}
		p.serve()
	})
	p.cancel[r] = func() {
		stop()
		p.free[target]++
		delete(p.cancel, r)
	}
}

// OnDeadline implements fleet.Policy.
func (p *Ideal) OnDeadline(r *fleet.Request) {
	if cancel, ok := p.cancel[r]; ok {
		cancel()
	}
	for i, queued := range p.queue {
		if queued == r {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			break
		}
	}
	p.host.Fail(r)
	p.serve()
}
