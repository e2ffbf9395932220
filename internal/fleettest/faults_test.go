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

// startLoadWithFault starts a load of the given length, waits two seconds and
// calls fault.
func startLoadWithFault(t *testing.T, ctx context.Context, f *localfleet.Fleet, length time.Duration, fault func()) *localfleet.Load {
	t.Helper()
	load, err := f.StartLoad("load", mixedLoad(length, 60))
	require.NoError(t, err)
	time.Sleep(2 * time.Second)
	fault()
	return load
}

// lostInFlight allows each outcome, up to n times, of requests that were in
// flight on a process that was lost. A consent that had been sent cannot be
// retried; a survey of more than 64 KiB is not buffered for a second attempt.
func lostInFlight(n int) allowedOutcomes {
	return allowedOutcomes{
		"consents": {"outcome_unknown": n, "still_running": n, "claims_unavailable": n},
		"surveys":  {"upstream_failed": n, "owner_unreachable": n, "broken": n},
	}
}

// Guards against callers seeing errors when an upstream is killed, beyond the
// requests in flight on it.
func TestUpstreamKilled(t *testing.T) {
	f, ctx := startFleet(t, localfleet.Options{Controls: 1, Entries: 4})
	startUpstreams(t, ctx, f, 4)
	load := startLoadWithFault(t, ctx, f, 7*time.Second, func() { f.Upstreams[1].Kill() })
	summary, err := load.Finish(ctx)
	require.NoError(t, err)
	assertOutcomes(t, summary, lostInFlight(4))
}

// Guards against callers seeing errors when an owner is killed, beyond the
// consents that it had sent, and against a key that runs twice.
func TestOwnerKilled(t *testing.T) {
	f, ctx := startFleet(t, localfleet.Options{Controls: 1, Entries: 4})
	startUpstreams(t, ctx, f, 4)
	owner, err := f.Owner(service, "north")
	require.NoError(t, err)
	load := startLoadWithFault(t, ctx, f, 8*time.Second, owner.Kill)
	summary, err := load.Finish(ctx)
	require.NoError(t, err)
	assertOutcomes(t, summary, lostInFlight(10))
	assertKeysRanOnce(t, f, load)
}

// Guards against an owner that is suspended and resumed later holding up callers or
// running a key twice.
func TestOwnerFrozen(t *testing.T) {
	f, ctx := startFleet(t, localfleet.Options{Controls: 1, Entries: 4})
	startUpstreams(t, ctx, f, 4)
	owner, err := f.Owner(service, "north")
	require.NoError(t, err)
	load := startLoadWithFault(t, ctx, f, 10*time.Second, func() {
		require.NoError(t, owner.Suspend())
		time.Sleep(4 * time.Second)
		require.NoError(t, owner.Resume())
	})
	summary, err := load.Finish(ctx)
	require.NoError(t, err)
	allowed := lostInFlight(10)
	allowed["lookups"] = map[string]int{"no_answer": 10, "deadline_exceeded": 10}
	allowed["consents"]["no_answer"] = 10
	allowed["surveys"]["no_answer"] = 10
	assertOutcomes(t, summary, allowed)
	assertKeysRanOnce(t, f, load)
}

// Guards against a rolling restart of all entries breaking or refusing a
// request.
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
	assertOutcomes(t, summary, nil)
	for _, s := range summary.Streams {
		assert.Zero(t, s.Broken, "%s: broken connections", s.Name)
	}
	assertKeysRanOnce(t, f, load)
}

// Guards against entries depending on control: while all control members are
// down, entries must serve, and an entry without a disk must be able to restart
// with the state of the others.
func TestEntryRestartsWithoutControl(t *testing.T) {
	noDisk := func(s *entry.Settings) { s.DataFolder = "" }
	f, ctx := startFleet(t, localfleet.Options{Controls: 1, Entries: 4, Adjust: noDisk})
	startUpstreams(t, ctx, f, 4)
	load := startLoadWithFault(t, ctx, f, 10*time.Second, func() {
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
	assertOutcomes(t, summary, nil)
}

// Guards against losing requests on an upstream that leaves, and against giving
// it new work a few seconds later.
func TestUpstreamLeaves(t *testing.T) {
	f, ctx := startFleet(t, localfleet.Options{Controls: 1, Entries: 4})
	startUpstreams(t, ctx, f, 4)
	load := startLoadWithFault(t, ctx, f, 7*time.Second, func() {
		code, err := f.Upstreams[0].Terminate(20 * time.Second)
		require.NoError(t, err)
		assert.Zero(t, code)
	})
	summary, err := load.Finish(ctx)
	require.NoError(t, err)
	assertOutcomes(t, summary, nil)
	require.Error(t, f.CheckListed(f.Upstreams[0]), "the owner still lists an upstream that left")
}

// Guards against upstreams with gray failures: callers must get no wrong or
// incomplete response and none of another request, and no key may run twice.
func TestGrayUpstreams(t *testing.T) {
	f, ctx := startFleet(t, localfleet.Options{Controls: 1, Entries: 4})
	startUpstreams(t, ctx, f, 9)
	gray := []string{`{"mode":"crossed"}`, `{"mode":"doubled"}`, `{"mode":"truncated","share":0.5}`, `{"mode":"silent"}`}
	load := startLoadWithFault(t, ctx, f, 8*time.Second, func() {
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
