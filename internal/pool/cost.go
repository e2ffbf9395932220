package pool

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/workload"
)

// Costs are in units of one failed request that cannot be retried.
const (
	minRetryableWeight = 0.06 // of a failure of a retryable request, which can be sent to another target
	// discountBudgetShare is the used share of the retry budget up to which a
	// failure of a retryable request costs minRetryableWeight. Beyond it the cost
	// grows linearly, up to 1 when the budget is exhausted.
	discountBudgetShare = 0.5
	// occupancyCost is the cost of full use of the slots. It counts requests, not their
	// work: with work, a full target whose requests are about to end is preferred to one
	// with a free slot, and the p99 of equal requests grows by up to 8%.
	occupancyCost = 0.01
	waitCost      = 0.05 // of a response expected exactly at the objective
	lateCost      = 0.8  // for each multiple of the objective beyond lateThreshold
	lateThreshold = 0.6  // share of the objective from which a response risks being late
	maxLateCost   = 0.4  // a late response is worth far more than none

	// delayedRequests is the number of requests that one which queues at a target is
	// expected to delay, each by the time for which it holds one of the slots. With 1,
	// equal requests beside failing targets queue more than by number of requests (p50 412
	// instead of 379 ms); with 5, more of them fail.
	delayedRequests = 3

	// Traffic between data centres and regions is billed by volume.
	crossDataCentreByteCost = 0.015 / 1024
	crossRegionByteCost     = 0.04 / 1024
	maxDataCentreCost       = 0.1 // of all bytes of a request, however long: serving it is worth more
	// maxRegionCost is the same between regions. Without it a download would cost
	// more than its failure, and would not leave a region in which it fails. It is
	// less than maxLateCost, so that a full region does not make it late either.
	maxRegionCost = 0.3
)

// costs are the parts of the expected cost of sending a request to a target.
type costs struct {
	failure   float64
	occupancy float64
	time      float64
	bytes     float64
	floor     float64 // negative: the floor asks for a request there
}

func (c costs) total() float64 { return c.failure + c.occupancy + c.time + c.bytes + c.floor }

// costsAt returns the expected cost of sending the request to the target, and the
// probability that it fails there.
func (p *Pool) costsAt(t *target, r Request, expected workload.Cost, now time.Time) (c costs, risk float64) {
	g := p.assess(t, now)
	c.failure = g.risk
	if r.Retryable {
		c.failure *= p.retryableWeight
	}
	c.occupancy = occupancyCost * g.occupancy / g.slots
	c.time = p.timeCost(g, r, expected)
	c.floor -= p.floorBonusFor(t, r, now)
	bytes := float64(max(r.Bytes, 0)) + expected.Bytes
	switch {
	case t.record.DataCentre == r.DataCentre:
	case t.inOwnRegion:
		c.bytes = min(crossDataCentreByteCost*bytes, maxDataCentreCost)
	default:
		c.bytes = min(crossRegionByteCost*bytes, maxRegionCost)
	}
	return c, g.risk
}

// assessment holds what the costs of a target depend on in a look at the waiting requests,
// whichever of them is looked at. It is computed once in a look, since it is costly.
type assessment struct {
	look        uint64  // number of the look; 0: not known
	risk        float64 // probability that the next request fails
	slots       float64
	occupancy   float64
	slowness    float64
	hasCapacity bool
	wait        float64 // nanoseconds that a further request is expected to wait for a slot
}

func (p *Pool) assess(t *target, now time.Time) *assessment {
	if t.assessment.look != p.looks {
		t.assessment = assessment{
			look: p.looks, risk: failureProbability(p.currentFailingProbability(t, now)), slots: float64(max(t.record.Slots, 1)),
			occupancy: t.occupancy(now), slowness: t.slowness(now), hasCapacity: t.hasCapacity(now),
		}
		if !p.cfg.Settings.UniformCost {
			t.assessment.wait = p.waitAt(t, now)
		}
	}
	return &t.assessment
}

// currentRetryableWeight returns the cost of a failure of a retryable request,
// which depends on how much of the retry budget is left.
func (p *Pool) currentRetryableWeight(now time.Time) float64 {
	shortage := max(0, p.credit.spentShare(now)-discountBudgetShare) / (1 - discountBudgetShare)
	return minRetryableWeight + (1-minRetryableWeight)*shortage
}

// timeCost returns the cost of the expected queueing and run time on the target.
func (p *Pool) timeCost(g *assessment, r Request, expected workload.Cost) float64 {
	if r.Objective <= 0 {
		return 0
	}
	runTime := float64(expected.RunTime) * g.slowness
	time := runTime + p.expectedWait(g, runTime)
	if !g.hasCapacity {
		time += p.meanRunTime(runTime) * float64(len(p.waiters)) / max(g.slots*float64(len(p.targets))/2, 1)
	}
	objectiveShare := time / float64(r.Objective)
	return waitCost*objectiveShare + min(lateCost*max(0, objectiveShare-lateThreshold), maxLateCost)
}

// expectedWait returns the nanoseconds that a request with the run time waits for a
// slot of the target, and delays other requests there. Without the latter a long request
// would queue wherever its own wait is short.
func (p *Pool) expectedWait(g *assessment, runTime float64) float64 {
	queued := max(g.occupancy+1-g.slots, 0)
	switch {
	case p.cfg.Settings.UniformCost:
		return runTime * queued / g.slots
	case queued == 0:
		return 0
	default:
		return g.wait + delayedRequests*runTime/g.slots*min(queued, 1)
	}
}

// meanRunTime returns the mean run time of the queued requests, of which one has the
// given run time, in nanoseconds.
func (p *Pool) meanRunTime(runTime float64) float64 {
	if p.cfg.Settings.UniformCost {
		return runTime
	}
	return float64(p.work.Service().Mean())
}
