package pool

import "github.com/samber/lo"

// TargetStatus is what a pool estimates of a target, for reports.
type TargetStatus struct {
	ID       string  `json:"id"`
	Address  string  `json:"address"`
	Bad      float64 `json:"bad"` // chance of a spell of failure
	InFlight int     `json:"in_flight"`
	Slowness float64 `json:"slowness"`
}

// Status returns the estimates of all targets.
func (p *Pool) Status() []TargetStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	return lo.Map(p.targets, func(t *target, _ int) TargetStatus {
		return TargetStatus{
			ID: t.record.ID, Address: t.record.Address, Bad: p.bad(t, now),
			InFlight: t.inFlight, Slowness: t.slowness(now),
		}
	})
}
