package pool

import "time"

const (
	startDuration = 150 * time.Millisecond // of a class without answers
	durationStep  = 0.05                   // weight of a new duration
	// hedgeRatio times the mean duration is when an answer counts as overdue.
	hedgeRatio = 4
	minHedge   = 200 * time.Millisecond
)

// durations learns how long requests of a class take.
type durations struct {
	means map[string]time.Duration
}

func (d *durations) mean(class string) time.Duration {
	if m, ok := d.means[class]; ok {
		return m
	}
	return startDuration
}

func (d *durations) learn(class string, took time.Duration) {
	m := d.mean(class)
	d.means[class] = m + time.Duration(durationStep*float64(took-m))
}

func (d *durations) overdue(class string) time.Duration {
	return max(hedgeRatio*d.mean(class), minHedge)
}
