package pool

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// maxExplained is the number of targets in an explanation.
const maxExplained = 5

// Explanation says which target a request would get now, and why.
type Explanation struct {
	Target        string            `json:"target" cbor:"1,keyasint"`      // id; empty: the request would wait
	Reason        string            `json:"reason" cbor:"2,keyasint"`      // in words
	RunTimeMS     float64           `json:"run_time_ms" cbor:"3,keyasint"` // expected on a target of usual speed
	RouteFactor   float64           `json:"route_factor" cbor:"4,keyasint"`
	ResponseBytes float64           `json:"response_bytes" cbor:"5,keyasint"`
	Waiting       int               `json:"waiting" cbor:"6,keyasint"`           // requests that wait in the pool
	RetryBudget   float64           `json:"used_retry_budget" cbor:"7,keyasint"` // share
	Targets       []ExplainedTarget `json:"targets" cbor:"8,keyasint"`           // those with the lowest cost, the lowest first
	Excluded      int               `json:"excluded" cbor:"9,keyasint"`          // targets that the request may not get now
}

// ExplainedTarget is a target with the parts of its cost. Costs are in units of one
// failed request that cannot be retried.
type ExplainedTarget struct {
	ID              string  `json:"id" cbor:"1,keyasint"`
	Address         string  `json:"address" cbor:"2,keyasint"`
	DataCentre      string  `json:"data_centre" cbor:"3,keyasint"`
	Region          string  `json:"region" cbor:"4,keyasint"`
	Full            bool    `json:"full" cbor:"5,keyasint"`
	InFlight        int     `json:"in_flight" cbor:"6,keyasint"`
	Slots           int     `json:"slots" cbor:"7,keyasint"`
	Risk            float64 `json:"risk" cbor:"8,keyasint"` // probability that the request fails there
	Speed           float64 `json:"speed" cbor:"9,keyasint"`
	WaitMS          float64 `json:"wait_ms" cbor:"10,keyasint"` // expected, for a slot
	RemainingWorkMS float64 `json:"remaining_work_ms" cbor:"11,keyasint"`
	Cost            float64 `json:"cost" cbor:"12,keyasint"` // sum of the costs below
	FailureCost     float64 `json:"failure_cost" cbor:"13,keyasint"`
	OccupancyCost   float64 `json:"occupancy_cost" cbor:"14,keyasint"`
	TimeCost        float64 `json:"time_cost" cbor:"15,keyasint"`
	BytesCost       float64 `json:"bytes_cost" cbor:"16,keyasint"`
	FloorCost       float64 `json:"floor_cost" cbor:"17,keyasint"`
}

// Explain returns which target the request would get now, by the decision that grants
// it. It reserves nothing.
func (p *Pool) Explain(r Request) Explanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	p.beginLook(now)
	var e Explanation
	chosen := p.choose(r, now, func(t *target, c costs, risk float64) {
		e.Targets = append(e.Targets, p.explainTarget(t, c, risk, now))
	})
	e.RunTimeMS, e.RouteFactor, e.ResponseBytes = inMilliseconds(chosen.expected.RunTime), chosen.expected.Factor, chosen.expected.Bytes
	e.Waiting, e.RetryBudget = len(p.waiters), p.credit.spentShare(now)
	e.Excluded = len(p.targets) - len(e.Targets)
	if chosen.target != nil {
		e.Target = chosen.target.record.ID
	}
	e.Reason = reasonOf(e)
	slices.SortStableFunc(e.Targets, func(a, b ExplainedTarget) int { return cmp.Compare(a.Cost, b.Cost) })
	if i := slices.IndexFunc(e.Targets, func(t ExplainedTarget) bool { return t.ID == e.Target }); i >= maxExplained {
		e.Targets[maxExplained-1] = e.Targets[i] // it has capacity, those before it are full
	}
	e.Targets = e.Targets[:min(len(e.Targets), maxExplained)]
	return e
}

func (p *Pool) explainTarget(t *target, c costs, risk float64, now time.Time) ExplainedTarget {
	return ExplainedTarget{
		ID: t.record.ID, Address: t.record.Address, DataCentre: t.record.DataCentre, Region: t.region, Full: !t.hasCapacity(now),
		InFlight: t.inFlight, Slots: t.record.Slots, Risk: risk, Speed: t.speed(now),
		WaitMS: t.assessment.wait / float64(time.Millisecond), RemainingWorkMS: p.remainingWork(t, now) / float64(time.Millisecond),
		Cost: c.total(), FailureCost: c.failure, OccupancyCost: c.occupancy, TimeCost: c.time, BytesCost: c.bytes, FloorCost: c.floor,
	}
}

func reasonOf(e Explanation) string {
	isFull := func(t ExplainedTarget) bool { return t.Full }
	switch {
	case e.Target != "":
		return "lowest cost among the targets with capacity"
	case len(e.Targets) == 0:
		return "no target may get the request now: all are excluded"
	case lo.EveryBy(e.Targets, isFull):
		return "it would wait: all targets are full"
	default:
		return "it would wait: a full target is much better than each with capacity"
	}
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// PathHash returns the hash of the path segment after the prefix of a route that goes
// into Request.Path; 0 if there is none.
func PathHash(prefix, path string) uint32 {
	segment, _, _ := strings.Cut(strings.TrimLeft(strings.TrimPrefix(path, prefix), "/"), "/")
	if segment == "" {
		return 0
	}
	return max(uint32(xxhash.Sum64String(segment)), 1)
}
