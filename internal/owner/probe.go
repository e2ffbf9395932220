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
	probeRoute       = "probe" // key of the learned probe time; no route has such a key
	probeTimeFactor  = 10      // a probe may take this many times its expected time
	minProbeTimeout  = 250 * time.Millisecond
	maxProbeTimeout  = time.Second
	expectedProbe    = 25 * time.Millisecond
	probeShare       = 100                    // probes use at most 1/100 of the slot time of a target
	maxProbeCredit   = 500 * time.Millisecond // probes of a suspect come in bursts
	probeResultGrace = 2 * time.Second        // after the time-out, a probe counts as lost
)

// probe is a probe under way.
type probe struct {
	target   *target
	peer     bool // sent by another entry
	busy     bool // all slots were in use when it was sent
	holdsIt  bool // it holds a slot
	ended    int  // attempts that the target had ended when it was sent
	lostFrom time.Time
}

// wantProbes asks for probes of targets that need one.
func (s *Service) wantProbes(now time.Time) {
	for _, t := range s.targets {
		if _, ok := s.registry.Target(t.record.Address); !ok {
			continue
		}
		if t.record.ProbePath == "" {
			if t.health.WantsReturnProbe(now) && t.takeProbeCredit(now) {
				t.health.BeginProbe()
				s.askProbe(t, Probe, now)
			}
			continue
		}
		if t.health.WantsPeerProbe(now) {
			t.health.PeerAsked(now)
			s.askProbe(t, PeerProbe, now)
		}
		if t.health.WantsProbe(now) && t.takeProbeCredit(now) {
			t.health.BeginProbe()
			s.askProbe(t, Probe, now)
		}
	}
}

func (s *Service) askProbe(t *target, kind ActionKind, now time.Time) {
	timeout := s.probeTimeout()
	p := &probe{target: t, peer: kind == PeerProbe, ended: t.ended, lostFrom: now.Add(timeout + probeResultGrace)}
	if !p.peer {
		p.busy = t.inFlight >= t.record.Slots
	}
	if !p.peer && !p.busy {
		p.holdsIt = true
		t.occupy()
	}
	id := s.nextID()
	s.probes[id] = p
	s.metrics.probes.Inc()
	s.actions = append(s.actions, Action{Kind: kind, Target: t.record, Probe: id, Timeout: timeout})
}

func (s *Service) probeSize() schedule.Size {
	size := s.sizes.ExpectExactly(probeRoute)
	if size.Typical == 0 {
		size.Typical = expectedProbe
	}
	return size
}

func (s *Service) probeTimeout() time.Duration {
	limit := probeTimeFactor * s.probeSize().Typical
	return min(max(limit, minProbeTimeout), maxProbeTimeout)
}

// takeProbeCredit reports whether the target's share of slot time for probes
// allows one more.
func (t *target) takeProbeCredit(now time.Time) bool {
	earned := now.Sub(t.creditAt) * time.Duration(t.record.Slots) / probeShare
	t.probeCredit = min(t.probeCredit+earned, maxProbeCredit)
	t.creditAt = now
	if t.probeCredit < 0 {
		return false
	}
	t.probeCredit -= expectedProbe
	return true
}

// ProbeResult reports the end of a probe. Kind OK means a whole answer with a
// status below 500, Canceled that no probe was sent.
func (s *Service) ProbeResult(id uint64, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	p, ok := s.probes[id]
	if !ok {
		return
	}
	s.endProbe(id, p)
	if p.peer {
		evidence, counts := s.probeEvidence(o, now)
		p.target.health.PeerProbed(counts && evidence == health.Good, now)
		return
	}
	s.judgeProbe(p, o, now)
	s.dispatch(now)
}

func (s *Service) judgeProbe(p *probe, o Outcome, now time.Time) {
	evidence, counts := s.probeEvidence(o, now)
	if !counts {
		p.target.health.DropProbe(now)
		return
	}
	waited := p.busy && s.fullProbes.judge(p, evidence, now)
	s.finishTrial(p.target, func() (bool, bool) { return p.target.health.EndProbe(evidence, waited, now) })
}

func (s *Service) probeEvidence(o Outcome, now time.Time) (evidence health.Evidence, counts bool) {
	switch o.Kind {
	case OK:
		slow := o.ServiceTime > health.SlowAfter(s.probeSize().Typical, health.Peers{})
		s.sizes.LearnExactly(probeRoute, o.ServiceTime, now)
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
	if p.holdsIt {
		p.target.inFlight--
	}
}

// expireProbes drops probes whose result never came.
func (s *Service) expireProbes(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.probes)) {
		p := s.probes[id]
		if now.Before(p.lostFrom) {
			continue
		}
		s.endProbe(id, p)
		if !p.peer {
			p.target.health.DropProbe(now)
		}
	}
}
