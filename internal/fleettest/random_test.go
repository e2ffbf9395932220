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
	randomLoad    = 20 * time.Second
	healLimit     = 60 * time.Second
	secondService = "register"
)

var (
	seedCount = flag.Int("seeds", 2, "number of seeds of TestRandomFaults")
	keepDir   = flag.String("keep", "", "folder that gets the files of failed runs of TestRandomFaults")
	firstSeed = flag.Uint64("first-seed", 1, "first seed of TestRandomFaults")
)

// Guards against faults that only a mix of them brings out: a key that runs
// twice or is lost, an answer that is wrong, a change that is lost or reverted,
// a fleet that does not heal.
func TestRandomFaults(t *testing.T) {
	for n := range *seedCount {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { randomFaults(t, seed) })
	}
}

func randomFaults(t *testing.T, seed uint64) {
	regions := []string{"north", "south"}
	f, ctx := startFleet(t, localfleet.Options{Controls: 3, Entries: 5 + int(seed%2), Regions: regions})
	entitleRegions(t, ctx, f)
	startRegions(t, ctx, f, seed)
	schedule := makeSchedule(seed, sizes{len(f.Controls), len(f.Entries), len(f.Upstreams)})
	i := &injector{fleet: f}
	t.Cleanup(func() {
		if t.Failed() {
			showFaults(t, f, i, seed)
		}
	})
	watch := watchVersions(f)
	operating := startOperators(f)
	var loads []*localfleet.Load
	for n, region := range regions {
		load, err := f.StartLoad("load-"+region, randomMix(region, seed*2+uint64(n)))
		require.NoError(t, err)
		loads = append(loads, load)
	}
	i.begin = time.Now()
	i.run(schedule)
	t.Log("faults carried out:", len(i.carried))
	assert.Empty(t, i.errs, "faults that could not be carried out")
	var summaries []loadgen.Summary
	for _, load := range loads {
		summary, err := load.Finish(ctx)
		require.NoError(t, err)
		summaries = append(summaries, summary)
	}
	close(operating.stop)
	ctx, cancel := context.WithTimeout(context.Background(), healLimit)
	defer cancel()
	heal(t, ctx, f)
	select {
	case <-operating.done:
	case <-ctx.Done():
		close(operating.abort)
		<-operating.done
		assert.Fail(t, "a change has no result after healing")
	}
	assertChanges(t, ctx, f, operating.rounds)
	assertEachKindSucceeds(t, ctx, f)
	watch.finish()
	assert.Positive(t, watch.reads)
	assert.Empty(t, watch.falls, "catalog versions that went down")
	assertAnswers(t, summaries)
	assertKeys(t, f, loads)
}

// showFaults prints the faults of a failed run and keeps its files if asked.
func showFaults(t *testing.T, f *localfleet.Fleet, i *injector, seed uint64) {
	t.Logf("faults of seed %d:\n%s", seed, strings.Join(i.carried, "\n"))
	for _, c := range f.Controls {
		t.Logf("log of %s:\n%s", c.Name, tail(c.Log()))
	}
	if *keepDir == "" {
		return
	}
	kept := filepath.Join(*keepDir, fmt.Sprintf("seed-%d", seed))
	assert.NoError(t, os.CopyFS(kept, os.DirFS(filepath.Dir(f.Controls[0].LogFile))))
}

func homePlan(region string) string { return "council-" + region }

func entitleRegions(t *testing.T, ctx context.Context, f *localfleet.Fleet) {
	t.Helper()
	var ch plan.Change
	for _, region := range []string{"north", "south"} {
		_, hash := localfleet.Token(homePlan(region))
		ch.SetPlans = append(ch.SetPlans, plan.Plan{ID: homePlan(region), Weight: 1, TokenSHA256: []string{hash}, HomeRegion: region})
		for _, s := range []string{service, secondService} {
			ch.SetEntitlements = append(ch.SetEntitlements, plan.Entitlement{Plan: homePlan(region), Service: s})
		}
	}
	version, err := f.Change(ch)
	require.NoError(t, err)
	require.NoError(t, f.WaitCatalog(ctx, version, f.Entries...))
}

