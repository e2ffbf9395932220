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
	service      = "probe"
	planID       = "bench"
	targets      = 2
	slots        = 16
	serviceTime  = 5 * time.Millisecond
	lightPeriod  = 5 * time.Millisecond // between requests of the light load
	lightSamples = 3000                 // of each path
	keyedSamples = 1000
	warmUp       = 200
	changes      = 20
	busyWorkers  = 16
	busyTime     = 8 * time.Second
	idleTime     = 10 * time.Second
)

// bench is one run against a fleet.
type bench struct {
	fleet  *localfleet.Fleet
	owner  *localfleet.Entry
	other  *localfleet.Entry
	caller *caller
	report report
}

func (b *bench) run(ctx context.Context) error {
	steps := []func(context.Context) error{b.prepare, b.idle, b.light, b.keyed, b.changes, b.busy}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	b.report.Errors = b.caller.errors()
	return nil
}

func (b *bench) prepare(ctx context.Context) error {
	for i := range targets {
		o := localfleet.UpstreamOptions{Service: service, Slots: slots, ServiceTime: serviceTime, Seed: uint64(i)}
		if _, err := b.fleet.StartUpstream(ctx, o); err != nil {
			return trace.Wrap(err)
		}
	}
	token, hash := localfleet.Token(planID)
	version, err := b.fleet.Change(plan.Change{
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
	return trace.NotFound("no entry beside the owner")
}

// idle measures an entry without requests: gossip, catalog feed, claim groups.
func (b *bench) idle(ctx context.Context) error {
	before, err := usageOf(b.other.PID())
	if err != nil {
		return trace.Wrap(err)
	}
	if err := sleep(ctx, idleTime); err != nil {
		return trace.Wrap(err)
	}
	after, err := usageOf(b.other.PID())
	if err != nil {
		return trace.Wrap(err)
	}
	b.report.IdleCPUShare = (after.cpu - before.cpu).Seconds() / idleTime.Seconds()
	return nil
}

// light sends single requests by turns over the three paths, so that other
// work on the machine meets all of them alike.
func (b *bench) light(ctx context.Context) error {
	paths := []struct {
		url  string
		into *quantiles
	}{
		{"http://" + b.fleet.Upstreams[0].Address + "/work", &b.report.Direct},
		{entryURL(b.owner), &b.report.ThroughOwner},
		{entryURL(b.other), &b.report.ThroughForward},
	}
	histograms := make([]*hdrhistogram.Histogram, len(paths))
	for i := range histograms {
		histograms[i] = newHistogram()
	}
	for n := range warmUp + lightSamples {
		for i, p := range paths {
			took, ok := b.caller.get(ctx, p.url)
			if ok && n >= warmUp {
				record(histograms[i], took)
			}
		}
		if err := sleep(ctx, lightPeriod); err != nil {
			return trace.Wrap(err)
		}
	}
	for i, p := range paths {
		*p.into = quantilesOf(histograms[i])
	}
	return nil
}

func (b *bench) keyed(ctx context.Context) error {
	h := newHistogram()
	for n := range warmUp + keyedSamples {
		took, ok := b.caller.post(ctx, entryURL(b.owner))
		if ok && n >= warmUp {
			record(h, took)
		}
		if err := sleep(ctx, lightPeriod); err != nil {
			return trace.Wrap(err)
		}
	}
	b.report.Keyed = quantilesOf(h)
	return nil
}

// changes measures from the operator's request until each entry shows the new
// version, by polling the entries.
func (b *bench) changes(ctx context.Context) error {
	h := newHistogram()
	for i := range changes {
		started := time.Now()
		version, err := b.fleet.Change(plan.Change{
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

// busy loads the owner with a fixed number of concurrent requests.
func (b *bench) busy(ctx context.Context) error {
	before, err := usageOf(b.owner.PID())
	if err != nil {
		return trace.Wrap(err)
	}
	done := b.caller.closedLoop(ctx, entryURL(b.owner), busyWorkers, busyTime)
	after, err := usageOf(b.owner.PID())
	if err != nil {
		return trace.Wrap(err)
	}
	b.report.RequestsPerCPUSecond = float64(done) / (after.cpu - before.cpu).Seconds()
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
