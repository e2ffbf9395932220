package pool

import "time"

// A request without a response is evidence: the longer the wait compared with the
// durations of its route, the more likely its target is in the failing state.
const (
	silentWhenFailing = 0.5   // share of requests that a failing target leaves without a response
	silentWhenHealthy = 0.004 // the same of a healthy target
)

// silenceEvidence returns by what factor the attempts in flight on the target
// change the odds that it is failing. It is at least 1.
func (p *Pool) silenceEvidence(t *target, now time.Time) float64 {
	if len(t.leases) == 0 {
		return 1
	}
	slots := float64(max(t.record.Slots, 1))
	pace := t.slowness(now) * max(t.occupancy(now)/slots, 1) // others may run first
	odds := 1.0
	for _, l := range t.leases {
		waited := scale(now.Sub(l.started), 1/(pace*l.cost.Factor))
		responding := l.route.ShareLongerThan(waited)
		odds *= (silentWhenFailing + (1-silentWhenFailing)*responding) / (silentWhenHealthy + (1-silentWhenHealthy)*responding)
	}
	return odds
}

// currentFailingProbability returns the probability that the target is failing,
// given the outcomes so far and the attempts in flight.
func (p *Pool) currentFailingProbability(t *target, now time.Time) float64 {
	failing := p.failingProbability(t, now)
	odds := p.silenceEvidence(t, now)
	return failing * odds / (failing*odds + 1 - failing)
}
