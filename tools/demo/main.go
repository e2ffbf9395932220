// Command demo runs a small fleet on loopback, injects failures and prints the
// results that its callers got.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/sequoialane/sequoialane/internal/localfleet"
)

const demoTimeout = 55 * time.Second

func main() {
	command := &cli.Command{
		Name:  "demo",
		Usage: "run a small fleet on loopback and inject failures",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "folder of the built binaries"},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	workDir, err := os.MkdirTemp("", "sequoialane-demo")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	fleet, err := localfleet.Start(ctx, localfleet.Options{
		BinDir: c.String("bin"), WorkDir: workDir, Controls: 3, Entries: 4, TimeToLive: 2 * time.Second,
	})
	if err != nil {
		return trace.Wrap(err, "settings and logs are in %s", workDir)
	}
	defer fleet.Close()
	s := &scenario{fleet: fleet, started: time.Now()}
	s.logf("3 control members and 4 entries are ready")
	if err := s.run(ctx); err != nil {
		return trace.Wrap(err, "settings and logs are in %s", workDir)
	}
	return trace.ConvertSystemError(os.RemoveAll(workDir))
}
