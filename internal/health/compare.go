package health

import (
	"math"
	"sort"
	"time"
)

// Parameters of the comparison of latencies.
const (
	slowRatio   = 4                    // a request that takes this many times its expected time is slow
	slowMinimum = 5 * time.Millisecond // shorter delays are noise of the operating system
	minPeers    = 5                    // requests before a target counts in a comparison
)

// Peers is what the other targets of the service do at this time.
type Peers struct {
	BadRate float64 // median share of bad requests
	Level   float64 // median of service time by expected time; at least 1
	Waiting float64 // median evidence of requests that have heard nothing
}

// Compare returns the peers of each target.
func Compare(targets []*Target) []Peers {
	peers := make([]Peers, len(targets))
	for i := range targets {
		var rates, levels, waiting []float64
		for j, other := range targets {
			if i == j || other.samples < minPeers || other.out() {
				continue
			}
			waiting = append(waiting, other.waiting)
			rates = append(rates, other.badRate)
			levels = append(levels, math.Exp(other.level))
		}
		peers[i] = Peers{BadRate: median(rates, 0), Level: max(median(levels, 1), 1), Waiting: median(waiting, 0)}
	}
	return peers
}

func median(values []float64, none float64) float64 {
	if len(values) == 0 {
		return none
	}
	sort.Float64s(values)
	return values[len(values)/2]
}

// SlowAfter returns the service time from which a request with the expected
// time is slow for its target. A time at which all targets are slow raises it.
func SlowAfter(expected time.Duration, peers Peers) time.Duration {
	limit := time.Duration(float64(expected) * slowRatio * max(peers.Level, 1))
	return max(limit, expected+slowMinimum)
}
