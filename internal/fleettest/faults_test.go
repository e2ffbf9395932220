package fleettest

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/entry"
	"github.com/sequoialane/sequoialane/internal/localfleet"
	"github.com/sequoialane/sequoialane/internal/settings"
)

// disturb runs a load of the given length and calls fault after two seconds.
func disturb(t *testing.T, ctx context.Context, f *localfleet.Fleet, length time.Duration, fault func()) *localfleet.Load {
	t.Helper()
	load, err := f.StartLoad("load", mixedLoad(length, 60))
	require.NoError(t, err)
	time.Sleep(2 * time.Second)
	fault()
	return load
}

// lost are the outcomes of requests that were in flight on a part that was
// lost. A consent that had been sent cannot be repeated; a survey of more than
// 64 KiB is not kept for a second attempt.
func lost(n int) allowed {
	return allowed{
		"consents": {"outcome_unknown": n, "still_running": n, "claims_unavailable": n},
		"surveys":  {"upstream_failed": n, "owner_unreachable": n, "broken": n},
	}
}

// Guards against the loss of an upstream reaching callers as an error.
func TestUpstreamKilled(t *testing.T) {
	f, ctx := startFleet(t, localfleet.Options{Controls: 1, Entries: 4})
	startUpstreams(t, ctx, f, 4)
	load := disturb(t, ctx, f, 7*time.Second, func() { f.Upstreams[1].Kill() })
	summary, err := load.Finish(ctx)
	require.NoError(t, err)
	assertOnly(t, summary, lost(4))
}

// Guards against the loss of an owner reaching callers as an error, beyond the
// consents it had sent, and against a key running twice.
func TestOwnerKilled(t *testing.T) {
	f, ctx := startFleet(t, localfleet.Options{Controls: 1, Entries: 4})
	startUpstreams(t, ctx, f, 4)
	owner, err := f.Owner(service, "north")
	require.NoError(t, err)
	load := disturb(t, ctx, f, 8*time.Second, owner.Kill)
	summary, err := load.Finish(ctx)
	require.NoError(t, err)
	assertOnly(t, summary, lost(10))
	assertKeysRanOnce(t, f, load)
}

// Guards against an owner that is frozen, and wakes up later, holding up
// callers or running a key twice.
func TestOwnerFrozen(t *testing.T) {
	f, ctx := startFleet(t, localfleet.Options{Controls: 1, Entries: 4})
	startUpstreams(t, ctx, f, 4)
	owner, err := f.Owner(service, "north")
	require.NoError(t, err)
	load := disturb(t, ctx, f, 10*time.Second, func() {
		require.NoError(t, owner.Freeze())
		time.Sleep(4 * time.Second)
		require.NoError(t, owner.Thaw())
	})
	summary, err := load.Finish(ctx)
	require.NoError(t, err)
	also := lost(10)
	also["lookups"] = map[string]int{"no_answer": 10, "deadline_exceeded": 10}
	also["consents"]["no_answer"] = 10
	also["surveys"]["no_answer"] = 10
	assertOnly(t, summary, also)
	assertKeysRanOnce(t, f, load)
}

// Guards against a restart of all entries, one after the other, cutting or
// refusing a single request.
func TestRollingRestart(t *testing.T) {
	f, ctx := startFleet(t, localfleet.Options{Controls: 1, Entries: 4})
	startUpstreams(t, ctx, f, 4)
	cfg := mixedLoad(60*time.Second, 60)
	long := cfg.Streams[1]
	long.Name, long.Rate, long.Work, long.Timeout = "long consents", 1, settings.Duration(3*time.Second), settings.Duration(20*time.Second)
	cfg.Streams = append(cfg.Streams, long)
	load, err := f.StartLoad("load", cfg)
	require.NoError(t, err)
	time.Sleep(time.Second)
	for _, e := range f.Entries {
		code, err := e.Terminate(20 * time.Second)
		require.NoError(t, err)
		assert.Zero(t, code, "exit code of %s", e.Name)
		require.NoError(t, e.Start())
		require.NoError(t, f.WaitReady(ctx, e.Process, e.Settings.CallerAddress))
	}
	time.Sleep(time.Second)
	require.NoError(t, load.Signal(syscall.SIGTERM))
	summary, err := load.Finish(ctx)
	require.NoError(t, err)
	assertOnly(t, summary, nil)
	for _, s := range summary.Streams {
		assert.Zero(t, s.Broken, "%s: cut requests", s.Name)
	}
	assertKeysRanOnce(t, f, load)
}

// Guards against the fleet depending on control: entries must serve, and be
// able to restart from each other, while all of control is away.
func TestControlAwayWhileEntryRestarts(t *testing.T) {
	noDisk := func(s *entry.Settings) { s.DataFolder = "" }
	f, ctx := startFleet(t, localfleet.Options{Controls: 1, Entries: 4, Adjust: noDisk})
	startUpstreams(t, ctx, f, 4)
	load := disturb(t, ctx, f, 10*time.Second, func() {
		for _, c := range f.Controls {
			c.Kill()
		}
		restarted := f.Entries[0]
		_, err := restarted.Terminate(20 * time.Second)
		require.NoError(t, err)
		require.NoError(t, restarted.Start())
		require.NoError(t, f.WaitReady(ctx, restarted.Process, restarted.Settings.CallerAddress))
		status, err := f.Status(restarted)
		require.NoError(t, err)
		assert.Positive(t, status.CatalogVersion)
	})
	summary, err := load.Finish(ctx)
	require.NoError(t, err)
	assertOnly(t, summary, nil)
}

// Guards against an upstream that leaves losing requests, or getting new work
// after a few seconds.
func TestUpstreamLeaves(t *testing.T) {
	f, ctx := startFleet(t, localfleet.Options{Controls: 1, Entries: 4})
	startUpstreams(t, ctx, f, 4)
	load := disturb(t, ctx, f, 7*time.Second, func() {
		code, err := f.Upstreams[0].Terminate(20 * time.Second)
		require.NoError(t, err)
		assert.Zero(t, code)
	})
	summary, err := load.Finish(ctx)
	require.NoError(t, err)
	assertOnly(t, summary, nil)
	require.Error(t, f.CheckListed(f.Upstreams[0]), "the owner has forgotten it")
}

// Guards against half broken upstreams giving callers an answer that is wrong,
// of another request or incomplete, or running a key twice.
func TestGrayUpstreams(t *testing.T) {
	f, ctx := startFleet(t, localfleet.Options{Controls: 1, Entries: 4})
	startUpstreams(t, ctx, f, 9)
	gray := []string{`{"mode":"crossed"}`, `{"mode":"doubled"}`, `{"mode":"truncated","share":0.5}`, `{"mode":"silent"}`}
	load := disturb(t, ctx, f, 8*time.Second, func() {
		for i, mode := range gray {
			require.NoError(t, f.SetMode(f.Upstreams[i], mode))
		}
	})
	summary, err := load.Finish(ctx)
	require.NoError(t, err)
	for _, s := range summary.Streams {
		t.Log(s.Name, s.Outcomes, s.Latency, s.Details)
		for _, wrong := range []string{"wrong_id", "wrong_digest", "wrong_body", "broken"} {
			assert.Zero(t, s.Outcomes[wrong], "%s: %s", s.Name, wrong)
		}
	}
	assert.Equal(t, summary.Streams[0].Sent, summary.Streams[0].Outcomes["ok"], "lookups")
	for i := range gray {
		require.NoError(t, f.SetMode(f.Upstreams[i], `{"mode":"normal"}`))
	}
	assertKeysRanOnce(t, f, load)
}
