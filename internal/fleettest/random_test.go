package fleettest

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/loadgen"
	"github.com/sequoialane/sequoialane/internal/localfleet"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/settings"
)

const (
	loadDuration  = 20 * time.Second
	healTimeout   = 60 * time.Second
	secondService = "register"
)

var (
	seedCount = flag.Int("seeds", 2, "number of seeds that TestRandomFaults runs")
	keepDir   = flag.String("keep", "", "folder to which TestRandomFaults copies the files of failed runs")
	firstSeed = flag.Uint64("first-seed", 1, "first seed that TestRandomFaults runs")
)

// Guards against failures that only a combination of faults causes: a key that
// runs twice or is lost, a wrong response, a change that is lost or reverted, and
// a fleet that does not recover.
func TestRandomFaults(t *testing.T) {
	for n := range *seedCount {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { randomFaults(t, seed) })
	}
}

// randomFaults runs a fleet under load with the fault schedule of the seed and
// checks what callers and operators saw.
func randomFaults(t *testing.T, seed uint64) {
	regions := []string{"north", "south"}
	f, ctx := startFleet(t, localfleet.Options{Controls: 3, Entries: 5 + int(seed%2), Regions: regions})
	entitleRegionPlans(t, ctx, f)
	startRegionUpstreams(t, ctx, f, seed)
	schedule := makeSchedule(seed, fleetSize{len(f.Controls), len(f.Entries), len(f.Upstreams)})
	i := &injector{fleet: f}
	t.Cleanup(func() {
		if t.Failed() {
			printFaults(t, f, i, seed)
		}
	})
	watch := watchVersions(f)
	ops := startOperators(f)
	var loads []*localfleet.Load
	for n, region := range regions {
		load, err := f.StartLoad("load-"+region, regionLoad(region, seed*2+uint64(n)))
		require.NoError(t, err)
		loads = append(loads, load)
	}
	i.start = time.Now()
	i.run(schedule)
	t.Log("faults injected:", len(i.injected))
	assert.Empty(t, i.errs, "faults that could not be injected")
	var summaries []loadgen.Summary
	for _, load := range loads {
		summary, err := load.Finish(ctx)
		require.NoError(t, err)
		summaries = append(summaries, summary)
	}
	close(ops.stop)
	ctx, cancel := context.WithTimeout(context.Background(), healTimeout)
	defer cancel()
	waitHealed(t, ctx, f)
	select {
	case <-ops.done:
	case <-ctx.Done():
		close(ops.abort)
		<-ops.done
		assert.Fail(t, "a change has no result although all faults have ended")
	}
	assertChanges(t, ctx, f, ops.pairs)
	assertEachKindSucceeds(t, ctx, f)
	watch.finish()
	assert.Positive(t, watch.reads)
	assert.Empty(t, watch.decreases, "decreases of a catalog version")
	assertResponses(t, summaries)
	assertKeyRuns(t, f, loads)
}

// printFaults logs the faults and the control logs of a failed run. With -keep, it
// copies the files of the run.
func printFaults(t *testing.T, f *localfleet.Fleet, i *injector, seed uint64) {
	t.Logf("faults of seed %d:\n%s", seed, strings.Join(i.injected, "\n"))
	for _, c := range f.Controls {
		t.Logf("log of %s:\n%s", c.Name, tail(c.Log()))
	}
	if *keepDir == "" {
		return
	}
	kept := filepath.Join(*keepDir, fmt.Sprintf("seed-%d", seed))
	assert.NoError(t, os.CopyFS(kept, os.DirFS(filepath.Dir(f.Controls[0].LogFile))))
}

func planOfRegion(region string) string { return "council-" + region }

func entitleRegionPlans(t *testing.T, ctx context.Context, f *localfleet.Fleet) {
	t.Helper()
	var ch plan.Change
	for _, region := range []string{"north", "south"} {
		_, hash := localfleet.Token(planOfRegion(region))
		ch.SetPlans = append(ch.SetPlans, plan.Plan{ID: planOfRegion(region), Weight: 1, TokenSHA256: []string{hash}, HomeRegion: region})
		for _, s := range []string{service, secondService} {
			ch.SetEntitlements = append(ch.SetEntitlements, plan.Entitlement{Plan: planOfRegion(region), Service: s})
		}
	}
	version, err := f.ApplyChange(ch)
	require.NoError(t, err)
	require.NoError(t, f.WaitCatalog(ctx, version, f.Entries...))
}

// startRegionUpstreams starts three upstreams of each service in the north and
// two in the south.
func startRegionUpstreams(t *testing.T, ctx context.Context, f *localfleet.Fleet, seed uint64) {
	t.Helper()
	for _, s := range []string{service, secondService} {
		for n, region := range []string{"north", "south", "north", "south", "north"} {
			_, err := f.StartUpstream(ctx, localfleet.UpstreamOptions{
				Service: s, Region: region, Slots: 4, ServiceTime: 5 * time.Millisecond,
				Idempotent: []string{"/uploads"}, Seed: seed*100 + uint64(n),
			})
			require.NoError(t, err)
		}
	}
}

