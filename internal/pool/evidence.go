package pool

import (
	"math"
	"time"

	"github.com/samber/lo"
)

const (
	// notable is the change of an estimate that other regions hear of at once.
	notable = 0.3
	// evidenceRounding keeps two decimals of what is reported.
	evidenceRounding = 100
)

// Change is an estimate that an outcome has changed much.
type Change struct {
	Target        string
	Request       string // id of the request with the outcome
	Outcome       OutcomeKind
	Before, After float64 // chance of a spell of failure
}

// Report is what the pool of a region tells those of other regions.
type Report struct {
	Region  string     `json:"region"`
	Idle    float64    `json:"idle"` // mean number of sound targets of the region without a request in flight
	Targets []Evidence `json:"targets"`
}

// Evidence is what a pool knows of a target.
type Evidence struct {
	Target string        `json:"t"`
	Bad    float64       `json:"b"` // chance that it is in a spell of failure
	Age    time.Duration `json:"a"` // since the outcome that it rests on
}

// Report returns the estimates that rest on outcomes younger than maxAge. From
// then on the pool keeps the floor by the number of idle targets that it
// reported, as the other regions do.
func (p *Pool) Report(maxAge time.Duration) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	idle := math.Round(p.idle.value*evidenceRounding) / evidenceRounding
	p.reported[p.cfg.Region] = idleReport{idle: idle, at: now}
	report := Report{Region: p.cfg.Region, Idle: idle}
	for _, t := range p.targets {
		age := now.Sub(t.estimate.seen)
		if t.estimate.seen.IsZero() || t.estimate.foreign || age > maxAge {
			continue
		}
		bad := math.Round(p.weights.mean(t.estimate.bad)*evidenceRounding) / evidenceRounding
		report.Targets = append(report.Targets, Evidence{Target: t.record.ID, Bad: bad, Age: age.Truncate(time.Millisecond)})
	}
	return report
}

// Merge takes in what the pool of another region knows, where it is newer.
func (p *Pool) Merge(r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	p.reported[r.Region] = idleReport{idle: r.Idle, at: now}
	known := lo.KeyBy(p.targets, func(t *target) string { return t.record.ID })
	for _, e := range r.Targets {
		at := now.Add(-e.Age)
		if t := known[e.Target]; t != nil && at.After(t.estimate.seen) {
			t.estimate.set(e.Bad, at)
		}
	}
}
