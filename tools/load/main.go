// Command load is an open-loop load generator: it sends requests to the fleet on a
// schedule that does not depend on the responses, checks each response and prints
// a summary as JSON.
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

	"github.com/sequoialane/sequoialane/internal/loadgen"
	"github.com/sequoialane/sequoialane/internal/settings"
)

func main() {
	command := &cli.Command{
		Name:  "load",
		Usage: "open-loop load generator for tests, demo and bench",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "JSON file"},
			&cli.StringFlag{Name: "keys", Usage: "file for the idempotency keys that were used, with their outcome"},
			&cli.StringFlag{Name: "output", Usage: "file for the summary; default: standard output"},
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
	cfg := loadgen.DefaultConfig()
	if err := settings.Load(c.String("settings"), &cfg); err != nil {
		return trace.Wrap(err)
	}
	g := loadgen.New(cfg)
	g.Run(ctx)
	if file := c.String("keys"); file != "" {
		if err := g.WriteKeys(file); err != nil {
			return trace.Wrap(err)
		}
	}
	encoded, err := json.MarshalIndent(g.Summary(), "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	if file := c.String("output"); file != "" {
		return trace.Wrap(os.WriteFile(file, encoded, 0o644))
	}
	_, err = fmt.Println(string(encoded))
	return trace.Wrap(err)
}
