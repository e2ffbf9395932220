package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/ctl"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/settings"
)

const (
	flagPrefix      = "prefix"
	flagWeight      = "weight"
	flagHomeRegion  = "home-region"
	flagTokenSHA256 = "token-sha256"
	flagPlanToken   = "plan-token-file"
	defaultWeight   = 1
)

func plansCommand() *cli.Command {
	return &cli.Command{Name: "plans", Usage: "the plans that customers hold", Commands: []*cli.Command{
		{Name: "list", Usage: "list plans", Action: listPlans, Flags: []cli.Flag{&cli.StringFlag{Name: flagPrefix, Usage: "only plans whose id starts with `TEXT`"}}},
		{Name: "show", Usage: "show a plan with its entitlements", ArgsUsage: "PLAN", Action: showPlan},
		{Name: "set", Usage: "add or change a plan; values not given stay unchanged", ArgsUsage: "PLAN", Action: setPlan, Flags: changeFlags(
			&cli.IntFlag{Name: flagWeight, Usage: "share of slot time, 1 to 1000; default 1 for a new plan"},
			&cli.StringFlag{Name: flagHomeRegion, Usage: "`REGION` that keeps the claims of a new plan; cannot be changed"},
			&cli.StringSliceFlag{Name: flagTokenSHA256, Usage: "`HASH` of an accepted token; replaces the list; repeatable"},
			&cli.StringSliceFlag{Name: flagPlanToken, Usage: "`FILE` with an accepted token, of which only the hash is sent; replaces the list; repeatable"},
		)},
		{Name: "remove", Usage: "remove plans with their entitlements", ArgsUsage: "PLAN...", Action: removePlans, Flags: changeFlags()},
	}}
}

func listPlans(ctx context.Context, command *cli.Command) error {
	s, err := newSession(command, flagControl)
	if err != nil {
		return err
	}
	list, err := s.client.Plans(ctx, command.String(flagPrefix))
	if err != nil {
		return err
	}
	heading, rows := ctl.PlanTable(list.Plans)
	return s.print(list, heading, rows)
}

func showPlan(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, "PLAN")
	if err != nil {
		return err
	}
	s, err := newSession(command, flagControl)
	if err != nil {
		return err
	}
	detail, err := s.client.Plan(ctx, args[0])
	if err != nil {
		return err
	}
	if s.json {
		return ctl.WriteJSON(s.stdout, detail)
	}
	heading, rows := ctl.PlanTable([]plan.Plan{detail.Plan})
	if err := ctl.WriteTable(s.stdout, heading, rows); err != nil {
		return err
	}
	heading, rows = ctl.EntitlementTable(detail.Entitlements)
	return ctl.WriteTable(s.stdout, heading, rows)
}

func setPlan(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, "PLAN")
	if err != nil {
		return err
	}
	s, err := newSession(command, flagControl)
	if err != nil {
		return err
	}
	current, version, err := s.planOrNew(ctx, args[0])
	if err != nil {
		return err
	}
	hashes, err := tokenHashes(command)
	if err != nil {
		return err
	}
	if len(hashes) > 0 {
		current.TokenSHA256 = hashes
	}
	if command.IsSet(flagWeight) {
		current.Weight = command.Int(flagWeight)
	}
	if command.IsSet(flagHomeRegion) {
		current.HomeRegion = command.String(flagHomeRegion)
	}
	return s.submit(ctx, command, plan.Change{SetPlans: []plan.Plan{current}}, version)
}

// planOrNew returns the plan, or a new one with defaults, and the catalog version
// that was read.
func (s *session) planOrNew(ctx context.Context, id string) (plan.Plan, uint64, error) {
	detail, err := s.client.Plan(ctx, id)
	var apiErr *controlapi.Error
	if errors.As(err, &apiErr) && apiErr.Kind == fault.NotFound && apiErr.CurrentVersion != nil {
		return plan.Plan{ID: id, Weight: defaultWeight}, *apiErr.CurrentVersion, nil
	}
	return detail.Plan, detail.Version, err
}

// tokenHashes returns the SHA-256 hashes of the accepted tokens that the flags
// give, in hexadecimal.
func tokenHashes(command *cli.Command) ([]string, error) {
	var hashes []string
	for _, hash := range command.StringSlice(flagTokenSHA256) {
		hashes = append(hashes, strings.ToLower(hash))
	}
	for _, file := range command.StringSlice(flagPlanToken) {
		token, err := settings.ReadToken(file)
		if err != nil {
			return nil, err
		}
		sum := sha256.Sum256([]byte(token))
		hashes = append(hashes, hex.EncodeToString(sum[:]))
	}
	return hashes, nil
}

func removePlans(ctx context.Context, command *cli.Command) error {
	ids := command.Args().Slice()
	if len(ids) == 0 {
		return usagef("%s: want PLAN...", command.FullName())
	}
	s, err := newSession(command, flagControl)
	if err != nil {
		return err
	}
	detail, err := s.client.Plan(ctx, ids[0])
	if err != nil && !command.IsSet(flagBaseVersion) {
		return err
	}
	return s.submit(ctx, command, plan.Change{RemovePlans: ids}, detail.Version)
}
