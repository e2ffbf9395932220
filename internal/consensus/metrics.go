package consensus

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the metrics of one group in this process.
type counters struct {
	proposals       *metrics.Counter
	forwards        *metrics.Counter
	forwardRepeats  *metrics.Counter
	leaderChanges   *metrics.Counter
	voterRemovals   *metrics.Counter
	stateDiscards   *metrics.Counter
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
		forwardRepeats:  counter("forward_repeats"),
		leaderChanges:   counter("leader_changes"),
		voterRemovals:   counter("voter_removals"),
		stateDiscards:   counter("state_discards"),
		storageFailures: counter("storage_failures"),
		sendFailures:    counter("send_failures"),
	}
}
