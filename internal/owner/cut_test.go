package owner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

const (
	cutTargets     = 6
	cutTargetSlots = 2
	cutTargetWork  = 100 * time.Millisecond // so that all targets run 120 requests a second
	cutStep        = 5 * time.Millisecond
	cutStart       = 5 * time.Second
	cutRecovery    = 4 * time.Second // after a cut, from which on requests are counted
	cutCheckTime   = 10 * time.Second
	announceEvery  = 2 * time.Second
	silenceLimit   = 700 * time.Millisecond // after which a connection counts as broken whose peer acknowledges nothing
	minServedCut   = 0.9                    // least share of the counted requests that is served
)

// cut is a cut of targets from all entries and from the announcements.
type cut struct {
	refused    bool // connections are refused; otherwise nothing answers
	duration   time.Duration
	targets    int
	rate       float64 // requests a second
	idempotent float64 // share of the requests
	deadline   time.Duration
	probePath  string
	lease      bool // the owner may eject targets
	announced  bool // announcements arrive during the cut
}

// cutSeeds and pathCutSeeds are seeds of cuts after which fewer requests were served
// than after the others.
var (
	cutSeeds     = []uint64{161, 194, 198, 199, 200, 248, 335, 356, 368, 434, 469, 503, 552}
	pathCutSeeds = []uint64{46, 51, 85, 116, 149, 174, 279, 313, 507, 569, 588}
)

// Guards against a service that is refused, or whose requests wait until their
// deadline, after some or all of its targets have been cut off and are back: ejected
// targets stay idle beside waiting requests, or returning ones are ejected for what
// was seen during the cut.
func TestServiceIsServedAfterCut(t *testing.T) {
	assertServedAfterCuts(t, 29, cutSeeds, false)
}

// Guards against the same after a cut of the path from the entries to the targets
// alone. Their announcements arrive meanwhile, so that none tells that they are back.
func TestServiceIsServedAfterCutOfPath(t *testing.T) {
	assertServedAfterCuts(t, 31, pathCutSeeds, true)
}

// assertServedAfterCuts plays the cuts of the seeds and of 40 others.
func assertServedAfterCuts(t *testing.T, stream uint64, seeds []uint64, announced bool) {
	t.Helper()
	seeds = slices.Clone(seeds)
	for seed := range uint64(40) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		random := rand.New(rand.NewPCG(seed, stream))
		c := randomCut(random)
		c.announced = announced
		sent, served := newCutSimulation(c, random).run()
		assert.GreaterOrEqual(t, float64(served), minServedCut*float64(sent), "seed %d: %d of %d served, %+v", seed, served, sent, c)
	}
}

func randomCut(random *rand.Rand) cut {
	c := cut{
		refused: random.IntN(2) == 0, duration: time.Duration(1+random.IntN(20)) * time.Second,
		targets: 1 + random.IntN(cutTargets), rate: 8 + 90*random.Float64(), idempotent: float64(random.IntN(3)) / 2,
		deadline: time.Duration(1+random.IntN(12)) * time.Second, lease: random.IntN(4) > 0,
	}
	if random.IntN(3) > 0 {
		c.probePath = "/health"
	}
	return c
}

// cutSimulation plays a cut in virtual time.
type cutSimulation struct {
	cut     cut
	random  *rand.Rand
	service *Service
	clock   *sys.ManualClock
	healed  time.Time
	waiting []*Ticket
	running []simulatedAttempt
	probes  []simulatedProbe

	sent, served int // of the counted requests
}

type simulatedAttempt struct {
	ticket  *Ticket
	grant   Grant
	endsAt  time.Time
	outcome Outcome
}

type simulatedProbe struct {
	id      uint64
	endsAt  time.Time
	outcome Outcome
}

func newCutSimulation(c cut, random *rand.Rand) *cutSimulation {
	s, clock := newTestService()
	return &cutSimulation{cut: c, random: random, service: s, clock: clock, healed: start.Add(cutStart + c.duration)}
}

// run returns how many requests were sent in the time in which they are counted,
// and how many of these were served.
func (s *cutSimulation) run() (sent, served int) {
	end := s.healed.Add(cutRecovery + cutCheckTime)
	drained := end.Add(s.cut.deadline + time.Second)
	for sequence := uint64(1); s.clock.Now().Before(drained); s.clock.Advance(cutStep) {
		since := s.clock.Now().Sub(start)
		if since%announceEvery == 0 {
			s.announce(sequence)
			sequence++
		}
		if s.clock.Now().Before(end) && s.random.Float64() < s.cut.rate*cutStep.Seconds() {
			s.submit()
		}
		if since%TickInterval == 0 {
			s.tick()
		}
		s.endProbes()
		s.endAttempts()
		s.startAttempts()
	}
	return s.sent, s.served
}

