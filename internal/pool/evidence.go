package pool

import (
	"math"
	"time"

	"github.com/samber/lo"
)

const (
	// notableChange is the change of an estimate above which it is sent to the other
	// regions at once.
	notableChange = 0.3
	// roundingFactor rounds reported values to two decimals.
	roundingFactor = 100
)

// Change is a change of an estimate by more than notableChange.
type Change struct {
	Target        string
	Request       string // id of the request with the outcome
	Outcome       OutcomeKind
	Before, After float64 // probability of the failing state
}

// Report is the state that the pool of a region sends to the pools of the same
// service in other regions.
type Report struct {
	Region   string           `json:"region" cbor:"1,keyasint"`
	MeanIdle float64          `json:"idle" cbor:"2,keyasint"` // mean number of healthy targets of the region without a request in flight
	Targets  []TargetEstimate `json:"targets" cbor:"3,keyasint"`
	Leaving  []LeavingTarget  `json:"leaving,omitempty" cbor:"4,keyasint,omitempty"`
	Costs    []RouteMean      `json:"costs,omitempty" cbor:"5,keyasint,omitempty"` // those that have changed
}

// LeavingTarget is an incarnation of a target that is about to stop.
type LeavingTarget struct {
	Target      string `json:"t" cbor:"1,keyasint"`
	StartedAtMS int64  `json:"s" cbor:"2,keyasint"` // Unix milliseconds
}

// TargetEstimate is the estimate of a target in a report.
type TargetEstimate struct {
	Target             string        `json:"t" cbor:"1,keyasint"`
	FailingProbability float64       `json:"b" cbor:"2,keyasint"` // of being in the failing state
	Age                time.Duration `json:"a" cbor:"3,keyasint"` // time since the last outcome
}

// Report returns the estimates whose last outcome is not older than maxAge,
// without those received from other regions. From then on the pool computes the
// floor from the reported number of idle targets, as the other regions do.
func (p *Pool) Report(maxAge time.Duration) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	idle := math.Round(p.idleMean.value*roundingFactor) / roundingFactor
	p.idleReports[p.cfg.Region] = idleReport{idle: idle, at: now}
	report := Report{Region: p.cfg.Region, MeanIdle: idle, Costs: p.reportCosts(now)}
	for _, t := range p.targets {
		if t.leaving {
			report.Leaving = append(report.Leaving, LeavingTarget{Target: t.record.ID, StartedAtMS: t.record.StartedAtMS})
		}
		age := now.Sub(t.estimate.evidenceAt)
		if t.estimate.evidenceAt.IsZero() || t.estimate.remote || age > maxAge {
			continue
		}
		failing := math.Round(p.weights.mean(t.estimate.failing)*roundingFactor) / roundingFactor
		report.Targets = append(report.Targets, TargetEstimate{Target: t.record.ID, FailingProbability: failing, Age: age.Truncate(time.Millisecond)})
	}
	return report
}

func isFinite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

// Merge takes over the estimates of another region's report that are newer than
// those of this pool.
func (p *Pool) Merge(r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	if isFinite(r.MeanIdle) && r.MeanIdle >= 0 {
		p.idleReports[r.Region] = idleReport{idle: r.MeanIdle, at: now}
	}
	known := lo.KeyBy(p.targets, func(t *target) string { return t.record.ID })
	for _, e := range r.Targets {
		if !isFinite(e.FailingProbability) {
			continue // a malformed report; it would spoil all comparisons of costs
		}
		at := now.Add(-max(e.Age, 0))
		if t := known[e.Target]; t != nil && at.After(t.estimate.evidenceAt) {
			t.estimate.setRemote(min(max(e.FailingProbability, 0), 1), at)
		}
	}
	p.mergeCosts(r.Costs)
	for _, leaving := range r.Leaving {
		if t := known[leaving.Target]; t != nil && t.record.StartedAtMS == leaving.StartedAtMS {
			t.leaving = true
		}
	}
}

// setLeaving takes a target out of the choice for good. Its requests in flight end
// as usual.
func (p *Pool) setLeaving(t *target) {
	t.leaving = true
	if p.cfg.OnLeaving != nil {
		p.cfg.OnLeaving(t.record.ID)
	}
}
