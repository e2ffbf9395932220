package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/plan"
)

// BenchmarkChangeInForce submits changes to three processes that sync their
// disks. It reports the mean and the longest time from sending a change until
// all of eight followers have it.
func BenchmarkChangeInForce(b *testing.B) {
	files, members := writeSettings(b)
	stop := startAll(b, files)
	defer stop()
	followers := startFollowers(b, members, 8)
	version := uint64(0)
	change := func() {
		p := plan.Plan{ID: "p", Weight: int(version%1000) + 1, TokenSHA256: []string{fmt.Sprintf("%064x", 1)}}
		body := plan.Change{ID: fmt.Sprintf("c%d", version), BaseVersion: version, SetPlans: []plan.Plan{p}}.Encode()
		address := members[version%uint64(len(members))].APIAddress
		require.Eventually(b, func() bool {
			return request(b, http.MethodPost, address, "/v1/changes", body) == http.StatusOK
		}, waitTimeout, time.Millisecond)
		version++
		for _, f := range followers {
			for f.Current() == nil || f.Current().Version() < version {
				<-time.After(time.Millisecond)
			}
		}
	}
	change()
	var longest time.Duration
	for b.Loop() {
		started := time.Now()
		change()
		longest = max(longest, time.Since(started))
	}
	b.ReportMetric(float64(longest.Milliseconds()), "max-ms")
}
