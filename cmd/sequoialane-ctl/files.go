package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/sequoialane/sequoialane/internal/ctl"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/settings"
)

const (
	flagFile  = "file"
	flagAfter = "after"
	flagPrune = "prune"
)

const fileHelp = `The file holds {"plans": [...], "entitlements": [...]} in the form that
"plans list -o json" and "entitlements list -o json" print. What the file does
not name stays as it is, unless --prune is given.`

func fileFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Usage: "JSON `FILE` with the wanted plans and entitlements"},
		&cli.BoolFlag{Name: flagPrune, Usage: "remove what the file does not name"},
	}
}

func diffCommand() *cli.Command {
	after := &cli.StringFlag{Name: flagAfter, Usage: "list what changed after the catalog `VERSION`"}
	return &cli.Command{
		Name: "diff", Usage: "show what apply would change, or what changed after a version",
		Description: fileHelp, Action: diff, Flags: append(fileFlags(), after),
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "change plans and entitlements to match a file",
		Description: fileHelp + "\nUp to 5000 items are one change. More are sent as several changes in\norder, each of which takes effect as a whole.",
		Action:      apply, Flags: changeFlags(fileFlags()...),
	}
}

func diff(ctx context.Context, command *cli.Command) error {
	if command.IsSet(flagAfter) == command.IsSet(flagFile) {
		return usagef("diff: want either --%s or --%s", flagFile, flagAfter)
	}
	s, err := newSession(command, flagControl)
	if err != nil {
		return err
	}
	if command.IsSet(flagAfter) {
		changed, err := s.client.Diff(ctx, command.String(flagAfter))
		if err != nil {
			return err
		}
		heading, rows := ctl.DiffTable(changed)
		return s.print(changed, heading, rows)
	}
	ch, _, err := s.changeFromFile(ctx, command)
	if err != nil {
		return err
	}
	heading, rows := ctl.ChangeTable(ch)
	return s.print(ch, heading, rows)
}

// changeFromFile returns the change that brings the catalog to the content of the
// file, and the catalog version that the file was compared with.
func (s *session) changeFromFile(ctx context.Context, command *cli.Command) (plan.Change, uint64, error) {
	file := command.String(flagFile)
	if file == "" {
		return plan.Change{}, 0, usagef("--%s is required", flagFile)
	}
	var wanted ctl.CatalogItems
	if err := settings.Load(file, &wanted); err != nil {
		return plan.Change{}, 0, err
	}
	current, version, err := s.client.Catalog(ctx)
	if err != nil {
		return plan.Change{}, 0, err
	}
	ch := ctl.ChangeTo(current, wanted, command.Bool(flagPrune))
	ch.BaseVersion = version
	return ch, version, nil
}

func apply(ctx context.Context, command *cli.Command) error {
	s, err := newSession(command, flagControl)
	if err != nil {
		return err
	}
	ch, version, err := s.changeFromFile(ctx, command)
	if err != nil {
		return err
	}
	if ctl.ItemCount(ch) == 0 {
		fmt.Fprintln(s.stderr, "nothing to change")
		return nil
	}
	parts := ctl.SplitChange(ch)
	if len(parts) == 1 {
		return s.submit(ctx, command, parts[0], version)
	}
	for i, part := range parts {
		part.ID, part.BaseVersion = ctl.NewChangeID(), version
		fmt.Fprintf(s.stderr, "part %d of %d\n", i+1, len(parts))
		result, err := s.send(ctx, part)
		if err != nil {
			return err
		}
		version = result.Version
		if err := s.printResult(part, result); err != nil {
			return err
		}
	}
	return nil
}
