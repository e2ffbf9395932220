// Command overhead measures the overhead of the fleet: the latency it adds to a
// request, the requests per CPU second, the cost of a claim and the time until a
// change is active on all entries. It starts separate processes on loopback,
// without simulated network latency.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/sequoialane/sequoialane/internal/localfleet"
)

const runTimeout = 3 * time.Minute

func main() {
	command := &cli.Command{
		Name:  "overhead",
		Usage: "measure the overhead of the fleet on loopback",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "folder of the built programs"},
			&cli.StringFlag{Name: "out", Value: "bench-out", Usage: "folder for the JSON report"},
			&cli.BoolFlag{Name: "check", Usage: "exit with status 1 if a bound is not met"},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "overhead:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	workDir, err := os.MkdirTemp("", "sequoialane-overhead")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(workDir)
	fleet, err := localfleet.Start(ctx, localfleet.Options{BinDir: c.String("bin"), WorkDir: workDir, Controls: 3, Entries: 5})
	if err != nil {
		return trace.Wrap(err)
	}
	defer fleet.Close()
	b := &bench{fleet: fleet}
	if err := b.run(ctx); err != nil {
		return trace.Wrap(err)
	}
	b.report.print(os.Stdout)
	if err := b.report.write(c.String("out")); err != nil {
		return trace.Wrap(err)
	}
	if c.Bool("check") {
		return b.report.check()
	}
	return nil
}

// write stores the report as overhead.json in the folder.
func (r report) write(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	encoded, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(folder, "overhead.json"), append(encoded, '\n'), 0o644))
}
