package pool

import "time"

// budget bounds the requests that are sent once more in a sliding window.
type budget struct {
	ratio, slack float64
	window       time.Duration
	firsts       []time.Time
	repeats      []time.Time
}

func (b *budget) first(now time.Time) {
	b.trim(now)
	b.firsts = append(b.firsts, now)
}

// take reports whether one more repeat is allowed, and counts it.
func (b *budget) take(now time.Time) bool {
	b.trim(now)
	if float64(len(b.repeats)+1) > b.ratio*float64(len(b.firsts))+b.slack {
		return false
	}
	b.repeats = append(b.repeats, now)
	return true
}

func (b *budget) trim(now time.Time) {
	b.firsts = dropBefore(b.firsts, now.Add(-b.window))
	b.repeats = dropBefore(b.repeats, now.Add(-b.window))
}

func dropBefore(times []time.Time, limit time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(limit) {
		n++
	}
	return times[n:]
}
