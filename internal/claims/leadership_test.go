package claims_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/claims/localgroup"
	"github.com/sequoialane/sequoialane/internal/consensus"
)

// leader returns the index of the leader. It waits until there is one.
func (c *cluster) leader() int {
	leader := -1
	require.Eventually(c.t, func() bool {
		for n := range 5 {
			if c.Status(n).Role == consensus.RoleLeader {
				leader = n
			}
		}
		return leader >= 0
	}, time.Minute, 5*time.Millisecond)
	return leader
}

// Guards against a graceful stop of the leader that costs an election timeout or
// loses a claim because its leadership is not transferred.
func TestLeadershipTransferBeforeStop(t *testing.T) {
	c := newCluster(t, 200)
	r := newRequest(1, "a")
	require.Equal(t, claims.Granted, c.claim(r).State)
	for n := range 3 {
		old := c.leader()
		before := c.Status(old)
		// The new leader may be late on a busy machine, so a failed transfer is retried.
		require.Eventually(t, func() bool { return c.TransferLeadership(c.ctx, old) == nil }, time.Minute, time.Millisecond)
		after := c.Status(old)
		assert.NotEqual(t, before.Self, after.Leader)
		assert.Greater(t, after.Term, before.Term)
		require.NoError(t, c.Restart(old))
		require.NoError(t, c.Await(c.ctx))
		assert.Equal(t, claims.Running, c.claim(newResend(r, fmt.Sprintf("resend-%d", n))).State)
	}
}

// BenchmarkLeaderStops measures the time from the start of a stop of the leader
// until the next claim is granted, with and without a transfer of leadership.
// The election timeout of the group is 200 ms.
func BenchmarkLeaderStops(b *testing.B) {
	for _, transfer := range []bool{false, true} {
		b.Run(fmt.Sprintf("transfer=%t", transfer), func(b *testing.B) {
			c := newCluster(b, claims.DefaultSnapshotEvery)
			hist := hdrhistogram.New(1, 60_000_000, 3)
			for n := range b.N {
				old := c.leader()
				key := claims.NewKey(time.Now(), [10]byte{8: byte(n >> 8), 9: byte(n)})
				r := claims.Request{Plan: "p", HomeRegion: localgroup.Region, Key: key.String(), Attempt: "a", Holder: "h/1"}
				begin := time.Now()
				if transfer {
					require.NoError(b, c.TransferLeadership(c.ctx, old))
				}
				c.Stop(old)
				c.claim(r)
				_ = hist.RecordValue(time.Since(begin).Microseconds())
				require.NoError(b, c.Restart(old))
				require.NoError(b, c.Await(c.ctx))
			}
			b.ReportMetric(float64(hist.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(hist.Max())/1000, "max-ms")
		})
	}
}
