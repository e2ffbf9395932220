package pool

import (
	"math"
	"time"

	"github.com/samber/lo"
)

const (
	// notable is the change of an estimate that other regions hear of at once.
	notable = 0.3
	// evidenceRounding keeps two decimals of an estimate.
	evidenceRounding = 100
)

// Change is an estimate that an outcome has changed much.
type Change struct {
	Target        string
	Request       string // id of the request with the outcome
	Outcome       OutcomeKind
	Before, After float64 // chance of a spell of failure
}

// Evidence is what a pool knows of a target, for the pools of other regions.
type Evidence struct {
	Target string        `json:"t"`
	Bad    float64       `json:"b"` // chance that it is in a spell of failure
	Age    time.Duration `json:"a"` // since the outcome that it rests on
	// Failed is the time since its last failure; 0: none for a while.
	Failed time.Duration `json:"f,omitempty"`
}

// Evidence returns the estimates that rest on outcomes younger than maxAge.
func (p *Pool) Evidence(maxAge time.Duration) []Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	var evidence []Evidence
	for _, t := range p.targets {
		age := now.Sub(t.estimate.seen)
		if t.estimate.seen.IsZero() || t.estimate.foreign || age > maxAge {
			continue
		}
		bad := math.Round(p.weights.mean(t.estimate.bad)*evidenceRounding) / evidenceRounding
		e := Evidence{Target: t.record.ID, Bad: bad, Age: age.Truncate(time.Millisecond)}
		if failed := now.Sub(t.failedAt); failed <= soundAfter {
			e.Failed = max(failed.Truncate(time.Millisecond), time.Millisecond)
		}
		evidence = append(evidence, e)
	}
	return evidence
}

// Merge takes in what the pool of another region knows, where it is newer.
func (p *Pool) Merge(region string, evidence []Evidence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	p.heard[region] = now
	known := lo.KeyBy(p.targets, func(t *target) string { return t.record.ID })
	for _, e := range evidence {
		t := known[e.Target]
		if t == nil {
			continue
		}
		if at := now.Add(-e.Age); at.After(t.estimate.seen) {
			t.estimate.set(e.Bad, at)
		}
		if failedAt := now.Add(-e.Failed); e.Failed > 0 && failedAt.After(t.failedAt) {
			t.failedAt = failedAt
		}
	}
}
