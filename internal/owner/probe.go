package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/sequoialane/sequoialane/internal/health"
	"github.com/sequoialane/sequoialane/internal/schedule"
)

// Limits of probes.
const (
	probeRoute         = "probe" // key of the learned probe time; no route has this key
	probeTimeoutFactor = 10      // timeout of a probe as a multiple of its expected time
	minProbeTimeout    = 250 * time.Millisecond
	maxProbeTimeout    = time.Second
	expectedProbeTime  = 25 * time.Millisecond
	probeSlotDivisor   = 100                    // probes use at most 1/100 of the slot time of a target
	maxProbeCredit     = 500 * time.Millisecond // allows bursts, in which suspected targets are probed
	probeResultGrace   = 2 * time.Second        // a probe without a result counts as lost this long after its timeout
)

// probe is a probe in flight.
type probe struct {
	target               *target
	viaPeer              bool      // sent by another entry
	targetFull           bool      // all slots of the target were in use when the probe was sent
	holdsSlot            bool      // the probe occupies a slot of the target
	endedAttemptsAtStart int       // target.endedAttempts when the probe was sent
	lostAt               time.Time // when the probe counts as lost
}

// requestProbes adds probe actions for the targets that need a probe.
func (s *Service) requestProbes(now time.Time) {
	requestsWait := s.queue.Len() > 0
	for _, t := range s.targets {
		if _, ok := s.registry.Target(t.record.Address); !ok || t.isPostponed(now) {
			continue
		}
		if t.record.ProbePath == "" {
			if t.health.WantsReturnProbe(requestsWait, now) && t.takeProbeCredit(now) {
				t.health.BeginProbe()
				s.requestProbe(t, Probe, now)
			}
			continue
		}
		if t.health.WantsPeerProbe(now) {
			t.health.PeerProbeRequested(now)
			s.requestProbe(t, PeerProbe, now)
		}
		if t.health.WantsProbe(requestsWait, now) && t.takeProbeCredit(now) {
			t.health.BeginProbe()
			s.requestProbe(t, Probe, now)
		}
	}
}

func (s *Service) requestProbe(t *target, kind ActionKind, now time.Time) {
	timeout := s.probeTimeout()
	p := &probe{target: t, viaPeer: kind == PeerProbe, endedAttemptsAtStart: t.endedAttempts, lostAt: now.Add(timeout + probeResultGrace)}
	if !p.viaPeer {
		p.targetFull = t.inFlight >= t.record.Slots
	}
	if !p.viaPeer && !p.targetFull {
		p.holdsSlot = true
		t.occupySlot()
	}
	id := s.nextID()
	s.probes[id] = p
	s.metrics.probes.Inc()
	s.actions = append(s.actions, Action{Kind: kind, Target: t.record, ProbeID: id, Timeout: timeout})
}

func (s *Service) probeEstimate() schedule.TimeEstimate {
	estimate := s.estimates.ExpectRoute(probeRoute)
	if estimate.Median == 0 {
		estimate.Median = expectedProbeTime
	}
	return estimate
}

func (s *Service) probeTimeout() time.Duration {
	limit := probeTimeoutFactor * s.probeEstimate().Median
	return min(max(limit, minProbeTimeout), maxProbeTimeout)
}

// takeProbeCredit reports whether the share of the slot time that the target may
// spend on probes allows one more probe, and charges its expected time.
func (t *target) takeProbeCredit(now time.Time) bool {
	earned := now.Sub(t.creditUpdatedAt) * time.Duration(t.record.Slots) / probeSlotDivisor
	t.probeCredit = min(t.probeCredit+earned, maxProbeCredit)
	t.creditUpdatedAt = now
	if t.probeCredit < 0 {
		return false
	}
	t.probeCredit -= expectedProbeTime
	return true
}

// ProbeResult reports the result of the probe with the given id. Kind OK means a
// complete response with a status below 500; Canceled means that no probe was
// sent. An unknown id is ignored.
func (s *Service) ProbeResult(id uint64, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	p, ok := s.probes[id]
	if !ok {
		return
	}
	s.endProbe(id, p)
	if p.viaPeer {
		evidence, counts := s.probeEvidence(o, now)
		p.target.health.PeerProbed(counts && evidence == health.Good, now)
		return
	}
	s.observeProbe(p, o, now)
	s.grantFreeSlots(now)
}

func (s *Service) observeProbe(p *probe, o Outcome, now time.Time) {
	evidence, counts := s.probeEvidence(o, now)
	if !counts {
		p.target.health.AbortProbe(now)
		return
	}
	mayHaveWaited := p.targetFull && s.fullProbes.observe(p, evidence, now)
	s.applyTrialResult(p.target, func() (bool, bool) { return p.target.health.EndProbe(evidence, mayHaveWaited, now) })
}

func (s *Service) probeEvidence(o Outcome, now time.Time) (evidence health.Evidence, counts bool) {
	switch o.Kind {
	case OK:
		slow := o.ServiceTime > health.SlowAfter(s.probeEstimate().Median, health.Baseline{})
		s.estimates.LearnRoute(probeRoute, o.ServiceTime, now)
		if slow {
			return health.Slow, true
		}
		return health.Good, true
	case Shed, Canceled:
		return health.Good, false
	case Timeout, ConnectFailed:
		return health.Unreachable, true
	default:
		return health.Failed, true
	}
}

func (s *Service) endProbe(id uint64, p *probe) {
	delete(s.probes, id)
	if p.holdsSlot {
		p.target.inFlight--
	}
}

// expireProbes drops probes whose result was not reported in time.
func (s *Service) expireProbes(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.probes)) {
		p := s.probes[id]
		if now.Before(p.lostAt) {
			continue
		}
		s.endProbe(id, p)
		if !p.viaPeer {
			p.target.health.AbortProbe(now)
		}
	}
}
