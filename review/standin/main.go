// Command review-standin plays the platform, the targets, the clients and the
// operator of the cases in review/. Its arguments are the name of a case and the
// folder of the case.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Results of a case, as exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// limit is how long a case may run.
const limit = 118 * time.Second

type scenario func(ctx context.Context, f *fleet, trouble bool) (int, error)

var scenarios = map[string]scenario{
	"core-replaced":   coreReplaced,
	"planned":         plannedReplacement,
	"early-disk-loss": earlyDiskLoss,
	"service-cut":     serviceCut,
	"forged-beat":     forgedBeat,
	"slow-reader":     slowReader,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		return cannotRun
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		return fail(err)
	}
	root := filepath.Dir(filepath.Dir(folder))
	name := "record.txt"
	if other := os.Getenv("RECORD"); other != "" {
		name = other
	}
	file, err := os.Create(filepath.Join(folder, name))
	if err != nil {
		return fail(err)
	}
	defer file.Close()
	rec := &record{file: file, started: time.Now()}
	f, err := newFleet(root, rec)
	if err != nil {
		return fail(err)
	}
	defer f.stopAll()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	type ended struct {
		code int
		err  error
	}
	done := make(chan ended, 1)
	go func() {
		code, err := scenarios[os.Args[1]](ctx, f, trouble)
		done <- ended{code, err}
	}()
	select {
	case e := <-done:
		if e.err != nil {
			rec.add("the case could not run: %v", e.err)
			return fail(e.err)
		}
		rec.add("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken"}[e.code])
		fmt.Println(map[int]string{held: "held", broken: "broken"}[e.code])
		return e.code
	case <-ctx.Done():
		rec.add("the case did not end in time")
		return cannotRun
	}
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return cannotRun
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
