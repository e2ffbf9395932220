package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/health"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

// newWarmService returns a service with four targets that has learned a service
// time of 20 ms.
func newWarmService(t *testing.T) (*Service, *sys.ManualClock) {
	s, clock := newTestService()
	for i := range 4 {
		s.ApplyAnnouncement(serving(address(i), 2, 100))
	}
	for range 200 {
		serve(t, s, clock, 20*time.Millisecond, OK)
	}
	s.Tick(clock.Now())
	return s, clock
}

func submitAndGrant(t *testing.T, s *Service, clock *sys.ManualClock) (*Ticket, Grant) {
	r := request("r", clock.Now())
	r.Deadline = clock.Now().Add(time.Minute)
	ticket, err := s.Submit(r)
	require.Nil(t, err)
	return ticket, <-ticket.Granted()
}

func serve(t *testing.T, s *Service, clock *sys.ManualClock, took time.Duration, kind OutcomeKind) {
	_, g := submitAndGrant(t, s, clock)
	clock.Advance(took)
	s.EndAttempt(g, Outcome{Kind: kind, ServiceTime: took})
}

// Guards against a slow target that is never detected because hedges win and its
// requests are cancelled before they count as slow.
func TestCanceledHedgeLoserCountsAsSlow(t *testing.T) {
	s, clock := newWarmService(t)
	var slow string
	for range 3 {
		ticket, g := submitAndGrant(t, s, clock)
		if slow == "" {
			slow = g.Target.Address
		}
		if g.Target.Address != slow {
			s.EndAttempt(g, Outcome{Kind: OK, ServiceTime: 20 * time.Millisecond})
			continue
		}
		clock.Advance(50 * time.Millisecond)
		hedge, ok := s.Hedge(ticket)
		require.True(t, ok)
		assert.NotEqual(t, slow, hedge.Target.Address)
		clock.Advance(20 * time.Millisecond)
		s.EndAttempt(hedge, Outcome{Kind: OK, ServiceTime: 20 * time.Millisecond})
		s.EndAttempt(g, Outcome{Kind: Canceled})
	}
	assert.Positive(t, s.findTarget(slow).health.Score())
}

// Guards against a request that fails or is slow on every target counting as
// evidence against each of them.
func TestFailingRequestCountsAgainstOneTarget(t *testing.T) {
	for _, kind := range []OutcomeKind{UpstreamError, Timeout} {
		t.Run(string(kind), func(t *testing.T) {
			s, clock := newWarmService(t)
			ticket, g := submitAndGrant(t, s, clock)
			tried := map[string]bool{}
			for range 3 {
				clock.Advance(time.Second / 2)
				outcome := Outcome{Kind: kind, BytesSent: true}
				s.EndAttempt(g, outcome)
				require.True(t, s.Retry(ticket, outcome))
				assert.False(t, tried[g.Target.Address], "retried on the same target")
				tried[g.Target.Address] = true
				g = <-ticket.Granted()
			}
			withEvidence := 0
			for _, target := range s.targets {
				if target.health.Score() > 0 {
					withEvidence++
				}
			}
			assert.LessOrEqual(t, withEvidence, 1)
		})
	}
}

// Guards against ejections after a pause of the owner process, in which it could
// not receive responses.
func TestOwnerPauseIsNoEvidenceAgainstTargets(t *testing.T) {
	s, clock := newWarmService(t)
	s.SetEjectionLease(true, clock.Now().Add(time.Hour))
	s.Tick(clock.Now())
	for range 6 {
		submitAndGrant(t, s, clock)
	}
	clock.Advance(3 * time.Second)
	s.Tick(clock.Now())
	for _, target := range s.Snapshot().Targets {
		assert.Equal(t, health.Healthy, target.Health)
	}
}

// Guards against the ejection of a target whose network path is at fault, and
// against a target that no other entry can reach and that stays in use.
func TestSilentTargetIsAvoidedOrEjected(t *testing.T) {
	for _, peerReaches := range []bool{true, false} {
		t.Run(fmt.Sprint(peerReaches), func(t *testing.T) {
			s, clock := newWarmService(t)
			s.SetEjectionLease(true, clock.Now().Add(time.Hour))
			s.Tick(clock.Now())
			_, g := submitAndGrant(t, s, clock)
			state := func() health.State { return s.findTarget(g.Target.Address).health.State() }
			for range 50 {
				clock.Advance(TickInterval)
				for _, action := range s.Tick(clock.Now()) {
					silent := action.Target.Address == g.Target.Address
					switch {
					case action.Kind == PeerProbe && !peerReaches, action.Kind == Probe && silent:
						s.ProbeResult(action.ProbeID, Outcome{Kind: Timeout})
					case action.Kind == PeerProbe, action.Kind == Probe:
						s.ProbeResult(action.ProbeID, Outcome{Kind: OK, ServiceTime: time.Millisecond})
					}
				}
				if state() == health.Ejected || state() == health.Avoided {
					break
				}
			}
			want := map[bool]health.State{true: health.Avoided, false: health.Ejected}
			assert.Equal(t, want[peerReaches], state())
		})
	}
}

// Guards against queueing a request whose response would come after its
// deadline, and against a rejection without a Retry-After hint.
func TestAdmission(t *testing.T) {
	s, clock := newWarmService(t)
	cases := []struct {
		desc     string
		deadline time.Duration
		busy     int
		service  func(*Service)
		want     fault.Kind
	}{
		{"deadline passed", 0, 0, nil, fault.DeadlineExceeded},
		{"deadline before the response", 5 * time.Millisecond, 0, nil, fault.Overloaded},
		{"free slot", 100 * time.Millisecond, 0, nil, ""},
		{"wait beyond the deadline", 100 * time.Millisecond, 100, nil, fault.Overloaded},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			for range tc.busy {
				r := request("busy", clock.Now())
				r.Deadline = clock.Now().Add(time.Minute)
				_, err := s.Submit(r)
				require.Nil(t, err)
			}
			r := request("r", clock.Now())
			r.Deadline = clock.Now().Add(tc.deadline)
			ticket, err := s.Submit(r)
			if tc.want == "" {
				require.Nil(t, err)
				s.EndAttempt(<-ticket.Granted(), Outcome{Kind: OK, ServiceTime: 20 * time.Millisecond})
				return
			}
			require.NotNil(t, err)
			assert.Equal(t, tc.want, err.Kind)
			assert.Equal(t, fault.NotRun, err.Effect)
			if tc.want == fault.Overloaded {
				assert.Positive(t, err.RetryAfter)
			}
		})
	}
	empty, _ := newTestService()
	_, err := empty.Submit(request("r", clock.Now()))
	assert.Equal(t, fault.NoUpstream, err.Kind)
	assert.Equal(t, upstream.Rejected, empty.ApplyAnnouncement(upstream.Announcement{Service: "other"}))
}
