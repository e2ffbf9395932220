package dispatch

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/fault"
)

// newKillTest returns a faultTest with two entries in which only kills are
// injected.
func newKillTest(t *testing.T, serve func(c *faultTest, w http.ResponseWriter)) *faultTest {
	memory := newMemory()
	c := &faultTest{t: t, memory: memory, limits: claims.DefaultLimits()}
	c.client = func(int) claims.Client { return memory }
	var u *fakeUpstream
	u = newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		u.count(r)
		serve(c, w)
	})
	c.upstreams = []*fakeUpstream{u}
	c.addresses = []string{u.address()}
	c.addEntry("a/1")
	c.addEntry("b/1")
	return c
}

func (c *faultTest) assertUnknown(key string, runs int) {
	s := &fakeScheduler{targets: c.addresses}
	for range 2 {
		result := c.entries[1].Run(context.Background(), s, post(key))
		require.NotNil(c.t, result.Err)
		assert.Equal(c.t, fault.OutcomeUnknown, result.Err.Kind)
		assert.Equal(c.t, runs, c.runsOf(key))
	}
}

// Guards against a resend running after the holder of its claim was killed between
// the claim and the send.
func TestHolderKilledBeforeTheSend(t *testing.T) {
	c := newKillTest(t, func(*faultTest, http.ResponseWriter) {})
	a := c.entries[0]
	s := &fakeScheduler{targets: c.addresses, hold: make(chan struct{})}
	key := newKey(0)
	ended := make(chan Result, 1)
	go func() { ended <- a.Run(context.Background(), s, post(key)) }()
	held := post(key)
	require.Eventually(t, func() bool {
		r := held.claimRequest(requestDigest(held, []byte("fell oak 7")), "probe", "b/1")
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		result, err := c.memory.Wait(ctx, r)
		return err == nil && result.State == claims.Running
	}, time.Minute, time.Millisecond)
	a.killed.Store(true)
	c.assertUnknown(key, 0)
	close(s.hold)
	<-ended
	assert.Equal(t, 0, c.runsOf(key))
}

// Guards against a second run after the holder was killed during the send.
func TestHolderKilledDuringTheSend(t *testing.T) {
	arrived := make(chan struct{})
	release := make(chan struct{})
	c := newKillTest(t, func(*faultTest, http.ResponseWriter) {
		close(arrived)
		<-release
	})
	defer close(release)
	a := c.entries[0]
	key := newKey(0)
	ended := make(chan Result, 1)
	go func() { ended <- a.Run(context.Background(), &fakeScheduler{targets: c.addresses}, post(key)) }()
	<-arrived
	a.killed.Store(true)
	close(a.kill)
	assert.Equal(t, fault.Unknown, (<-ended).Err.Effect)
	c.assertUnknown(key, 1)
}

// Guards against a second run after the holder was killed when it had received the
// response but had not completed the claim.
func TestHolderKilledAfterTheSend(t *testing.T) {
	c := newKillTest(t, func(c *faultTest, w http.ResponseWriter) {
		c.entries[0].killed.Store(true)
		_, _ = io.WriteString(w, "ran")
	})
	key := newKey(0)
	result := c.entries[0].Run(context.Background(), &fakeScheduler{targets: c.addresses}, post(key))
	assert.Equal(t, "ran", bodyOf(t, result))
	require.NoError(t, c.entries[0].Drain(context.Background()))
	c.assertUnknown(key, 1)
}
