// Package daemon provides the command line of the long-running programs, with
// the commands run, check-settings and print-defaults.
package daemon

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

	"github.com/sequoialane/sequoialane/internal/settings"
)

// Exit codes of a program.
const (
	ExitFailure         = 1
	ExitInvalidSettings = 2 // invalid settings or usage
)

const flagSettings = "settings"

// Program describes a long-running program.
type Program struct {
	Name     string
	Usage    string
	Version  string
	Defaults any                                          // default settings, printed as JSON
	Check    func(file string) error                      // checks a settings file and the files it refers to
	Run      func(ctx context.Context, file string) error // serves until ctx ends
}

// Main runs the program until SIGTERM or SIGINT and exits the process.
func (p Program) Main() {
	ctx, stop := untilSignal()
	code := p.Execute(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// untilSignal returns a context that ends with SIGTERM or SIGINT. SIGHUP is ignored:
// settings are read at the start only, and its default action would end the process
// without a drain.
func untilSignal() (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGHUP)
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Execute runs the command line and returns the exit code.
func (p Program) Execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:           p.Name,
		Usage:          p.Usage,
		Version:        p.Version,
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   asUsageError,
		Action:         showHelp,
		Commands: []*cli.Command{
			{Name: "run", Usage: "serve until SIGTERM", Flags: settingsFlag(), OnUsageError: asUsageError, Action: p.run},
			{Name: "check-settings", Usage: "check the settings and the files they refer to", Flags: settingsFlag(), OnUsageError: asUsageError, Action: p.checkSettings},
			{Name: "print-defaults", Usage: "print the default settings", OnUsageError: asUsageError, Action: p.printDefaults},
		},
	}
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, err)
	var settingsErr *settings.Error
	var usageErr usageError
	if errors.As(err, &settingsErr) || errors.As(err, &usageErr) {
		return ExitInvalidSettings
	}
	return ExitFailure
}

// usageError is an error in the command line, for ExitInvalidSettings.
type usageError struct{ error }

func asUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError{err} }

// showHelp is the action without a known command: it returns a usage error for an
// unknown command and shows the help otherwise.
func showHelp(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return usageError{errors.New("unknown command " + command.Args().First())}
	}
	return cli.ShowRootCommandHelp(command)
}

func settingsFlag() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{Name: flagSettings, Aliases: []string{"s"}, Usage: "JSON settings `FILE`"}}
}

func settingsFile(command *cli.Command) (string, error) {
	file := command.String(flagSettings)
	if file == "" {
		return "", usageError{errors.New("--" + flagSettings + " FILE is required")}
	}
	return file, nil
}

func (p Program) run(ctx context.Context, command *cli.Command) error {
	file, err := settingsFile(command)
	if err != nil {
		return err
	}
	return p.Run(ctx, file)
}

func (p Program) checkSettings(_ context.Context, command *cli.Command) error {
	file, err := settingsFile(command)
	if err != nil {
		return err
	}
	if err := p.Check(file); err != nil {
		return err
	}
	_, err = fmt.Fprintln(command.Root().Writer, "settings are valid")
	return err
}

func (p Program) printDefaults(_ context.Context, command *cli.Command) error {
	encoder := json.NewEncoder(command.Root().Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(p.Defaults)
}
