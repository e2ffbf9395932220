package virtual

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/tools/bench/fleet"
)

const maxWaiting = 200 // queue length at which a target sheds further jobs

// target is a simulated target with a number of slots and a first-in, first-out
// queue.
type target struct {
	engine    *Engine
	index     int
	running   int // jobs that use a slot
	waiting   []*job
	probeTime time.Duration // service time spent on probes
}

// job is an attempt or a probe that was sent to a target.
type job struct {
	serviceTime time.Duration
	sentAt      time.Time
	startedAt   time.Time
	probe       bool
	withoutSlot bool // runs without using a slot
	peer        bool // sent by another entry
	running     bool
	ended       bool // response delivered or job cancelled
	done        func(owner.Outcome)
}

func (t *target) fault() fleet.FaultKind {
	return t.engine.faults.At(t.index, t.engine.now.Sub(t.engine.start))
}

func (t *target) enqueue(j *job) {
	switch {
	case j.ended:
	case t.running < t.engine.spec.Slots, j.withoutSlot:
		t.start(j)
	case len(t.waiting) < maxWaiting:
		t.waiting = append(t.waiting, j)
	default:
		t.respond(j, owner.Outcome{Kind: owner.Shed, NotRun: true})
	}
}

func (t *target) start(j *job) {
	if !j.withoutSlot {
		t.running++
	}
	j.running = true
	j.startedAt = t.engine.now
	took := j.serviceTime
	outcome := owner.Outcome{Kind: owner.OK, BytesSent: true}
	switch t.fault() {
	case fleet.Slow:
		took *= fleet.SlowFactor
	case fleet.HalfErrors:
		if t.engine.targetRand.Float64() < fleet.ErrorRate {
			took = time.Duration(float64(took) * fleet.ErrorTimeFactor)
			outcome.Kind = owner.UpstreamError
		}
	case fleet.Silent:
		took += t.remainingFault()
	}
	t.engine.After(took, func() {
		if j.ended {
			return
		}
		t.release(j)
		t.respond(j, outcome)
	})
}

// remainingFault returns the time until the current fault ends.
func (t *target) remainingFault() time.Duration {
	at := t.engine.now.Sub(t.engine.start)
	return t.engine.faults.EndsAt(t.index, at) - at
}

// respond delivers the outcome to the sender. A response that a one-way fault
// blocks is delivered when the fault ends, as by retransmission.
func (t *target) respond(j *job, o owner.Outcome) {
	delay := linkDelay
	if t.fault() == fleet.OneWay && !j.peer {
		delay += t.remainingFault()
	}
	t.engine.After(delay, func() {
		if j.ended {
			return
		}
		j.ended = true
		o.ServiceTime = t.engine.now.Sub(j.sentAt)
		j.done(o)
	})
}

// release frees the slot of a running job and starts the next queued jobs.
func (t *target) release(j *job) {
	if !j.running {
		return
	}
	j.running = false
	if !j.withoutSlot {
		t.running--
	}
	if j.probe {
		t.probeTime += t.engine.now.Sub(j.startedAt)
	}
	for len(t.waiting) > 0 && t.running < t.engine.spec.Slots {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		if !next.ended {
			t.start(next)
		}
	}
}

func (t *target) cancel(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	t.release(j)
}
