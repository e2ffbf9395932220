// Command load sends requests to the fleet at times that do not depend on the
// answers, checks each answer and prints a summary as JSON.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/sequoialane/sequoialane/internal/settings"
)

func main() {
	command := &cli.Command{
		Name:  "load",
		Usage: "open-loop load generator for tests, demo and bench",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "JSON file"},
			&cli.StringFlag{Name: "keys", Usage: "file for the idempotency keys that were used, with their outcome"},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cfg := defaults()
	if err := settings.Load(c.String("settings"), &cfg); err != nil {
		return trace.Wrap(err)
	}
	g := newGenerator(cfg)
	g.run(ctx)
	if file := c.String("keys"); file != "" {
		if err := g.writeKeys(file); err != nil {
			return trace.Wrap(err)
		}
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(g.summary()))
}
