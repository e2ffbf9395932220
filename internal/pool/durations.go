package pool

import "time"

const (
	initialDuration = 150 * time.Millisecond // assumed for a route without responses
	durationWeight  = 0.05                   // weight of a new duration in the moving average
	// A response is overdue after hedgeRatio times the mean duration of its route.
	hedgeRatio    = 4
	minHedgeDelay = 200 * time.Millisecond
)

// durations keeps the mean duration of the requests of each route.
type durations struct {
	means map[string]time.Duration
}

func (d *durations) mean(route string) time.Duration {
	if m, ok := d.means[route]; ok {
		return m
	}
	return initialDuration
}

func (d *durations) learn(route string, took time.Duration) {
	m := d.mean(route)
	d.means[route] = m + time.Duration(durationWeight*float64(took-m))
}

// hedgeDelay returns the time after which a response counts as overdue.
func (d *durations) hedgeDelay(route string) time.Duration {
	return max(hedgeRatio*d.mean(route), minHedgeDelay)
}
