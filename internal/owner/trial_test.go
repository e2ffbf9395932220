package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/health"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// inTrial returns a warmed service and one of its targets, which was ejected
// and has given the number of good trials since.
func inTrial(t *testing.T, goods int) (*Service, *sys.ManualClock, *target) {
	s, clock := warmed(t)
	s.SetEjectionLease(true, clock.Now().Add(time.Hour))
	tested := s.find(address(0))
	tested.health.Eject(clock.Now())
	clock.Advance(health.FirstTimeOut)
	for i := range 4 {
		s.Announce(serving(address(i), 2, 101))
	}
	tested.health.Advance(health.Peers{}, clock.Now())
	require.Equal(t, health.Trial, tested.health.State())
	for range goods {
		tested.health.BeginTrial()
		tested.health.EndTrial(health.Good, clock.Now())
	}
	return s, clock, tested
}

// Guards against a straggler that is the trial of a healthy target and reaches
// its caller's deadline: it was taken for a target that does not answer.
func TestRequestThatTimesOutAsTrial(t *testing.T) {
	for _, c := range []struct {
		name  string
		goods int
		ends  []OutcomeKind
		want  health.State
	}{
		{"once, after good probes", 2, []OutcomeKind{Timeout}, health.Trial},
		{"twice", 2, []OutcomeKind{Timeout, Timeout}, health.Ejected},
		{"without a good trial before", 0, []OutcomeKind{Timeout}, health.Ejected},
		{"no connection, after good probes", 2, []OutcomeKind{ConnectFailed}, health.Ejected},
		{"error, after good probes", 2, []OutcomeKind{UpstreamError}, health.Ejected},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, clock, tested := inTrial(t, c.goods)
			if c.goods == 0 {
				tested.record.ProbePath = "" // a probe would come first
			}
			for _, kind := range c.ends {
				_, g := grant(t, s, clock)
				require.True(t, g.Trial)
				clock.Advance(time.Second)
				s.Done(g, Outcome{Kind: kind, ServiceTime: time.Second, BytesSent: kind != ConnectFailed})
			}
			assert.Equal(t, c.want, tested.health.State())
		})
	}
}
