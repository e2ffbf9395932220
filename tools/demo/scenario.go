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
	consents = "consents" // service for felling consents and fees of Arvoredo Protegido
	arrivals = "arrivals" // service for arrival lookups of Parada Viva

	arvoredo   = "arvoredo"
	paradaViva = "parada-viva"

	upstreamsPerService = 3
	loadDuration        = 16 * time.Second
	stepInterval        = 4 * time.Second
)

// scenario is the sequence of steps of the demo.
type scenario struct {
	fleet   *localfleet.Fleet
	started time.Time
}

// logf prints a line with the time since the start of the scenario.
func (s *scenario) logf(format string, args ...any) {
	fmt.Printf("%5.1fs  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

func (s *scenario) run(ctx context.Context) error {
	if err := s.startUpstreams(ctx); err != nil {
		return trace.Wrap(err)
	}
	if err := s.setPlans(ctx); err != nil {
		return trace.Wrap(err)
	}
	load, err := s.fleet.StartLoad("load", s.loadConfig())
	if err != nil {
		return trace.Wrap(err)
	}
	defer load.Kill()
	s.logf("load started: lookups and consents of two plans")
	steps := []func(context.Context) error{s.addEntitlement, s.killUpstream, s.killEntry}
	for _, step := range steps {
		if err := waitForNextStep(ctx); err != nil {
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
	s.logf("load ended")
	return s.printReport(summary, load)
}

func waitForNextStep(ctx context.Context) error {
	select {
	case <-time.After(stepInterval):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *scenario) startUpstreams(ctx context.Context) error {
	for i := range 2 * upstreamsPerService {
		o := localfleet.UpstreamOptions{Service: consents, Slots: 2, ServiceTime: 20 * time.Millisecond, Seed: uint64(i)}
		if i >= upstreamsPerService {
			o.Service, o.Slots, o.ServiceTime = arrivals, 6, 10*time.Millisecond
		}
		if _, err := s.fleet.StartUpstream(ctx, o); err != nil {
			return trace.Wrap(err)
		}
	}
	s.logf("%d upstreams announced themselves", 2*upstreamsPerService)
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
	version, err := s.fleet.ApplyChange(change)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := s.fleet.WaitCatalog(ctx, version, s.fleet.Entries...); err != nil {
		return trace.Wrap(err)
	}
	s.logf("two plans and their entitlements are active on all entries")
	return nil
}

func (s *scenario) loadConfig() loadgen.Config {
	arvoredoToken, _ := localfleet.Token(arvoredo)
	paradaVivaToken, _ := localfleet.Token(paradaViva)
	timeout := settings.Duration(4 * time.Second)
	cfg := loadgen.DefaultConfig()
	cfg.Duration = settings.Duration(loadDuration)
	cfg.Streams = []loadgen.Stream{
		{Name: "order lookups", Service: consents, Path: "/orders", Token: arvoredoToken, Rate: 40, Timeout: timeout},
		{Name: "felling consents", Service: consents, Method: "POST", Path: "/consents", Token: arvoredoToken, Rate: 20, Keyed: true, BodyBytes: 400, Timeout: timeout},
		{Name: "arrival lookups", Service: arrivals, Path: "/stops", Token: paradaVivaToken, Rate: 200, Timeout: timeout},
		// Rejected until addEntitlement.
		{Name: "late entitlement", Service: consents, Path: "/orders", Token: paradaVivaToken, Rate: 10, Timeout: timeout},
	}
	return cfg
}

func (s *scenario) addEntitlement(ctx context.Context) error {
	started := time.Now()
	version, err := s.fleet.ApplyChange(plan.Change{SetEntitlements: []plan.Entitlement{{Plan: paradaViva, Service: consents}}})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := s.fleet.WaitCatalog(ctx, version, s.fleet.Entries...); err != nil {
		return trace.Wrap(err)
	}
	s.logf("plan %s was entitled to %s; active on all entries after %d ms", paradaViva, consents, time.Since(started).Milliseconds())
	return nil
}

func (s *scenario) killUpstream(context.Context) error {
	s.fleet.Upstreams[0].Kill()
	s.logf("killed an upstream of %s", consents)
	return nil
}

func (s *scenario) killEntry(context.Context) error {
	s.fleet.Entries[0].Kill()
	s.logf("killed an entry")
	return nil
}
