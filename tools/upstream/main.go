// Command upstream is a test upstream that simulates gray failures. It announces
// itself to the entries, and its failure mode is set through an HTTP control port.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/sequoialane/sequoialane/internal/settings"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

const (
	drainNotice  = 2 * time.Second  // time between announcing draining and announcing leaving
	drainTimeout = 30 * time.Second // of the whole shutdown
)

func main() {
	command := &cli.Command{
		Name:  "upstream",
		Usage: "test upstream for tests, demo and bench",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address for requests"},
			&cli.StringFlag{Name: "control", Value: "127.0.0.1:0", Usage: "address of the control port"},
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "region", Required: true},
			&cli.StringFlag{Name: "data-centre", Required: true},
			&cli.IntFlag{Name: "slots", Value: 2},
			&cli.DurationFlag{Name: "service-time", Value: 10 * time.Millisecond, Usage: "time that a request takes without a 'work' query parameter"},
			&cli.StringSliceFlag{Name: "entry", Usage: "caller address of an entry; may be repeated"},
			&cli.StringFlag{Name: "token-file", Usage: "file with the upstream token"},
			&cli.StringSliceFlag{Name: "idempotent", Usage: "path prefix whose requests are idempotent with any method; may be repeated"},
			&cli.StringFlag{Name: "runs-file", Usage: "file that the idempotency key of each run is appended to"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random numbers of failure modes"},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "upstream:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	token, err := settings.ReadToken(c.String("token-file"))
	if err != nil {
		return trace.Wrap(err)
	}
	requests, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return trace.Wrap(err)
	}
	control, err := net.Listen("tcp", c.String("control"))
	if err != nil {
		return trace.Wrap(err)
	}
	target := newTarget(c.Int("slots"), c.Duration("service-time"), c.Uint64("seed"))
	if name := c.String("runs-file"); name != "" {
		log, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer log.Close()
		target.runsLog = log
	}
	server := &http.Server{Handler: target, ReadHeaderTimeout: 5 * time.Second}
	controlServer := &http.Server{Handler: target.controlHandler(), ReadHeaderTimeout: 5 * time.Second}
	go serve(server, requests)
	go serve(controlServer, control)
	a := newAnnouncer(c.StringSlice("entry"), token, upstream.Announcement{
		Service: c.String("service"), Address: requests.Addr().String(), Region: c.String("region"),
		DataCentre: c.String("data-centre"), Slots: c.Int("slots"), State: upstream.Serving,
		Incarnation: uint64(time.Now().UnixMilli()), EchoesRequestID: true, ProbePath: probePath,
		Routes: routes(c.StringSlice("idempotent")),
	})
	fmt.Printf("listening requests=%s control=%s\n", requests.Addr(), control.Addr())
	a.run(ctx)
	return drain(a, target, server)
}

func routes(idempotent []string) []upstream.Route {
	var list []upstream.Route
	for _, prefix := range idempotent {
		list = append(list, upstream.Route{Method: "*", PathPrefix: prefix, Idempotent: true})
	}
	return list
}

// serve serves until the server is shut down. Any other error ends the process.
func serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		fmt.Fprintln(os.Stderr, "upstream:", err)
		os.Exit(1)
	}
}

// drain announces draining and then leaving, and waits for requests in flight.
func drain(a *announcer, t *target, s *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	a.setState(ctx, upstream.Draining)
	select {
	case <-time.After(drainNotice):
	case <-ctx.Done():
	}
	a.setState(ctx, upstream.Leaving)
	t.resetMode()
	return trace.Wrap(s.Shutdown(ctx))
}
