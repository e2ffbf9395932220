package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/ctl"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/plan"
)

const (
	flagPlan              = "plan"
	flagService           = "service"
	flagRequestsPerSecond = "requests-per-second"
	flagConcurrency       = "concurrency"
)

func entitlementsCommand() *cli.Command {
	return &cli.Command{Name: "entitlements", Usage: "manage the rate and concurrency limits of plans per service", Commands: []*cli.Command{
		{Name: "list", Usage: "list entitlements", Action: listEntitlements, Flags: []cli.Flag{
			&cli.StringFlag{Name: flagPlan, Usage: "only those of the `PLAN`"},
			&cli.StringFlag{Name: flagService, Usage: "only those for the `SERVICE`"},
		}},
		{Name: "show", Usage: "show an entitlement", ArgsUsage: "PLAN SERVICE", Action: showEntitlement},
		{Name: "set", Usage: "add or change an entitlement; limits not given stay unchanged", ArgsUsage: "PLAN SERVICE", Action: setEntitlement, Flags: changeFlags(
			&cli.FloatFlag{Name: flagRequestsPerSecond, Usage: "limit of the request rate; 0: no limit"},
			&cli.IntFlag{Name: flagConcurrency, Usage: "limit of requests in flight; 0: no limit"},
		)},
		{Name: "remove", Usage: "remove an entitlement", ArgsUsage: "PLAN SERVICE", Action: removeEntitlement, Flags: changeFlags()},
	}}
}

func listEntitlements(ctx context.Context, command *cli.Command) error {
	s, err := newSession(command, flagControl)
	if err != nil {
		return err
	}
	list, err := s.client.Entitlements(ctx, command.String(flagPlan), command.String(flagService))
	if err != nil {
		return err
	}
	heading, rows := ctl.EntitlementTable(list.Entitlements)
	return s.print(list, heading, rows)
}

// entitlementSession reads the arguments PLAN and SERVICE and the global flags.
func entitlementSession(command *cli.Command) (*session, plan.EntitlementKey, error) {
	args, err := arguments(command, "PLAN", "SERVICE")
	if err != nil {
		return nil, plan.EntitlementKey{}, err
	}
	s, err := newSession(command, flagControl)
	return s, plan.EntitlementKey{Plan: args[0], Service: args[1]}, err
}

func showEntitlement(ctx context.Context, command *cli.Command) error {
	s, key, err := entitlementSession(command)
	if err != nil {
		return err
	}
	detail, err := s.client.Entitlement(ctx, key.Plan, key.Service)
	if err != nil {
		return err
	}
	heading, rows := ctl.EntitlementTable([]plan.Entitlement{detail.Entitlement})
	return s.print(detail, heading, rows)
}

func setEntitlement(ctx context.Context, command *cli.Command) error {
	s, key, err := entitlementSession(command)
	if err != nil {
		return err
	}
	current, version, err := s.entitlementOrNew(ctx, key)
	if err != nil {
		return err
	}
	if command.IsSet(flagRequestsPerSecond) {
		current.RequestsPerSecond = command.Float(flagRequestsPerSecond)
	}
	if command.IsSet(flagConcurrency) {
		current.Concurrency = command.Int(flagConcurrency)
	}
	return s.submit(ctx, command, plan.Change{SetEntitlements: []plan.Entitlement{current}}, version)
}

// entitlementOrNew returns the entitlement, or a new one without limits, and the
// catalog version that was read.
func (s *session) entitlementOrNew(ctx context.Context, key plan.EntitlementKey) (plan.Entitlement, uint64, error) {
	detail, err := s.client.Entitlement(ctx, key.Plan, key.Service)
	var apiErr *controlapi.Error
	if errors.As(err, &apiErr) && apiErr.Kind == fault.NotFound && apiErr.CurrentVersion != nil {
		return plan.Entitlement{Plan: key.Plan, Service: key.Service}, *apiErr.CurrentVersion, nil
	}
	return detail.Entitlement, detail.Version, err
}

func removeEntitlement(ctx context.Context, command *cli.Command) error {
	s, key, err := entitlementSession(command)
	if err != nil {
		return err
	}
	detail, err := s.client.Entitlement(ctx, key.Plan, key.Service)
	if err != nil && !command.IsSet(flagBaseVersion) {
		return err
	}
	return s.submit(ctx, command, plan.Change{RemoveEntitlements: []plan.EntitlementKey{key}}, detail.Version)
}