// isCut reports whether the target is cut off at the time.
func (s *cutSimulation) isCut(address string, at time.Time) bool {
	inCut := !at.Before(start.Add(cutStart)) && at.Before(s.healed)
	for n := range s.cut.targets {
		if inCut && address == cutAddress(n) {
			return true
		}
	}
	return false
}

func cutAddress(n int) string { return fmt.Sprintf("10.0.0.%d:80", n) }

func (s *cutSimulation) announce(sequence uint64) {
	if s.cut.lease {
		s.service.SetEjectionLease(true, s.clock.Now().Add(time.Minute))
	}
	for n := range cutTargets {
		a := serving(cutAddress(n), cutTargetSlots, sequence)
		a.ProbePath = s.cut.probePath
		if s.cut.announced || !s.isCut(a.Address, s.clock.Now()) {
			s.service.ApplyAnnouncement(a)
		}
	}
}

func (s *cutSimulation) isCounted(arrived time.Time) bool {
	return !arrived.Before(s.healed.Add(cutRecovery))
}

func (s *cutSimulation) submit() {
	now := s.clock.Now()
	r := request("r", now)
	r.Deadline = now.Add(s.cut.deadline)
	r.Idempotent = s.random.Float64() < s.cut.idempotent
	if s.isCounted(now) {
		s.sent++
	}
	if ticket, err := s.service.Submit(r); err == nil {
		s.waiting = append(s.waiting, ticket)
	}
}

func (s *cutSimulation) tick() {
	for _, action := range s.service.Tick(s.clock.Now()) {
		if action.Kind == Probe || action.Kind == PeerProbe {
			end, outcome := s.exchange(action.Target, cutTargetWork/4, action.Timeout)
			s.probes = append(s.probes, simulatedProbe{action.ProbeID, end, outcome})
		}
	}
}

// exchange returns when and how an exchange with the target ends that begins now.
func (s *cutSimulation) exchange(to upstream.Target, work, limit time.Duration) (time.Time, Outcome) {
	now := s.clock.Now()
	switch {
	case s.isCut(to.Address, now) && s.cut.refused:
		return now.Add(cutStep), Outcome{Kind: ConnectFailed}
	case s.isCut(to.Address, now):
		return now.Add(min(limit, silenceLimit)), Outcome{Kind: Timeout, BytesSent: true}
	case s.isCut(to.Address, now.Add(work)) && s.cut.refused:
		return start.Add(cutStart), Outcome{Kind: Truncated, BytesSent: true}
	case s.isCut(to.Address, now.Add(work)) && s.healed.Sub(now) > limit:
		return now.Add(limit), Outcome{Kind: Timeout, BytesSent: true}
	case s.isCut(to.Address, now.Add(work)):
		return s.healed, Outcome{Kind: OK, BytesSent: true, ServiceTime: s.healed.Sub(now)}
	default:
		return now.Add(work), Outcome{Kind: OK, BytesSent: true, ServiceTime: work}
	}
}

func (s *cutSimulation) startAttempts() {
	var waiting []*Ticket
	for _, ticket := range s.waiting {
		select {
		case g, ok := <-ticket.Granted():
			if !ok {
				continue // it was rejected in the queue
			}
			end, outcome := s.exchange(g.Target, cutTargetWork, ticket.request.Deadline.Sub(s.clock.Now()))
			s.running = append(s.running, simulatedAttempt{ticket, g, end, outcome})
		default:
			waiting = append(waiting, ticket)
		}
	}
	s.waiting = waiting
}

func (s *cutSimulation) endAttempts() {
	var running []simulatedAttempt
	for _, a := range s.running {
		if s.clock.Now().Before(a.endsAt) {
			running = append(running, a)
			continue
		}
		s.service.EndAttempt(a.grant, a.outcome)
		switch {
		case a.outcome.Kind == OK && s.isCounted(a.ticket.arrived):
			s.served++
		case a.outcome.Kind != OK && s.service.Retry(a.ticket, a.outcome):
			s.waiting = append(s.waiting, a.ticket)
		}
	}
	s.running = running
}

func (s *cutSimulation) endProbes() {
	var probes []simulatedProbe
	for _, p := range s.probes {
		if s.clock.Now().Before(p.endsAt) {
			probes = append(probes, p)
			continue
		}
		s.service.ProbeResult(p.id, p.outcome)
	}
	s.probes = probes
}
