package owner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	_ "github.com/sequoialane/sequoialane/internal/fixedseed"

	"github.com/sequoialane/sequoialane/internal/health"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

// randomEvents drives a service with random events.
type randomEvents struct {
	t             *rapid.T
	service       *Service
	clock         *sys.ManualClock
	tickets       []*Ticket
	grants        map[uint64]Grant
	sequence      uint64
	left          map[string]bool
	lastAnnounced map[string]time.Time
	allFailing    bool // all attempts and probes fail
}

const targetCount = 6

func address(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }

func (f *randomEvents) announce(state upstream.State) {
	a := serving(address(rapid.IntRange(0, targetCount-1).Draw(f.t, "target")), 2, 0)
	a.State = state
	f.sequence++
	a.Sequence = f.sequence
	if state != upstream.Serving && rapid.Bool().Draw(f.t, "crossed") {
		a.Sequence = 1 // a deregistration that newer announcements have overtaken
	}
	if f.service.ApplyAnnouncement(a) != upstream.Outdated {
		f.lastAnnounced[a.Address] = f.clock.Now()
	}
	if state != upstream.Serving {
		f.left[a.Address] = true
	}
}

func (f *randomEvents) submit() {
	r := request("r", f.clock.Now())
	r.Plan = rapid.SampledFrom([]string{"a", "b"}).Draw(f.t, "plan")
	r.Idempotent = rapid.Bool().Draw(f.t, "idempotent")
	r.Concurrency = rapid.IntRange(0, 3).Draw(f.t, "concurrency")
	r.Deadline = f.clock.Now().Add(time.Duration(rapid.IntRange(1, 3000).Draw(f.t, "deadline")) * time.Millisecond)
	if ticket, err := f.service.Submit(r); err == nil {
		f.tickets = append(f.tickets, ticket)
	}
	f.collectGrants()
}

// collectGrants receives the grants and checks that each is for a usable target.
func (f *randomEvents) collectGrants() {
	for _, ticket := range f.tickets {
		select {
		case g, ok := <-ticket.Granted():
			if ok {
				f.grants[g.AttemptID] = g
				f.checkGrant(ticket, g)
			}
		default:
		}
	}
}

func (f *randomEvents) checkGrant(ticket *Ticket, g Grant) {
	assert.False(f.t, f.left[g.Target.Address], "grant to %s, which has left", g.Target.Address)
	assert.Less(f.t, f.clock.Now().Sub(f.lastAnnounced[g.Target.Address]), upstream.MassExpiryRetention+upstream.LeaseDuration)
	assert.True(f.t, ticket.request.Idempotent || !g.Trial, "trial by a non-idempotent request")
	target := f.service.findTarget(g.Target.Address)
	assert.Equal(f.t, g.Trial, target.health.Ejected(), "state %s", target.health.State())
}

func (f *randomEvents) finishAttempt() {
	ids := make([]uint64, 0, len(f.grants))
	for id := range f.grants {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(f.t, "attempt")
	kinds := []OutcomeKind{OK, UpstreamError, Shed, ConnectFailed, Timeout, Truncated, WrongID, Canceled}
	if f.allFailing {
		kinds = []OutcomeKind{UpstreamError, ConnectFailed, Timeout}
	}
	kind := rapid.SampledFrom(kinds).Draw(f.t, "kind")
	outcome := Outcome{Kind: kind, ServiceTime: time.Duration(rapid.IntRange(1, 2000).Draw(f.t, "ms")) * time.Millisecond}
	ticket := f.service.attempts[id].ticket
	f.service.EndAttempt(f.grants[id], outcome)
	delete(f.grants, id)
	f.service.Retry(ticket, outcome)
	f.collectGrants()
}

func (f *randomEvents) tick() {
	f.clock.Advance(time.Duration(rapid.IntRange(10, 2000).Draw(f.t, "advance")) * time.Millisecond)
	for _, action := range f.service.Tick(f.clock.Now()) {
		if action.Kind != Probe && action.Kind != PeerProbe {
			continue
		}
		kinds := []OutcomeKind{OK, UpstreamError, Timeout, Canceled}
		if f.allFailing {
			kinds = []OutcomeKind{Timeout}
		}
		f.service.ProbeResult(action.ProbeID, Outcome{Kind: rapid.SampledFrom(kinds).Draw(f.t, "probe")})
	}
	f.collectGrants()
}

func (f *randomEvents) checkInvariants() {
	view := f.service.Snapshot()
	assert.GreaterOrEqual(f.t, view.HealthySlots, view.FloorSlots)
	for _, target := range view.Targets {
		assert.LessOrEqual(f.t, target.InFlight, target.Slots)
		if !view.EjectionLease {
			assert.NotContains(f.t, []health.State{health.Ejected, health.Trial}, target.Health)
		}
	}
}

// Guards against healthy slots below the floor, a grant for a target that has
// left or expired, more attempts than slots, and a trial by a non-idempotent
// request, under random announcements, outcomes, probes and leases.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, clock := newTestService()
		f := &randomEvents{t: t, service: s, clock: clock, grants: map[uint64]Grant{}, left: map[string]bool{}, lastAnnounced: map[string]time.Time{}}
		f.allFailing = rapid.Bool().Draw(t, "all ill")
		for i := range targetCount {
			s.ApplyAnnouncement(serving(address(i), 2, 1))
			f.lastAnnounced[address(i)] = clock.Now()
		}
		f.sequence = 10
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				f.announce(rapid.SampledFrom([]upstream.State{upstream.Serving, upstream.Serving, upstream.Serving, upstream.Draining, upstream.Leaving}).Draw(t, "state"))
			case 1:
				s.SetEjectionLease(rapid.IntRange(0, 3).Draw(t, "lease") > 0, clock.Now().Add(time.Minute))
			case 2, 3, 4, 5:
				f.submit()
			case 6, 7, 8:
				f.finishAttempt()
			case 9:
				if len(f.tickets) > 0 {
					f.tickets[rapid.IntRange(0, len(f.tickets)-1).Draw(t, "ticket")].Cancel()
				}
			default:
				f.tick()
			}
			f.collectGrants() // checks each grant before the next event
			f.checkInvariants()
		}
	})
}

// Guards against ejections that last longer than the ejection lease, which
// another owner may hold by then.
func TestEjectionsEndBeforeLeaseExpires(t *testing.T) {
	s, clock := newTestService()
	for i := range targetCount {
		s.ApplyAnnouncement(serving(address(i), 2, 100))
	}
	s.SetEjectionLease(true, clock.Now().Add(3*time.Second))
	s.targets[0].health.ObserveNoResponse(9, clock.Now())
	s.targets[0].health.ObserveNoResponse(9, clock.Now())
	s.Tick(clock.Now())
	assert.Equal(t, 10, s.Snapshot().HealthySlots)
	clock.Advance(2 * time.Second)
	s.Tick(clock.Now())
	assert.Equal(t, 12, s.Snapshot().HealthySlots)
}
