package pool

import "time"

const (
	// floorWindow is the time in which the floor's share of the sound targets
	// gets requests, with a margin below the two seconds in which a service that
	// rests on a few targets shows.
	floorWindow = 1800 * time.Millisecond
	// soundAfter is the time after a failure from which a target may be sound
	// again.
	soundAfter = 2 * time.Second
	// floorMargin is kept above the floor, since targets are few and whole.
	floorMargin = 0.05
	// restRepeatable and restOnce are the times without a request after which a
	// target below the floor gets one. Requests that can be repeated go first.
	restRepeatable = 900 * time.Millisecond
	restOnce       = 1500 * time.Millisecond
	// floorBonus lowers the cost of such a target. It is more than any risk, so
	// that the least risky of them is taken.
	floorBonus = 1.5
)

// sound reports whether the target belongs to the floor: it may get requests,
// and has not failed one lately.
func (t *target) sound(now time.Time) bool {
	return t.home && !t.elsewhere && now.Sub(t.failedAt) > soundAfter
}

// belowFloor reports whether too few of the sound targets of the region got a
// request lately.
func (p *Pool) belowFloor(now time.Time) bool {
	sound, used := 0, 0
	for _, t := range p.targets {
		if !t.sound(now) {
			continue
		}
		sound++
		if now.Sub(t.usedAt) < floorWindow {
			used++
		}
	}
	return float64(used) < (p.cfg.Settings.FloorShare+floorMargin)*float64(sound)
}

// floorDue returns what the cost of the target is lowered by because the floor
// needs it.
func (p *Pool) floorDue(t *target, r Request, now time.Time) float64 {
	rest := restOnce
	if r.Repeatable {
		rest = restRepeatable
	}
	if p.below && t.sound(now) && now.Sub(t.usedAt) > rest {
		return floorBonus
	}
	return 0
}
