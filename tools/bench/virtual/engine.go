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

const linkDelay = 250 * time.Microsecond // network delay in one direction, within a region

// Engine implements fleet.Environment in virtual time: it runs scheduled events
// in order of time and advances the clock from one to the next.
type Engine struct {
	spec       fleet.Spec
	faults     fleet.Faults
	policy     fleet.Policy
	record     *fleet.Record
	targetRand *rand.Rand // used by the targets
	policyRand *rand.Rand // used by the policy
	start      time.Time
	now        time.Time
	events     eventHeap
	sequence   uint64 // of the last scheduled event
	targets    []*target
}

// Run sends the load through the policy and returns the record of the run.
func Run(spec fleet.Spec, faults fleet.Faults, load fleet.Load, p fleet.Policy, seed uint64) *fleet.Record {
	start := time.Unix(1_700_000_000, 0)
	e := &Engine{
		spec:       spec,
		faults:     faults,
		policy:     p,
		record:     fleet.NewRecord(start),
		targetRand: rand.New(rand.NewPCG(seed, 2)),
		policyRand: rand.New(rand.NewPCG(seed, 3)),
		start:      start,
		now:        start,
	}
	for i := range spec.Targets {
		e.targets = append(e.targets, &target{engine: e, index: i})
	}
	p.Start(e)
	e.scheduleArrival(load)
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

// scheduleArrival schedules the next request of the load, which in turn schedules
// the one after it.
func (e *Engine) scheduleArrival(load fleet.Load) {
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
		e.scheduleArrival(load)
	})
}

// Now implements fleet.Environment.
func (e *Engine) Now() time.Time { return e.now }

// Rand implements fleet.Environment.
func (e *Engine) Rand() *rand.Rand { return e.policyRand }

// Spec implements fleet.Environment.
func (e *Engine) Spec() fleet.Spec { return e.spec }

// After implements fleet.Environment.
func (e *Engine) After(d time.Duration, f func()) { e.at(e.now.Add(d), f) }

// Respond implements fleet.Environment.
func (e *Engine) Respond(r *fleet.Request) { e.record.Respond(r, e.now) }

// Fail implements fleet.Environment.
func (e *Engine) Fail(r *fleet.Request) { e.record.Fail(r, e.now) }

// Reject implements fleet.Environment.
func (e *Engine) Reject(r *fleet.Request) { e.record.Reject(r, e.now) }

// RecordAction implements fleet.Environment.
func (e *Engine) RecordAction(kind owner.ActionKind, target int) {
	e.record.AddAction(kind, target, e.now, e.faults)
}

// Send implements fleet.Environment.
func (e *Engine) Send(r *fleet.Request, target int, done func(owner.Outcome)) (cancel func()) {
	j := &job{serviceTime: r.ServiceTime, sentAt: e.now, done: done}
	e.After(linkDelay, func() { e.targets[target].enqueue(j) })
	return func() { e.targets[target].cancel(j) }
}

// Probe implements fleet.Environment.
func (e *Engine) Probe(target int, peer bool, timeout time.Duration, done func(owner.Outcome)) {
	t := e.targets[target]
	j := &job{serviceTime: e.spec.ProbeServiceTime, sentAt: e.now, probe: true, peer: peer, withoutSlot: e.spec.ProbeWithoutSlot, done: done}
	e.After(linkDelay, func() { t.enqueue(j) })
	e.After(timeout, func() {
		if !j.ended {
			t.cancel(j)
			done(owner.Outcome{Kind: owner.Timeout, ServiceTime: timeout, BytesSent: true})
		}
	})
}

// at schedules f to run at the given time.
func (e *Engine) at(at time.Time, f func()) {
	e.sequence++
	heap.Push(&e.events, &event{at: at, sequence: e.sequence, run: f})
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventHeap is a heap of events, ordered by time and then by sequence.
type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
