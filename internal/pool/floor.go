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
	// floorWindow is the time within which the floor share of the healthy targets
	// must receive a request. It leaves a margin below two seconds, the time over
	// which it shows that a service uses only few of its targets.
	floorWindow = 1800 * time.Millisecond
	// recoveryTime is the time after a failure from which a target counts as
	// healthy again.
	recoveryTime = 2 * time.Second
	// floorMargin is added to the floor share, since some of the targets that
	// receive requests may not be healthy.
	floorMargin = 0.02
	// idleMeanTime is the time constant of the mean number of idle targets.
	idleMeanTime = time.Second
	// idleReportValidity is how long the report of a region counts for the floor of
	// the whole service.
	idleReportValidity = 5 * time.Second
	// maxUnusedRetryable and maxUnusedNonRetryable are the times without a request
	// after which a target gets one while the floor is breached. The time for
	// retryable requests is shorter, so that these are sent first.
	maxUnusedRetryable    = 900 * time.Millisecond
	maxUnusedNonRetryable = 1500 * time.Millisecond
	// floorBonus is subtracted from the cost of such a target. It exceeds any risk,
	// so that the least risky of these targets is selected.
	floorBonus     = 1.5
	floatTolerance = 1e-9 // keeps int() from rounding down products that are whole numbers
)

// healthy reports whether the target counts for the floor: it may get requests,
// and has not failed one within recoveryTime.
func (t *target) healthy(now time.Time) bool {
	return !t.isMisdirected(now) && !t.leaving && now.Sub(t.lastFailureAt) > recoveryTime
}

// belowFloor reports whether more healthy targets of the region than allowed got
// no request within floorWindow.
//
// The floor applies to the idle targets: those without a request in flight, and
// those whose requests in flight are all older than floorWindow. If the entries lose
// power, the requests in flight fail, the targets of these no longer count as
// healthy, and only the idle targets do. A target that has worked on a long request
// meanwhile is healthy all the while.
func (p *Pool) belowFloor(now time.Time) bool {
	idle, unused := 0, 0
	for _, t := range p.targets {
		isUnused := now.Sub(t.lastGrantAt) >= floorWindow
		if !t.inOwnRegion || !t.healthy(now) || t.inFlight > 0 && !isUnused {
			continue
		}
		idle++
		if isUnused {
			unused++
		}
	}
	p.idleMean.observe(idle, now)
	return unused > p.maxUnusedTargets(now)
}

// maxUnusedTargets returns how many targets of the region may be without a recent
// request. Regions that report to each other split the number allowed for the
// whole service.
func (p *Pool) maxUnusedTargets(now time.Time) int {
	meanIdle := map[string]float64{p.cfg.Region: p.idleMean.value}
	for region, r := range p.idleReports {
		if now.Sub(r.at) <= idleReportValidity {
			meanIdle[region] = r.idle
		}
	}
	return splitUnusedTargets(meanIdle, 1-p.cfg.Settings.FloorShare-floorMargin)[p.cfg.Region]
}

// idleReport is the mean number of idle targets in the last report of a region.
type idleReport struct {
	idle float64
	at   time.Time
}

// idleMean is an exponential moving average of the number of idle targets.
type idleMean struct {
	value float64
	at    time.Time // zero: nothing observed
}

func (m *idleMean) observe(idle int, now time.Time) {
	step := 1.0
	if !m.at.IsZero() {
		step = 1 - math.Exp(-now.Sub(m.at).Seconds()/idleMeanTime.Seconds())
	}
	m.value += step * (float64(idle) - m.value)
	m.at = now
}

// splitUnusedTargets splits the number of targets that may be without a recent
// request among the regions, in proportion to their idle targets. Rounding down
// in each region would leave none for regions with few targets, so the remaining
// ones go to the largest remainders. Owners with the same reports compute the
// same split.
func splitUnusedTargets(idle map[string]float64, share float64) map[string]int {
	left := int(share*lo.Sum(lo.Values(idle)) + floatTolerance)
	allowed := map[string]int{}
	remainder := map[string]float64{}
	for region, count := range idle {
		quota := share * count
		allowed[region] = int(quota + floatTolerance)
		remainder[region] = quota - float64(allowed[region])
		left -= allowed[region]
	}
	regions := slices.Sorted(maps.Keys(idle))
	slices.SortStableFunc(regions, func(a, b string) int { return cmp.Compare(remainder[b], remainder[a]) })
	for _, region := range regions[:min(max(left, 0), len(regions))] {
		allowed[region]++
	}
	return allowed
}

// floorBonusFor returns floorBonus if the target must get a request to restore
// the floor, and 0 otherwise.
func (p *Pool) floorBonusFor(t *target, r Request, now time.Time) float64 {
	maxUnused := maxUnusedNonRetryable
	if r.Retryable {
		maxUnused = maxUnusedRetryable
	}
	if p.floorBreached && t.inOwnRegion && t.healthy(now) && now.Sub(t.lastGrantAt) > maxUnused {
		return floorBonus
	}
	return 0
}
