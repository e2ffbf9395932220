package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

// maxListedRoutes bounds the routes in the status output.
const maxListedRoutes = 32

// TargetStatus is the estimate of a target in the status output.
type TargetStatus struct {
	ID                 string  `json:"id"`
	Address            string  `json:"address"`
	FailingProbability float64 `json:"bad"` // of being in the failing state
	InFlight           int     `json:"in_flight"`
	Slowness           float64 `json:"slowness"`
	Speed              float64 `json:"speed"`             // compared with what is expected of its requests; 1: as expected
	RemainingWorkMS    float64 `json:"remaining_work_ms"` // slot time that its requests are expected to take still
}

// RouteCost is what the pool has learned of the requests of a route.
type RouteCost struct {
	Route         string  `json:"route"`
	RunTimeMS     float64 `json:"run_time_ms"`    // mean
	ResponseBytes float64 `json:"response_bytes"` // mean, with the heads of request and response
	Observations  int     `json:"observations"`
}

// Status returns the estimates of all targets.
func (p *Pool) Status() []TargetStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	return lo.Map(p.targets, func(t *target, _ int) TargetStatus {
		return TargetStatus{
			ID: t.record.ID, Address: t.record.Address, FailingProbability: p.failingProbability(t, now),
			InFlight: t.inFlight, Slowness: t.slowness(now), Speed: t.speed(now),
			RemainingWorkMS: p.remainingWork(t, now) / float64(time.Millisecond),
		}
	})
}

// Costs returns the costs of the routes with the most observations.
func (p *Pool) Costs() []RouteCost {
	p.mu.Lock()
	defer p.mu.Unlock()
	costs := make([]RouteCost, 0, len(p.work.Routes()))
	for name, r := range p.work.Routes() {
		costs = append(costs, RouteCost{
			Route: name, RunTimeMS: inMilliseconds(r.Mean()), ResponseBytes: r.Bytes(), Observations: r.Observations(),
		})
	}
	slices.SortFunc(costs, func(a, b RouteCost) int {
		return cmp.Or(cmp.Compare(b.Observations, a.Observations), cmp.Compare(a.Route, b.Route))
	})
	return costs[:min(len(costs), maxListedRoutes)]
}
