package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/health"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// sendEverySecond submits one request each second for the given time, while the
// targets announce themselves. Requests on the failing target get an error. It
// returns how many requests each target got.
func sendEverySecond(t *testing.T, s *Service, clock *sys.ManualClock, duration time.Duration, failing string) map[string]int {
	t.Helper()
	received := map[string]int{}
	for end := clock.Now().Add(duration); clock.Now().Before(end); {
		for n := range 3 {
			a := serving(address(n), 2, uint64(clock.Now().Unix()))
			a.ProbePath = ""
			s.ApplyAnnouncement(a)
		}
		_, g := submitAndGrant(t, s, clock)
		received[g.Target.Address]++
		clock.Advance(20 * time.Millisecond)
		outcome := Outcome{Kind: OK, ServiceTime: 20 * time.Millisecond, BytesSent: true}
		if g.Target.Address == failing {
			outcome.Kind = UpstreamError
		}
		s.EndAttempt(g, outcome)
		for range 10 {
			clock.Advance(TickInterval)
			s.Tick(clock.Now())
		}
	}
	return received
}

// Guards against a target that gets no request for ever after an error, because it
// cannot be probed, and the other targets have free slots.
func TestTargetWithoutProbePathIsUsedAgainAfterError(t *testing.T) {
	s, clock := newTestService()
	sendEverySecond(t, s, clock, 30*time.Second, "")
	failing := address(0)
	received := sendEverySecond(t, s, clock, 30*time.Second, failing)
	require.Positive(t, received[failing])
	assert.LessOrEqual(t, received[failing], 3, "of 30 requests while it fails")
	sendEverySecond(t, s, clock, 2*time.Minute, "")
	received = sendEverySecond(t, s, clock, 30*time.Second, "")
	assert.GreaterOrEqual(t, received[failing], 5, "of 30 requests, %v", received)
	assert.Equal(t, health.Healthy, s.findTarget(failing).health.State())
}
