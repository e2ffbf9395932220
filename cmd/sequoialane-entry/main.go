// Command sequoialane-entry runs an entry of the fleet: it takes callers'
// requests, owns services of its region and keeps claims.
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

	"github.com/sequoialane/sequoialane/internal/entry"
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
		Name:           "sequoialane-entry",
		Usage:          "run an entry of the fleet",
		Version:        version,
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   wrongUse,
		Action:         refuseArguments,
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

// refuseArguments reports a command that does not exist.
func refuseArguments(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return usageError{errors.New("unknown command " + command.Args().First())}
	}
	return cli.ShowRootCommandHelp(command)
}

func settingsFlag() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{Name: flagSettings, Aliases: []string{"s"}, Usage: "JSON settings `FILE`"}}
}

// loaded holds the settings and the tokens in the files they name.
type loaded struct {
	settings *entry.Settings
	tokens   entry.Tokens
}

func load(command *cli.Command) (loaded, error) {
	l := loaded{settings: entry.DefaultSettings()}
	file := command.String(flagSettings)
	if file == "" {
		return loaded{}, usageError{errors.New("--" + flagSettings + " FILE is required")}
	}
	if err := settings.Load(file, l.settings); err != nil {
		return loaded{}, err
	}
	for _, token := range []struct {
		file  string
		value *string
	}{
		{l.settings.FleetTokenFile, &l.tokens.Fleet},
		{l.settings.UpstreamTokenFile, &l.tokens.Upstream},
		{l.settings.OperatorTokenFile, &l.tokens.Operator},
	} {
		var err error
		if *token.value, err = settings.ReadToken(token.file); err != nil {
			return loaded{}, err
		}
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
	return encoder.Encode(entry.DefaultSettings())
}

func run(ctx context.Context, command *cli.Command) error {
	l, err := load(command)
	if err != nil {
		return err
	}
	return serve(ctx, l)
}
