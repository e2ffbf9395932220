package virtual

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/tools/bench/fleet"
)

const maxWaiting = 200 // jobs that wait at a target before it sheds

// target is a simulated target: slots, and a queue in order of arrival.
type target struct {
	engine    *Engine
	index     int
	running   int
	waiting   []*job
	probeTime time.Duration
}

// job is a request or probe at a target.
type job struct {
	size      time.Duration
	sentAt    time.Time
	startedAt time.Time
	probe     bool
	beside    bool // needs no slot
	peer      bool // sent by another entry
	running   bool
	ended     bool
	done      func(owner.Outcome)
}

func (t *target) fault() fleet.FaultKind {
	return t.engine.faults.At(t.index, t.engine.now.Sub(t.engine.start))
}

func (t *target) arrive(j *job) {
	switch {
	case j.ended:
	case t.running < t.engine.spec.Slots, j.beside:
		t.run(j)
	case len(t.waiting) < maxWaiting:
		t.waiting = append(t.waiting, j)
	default:
		t.answer(j, owner.Outcome{Kind: owner.Shed, NotRun: true})
	}
}

func (t *target) run(j *job) {
	if !j.beside {
		t.running++
	}
	j.running = true
	j.startedAt = t.engine.now
	took := j.size
	outcome := owner.Outcome{Kind: owner.OK, BytesSent: true}
	switch t.fault() {
	case fleet.Slow:
		took *= fleet.SlowFactor
	case fleet.HalfErrors:
		if t.engine.random.Float64() < fleet.ErrorRate {
			took = time.Duration(float64(took) * fleet.ErrorTimeFactor)
			outcome.Kind = owner.UpstreamError
		}
	case fleet.Silent:
		took += t.faultLeft()
	}
	t.engine.After(took, func() {
		if j.ended {
			return
		}
		t.free(j)
		t.answer(j, outcome)
	})
}

// faultLeft returns how long the current fault goes on.
func (t *target) faultLeft() time.Duration {
	at := t.engine.now.Sub(t.engine.start)
	return t.engine.faults.EndsAt(t.index, at) - at
}

// answer delivers the outcome. An answer lost on the way is sent again when the
// path works again.
func (t *target) answer(j *job, o owner.Outcome) {
	delay := linkDelay
	if t.fault() == fleet.OneWay && !j.peer {
		delay += t.faultLeft()
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

// free ends the use of a slot and starts the next job.
func (t *target) free(j *job) {
	if !j.running {
		return
	}
	j.running = false
	if !j.beside {
		t.running--
	}
	if j.probe {
		t.probeTime += t.engine.now.Sub(j.startedAt)
	}
	for len(t.waiting) > 0 && t.running < t.engine.spec.Slots {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		if !next.ended {
			t.run(next)
		}
	}
}

func (t *target) cancel(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	t.free(j)
}
