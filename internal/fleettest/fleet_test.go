// Package fleettest tests whole fleets, run as processes on loopback.
package fleettest

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/loadgen"
	"github.com/sequoialane/sequoialane/internal/localfleet"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/settings"
)

const (
	startTimeout = 30 * time.Second
	testTimeout  = 90 * time.Second
	service      = "consents"
)

var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "sequoialane-bin")
	if err != nil {
		panic(err)
	}
	binDir = dir
	root, err := filepath.Abs("../..")
	if err != nil {
		panic(err)
	}
	if err := localfleet.Build(root, binDir); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// startFleet starts a fleet in which plan "council" is entitled to the
// service.
func startFleet(t *testing.T, o localfleet.Options) (*localfleet.Fleet, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	o.BinDir = binDir
	o.WorkDir = t.TempDir()
	starting, stop := context.WithTimeout(ctx, startTimeout)
	defer stop()
	f, err := localfleet.Start(starting, o)
	require.NoError(t, err)
	t.Cleanup(func() {
		f.Close()
		if t.Failed() {
			printLogs(t, f)
		}
	})
	entitle(t, ctx, f, "council")
	return f, ctx
}

func entitle(t *testing.T, ctx context.Context, f *localfleet.Fleet, planID string) {
	t.Helper()
	_, hash := localfleet.Token(planID)
	version, err := f.ApplyChange(plan.Change{
		SetPlans:        []plan.Plan{{ID: planID, Weight: 1, TokenSHA256: []string{hash}, HomeRegion: "north"}},
		SetEntitlements: []plan.Entitlement{{Plan: planID, Service: service}},
	})
	require.NoError(t, err)
	require.NoError(t, f.WaitCatalog(ctx, version, f.Entries...))
}

func printLogs(t *testing.T, f *localfleet.Fleet) {
	for _, e := range f.Entries {
		t.Logf("log of %s:\n%s", e.Name, tail(e.Log()))
	}
}

func tail(text string) string {
	const shown = 3000
	if len(text) > shown {
		return text[len(text)-shown:]
	}
	return text
}

func startUpstreams(t *testing.T, ctx context.Context, f *localfleet.Fleet, n int) {
	t.Helper()
	for i := range n {
		_, err := f.StartUpstream(ctx, localfleet.UpstreamOptions{
			Service: service, Slots: 4, ServiceTime: 5 * time.Millisecond, Idempotent: []string{"/uploads"}, Seed: uint64(i),
		})
		require.NoError(t, err)
	}
}

// mixedLoad returns a load of three streams: lookups, which are idempotent,
// consents, which are not but carry keys, and surveys, which have large bodies.
func mixedLoad(d time.Duration, rate float64) loadgen.Config {
	token, _ := localfleet.Token("council")
	cfg := loadgen.DefaultConfig()
	cfg.Duration = settings.Duration(d)
	cfg.Streams = []loadgen.Stream{
		{Name: "lookups", Service: service, Path: "/orders", Token: token, Rate: rate, Timeout: settings.Duration(5 * time.Second)},
		{Name: "consents", Service: service, Method: "POST", Path: "/consents", Token: token, Rate: rate / 2, Keyed: true, BodyBytes: 500, Timeout: settings.Duration(5 * time.Second)},
		{Name: "surveys", Service: service, Method: "POST", Path: "/uploads", Token: token, Rate: rate / 10, BodyBytes: 200_000, ResponseBytes: 100_000, Timeout: settings.Duration(5 * time.Second)},
	}
	return cfg
}

// assertKeysRanOnce checks that no key ran twice, that each key with a
// successful response ran, and that no key reported as not run did. Killed
// upstreams are left out.
func assertKeysRanOnce(t *testing.T, f *localfleet.Fleet, load *localfleet.Load) {
	t.Helper()
	keys, err := load.Keys()
	require.NoError(t, err)
	require.NotEmpty(t, keys)
	runs := map[string]int{}
	for _, u := range f.Upstreams {
		stats, err := f.Stats(u)
		if err != nil {
			continue
		}
		for key, n := range stats.Runs {
			runs[key] += n
		}
	}
	for _, k := range keys {
		assert.LessOrEqual(t, runs[k.Key], 1, "key %s ran twice", k.Key)
		if k.Outcome == "ok" {
			assert.Equal(t, 1, runs[k.Key], "key %s was answered with success", k.Key)
		}
		if k.Effect == "not-run" {
			assert.Zero(t, runs[k.Key], "key %s was reported as not run", k.Key)
		}
	}
}

// allowedOutcomes holds, by stream, the outcomes other than "ok" that may occur
// and their maximum counts.
type allowedOutcomes map[string]map[string]int

// assertOutcomes checks that callers saw only correct responses in time and the
// allowed outcomes.
func assertOutcomes(t *testing.T, summary loadgen.Summary, allowed allowedOutcomes) {
	t.Helper()
	for _, s := range summary.Streams {
		t.Log(s.Name, "sent", s.Sent, s.Outcomes, "resent", s.Resent, "broken", s.Broken, "p99 ms", s.Latency.P99, "max ms", s.Latency.Max, s.Details)
		assert.Positive(t, s.Outcomes["ok"], s.Name)
		assert.Zero(t, s.Dropped, "%s: requests that were not sent", s.Name)
		for outcome, n := range s.Outcomes {
			if outcome != "ok" {
				assert.LessOrEqual(t, n, allowed[s.Name][outcome], "%s: %s", s.Name, outcome)
			}
		}
	}
}

// Guards against faults between the processes of a fleet that has no failures:
// every request of a mixed load must succeed.
func TestMixedLoadEndToEnd(t *testing.T) {
	f, ctx := startFleet(t, localfleet.Options{Controls: 3, Entries: 4})
	startUpstreams(t, ctx, f, 3)
	load, err := f.StartLoad("load", mixedLoad(3*time.Second, 100))
	require.NoError(t, err)
	summary, err := load.Finish(ctx)
	require.NoError(t, err)
	assertOutcomes(t, summary, nil)
	assertKeysRanOnce(t, f, load)
}
