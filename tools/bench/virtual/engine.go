// Package virtual runs a policy against simulated targets in virtual time, so
// that hours of load take seconds and runs are repeatable.
package virtual

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/tools/bench/fleet"
)

const linkDelay = 250 * time.Microsecond // one way, within a region

// Engine implements fleet.Host in virtual time.
type Engine struct {
	spec    fleet.Spec
	faults  fleet.Faults
	policy  fleet.Policy
	record  *fleet.Record
	random  *rand.Rand // of the targets
	choices *rand.Rand // of the policy
	start   time.Time
	now     time.Time
	events  events
	order   uint64
	targets []*target
}

// Run offers the requests to the policy and returns what became of them.
func Run(spec fleet.Spec, faults fleet.Faults, load fleet.Load, p fleet.Policy, seed uint64) *fleet.Record {
	start := time.Unix(1_700_000_000, 0)
	e := &Engine{
		spec:    spec,
		faults:  faults,
		policy:  p,
		record:  fleet.NewRecord(start),
		random:  rand.New(rand.NewPCG(seed, 2)),
		choices: rand.New(rand.NewPCG(seed, 3)),
		start:   start,
		now:     start,
	}
	for i := range spec.Targets {
		e.targets = append(e.targets, &target{engine: e, index: i})
	}
	p.Start(e)
	e.arrivals(load)
	end := start.Add(load.Duration())
	for len(e.events) > 0 {
		next := heap.Pop(&e.events).(*event)
		if next.at.After(end) {
			break
		}
		e.now = next.at
		next.run()
	}
	for _, t := range e.targets {
		e.record.ProbeTime += t.probeTime
	}
	e.record.TotalSlotTime = load.Duration() * time.Duration(spec.Targets*spec.Slots)
	return e.record
}

// arrivals schedules the next request of the load.
func (e *Engine) arrivals(load fleet.Load) {
	r := load.Next()
	if r == nil {
		return
	}
	r.Arrived = e.start.Add(r.Offset)
	r.Deadline = r.Arrived.Add(r.Timeout)
	e.at(r.Arrived, func() {
		e.record.AddRequest(r)
		e.policy.OnArrival(r)
		e.at(r.Deadline, func() {
			if e.record.IsPending(r) {
				e.policy.OnDeadline(r)
			}
		})
		e.arrivals(load)
	})
}

// Now implements fleet.Host.
func (e *Engine) Now() time.Time { return e.now }

// Rand implements fleet.Host.
func (e *Engine) Rand() *rand.Rand { return e.choices }

// Spec implements fleet.Host.
func (e *Engine) Spec() fleet.Spec { return e.spec }

// After implements fleet.Host.
func (e *Engine) After(d time.Duration, f func()) { e.at(e.now.Add(d), f) }

// Answer implements fleet.Host.
func (e *Engine) Answer(r *fleet.Request) { e.record.Answer(r, e.now) }

// Fail implements fleet.Host.
func (e *Engine) Fail(r *fleet.Request) { e.record.Fail(r, e.now) }

// Refuse implements fleet.Host.
func (e *Engine) Refuse(r *fleet.Request) { e.record.Refuse(r, e.now) }

// RecordAction implements fleet.Host.
func (e *Engine) RecordAction(kind owner.ActionKind, target int) {
	e.record.AddAction(kind, target, e.now, e.faults)
}

// Send implements fleet.Host.
func (e *Engine) Send(r *fleet.Request, target int, done func(owner.Outcome)) (cancel func()) {
	j := &job{size: r.ServiceTime, sentAt: e.now, done: done}
	e.After(linkDelay, func() { e.targets[target].arrive(j) })
	return func() { e.targets[target].cancel(j) }
}

// Probe implements fleet.Host.
func (e *Engine) Probe(target int, peer bool, timeout time.Duration, done func(owner.Outcome)) {
	t := e.targets[target]
	j := &job{size: e.spec.ProbeServiceTime, sentAt: e.now, probe: true, peer: peer, beside: e.spec.ProbeWithoutSlot, done: done}
	e.After(linkDelay, func() { t.arrive(j) })
	e.After(timeout, func() {
		if !j.ended {
			t.cancel(j)
			done(owner.Outcome{Kind: owner.Timeout, ServiceTime: timeout, BytesSent: true})
		}
	})
}

func (e *Engine) at(at time.Time, f func()) {
	e.order++
	heap.Push(&e.events, &event{at: at, order: e.order, run: f})
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

// events is a heap by time and order of entry.
type events []*event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
