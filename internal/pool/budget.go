package pool

import "time"

// budget limits the number of retries in a sliding window to a share
// of the first attempts plus a fixed slack.
type budget struct {
	ratio, slack float64
	window       time.Duration
	firsts       []time.Time
	retries      []time.Time
}

func (b *budget) recordFirst(now time.Time) {
	b.trim(now)
	b.firsts = append(b.firsts, now)
}

// allows reports whether one more retry fits the budget with the share of the slack;
// a share of 0 is the whole slack.
func (b *budget) allows(now time.Time, slackShare float64) bool {
	b.trim(now)
	if slackShare == 0 {
		slackShare = 1
	}
	return float64(len(b.retries)+1) <= b.ratio*float64(len(b.firsts))+slackShare*b.slack
}

// maxRetries returns the number of retries allowed in the current window.
func (b *budget) maxRetries() float64 { return b.ratio*float64(len(b.firsts)) + b.slack }

// spentShare returns the used share of the budget, at most 1.
func (b *budget) spentShare(now time.Time) float64 {
	b.trim(now)
	if b.maxRetries() <= float64(len(b.retries)) {
		return 1 // also avoids a division by zero if maxRetries is 0
	}
	return float64(len(b.retries)) / b.maxRetries()
}

func (b *budget) recordRetry(now time.Time) {
	b.retries = append(b.retries, now)
}

func (b *budget) trim(now time.Time) {
	b.firsts = dropBefore(b.firsts, now.Add(-b.window))
	b.retries = dropBefore(b.retries, now.Add(-b.window))
}

func dropBefore(times []time.Time, limit time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(limit) {
		n++
	}
	return times[n:]
}
