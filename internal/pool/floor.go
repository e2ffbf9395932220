package pool

import (
	"cmp"
	"maps"
	"math"
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
	// floorMargin is a share of targets kept above the floor, since some of the targets that get
	// requests may not be sound.
	floorMargin = 0.02
	// idleTime is the time over which the number of idle targets is averaged.
	idleTime = time.Second
	// jointTime is how long after the last report of a region its targets share
	// the floor with those of this one.
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

// belowFloor reports whether more of the sound targets of the region than may
// rest got no request lately.
//
// The floor is kept among the idle targets, those without a request in flight.
// If the entries lose power, all requests in flight fail, and then the idle
// targets are the sound ones that are left.
func (p *Pool) belowFloor(now time.Time) bool {
	idle, resting := 0, 0
	for _, t := range p.targets {
		if !t.home || !t.sound(now) || t.inFlight > 0 {
			continue
		}
		idle++
		if now.Sub(t.usedAt) >= floorWindow {
			resting++
		}
	}
	p.idle.observe(idle, now)
	return resting > p.mayRest(now)
}

// mayRest returns how many targets of the region may rest. Regions that report
// to each other split the number of the whole service.
func (p *Pool) mayRest(now time.Time) int {
	joint := map[string]float64{p.cfg.Region: p.idle.value}
	for region, r := range p.reported {
		if now.Sub(r.at) <= jointTime {
			joint[region] = r.idle
		}
	}
	return restAllowed(joint, 1-p.cfg.Settings.FloorShare-floorMargin)[p.cfg.Region]
}

// idleReport is the mean number of idle targets that a region reported last.
type idleReport struct {
	idle float64
	at   time.Time
}

// idleMean averages the number of idle targets of the region.
type idleMean struct {
	value float64
	at    time.Time // zero: nothing observed
}

func (m *idleMean) observe(idle int, now time.Time) {
	step := 1.0
	if !m.at.IsZero() {
		step = 1 - math.Exp(-now.Sub(m.at).Seconds()/idleTime.Seconds())
	}
	m.value += step * (float64(idle) - m.value)
	m.at = now
}

// restAllowed splits the number of targets that may rest over the regions, in
// proportion to their idle targets. Rounding in each region by itself would
// leave regions with few targets none, so the rest of the division goes to the
// largest remainders. Owners with the same reports get the same split.
func restAllowed(idle map[string]float64, share float64) map[string]int {
	left := int(share*lo.Sum(lo.Values(idle)) + floatSlack)
	allowed := map[string]int{}
	remainder := map[string]float64{}
	for region, count := range idle {
		part := share * count
		allowed[region] = int(part + floatSlack)
		remainder[region] = part - float64(allowed[region])
		left -= allowed[region]
	}
	regions := slices.Sorted(maps.Keys(idle))
	slices.SortStableFunc(regions, func(a, b string) int { return cmp.Compare(remainder[b], remainder[a]) })
	for _, region := range regions[:min(max(left, 0), len(regions))] {
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
