package owner

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/health"
)

// Limits of fullProbeTracker. A full target is one whose slots are all in use.
const (
	// minFullProbeResponses is the number of probes to which full targets
	// responded from which probes of the service are assumed to need no slot.
	minFullProbeResponses = 3
	// maxFullProbeResponses bounds the number, so that three targets whose probes
	// waited for a slot revoke the assumption. A single target does not, because
	// a target that paused looks the same.
	maxFullProbeResponses = 16
	// maxStragglerRatio is the highest ratio of service time to expected time of
	// a straggler. A response that takes longer comes from a target that was
	// silent and has recovered.
	maxStragglerRatio = 64
)

// fullProbeTracker learns whether the targets of a service respond to probes
// while all their slots are in use. If they do, a probe of a full target
// without a response counts like that of any other target, and distinguishes a
// silent target from one whose slots are all held by stragglers.
type fullProbeTracker struct{ responses int }

// probesBypassSlots reports whether full targets respond to probes.
func (f *fullProbeTracker) probesBypassSlots() bool { return f.responses >= minFullProbeResponses }

// observe records the result of a probe that was sent to a full target. It
// reports whether the probe may have waited for a slot.
func (f *fullProbeTracker) observe(p *probe, e health.Evidence, now time.Time) (mayHaveWaited bool) {
	stayedFull := p.target.endedAttempts == p.endedAttemptsAtStart
	switch {
	case e == health.Good && stayedFull:
		f.responses = min(f.responses+1, maxFullProbeResponses)
	case e == health.Unreachable || e == health.Slow:
		p.target.fullProbeTimedOutAt = now
	}
	return !stayedFull || !f.probesBypassSlots()
}

// observeResponse records the response to a request. If a probe of the target,
// which was full, timed out while the request was running, the target may have
// been working while the probe waited for a slot.
func (f *fullProbeTracker) observeResponse(a *attempt, took time.Duration) {
	if took < maxStragglerRatio*a.estimate.Median && a.target.fullProbeTimedOutAt.After(a.started) {
		f.responses /= 2
		a.target.fullProbeTimedOutAt = time.Time{}
	}
}