// regionLoad returns the load of the callers in a region. Their keyed requests
// belong to plans of both home regions.
func regionLoad(region string, seed uint64) loadgen.Config {
	cfg := loadgen.DefaultConfig()
	cfg.Region = region
	cfg.Seed = seed
	cfg.Duration = settings.Duration(loadDuration)
	timeout := settings.Duration(3 * time.Second)
	token, _ := localfleet.Token(planOfRegion(region))
	for _, s := range []string{service, secondService} {
		cfg.Streams = append(cfg.Streams,
			loadgen.Stream{Name: s + " lookups", Service: s, Path: "/orders", Token: token, Rate: 25, Timeout: timeout},
			loadgen.Stream{Name: s + " uploads", Service: s, Method: "POST", Path: "/uploads", Token: token, Rate: 3, BodyBytes: 200_000, ResponseBytes: 100_000, Timeout: timeout})
		for _, home := range []string{"north", "south"} {
			keyed, _ := localfleet.Token(planOfRegion(home))
			cfg.Streams = append(cfg.Streams, loadgen.Stream{
				Name: s + " consents of " + home, Service: s, Method: "POST", Path: "/consents", Token: keyed, Rate: 12,
				Keyed: true, ResendShare: 0.4, BodyBytes: 500, Timeout: timeout,
				Work: settings.Duration(10 * time.Millisecond), StragglerShare: 0.03, StragglerFactor: 40,
			})
		}
	}
	return cfg
}

// waitHealed waits until all processes are ready and the control members have
// settled. All faults have ended before.
func waitHealed(t *testing.T, ctx context.Context, f *localfleet.Fleet) {
	t.Helper()
	for _, c := range f.Controls {
		require.NoError(t, f.WaitReady(ctx, c.Process, c.APIAddress), c.Name)
	}
	for _, e := range f.Entries {
		require.NoError(t, f.WaitReady(ctx, e.Process, e.Settings.CallerAddress), e.Name)
	}
	_, err := waitSettled(f, f.Controls[0].Name, 0)
	require.NoError(t, err)
}

// assertChanges checks that exactly one change of each pair was accepted, and that
// all control members and entries hold the last accepted one.
func assertChanges(t *testing.T, ctx context.Context, f *localfleet.Fleet, pairs []changePair) {
	t.Helper()
	require.NotEmpty(t, pairs)
	version, weight := uint64(0), 0
	for n, r := range pairs {
		accepted := 0
		for k, result := range r.results {
			if result.Outcome != plan.Accepted {
				assert.Equal(t, plan.Stale, result.Outcome, "pair %d: %s", n, result.Detail)
				continue
			}
			accepted++
			assert.Equal(t, r.base+1, result.Version, "pair %d", n)
			version, weight = result.Version, r.weights[k]
		}
		assert.Equal(t, 1, accepted, "accepted changes with base version %d: %+v", r.base, r)
	}
	t.Log("pairs of changes:", len(pairs), "last version:", version)
	var got struct {
		Version uint64    `json:"version"`
		Plan    plan.Plan `json:"plan"`
	}
	for _, c := range f.Controls {
		require.NoError(t, f.Get(c.APIAddress, "/v1/plans/"+operatorPlan, &got))
		assert.Equal(t, version, got.Version, "%s: version", c.Name)
		assert.Equal(t, weight, got.Plan.Weight, "%s: weight of the last accepted change", c.Name)
	}
	require.NoError(t, f.WaitCatalog(ctx, version, f.Entries...))
}

// assertEachKindSucceeds repeats a short load until each kind of request has
// succeeded. It repeats because a claim group that has formed anew must first be
// past its fence.
func assertEachKindSucceeds(t *testing.T, ctx context.Context, f *localfleet.Fleet) {
	t.Helper()
	for _, region := range []string{"north", "south"} {
		missing := []string{"not run"}
		for n := 0; len(missing) > 0 && ctx.Err() == nil; n++ {
			cfg := regionLoad(region, uint64(n))
			cfg.Duration = settings.Duration(time.Second)
			load, err := f.StartLoad(fmt.Sprintf("healed-%s-%d", region, n), cfg)
			require.NoError(t, err)
			summary, err := load.Finish(ctx)
			require.NoError(t, err)
			missing = nil
			for _, s := range summary.Streams {
				if s.Sent > 0 && s.Outcomes["ok"] == 0 {
					missing = append(missing, fmt.Sprint(s.Name, s.Outcomes, s.Details))
				}
			}
		}
		assert.Empty(t, missing, "requests that still fail after all faults have ended, %s", region)
	}
}

// assertResponses checks that each stream had successes and no wrong response.
func assertResponses(t *testing.T, summaries []loadgen.Summary) {
	t.Helper()
	for _, summary := range summaries {
		for _, s := range summary.Streams {
			t.Log(s.Name, "sent", s.Sent, s.Outcomes, "resent", s.Resent, "max ms", s.Latency.Max)
			assert.Positive(t, s.Outcomes["ok"], s.Name)
			for _, wrong := range []string{"wrong_id", "wrong_digest", "wrong_body"} {
				assert.Zero(t, s.Outcomes[wrong], "%s: %s", s.Name, wrong)
			}
		}
	}
}

// assertKeyRuns compares the outcomes of keys with their runs at all upstreams.
func assertKeyRuns(t *testing.T, f *localfleet.Fleet, loads []*localfleet.Load) {
	t.Helper()
	runs, err := f.Runs()
	require.NoError(t, err)
	for key, n := range runs {
		assert.Equal(t, 1, n, "runs of key %s", key)
	}
	for _, load := range loads {
		keys, err := load.Keys()
		require.NoError(t, err)
		require.NotEmpty(t, keys)
		for _, k := range keys {
			if k.Outcome == "ok" || k.Outcome == "late" {
				assert.Equal(t, 1, runs[k.Key], "key was answered: %+v", k)
			}
			if allNotRun(k.Effects) {
				assert.Zero(t, runs[k.Key], "key was reported as not run: %+v", k)
			}
		}
	}
}

// allNotRun reports whether no attempt may have run. It is true for a key that was
// never sent.
func allNotRun(effects []fault.Effect) bool {
	for _, e := range effects {
		if e != fault.NotRun {
			return false
		}
	}
	return true
}
