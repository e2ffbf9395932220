// Command sequoialane-ctl is the operators' command-line client: it reads and
// changes plans and entitlements, and shows the state of the fleet.
//
// Exit codes: 0 success, 1 failure, 2 usage error or invalid file, 3 version
// conflict, 4 invalid change, 5 unavailable (nothing was changed), 6 commit
// unknown (resend with the printed change id), 7 not found, 8 unauthorized.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/sequoialane/sequoialane/internal/ctl"
)

const exitCodesHelp = `Exit codes:
   0  success
   1  failure
   2  wrong use, or a wrong file
   3  version conflict: another change was accepted first; nothing was changed
   4  invalid change; nothing was changed
   5  unavailable: no address answered or no leader is known; nothing was changed
   6  commit unknown: send the change again with the printed id and base version
   7  not found
   8  unauthorized`

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
		Name:                  "sequoialane-ctl",
		Usage:                 "administer plans and entitlements and inspect the fleet",
		Description:           exitCodesHelp,
		Version:               version,
		Writer:                stdout,
		ErrWriter:             stderr,
		EnableShellCompletion: true,
		Flags:                 globalFlags(),
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError:          usageError,
		Commands: []*cli.Command{
			plansCommand(), entitlementsCommand(), diffCommand(), applyCommand(),
			membersCommand(), upstreamsCommand(), trafficCommand(), explainCommand(), statusCommand(),
		},
	}
	inheritUsageError(root)
	err := root.Run(ctx, args)
	if err != nil {
		fmt.Fprintln(stderr, "error:", err)
	}
	return ctl.ExitCode(err)
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return fmt.Errorf("%w: %w", ctl.ErrUsage, err)
}

// inheritUsageError sets OnUsageError on all subcommands, which do not inherit it.
func inheritUsageError(command *cli.Command) {
	for _, child := range command.Commands {
		child.OnUsageError = usageError
		inheritUsageError(child)
	}
}
