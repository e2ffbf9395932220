// Command bench compares the scheduler of the owner package with baselines: in
// virtual time, and over loopback HTTP with stub upstreams.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// ownerPolicy is the name of the policy that the bounds apply to; the others are
// baselines.
const ownerPolicy = "sequoialane"

func main() {
	out := &cli.StringFlag{Name: "out", Value: "bench-out", Usage: "folder for the JSON report"}
	app := &cli.Command{
		Name:  "bench",
		Usage: "compare the scheduler of the owner package with baselines",
		Flags: []cli.Flag{
			out,
			&cli.BoolFlag{Name: "no-loopback", Usage: "run in virtual time only"},
			&cli.BoolFlag{Name: "no-virtual", Usage: "run over loopback HTTP only"},
			&cli.IntFlag{Name: "parallel", Value: 3, Usage: "number of concurrent runs in virtual time"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			report := run(!c.Bool("no-virtual"), !c.Bool("no-loopback"), int(c.Int("parallel")))
			report.print(os.Stdout)
			return report.write(c.String("out"))
		},
		Commands: []*cli.Command{{
			Name:  "check",
			Usage: "compare the last report with the bounds; fail if a figure is outside",
			Flags: []cli.Flag{&cli.StringFlag{Name: "bounds", Value: "tools/bench/bounds.json"}},
			Action: func(_ context.Context, c *cli.Command) error {
				return check(c.String("out"), c.String("bounds"), os.Stdout)
			},
		}},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
