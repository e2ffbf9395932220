// Command sequoialane-control runs a control member: it keeps the plans and
// entitlements with the other control members, answers operators, and feeds
// entries.
//
// Exit codes: 0 success, 1 failure, 2 wrong settings or wrong use.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/sequoialane/sequoialane/internal/control"
	"github.com/sequoialane/sequoialane/internal/settings"
)

const (
	exitFailure       = 1
	exitWrongSettings = 2
	flagSettings      = "settings"
)

// version is set at build time with -ldflags "-X main.version=...".
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(execute(ctx, os.Args, os.Stdout, os.Stderr))
}

// execute runs the command line and returns the exit code.
func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:           "sequoialane-control",
		Usage:          "run a control member of the fleet",
		Version:        version,
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   wrongUse,
		Commands: []*cli.Command{
			{Name: "run", Usage: "serve until SIGTERM", Flags: settingsFlag(), OnUsageError: wrongUse, Action: run},
			{Name: "check-settings", Usage: "check the settings and the files they name", Flags: settingsFlag(), OnUsageError: wrongUse, Action: checkSettings},
			{Name: "print-defaults", Usage: "print the default settings", OnUsageError: wrongUse, Action: printDefaults},
		},
	}
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, err)
	var wrong *settings.Error
	var usage usageError
	if errors.As(err, &wrong) || errors.As(err, &usage) {
		return exitWrongSettings
	}
	return exitFailure
}

type usageError struct{ error }

func wrongUse(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError{err} }

func settingsFlag() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{Name: flagSettings, Aliases: []string{"s"}, Usage: "JSON settings `FILE`"}}
}

// loaded holds the settings and the tokens in the files they name.
type loaded struct {
	settings      *control.Settings
	operatorToken string
	fleetToken    string
}

func load(command *cli.Command) (loaded, error) {
	l := loaded{settings: control.DefaultSettings()}
	file := command.String(flagSettings)
	if file == "" {
		return loaded{}, usageError{errors.New("--" + flagSettings + " FILE is required")}
	}
	if err := settings.Load(file, l.settings); err != nil {
		return loaded{}, err
	}
	var err error
	if l.operatorToken, err = settings.ReadToken(l.settings.OperatorTokenFile); err != nil {
		return loaded{}, err
	}
	if l.fleetToken, err = settings.ReadToken(l.settings.FleetTokenFile); err != nil {
		return loaded{}, err
	}
	return l, nil
}

func checkSettings(_ context.Context, command *cli.Command) error {
	if _, err := load(command); err != nil {
		return err
	}
	_, err := fmt.Fprintln(command.Root().Writer, "settings are valid")
	return err
}

func printDefaults(_ context.Context, command *cli.Command) error {
	encoder := json.NewEncoder(command.Root().Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(control.DefaultSettings())
}

func run(ctx context.Context, command *cli.Command) error {
	l, err := load(command)
	if err != nil {
		return err
	}
	return serve(ctx, l)
}
