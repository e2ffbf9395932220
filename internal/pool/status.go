package pool

import "github.com/samber/lo"

// TargetStatus is the estimate of a target in the status output.
type TargetStatus struct {
	ID                 string  `json:"id"`
	Address            string  `json:"address"`
	FailingProbability float64 `json:"bad"` // of being in the failing state
	InFlight           int     `json:"in_flight"`
	Slowness           float64 `json:"slowness"`
}

// Status returns the estimates of all targets.
func (p *Pool) Status() []TargetStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	return lo.Map(p.targets, func(t *target, _ int) TargetStatus {
		return TargetStatus{
			ID: t.record.ID, Address: t.record.Address, FailingProbability: p.failingProbability(t, now),
			InFlight: t.inFlight, Slowness: t.slowness(now),
		}
	})
}
