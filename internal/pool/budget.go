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

// allows reports whether one more repeat is allowed.
func (b *budget) allows(now time.Time) bool {
	b.trim(now)
	return float64(len(b.repeats)+1) <= b.allowed()
}

// allowed returns the number of repeats that the requests of the window allow.
func (b *budget) allowed() float64 { return b.ratio*float64(len(b.firsts)) + b.slack }

// spent returns the share of the allowed repeats that the window holds, at most
// 1.
func (b *budget) spent(now time.Time) float64 {
	b.trim(now)
	if b.allowed() <= float64(len(b.repeats)) {
		return 1 // also where nothing is allowed
	}
	return float64(len(b.repeats)) / b.allowed()
}

func (b *budget) repeat(now time.Time) {
	b.repeats = append(b.repeats, now)
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
