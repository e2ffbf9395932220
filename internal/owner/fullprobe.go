package owner

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/health"
)

// Numbers of probes that were answered by full targets.
const (
	// fullProbesNeeded is the number after which probes of the service are taken
	// to need no slot.
	fullProbesNeeded = 3
	// maxFullProbes bounds the number, so that three targets whose probes waited
	// undo it. One does not: a target that paused looks the same.
	maxFullProbes = 16
	// stragglerRatio bounds the service time of a straggler by its expected time.
	// Answers that take longer come from a target whose silence ended.
	stragglerRatio = 64
)

// fullProbes learns whether the targets of a service answer probes while all
// their slots are in use. If they do, a probe that gets no answer from a full
// target says as much as from any other, and tells a silent target from one
// whose slots are all held by stragglers.
type fullProbes struct{ answered int }

// needNoSlot reports whether probes are answered by full targets.
func (f *fullProbes) needNoSlot() bool { return f.answered >= fullProbesNeeded }

// judge takes in the result of a probe that was sent to a full target. It
// reports whether the probe may have waited for a slot.
func (f *fullProbes) judge(p *probe, e health.Evidence, now time.Time) (waited bool) {
	stayedFull := p.target.ended == p.ended
	switch {
	case e == health.Good && stayedFull:
		f.answered = min(f.answered+1, maxFullProbes)
	case e == health.Unreachable || e == health.Slow:
		p.target.lateFullProbe = now
	}
	return !stayedFull || !f.needNoSlot()
}

// requestAnswered takes in an answer to a request. If the request was running
// while a probe of its full target got no answer in time, the target may have
// worked while the probe waited.
func (f *fullProbes) requestAnswered(a *attempt, took time.Duration) {
	if took < stragglerRatio*a.size.Typical && a.target.lateFullProbe.After(a.started) {
		f.answered /= 2
		a.target.lateFullProbe = time.Time{}
	}
}
