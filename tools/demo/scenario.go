package main

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/internal/loadgen"
	"github.com/sequoialane/sequoialane/internal/localfleet"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/settings"
)

const (
	consents = "consents" // felling consents and fees of Arvoredo Protegido
	arrivals = "arrivals" // arrival lookups of Parada Viva

	arvoredo   = "arvoredo"
	paradaViva = "parada-viva"

	upstreamsEach = 3
	loadTime      = 16 * time.Second
	stepTime      = 4 * time.Second
)

// scenario is the course of the demo.
type scenario struct {
	fleet   *localfleet.Fleet
	started time.Time
}

func (s *scenario) note(format string, args ...any) {
	fmt.Printf("%5.1fs  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

func (s *scenario) play(ctx context.Context) error {
	if err := s.startUpstreams(ctx); err != nil {
		return trace.Wrap(err)
	}
	if err := s.setPlans(ctx); err != nil {
		return trace.Wrap(err)
	}
	load, err := s.fleet.StartLoad("load", s.load())
	if err != nil {
		return trace.Wrap(err)
	}
	defer load.Kill()
	s.note("load started: lookups and consents of two plans")
	steps := []func(context.Context) error{s.entitle, s.killUpstream, s.killEntry}
	for _, step := range steps {
		if err := pause(ctx); err != nil {
			return trace.Wrap(err)
		}
		if err := step(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	summary, err := load.Finish(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	s.note("load ended")
	return s.report(summary, load)
}

func pause(ctx context.Context) error {
	select {
	case <-time.After(stepTime):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *scenario) startUpstreams(ctx context.Context) error {
	for i := range 2 * upstreamsEach {
		o := localfleet.UpstreamOptions{Service: consents, Slots: 2, ServiceTime: 20 * time.Millisecond, Seed: uint64(i)}
		if i >= upstreamsEach {
			o.Service, o.Slots, o.ServiceTime = arrivals, 6, 10*time.Millisecond
		}
		if _, err := s.fleet.StartUpstream(ctx, o); err != nil {
			return trace.Wrap(err)
		}
	}
	s.note("%d upstreams announced themselves", 2*upstreamsEach)
	return nil
}

func (s *scenario) setPlans(ctx context.Context) error {
	var change plan.Change
	for _, id := range []string{arvoredo, paradaViva} {
		_, hash := localfleet.Token(id)
		change.SetPlans = append(change.SetPlans, plan.Plan{ID: id, Weight: 1, TokenSHA256: []string{hash}, HomeRegion: "north"})
	}
	change.SetEntitlements = []plan.Entitlement{
		{Plan: arvoredo, Service: consents},
		{Plan: paradaViva, Service: arrivals},
	}
	version, err := s.fleet.Change(change)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := s.fleet.WaitCatalog(ctx, version, s.fleet.Entries...); err != nil {
		return trace.Wrap(err)
	}
	s.note("two plans and their entitlements are in force on all entries")
	return nil
}

func (s *scenario) load() loadgen.Config {
	first, _ := localfleet.Token(arvoredo)
	second, _ := localfleet.Token(paradaViva)
	limit := settings.Duration(4 * time.Second)
	cfg := loadgen.Defaults()
	cfg.Duration = settings.Duration(loadTime)
	cfg.Streams = []loadgen.Stream{
		{Name: "order lookups", Service: consents, Path: "/orders", Token: first, Rate: 40, Timeout: limit},
		{Name: "felling consents", Service: consents, Method: "POST", Path: "/consents", Token: first, Rate: 20, Keyed: true, BodyBytes: 400, Timeout: limit},
		{Name: "arrival lookups", Service: arrivals, Path: "/stops", Token: second, Rate: 200, Timeout: limit},
		// Refused until the entitlement is added.
		{Name: "late entitlement", Service: consents, Path: "/orders", Token: second, Rate: 10, Timeout: limit},
	}
	return cfg
}

func (s *scenario) entitle(ctx context.Context) error {
	began := time.Now()
	version, err := s.fleet.Change(plan.Change{SetEntitlements: []plan.Entitlement{{Plan: paradaViva, Service: consents}}})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := s.fleet.WaitCatalog(ctx, version, s.fleet.Entries...); err != nil {
		return trace.Wrap(err)
	}
	s.note("plan %s was entitled to %s; in force everywhere after %d ms", paradaViva, consents, time.Since(began).Milliseconds())
	return nil
}

func (s *scenario) killUpstream(context.Context) error {
	s.fleet.Upstreams[0].Kill()
	s.note("killed an upstream of %s", consents)
	return nil
}

func (s *scenario) killEntry(context.Context) error {
	s.fleet.Entries[0].Kill()
	s.note("killed an entry")
	return nil
}
