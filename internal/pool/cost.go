package pool

import "time"

// Costs are in units of the worth of one request.
const (
	repeatableRisk = 0.06 // of a failure that can be repeated elsewhere, against 1 where it cannot
	// sparedBudget is the share of the retry budget up to which failures of
	// repeatable requests are taken lightly. Beyond it their weight grows to that
	// of a failure which cannot be repeated.
	sparedBudget = 0.5
	busyCost     = 0.01 // of each share of the slots in use
	waitCost     = 0.05 // of an expected answer at the objective
	lateCost     = 0.8  // of each objective beyond lateFrom
	lateFrom     = 0.6  // share of the objective from which an answer may be late
	maxLateCost  = 0.4  // a late answer is worth far more than none

	// Links between data centres and regions are paid by volume.
	zoneByteCost     = 0.003 / 1024
	regionByteCost   = 0.04 / 1024
	answerBytes      = 2_000 // of a usual answer with its headers
	overdueSuspicion = 0.5   // chance that a target whose answer is overdue fails
)

// cost returns the expected cost of sending the request to the target, and the
// chance that it fails there.
func (p *Pool) cost(t *target, r Request, now time.Time) (cost, risk float64) {
	risk = failure(p.bad(t, now))
	if p.overdue(t, now) {
		risk = 1 - (1-risk)*(1-overdueSuspicion)
	}
	cost = risk
	if r.Repeatable {
		cost *= p.repeatableWeight
	}
	slots := float64(max(t.record.Slots, 1))
	cost += busyCost * t.occupied(now) / slots
	cost += p.timeCost(t, r, now)
	cost -= p.floorDue(t, r, now)
	bytes := float64(r.Bytes + answerBytes)
	switch {
	case t.record.DataCentre == r.DataCentre:
	case t.home:
		cost += zoneByteCost * bytes
	default:
		cost += regionByteCost * bytes
	}
	return cost, risk
}

// weighRepeatable returns the weight of a failure that can be repeated elsewhere
// as far as the retry budget lasts.
func (p *Pool) weighRepeatable(now time.Time) float64 {
	short := max(0, p.budget.spent(now)-sparedBudget) / (1 - sparedBudget)
	return repeatableRisk + (1-repeatableRisk)*short
}

// timeCost returns the cost of the expected wait and run on the target.
func (p *Pool) timeCost(t *target, r Request, now time.Time) float64 {
	if r.Objective <= 0 {
		return 0
	}
	work := float64(p.durations.mean(r.Class)) * t.slowness(now)
	slots := float64(max(t.record.Slots, 1))
	waiting := max(t.occupied(now)+1-slots, 0) / slots
	if !t.free(now) {
		waiting += float64(len(p.waiters)) / float64(max(t.record.Slots*len(p.targets)/2, 1))
	}
	part := work * (1 + waiting) / float64(r.Objective)
	return waitCost*part + min(lateCost*max(0, part-lateFrom), maxLateCost)
}

// overdue reports whether an attempt on the target has waited for its answer
// for far longer than usual.
func (p *Pool) overdue(t *target, now time.Time) bool {
	for _, l := range t.leases {
		if now.Sub(l.started) > p.durations.overdue(l.request.Class) {
			return true
		}
	}
	return false
}
