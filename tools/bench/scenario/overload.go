package scenario

import (
	"math"
	"sort"
	"time"

	"github.com/sequoialane/sequoialane/tools/bench/fleet"
)

// Overload is the result of a surge to twice the capacity while a third of the
// targets is slow or returns errors.
type Overload struct {
	Service             string             `json:"service"`
	Policy              string             `json:"policy"`
	CapacityShare       float64            `json:"in_time_of_healthy_capacity"` // service time answered in time, relative to the slot time of healthy targets
	InTime              float64            `json:"in_time_of_offered"`          // share of the requests that are answered in time
	FairShareRatio      map[string]float64 `json:"plan_of_due"`                 // by plan: service time answered in time, relative to its fair share
	WorstFairShareRatio float64            `json:"worst_plan_of_due"`           // lowest FairShareRatio
	RejectedQuickly     float64            `json:"refused_within_50ms"`         // share of the rejections
	Rejections          int                `json:"refusals"`
	Failed              int                `json:"failed"`
}

// Times and load factors of the overload. The faults start before the surge.
const (
	overloadFaultsAt = 5 * time.Second
	overloadAt       = 10 * time.Second
	overloadLength   = 10 * time.Second
	overloadTail     = 2 * time.Second
	quickRejection   = 50 * time.Millisecond
	overloadLow      = 0.5
	overloadHigh     = 2
)

// overloadTotals sums up the requests that arrived during the overload phases of
// several runs.
type overloadTotals struct {
	offered, served, fairShare                    map[string]float64 // service time in seconds by plan
	capacity                                      float64            // slot time of the healthy targets in seconds
	requests, inTime, rejections, quickRejections int
	failed                                        int
}

// RunOverload measures overload with the named policy, summed up over several
// seeds: one run of 10 s has only a few stragglers of a small plan, each as long
// as 20 requests.
func RunOverload(engine Engine, spec fleet.Spec, serviceTime time.Duration, idempotentShare float64, policyName string, seeds uint64) Overload {
	m := mix(serviceTime, idempotentShare, 0.01)
	var faults fleet.Faults
	faultyTargets := spec.Targets / 3
	kinds := []fleet.FaultKind{fleet.HalfErrors, fleet.Slow}
	for i := range faultyTargets {
		faults = append(faults, fleet.Fault{Target: i * 3, Kind: kinds[i%2], From: overloadFaultsAt, To: time.Hour})
	}
	surge := fleet.Surge(overloadLow, overloadHigh, overloadAt, overloadLength)
	healthySlots := float64((spec.Targets - faultyTargets) * spec.Slots)
	offeredSlots := func(at time.Duration) float64 { return surge(at) * float64(spec.Targets*spec.Slots) }
	t := overloadTotals{offered: map[string]float64{}, served: map[string]float64{}, fairShare: map[string]float64{}}
	for seed := range seeds {
		load := fleet.NewGenerator(spec, m, surge, overloadAt+overloadLength+overloadTail, seed+1)
		t.add(engine(spec, faults, load, Policies()[policyName](), seed+1))
		t.capacity += healthySlots * overloadLength.Seconds()
		for plan, fairShare := range overloadFairShares(healthySlots, offeredSlots) {
			t.fairShare[plan] += fairShare
		}
	}
	return t.result(spec.Name, policyName)
}

func (t *overloadTotals) add(record *fleet.Record) {
	for q, e := range record.Requests {
		if q.Offset < overloadAt || q.Offset >= overloadAt+overloadLength {
			continue
		}
		t.requests++
		t.offered[q.Plan] += q.ServiceTime.Seconds()
		switch e.Result {
		case fleet.InTime:
			t.inTime++
			t.served[q.Plan] += q.ServiceTime.Seconds()
		case fleet.Rejected:
			t.rejections++
			if e.Latency <= quickRejection {
				t.quickRejections++
			}
		default:
			t.failed++
		}
	}
}

func (t *overloadTotals) result(service, policy string) Overload {
	o := Overload{
		Service:             service,
		Policy:              policy,
		InTime:              float64(t.inTime) / float64(max(t.requests, 1)),
		FairShareRatio:      map[string]float64{},
		WorstFairShareRatio: math.Inf(1),
		RejectedQuickly:     1,
		Rejections:          t.rejections,
		Failed:              t.failed,
	}
	if t.rejections > 0 {
		o.RejectedQuickly = float64(t.quickRejections) / float64(t.rejections)
	}
	for plan, fairShare := range t.fairShare {
		o.CapacityShare += t.served[plan] / t.capacity
		o.FairShareRatio[plan] = t.served[plan] / min(fairShare, t.offered[plan])
		o.WorstFairShareRatio = min(o.WorstFairShareRatio, o.FairShareRatio[plan])
	}
	return o
}

// overloadFairShares returns the fair share of each plan over the overload phase,
// as slot time in seconds. It is summed up over short steps, since a plan that
// offers less than its share during the rise cannot make up for it later.
func overloadFairShares(healthySlots float64, offeredSlots func(time.Duration) float64) map[string]float64 {
	const step = 10 * time.Millisecond
	sum := map[string]float64{}
	for at := overloadAt; at < overloadAt+overloadLength; at += step {
		offered := map[string]float64{}
		for _, p := range plans {
			offered[p.Plan] = p.Share * offeredSlots(at)
		}
		for plan, slots := range fairShares(offered, healthySlots) {
			sum[plan] += slots * step.Seconds()
		}
	}
	return sum
}

// fairShares divides the capacity, in slots, among the plans by weight. No plan
// receives more than it offers; the rest goes to the other plans.
func fairShares(offered map[string]float64, capacity float64) map[string]float64 {
	order := make([]fleet.PlanLoad, len(plans))
	copy(order, plans)
	sort.Slice(order, func(i, j int) bool {
		return offered[order[i].Plan]/float64(order[i].Weight) < offered[order[j].Plan]/float64(order[j].Weight)
	})
	weights := 0
	for _, p := range order {
		weights += p.Weight
	}
	shares := map[string]float64{}
	for _, p := range order {
		shares[p.Plan] = min(offered[p.Plan], capacity*float64(p.Weight)/float64(weights))
		capacity -= shares[p.Plan]
		weights -= p.Weight
	}
	return shares
}
