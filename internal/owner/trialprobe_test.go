package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/sequoialane/sequoialane/internal/health"
)

// Guards against an ejected target without a probe path never returning because
// its service has no idempotent requests to use as trials.
func TestReturnByProbesWithoutProbePath(t *testing.T) {
	for _, c := range []struct {
		name  string
		kinds []OutcomeKind
		want  health.State
	}{
		{"all responded", []OutcomeKind{OK, OK, OK, OK}, health.Healthy},
		{"too few", []OutcomeKind{OK, OK, OK}, health.Trial},
		{"no connection", []OutcomeKind{OK, ConnectFailed}, health.Ejected},
		{"no response", []OutcomeKind{Timeout}, health.Ejected},
		{"error", []OutcomeKind{OK, OK, OK, UpstreamError}, health.Ejected},
		{"not sent", []OutcomeKind{Canceled}, health.Trial},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, clock, target := newServiceInTrial(t, 0)
			target.record.ProbePath = ""
			probes := func() (ids []uint64) {
				for _, a := range s.Tick(clock.Now()) {
					if a.Kind == Probe && a.Target.Address == target.record.Address {
						ids = append(ids, a.ProbeID)
					}
				}
				return ids
			}
			assert.Empty(t, probes(), "idempotent requests come first")
			clock.Advance(5 * time.Second)
			for _, kind := range c.kinds {
				ids := probes()
				if !assert.Len(t, ids, 1) {
					return
				}
				s.ProbeResult(ids[0], Outcome{Kind: kind, ServiceTime: 20 * time.Millisecond})
			}
			assert.Equal(t, c.want, target.health.State())
		})
	}
}
