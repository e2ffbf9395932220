package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/health"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// newServiceInTrial returns a warm service and one of its targets that was
// ejected and has passed the given number of trials since.
func newServiceInTrial(t *testing.T, goodTrials int) (*Service, *sys.ManualClock, *target) {
	s, clock := newWarmService(t)
	s.SetEjectionLease(true, clock.Now().Add(time.Hour))
	target := s.findTarget(address(0))
	target.health.Eject(clock.Now())
	clock.Advance(health.FirstEjectionTime)
	for i := range 4 {
		s.ApplyAnnouncement(serving(address(i), 2, 101))
	}
	target.health.Advance(health.Baseline{}, clock.Now())
	require.Equal(t, health.Trial, target.health.State())
	for range goodTrials {
		target.health.BeginTrial()
		target.health.EndTrial(health.Good, clock.Now())
	}
	return s, clock, target
}

// Guards against a trial request that is a straggler and reaches its deadline
// ejecting a healthy target again, as if the target did not respond.
func TestTimedOutTrialOfHealthyTarget(t *testing.T) {
	for _, c := range []struct {
		name          string
		goodResponses int
		ends          []OutcomeKind
		want          health.State
	}{
		{"once, after good probes", 2, []OutcomeKind{Timeout}, health.Trial},
		{"twice", 2, []OutcomeKind{Timeout, Timeout}, health.Ejected},
		{"without a good trial before", 0, []OutcomeKind{Timeout}, health.Ejected},
		{"no connection, after good probes", 2, []OutcomeKind{ConnectFailed}, health.Ejected},
		{"error, after good probes", 2, []OutcomeKind{UpstreamError}, health.Ejected},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, clock, target := newServiceInTrial(t, c.goodResponses)
			if c.goodResponses == 0 {
				target.record.ProbePath = "" // a probe would come first
			}
			for _, kind := range c.ends {
				_, g := submitAndGrant(t, s, clock)
				require.True(t, g.Trial)
				clock.Advance(time.Second)
				s.EndAttempt(g, Outcome{Kind: kind, ServiceTime: time.Second, BytesSent: kind != ConnectFailed})
			}
			assert.Equal(t, c.want, target.health.State())
		})
	}
}
