// Command bench measures the owner aggregate against baselines: in virtual
// time, and over loopback HTTP with stand-in upstreams.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// ours is the name of the policy that the bounds apply to.
const ours = "sequoialane"

func main() {
	out := &cli.StringFlag{Name: "out", Value: "bench-out", Usage: "folder of the JSON report"}
	app := &cli.Command{
		Name:  "bench",
		Usage: "measure the owner aggregate against baselines",
		Flags: []cli.Flag{
			out,
			&cli.BoolFlag{Name: "no-loopback", Usage: "virtual time only"},
			&cli.BoolFlag{Name: "no-virtual", Usage: "loopback HTTP only"},
			&cli.IntFlag{Name: "parallel", Value: 3, Usage: "runs at once in virtual time"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			report := run(!c.Bool("no-virtual"), !c.Bool("no-loopback"), int(c.Int("parallel")))
			report.print(os.Stdout)
			return report.write(c.String("out"))
		},
		Commands: []*cli.Command{{
			Name:  "check",
			Usage: "compare the last report with the bounds",
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