// startRegions starts three upstreams of each service in the north and two in
// the south.
func startRegions(t *testing.T, ctx context.Context, f *localfleet.Fleet, seed uint64) {
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

// randomMix is the load of the callers in a region. Their keyed requests are
// of plans with both home regions.
func randomMix(region string, seed uint64) loadgen.Config {
	cfg := loadgen.Defaults()
	cfg.Region = region
	cfg.Seed = seed
	cfg.Duration = settings.Duration(randomLoad)
	timeout := settings.Duration(3 * time.Second)
	token, _ := localfleet.Token(homePlan(region))
	for _, s := range []string{service, secondService} {
		cfg.Streams = append(cfg.Streams,
			loadgen.Stream{Name: s + " lookups", Service: s, Path: "/orders", Token: token, Rate: 25, Timeout: timeout},
			loadgen.Stream{Name: s + " uploads", Service: s, Method: "POST", Path: "/uploads", Token: token, Rate: 3, BodyBytes: 200_000, AnswerBytes: 100_000, Timeout: timeout})
		for _, home := range []string{"north", "south"} {
			keyed, _ := localfleet.Token(homePlan(home))
			cfg.Streams = append(cfg.Streams, loadgen.Stream{
				Name: s + " consents of " + home, Service: s, Method: "POST", Path: "/consents", Token: keyed, Rate: 12,
				Keyed: true, ResendShare: 0.4, BodyBytes: 500, Timeout: timeout,
				Work: settings.Duration(10 * time.Millisecond), StragglerShare: 0.03, StragglerFactor: 40,
			})
		}
	}
	return cfg
}

// heal ends all faults and waits until all processes are ready.
func heal(t *testing.T, ctx context.Context, f *localfleet.Fleet) {
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

// assertChanges checks that exactly one of each pair was accepted, and that
// the last accepted change is in force at control and all entries.
func assertChanges(t *testing.T, ctx context.Context, f *localfleet.Fleet, rounds []round) {
	t.Helper()
	require.NotEmpty(t, rounds)
	version, weight := uint64(0), 0
	for n, r := range rounds {
		accepted := 0
		for k, result := range r.results {
			if result.Outcome != plan.Accepted {
				assert.Equal(t, plan.Stale, result.Outcome, "round %d: %s", n, result.Detail)
				continue
			}
			accepted++
			assert.Equal(t, r.base+1, result.Version, "round %d", n)
			version, weight = result.Version, r.weights[k]
		}
		assert.Equal(t, 1, accepted, "accepted changes with base version %d: %+v", r.base, r)
	}
	t.Log("pairs of changes:", len(rounds), "last version:", version)
	var operated struct {
		Version uint64    `json:"version"`
		Plan    plan.Plan `json:"plan"`
	}
	for _, c := range f.Controls {
		require.NoError(t, f.Get(c.APIAddress, "/v1/plans/"+operatedPlan, &operated))
		assert.Equal(t, version, operated.Version, "%s: version", c.Name)
		assert.Equal(t, weight, operated.Plan.Weight, "%s: weight of the last accepted change", c.Name)
	}
	require.NoError(t, f.WaitCatalog(ctx, version, f.Entries...))
}

// assertEachKindSucceeds repeats a short load until each kind of request has
// succeeded, because a claim group that formed anew has to be past its fence.
func assertEachKindSucceeds(t *testing.T, ctx context.Context, f *localfleet.Fleet) {
	t.Helper()
	for _, region := range []string{"north", "south"} {
		missing := []string{"not run"}
		for n := 0; len(missing) > 0 && ctx.Err() == nil; n++ {
			cfg := randomMix(region, uint64(n))
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
		assert.Empty(t, missing, "requests that fail after healing, %s", region)
	}
}

func assertAnswers(t *testing.T, summaries []loadgen.Summary) {
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

// assertKeys compares what callers were told with the runs at all upstreams.
func assertKeys(t *testing.T, f *localfleet.Fleet, loads []*localfleet.Load) {
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
				assert.Zero(t, runs[k.Key], "key was called not-run: %+v", k)
			}
		}
	}
}

// allNotRun holds for a key that was never sent, too.
func allNotRun(effects []fault.Effect) bool {
	for _, e := range effects {
		if e != fault.NotRun {
			return false
		}
	}
	return true
}
