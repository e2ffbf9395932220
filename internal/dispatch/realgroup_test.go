package dispatch

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/claims/localgroup"
	"github.com/sequoialane/sequoialane/internal/fault"
)

func newRealGroup(t *testing.T) (*localgroup.Group, claims.Limits) {
	limits := claims.DefaultLimits()
	limits.ClockError = 20 * time.Millisecond
	g, err := localgroup.Start(5, limits, 100)
	require.NoError(t, err)
	t.Cleanup(g.Close)
	require.NoError(t, g.Await(context.Background()))
	return g, limits
}

// Guards against a request that runs twice under one key, and against a not-run
// rejection of a request that ran, while members of the claim group restart.
func TestRandomFaultsWithRealGroups(t *testing.T) {
	cases := []struct {
		desc    string
		restart func(turn int) []int
	}{
		{"in turn", func(turn int) []int { return []int{turn % 5} }},
		{"all together", func(int) []int { return []int{0, 1, 2, 3, 4} }},
		{"a majority", func(turn int) []int { return []int{turn % 5, (turn + 1) % 5, (turn + 2) % 5} }},
	}
	for seed, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			g, limits := newRealGroup(t)
			transport := &http.Transport{MaxIdleConnsPerHost: 64}
			t.Cleanup(transport.CloseIdleConnections)
			c := newFaultTest(t, uint64(seed), limits, func(int) claims.Client { return g.Client(transport) })
			c.extraTime = 500 * time.Millisecond
			turn := 0
			c.sendKeys(60, 10, func() {
				require.NoError(t, g.Restart(tc.restart(turn)...))
				turn++
				require.NoError(t, g.Await(context.Background()))
			})
			require.Positive(t, c.counts["answered"])
		})
	}
}

// Guards against a not-run rejection of a resend when no member of the claim
// group responds.
func TestNoMemberResponds(t *testing.T) {
	u := newUpstream(t, nil)
	g, limits := newRealGroup(t)
	f := newFixture(t, newMemory(), "a/1")
	f.cfg.Claims = g.Client(&http.Transport{})
	f.cfg.Limits = limits
	s := &fakeScheduler{targets: []string{u.address()}}
	key := newKey(0)
	require.Equal(t, "done", bodyOf(t, f.Run(context.Background(), s, post(key))))
	g.Stop(0, 1, 2, 3, 4)
	r := post(key)
	r.Deadline = time.Now().Add(100 * time.Millisecond)
	result := f.Run(context.Background(), s, r)
	require.NotNil(t, result.Err)
	require.Equal(t, fault.Unknown, result.Err.Effect)
	require.Equal(t, 1, u.runsOf(key))
}
