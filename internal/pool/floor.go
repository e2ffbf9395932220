package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// floorWindow is the time in which the floor's share of the sound targets
	// gets requests, with a margin below the two seconds in which a service that
	// rests on a few targets shows.
	floorWindow = 1800 * time.Millisecond
	// soundAfter is the time after a failure from which a target may be sound
	// again.
	soundAfter = 2 * time.Second
	// floorMargin is kept above the floor, since some of the targets that get
	// requests may not be sound.
	floorMargin = 0.02
	// jointTime is how long after the last evidence from a region its targets
	// share the floor with those of this one.
	jointTime = 5 * time.Second
	// restRepeatable and restOnce are the times without a request after which a
	// target below the floor gets one. Requests that can be repeated go first.
	restRepeatable = 900 * time.Millisecond
	restOnce       = 1500 * time.Millisecond
	// floorBonus lowers the cost of such a target. It is more than any risk, so
	// that the least risky of them is taken.
	floorBonus = 1.5
	floatSlack = 1e-9 // products of shares and counts that are whole stay whole
)

// sound reports whether the target belongs to the floor: it may get requests,
// and has not failed one lately.
func (t *target) sound(now time.Time) bool {
	return !t.elsewhere && now.Sub(t.failedAt) > soundAfter
}

// belowFloor reports whether more of the sound targets of the region than its
// part of the service's allowance got no request lately.
func (p *Pool) belowFloor(now time.Time) bool {
	resting := 0
	sound := map[string]int{}
	for _, t := range p.targets {
		if !t.sound(now) || !t.home && now.Sub(p.heard[t.region]) > jointTime {
			continue
		}
		sound[t.region]++
		if t.home && now.Sub(t.usedAt) >= floorWindow {
			resting++
		}
	}
	return resting > restAllowed(sound, 1-p.cfg.Settings.FloorShare-floorMargin)[p.cfg.Region]
}

// restAllowed splits the number of targets that may rest over the regions, in
// proportion to their sound targets. Rounding in each region by itself would
// leave regions with few targets none, so the rest of the division goes to the
// largest remainders. Owners with the same evidence get the same split.
func restAllowed(sound map[string]int, share float64) map[string]int {
	total := lo.Sum(lo.Values(sound))
	left := int(share*float64(total) + floatSlack)
	allowed := map[string]int{}
	remainder := map[string]float64{}
	for region, count := range sound {
		part := share * float64(count)
		allowed[region] = int(part + floatSlack)
		remainder[region] = part - float64(allowed[region])
		left -= allowed[region]
	}
	regions := slices.Sorted(maps.Keys(sound))
	slices.SortStableFunc(regions, func(a, b string) int { return cmp.Compare(remainder[b], remainder[a]) })
	for _, region := range regions[:max(left, 0)] {
		allowed[region]++
	}
	return allowed
}

// floorDue returns what the cost of the target is lowered by because the floor
// needs it.
func (p *Pool) floorDue(t *target, r Request, now time.Time) float64 {
	rest := restOnce
	if r.Repeatable {
		rest = restRepeatable
	}
	if p.below && t.home && t.sound(now) && now.Sub(t.usedAt) > rest {
		return floorBonus
	}
	return 0
}
