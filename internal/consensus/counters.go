package consensus

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters of one group in this process.
type counters struct {
	proposals       *metrics.Counter
	forwards        *metrics.Counter
	repeats         *metrics.Counter
	leaderChanges   *metrics.Counter
	discards        *metrics.Counter
	storageFailures *metrics.Counter
	sendFailures    *metrics.Counter
}

func newCounters(group string) counters {
	counter := func(name string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf("sequoialane_consensus_%s_total{group=%q}", name, group))
	}
	return counters{
		proposals:       counter("proposals"),
		forwards:        counter("forwards"),
		repeats:         counter("forward_repeats"),
		leaderChanges:   counter("leader_changes"),
		discards:        counter("state_discards"),
		storageFailures: counter("storage_failures"),
		sendFailures:    counter("send_failures"),
	}
}
