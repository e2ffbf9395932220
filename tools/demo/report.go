package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/loadgen"
	"github.com/sequoialane/sequoialane/internal/localfleet"
)

// printReport prints the results of the callers. It returns an error if the fleet
// violated a guarantee: a response that belongs to another request, a key that ran
// twice, or a key reported as not run that ran.
func (s *scenario) printReport(summary loadgen.Summary, load *localfleet.Load) error {
	fmt.Println()
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "stream\tsent\tok\tother outcomes\tresent\tp50 ms\tp99 ms\tmax ms")
	mismatched := 0
	for _, r := range summary.Streams {
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%d\t%.1f\t%.1f\t%.1f\n",
			r.Name, r.Sent, r.Outcomes["ok"], otherOutcomes(r.Outcomes), r.Resent, r.Latency.P50, r.Latency.P99, r.Latency.Max)
		mismatched += r.Outcomes["wrong_id"] + r.Outcomes["wrong_digest"] + r.Outcomes["wrong_body"]
	}
	if err := table.Flush(); err != nil {
		return trace.Wrap(err)
	}
	for _, r := range summary.Streams {
		for _, detail := range r.Details {
			if !strings.HasPrefix(detail, "not_entitled") {
				fmt.Printf("%s: %s\n", r.Name, detail)
			}
		}
	}
	ranTwice, falseNotRun, err := s.checkKeys(load)
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Printf("\nresponses of other requests: %d, keys run twice: %d, keys reported as not run that ran: %d\n", mismatched, ranTwice, falseNotRun)
	if mismatched+ranTwice+falseNotRun > 0 {
		return trace.BadParameter("the fleet violated a guarantee")
	}
	return nil
}

// otherOutcomes lists the outcomes other than ok with their counts.
func otherOutcomes(outcomes map[string]int) string {
	names := lo.Filter(lo.Keys(outcomes), func(name string, _ int) bool { return name != "ok" })
	if len(names) == 0 {
		return "-"
	}
	slices.Sort(names)
	return strings.Join(lo.Map(names, func(name string, _ int) string { return fmt.Sprintf("%s %d", name, outcomes[name]) }), ", ")
}

// checkKeys compares the keys of the callers with the runs that the upstreams
// counted. It returns the number of keys that ran twice and of keys reported as not
// run that ran. The counts of the killed upstream are lost.
func (s *scenario) checkKeys(load *localfleet.Load) (ranTwice, falseNotRun int, err error) {
	runs := map[string]int{}
	for _, u := range s.fleet.Upstreams {
		stats, err := s.fleet.Stats(u)
		if err != nil {
			continue
		}
		for key, n := range stats.Runs {
			runs[key] += n
		}
	}
	keys, err := load.Keys()
	if err != nil {
		return 0, 0, trace.Wrap(err)
	}
	for _, k := range keys {
		if runs[k.Key] > 1 {
			ranTwice++
		}
		if runs[k.Key] > 0 && k.Effect == fault.NotRun {
			falseNotRun++
		}
	}
	return ranTwice, falseNotRun, nil
}
