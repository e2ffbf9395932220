package main

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/internal/localfleet"
	"github.com/sequoialane/sequoialane/internal/plan"
)

// Parameters of the measurement.
const (
	service           = "probe"
	planID            = "bench"
	targetCount       = 2
	slotsPerTarget    = 16
	serviceTime       = 5 * time.Millisecond
	lightLoadInterval = 5 * time.Millisecond // between requests of the light load
	latencySamples    = 3000                 // per path
	keyedSamples      = 1000
	warmUpRequests    = 200 // not recorded
	changeSamples     = 20
	busyWorkers       = 16
	busyDuration      = 8 * time.Second
	idleDuration      = 10 * time.Second
)

// bench is one measurement run against a fleet.
type bench struct {
	fleet  *localfleet.Fleet
	owner  *localfleet.Entry // owner of the service
	other  *localfleet.Entry // an entry that forwards to the owner
	caller *caller
	report report
}

func (b *bench) run(ctx context.Context) error {
	steps := []func(context.Context) error{b.prepare, b.measureIdle, b.measureLatency, b.measureKeyed, b.measureChanges, b.measureThroughput}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	b.report.Errors = b.caller.errors()
	return nil
}

func (b *bench) prepare(ctx context.Context) error {
	for i := range targetCount {
		o := localfleet.UpstreamOptions{Service: service, Slots: slotsPerTarget, ServiceTime: serviceTime, Seed: uint64(i)}
		if _, err := b.fleet.StartUpstream(ctx, o); err != nil {
			return trace.Wrap(err)
		}
	}
	token, hash := localfleet.Token(planID)
	version, err := b.fleet.ApplyChange(plan.Change{
		SetPlans:        []plan.Plan{{ID: planID, Weight: 1, TokenSHA256: []string{hash}, HomeRegion: "north"}},
		SetEntitlements: []plan.Entitlement{{Plan: planID, Service: service}},
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := b.fleet.WaitCatalog(ctx, version, b.fleet.Entries...); err != nil {
		return trace.Wrap(err)
	}
	b.caller = newCaller(token)
	return b.findOwner()
}

// findOwner sets owner and other.
func (b *bench) findOwner() error {
	owner, err := b.fleet.Owner(service, "north")
	if err != nil {
		return trace.Wrap(err)
	}
	b.owner = owner
	for _, e := range b.fleet.Entries {
		if e != owner {
			b.other = e
			return nil
		}
	}
	return trace.NotFound("the fleet has no entry other than the owner")
}

// measureIdle measures the CPU time of an entry without requests, which is spent
// on gossip, the catalog feed and the claim groups.
func (b *bench) measureIdle(ctx context.Context) error {
	before, err := readUsage(b.other.PID())
	if err != nil {
		return trace.Wrap(err)
	}
	if err := sleep(ctx, idleDuration); err != nil {
		return trace.Wrap(err)
	}
	after, err := readUsage(b.other.PID())
	if err != nil {
		return trace.Wrap(err)
	}
	b.report.IdleCPUShare = (after.cpu - before.cpu).Seconds() / idleDuration.Seconds()
	return nil
}

// measureLatency sends single requests over the three paths in turn, so that other
// load on the machine affects all of them equally.
func (b *bench) measureLatency(ctx context.Context) error {
	paths := []struct {
		url    string
		result *quantiles
	}{
		{"http://" + b.fleet.Upstreams[0].Address + "/work", &b.report.Direct},
		{entryURL(b.owner), &b.report.ThroughOwner},
		{entryURL(b.other), &b.report.ThroughForward},
	}
	histograms := make([]*hdrhistogram.Histogram, len(paths))
	for i := range histograms {
		histograms[i] = newHistogram()
	}
	for n := range warmUpRequests + latencySamples {
		for i, p := range paths {
			latency, ok := b.caller.get(ctx, p.url)
			if ok && n >= warmUpRequests {
				record(histograms[i], latency)
			}
		}
		if err := sleep(ctx, lightLoadInterval); err != nil {
			return trace.Wrap(err)
		}
	}
	for i, p := range paths {
		*p.result = quantilesOf(histograms[i])
	}
	return nil
}

// measureKeyed measures requests with an idempotency key through the owner.
func (b *bench) measureKeyed(ctx context.Context) error {
	h := newHistogram()
	for n := range warmUpRequests + keyedSamples {
		latency, ok := b.caller.post(ctx, entryURL(b.owner))
		if ok && n >= warmUpRequests {
			record(h, latency)
		}
		if err := sleep(ctx, lightLoadInterval); err != nil {
			return trace.Wrap(err)
		}
	}
	b.report.Keyed = quantilesOf(h)
	return nil
}

// measureChanges measures the time from the operator's request until each entry
// reports the new version, by polling the entries.
func (b *bench) measureChanges(ctx context.Context) error {
	h := newHistogram()
	for i := range changeSamples {
		started := time.Now()
		version, err := b.fleet.ApplyChange(plan.Change{
			SetEntitlements: []plan.Entitlement{{Plan: planID, Service: service, Concurrency: 1000 + i}},
		})
		if err != nil {
			return trace.Wrap(err)
		}
		if err := b.fleet.WaitCatalog(ctx, version, b.fleet.Entries...); err != nil {
			return trace.Wrap(err)
		}
		record(h, time.Since(started))
	}
	b.report.Change = quantilesOf(h)
	return nil
}

// measureThroughput loads the owner with a fixed number of concurrent requests.
func (b *bench) measureThroughput(ctx context.Context) error {
	before, err := readUsage(b.owner.PID())
	if err != nil {
		return trace.Wrap(err)
	}
	succeeded := b.caller.closedLoop(ctx, entryURL(b.owner), busyWorkers, busyDuration)
	after, err := readUsage(b.owner.PID())
	if err != nil {
		return trace.Wrap(err)
	}
	b.report.RequestsPerCPUSecond = float64(succeeded) / (after.cpu - before.cpu).Seconds()
	b.report.OwnerMemoryBytes = after.memory
	return nil
}

func entryURL(e *localfleet.Entry) string {
	return "http://" + e.Settings.CallerAddress + "/s/" + service + "/work"
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}
