package health

import (
	"math"
	"sort"
	"time"
)

// Parameters of the comparison with other targets.
const (
	slowRatio          = 4                    // a request is slow from this many times its expected time
	minSlowDelay       = 5 * time.Millisecond // shorter delays are scheduling noise of the operating system
	minBaselineSamples = 5                    // requests from which a target counts in the comparison
)

// Baseline summarises the current behaviour of the other targets of the service.
type Baseline struct {
	BadRate      float64 // median share of bad requests
	LatencyLevel float64 // median ratio of service time to expected time; at least 1
	WaitScore    float64 // median score of requests in flight without a response
}

// Compare returns for each target the summary of the other targets. Ejected
// targets and those with fewer than minBaselineSamples requests do not count.
func Compare(targets []*Target) []Baseline {
	baselines := make([]Baseline, len(targets))
	for i := range targets {
		var rates, levels, waiting []float64
		for j, other := range targets {
			if i == j || other.samples < minBaselineSamples || other.isEjected() {
				continue
			}
			waiting = append(waiting, other.waitScore)
			rates = append(rates, other.badRate)
			levels = append(levels, math.Exp(other.latencyLevel))
		}
		baselines[i] = Baseline{BadRate: median(rates, 0), LatencyLevel: max(median(levels, 1), 1), WaitScore: median(waiting, 0)}
	}
	return baselines
}

func median(values []float64, none float64) float64 {
	if len(values) == 0 {
		return none
	}
	sort.Float64s(values)
	return values[len(values)/2]
}

// SlowAfter returns the service time from which a request with the given expected
// time counts as slow. It is higher while all targets are slow.
func SlowAfter(expected time.Duration, baseline Baseline) time.Duration {
	limit := time.Duration(float64(expected) * slowRatio * max(baseline.LatencyLevel, 1))
	return max(limit, expected+minSlowDelay)
}
