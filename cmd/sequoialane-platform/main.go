// Command sequoialane-platform runs an entry or a control member of the fleet on
// the users' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/sequoialane/sequoialane/platform"
)

const (
	exitFailure  = 1
	flagSettings = "settings"
)

// reloadSignals receives SIGHUP. It is registered at process start, so that an
// early SIGHUP does not end the process.
var reloadSignals = make(chan os.Signal, 1)

func main() {
	signal.Notify(reloadSignals, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "sequoialane-platform",
		Usage: "run a fleet on the users' platform",
		Commands: []*cli.Command{
			{Name: "entry", Usage: "serve callers until SIGTERM", Flags: flags(), Action: withSettings(runEntry)},
			{Name: "control", Usage: "hold the fleet state until SIGTERM", Flags: flags(), Action: withSettings(runControl)},
			{Name: "check-entry", Usage: "check the settings of an entry", Flags: flags(), Action: withSettings(checkEntry)},
			{Name: "check-control", Usage: "check the settings of a control member", Flags: flags(), Action: withSettings(checkControl)},
		},
	}
}

func flags() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{Name: flagSettings, Aliases: []string{"s"}, Usage: "JSON settings `FILE`", Value: platform.SettingsFile()}}
}

func withSettings(run func(ctx context.Context, file string) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error { return run(ctx, c.String(flagSettings)) }
}
